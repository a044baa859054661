// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Tree.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "Core/Settings/Effective.h"

namespace Holdpost::Settings
{
static bool IsServiceKnown(const Tree& tree, const Path& organisation)
{
  const std::string& service = organisation.Segment(Level::Service);
  if (service == ANY)
    return true;
  return std::ranges::any_of(tree,
                             [&](const auto& entry)
                             {
                               const Path& path = entry.first;
                               return path.Depth() == Level::Service &&
                                      path.Segment(Level::Service) == service &&
                                      (path == organisation.Parent() || path.HasWildcard());
                             });
}

static void CheckParents(const Tree& tree, const Path& path, std::vector<TreeProblem>* problems)
{
  if (path.Depth() == Level::Root)
    return;
  if (!tree.contains(Path()))
    problems->push_back({path, "", "its root node / is missing"});
  for (Path above = path.Parent(); above.Depth() != Level::Root; above = above.Parent())
  {
    const bool is_needed = above.Depth() < Level::Service && !above.HasWildcard();
    if (is_needed && !tree.contains(above))
    {
      problems->push_back(
          {path, "",
           fmt::format("its {} {} is missing", LevelName(above.Depth()), above.ToString())});
    }
  }
  if (path.Depth() == Level::Organisation && !IsServiceKnown(tree, path))
    problems->push_back(
        {path, "", fmt::format("its service {} is missing", path.Parent().ToString())});
}

static void CheckValues(const Path& path, const Values& values, std::vector<TreeProblem>* problems)
{
  for (const auto& [field, value] : values)
  {
    const FieldRule& rule = RuleFor(field);
    const std::string name(rule.name);
    if (const std::string text = ExplainValue(rule, value); !text.empty())
      problems->push_back({path, name, text});
    if (path.Depth() > rule.deepest || path.Depth() < rule.highest)
    {
      problems->push_back(
          {path, name,
           fmt::format("found at level {}, expected from {} to {}", LevelName(path.Depth()),
                       LevelName(rule.highest), LevelName(rule.deepest))});
    }
  }
}

static void CheckHallNames(const Tree& tree, std::vector<TreeProblem>* problems)
{
  std::map<std::string, Path> halls;
  for (const auto& [path, node] : tree)
  {
    if (path.Depth() != Level::DataHall)
      continue;
    const auto [first, is_new] = halls.emplace(path.Segment(Level::DataHall), path);
    if (!is_new)
    {
      problems->push_back(
          {path, "",
           fmt::format("two halls have one name, the other is {}", first->second.ToString())});
    }
  }
}

static void CheckService(const Tree& tree, const Path& place, std::vector<TreeProblem>* problems)
{
  const Effective effective(tree, place);
  if (effective.Text(Field::Pool).empty())
    problems->push_back({place, "pool", "found nothing, expected the pool of its targets"});
  if (effective.Text(Field::Kind) != "model")
    return;
  if (effective.Text(Field::Model).empty())
    problems->push_back({place, "model", "found nothing, expected the model's name"});
  if (effective.Text(Field::Version).empty())
    problems->push_back({place, "version", "found nothing, expected the digest of a manifest"});
}

// A credential that two organisations share would let one act as the other.
static void CheckCredentials(const Tree& tree, std::vector<TreeProblem>* problems)
{
  std::map<std::string, Path> owners;
  for (const auto& [path, node] : tree)
  {
    const auto found = node.values.find(Field::CredentialSha256);
    if (found == node.values.end())
      continue;
    const auto [first, is_new] = owners.emplace(ValueText(found->second), path);
    if (!is_new && first->second.Segment(Level::Organisation) != path.Segment(Level::Organisation))
    {
      problems->push_back({path, "credential_sha256",
                           fmt::format("found the credential of {}, expected one of its own",
                                       first->second.Segment(Level::Organisation))});
    }
  }
}

std::vector<TreeProblem> CheckTree(const Tree& tree)
{
  std::vector<TreeProblem> problems;
  for (const auto& [path, node] : tree)
  {
    CheckParents(tree, path, &problems);
    CheckValues(path, node.values, &problems);
  }
  CheckHallNames(tree, &problems);
  CheckCredentials(tree, &problems);
  if (!problems.empty())
    return problems;
  for (const auto& [path, node] : tree)
  {
    if (path.Depth() != Level::DataHall)
      continue;
    for (const std::string& service : ServicesOf(tree, path.Segment(Level::DataHall)))
    {
      CheckService(tree,
                   MakePlace(path.Segment(Level::Region), path.Segment(Level::DataHall), service),
                   &problems);
    }
  }
  return problems;
}

static bool DecidesServices(const Values& values)
{
  return values.contains(Field::Kind) || values.contains(Field::Pool) ||
         values.contains(Field::Model) || values.contains(Field::Version);
}

// Whether a change of the node can make the service at `place` a bad one.
static bool CanBreakService(const Tree& tree, const ChangedNode& node, const Path& place)
{
  if (node.path.Depth() == Level::Organisation)
    return false;
  const bool is_new_place =
      node.is_new && (node.path.Depth() == Level::DataHall || node.path.Depth() == Level::Service);
  const bool matters =
      is_new_place || DecidesServices(node.before) || DecidesServices(tree.at(node.path).values);
  return matters && node.path.Covers(place);
}

static void CheckServicesOf(const Tree& tree, const std::vector<ChangedNode>& changed,
                            std::vector<TreeProblem>* problems)
{
  const bool may_matter = std::ranges::any_of(changed,
                                              [&](const ChangedNode& node)
                                              {
                                                return node.is_new ||
                                                       DecidesServices(node.before) ||
                                                       DecidesServices(tree.at(node.path).values);
                                              });
  if (!may_matter)
    return;
  for (const auto& [path, node] : tree)
  {
    if (path.Depth() != Level::DataHall)
      continue;
    for (const std::string& service : ServicesOf(tree, path.Segment(Level::DataHall)))
    {
      const Path place =
          MakePlace(path.Segment(Level::Region), path.Segment(Level::DataHall), service);
      if (std::ranges::any_of(changed, [&](const ChangedNode& other)
                              { return CanBreakService(tree, other, place); }))
        CheckService(tree, place, problems);
    }
  }
}

std::vector<TreeProblem> CheckChanged(const Tree& tree, const std::vector<ChangedNode>& changed)
{
  const bool has_removed = std::ranges::any_of(changed, [&](const ChangedNode& node)
                                               { return !tree.contains(node.path); });
  if (has_removed)
    return CheckTree(tree);
  std::vector<TreeProblem> problems;
  bool has_hall = false;
  bool has_credential = false;
  for (const ChangedNode& node : changed)
  {
    const Values& values = tree.at(node.path).values;
    CheckParents(tree, node.path, &problems);
    CheckValues(node.path, values, &problems);
    has_hall = has_hall || node.path.Depth() == Level::DataHall;
    has_credential = has_credential || values.contains(Field::CredentialSha256);
  }
  if (has_hall)
    CheckHallNames(tree, &problems);
  if (has_credential)
    CheckCredentials(tree, &problems);
  if (problems.empty())
    CheckServicesOf(tree, changed, &problems);
  return problems;
}

std::string RegionOf(const Tree& tree, const std::string& hall)
{
  for (const auto& [path, node] : tree)
  {
    if (path.Depth() == Level::DataHall && path.Segment(Level::DataHall) == hall)
      return path.Segment(Level::Region);
  }
  return "";
}

// The names at `level` on nodes whose upper segments cover `place`.
static std::vector<std::string> NamesBelow(const Tree& tree, const Path& place, Level level)
{
  std::set<std::string> names;
  for (const auto& [path, node] : tree)
  {
    if (path.Depth() != level || path.Segment(level) == ANY)
      continue;
    if (path.Parent().Covers(place))
      names.insert(path.Segment(level));
  }
  return {names.begin(), names.end()};
}

std::vector<std::string> ServicesOf(const Tree& tree, const std::string& hall)
{
  const std::string region = RegionOf(tree, hall);
  if (region.empty())
    return {};
  return NamesBelow(tree, MakePlace(region, hall), Level::Service);
}

std::vector<std::string> OrganisationsOf(const Tree& tree, const std::string& hall,
                                         const std::string& service)
{
  const std::string region = RegionOf(tree, hall);
  if (region.empty())
    return {};
  return NamesBelow(tree, MakePlace(region, hall, service), Level::Organisation);
}
} // namespace Holdpost::Settings
