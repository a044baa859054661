// SPDX-License-Identifier: Apache-2.0
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/Mailbox.h"
#include "Core/Settings/Effective.h"
#include "Core/Settings/TreeFile.h"
#include "OperatorTool/CommandLine.h"
#include "OperatorTool/OperatorConfig.h"
#include "OperatorTool/Session.h"

namespace Holdpost::OperatorTool
{
using Common::Address;
using Common::Error;
using Common::Offset;
using Common::Problems;
using Common::Result;
using nlohmann::json;
using Settings::Tree;

static std::variant<Tree, int> LoadTree(const std::string& file)
{
  auto read = Settings::ReadTreeFile(file);
  if (const auto* problems = std::get_if<Problems>(&read))
  {
    fmt::print(stderr, "{}", Common::JoinProblems(*problems));
    return Common::EXIT_BAD_INPUT;
  }
  return std::get<Tree>(std::move(read));
}

int RunCheck(const Arguments& arguments)
{
  std::string file;
  CommandLine line("check TREE",
                   "Checks a settings tree. Exit code 2 if it has problems; each is "
                   "printed with file, line and field.",
                   "tree");
  line.Add()("tree", po::value(&file)->required(), "the tree, in YAML");
  if (const auto done = line.Parse(arguments))
    return *done;
  const auto tree = LoadTree(file);
  if (const int* exit_code = std::get_if<int>(&tree))
    return *exit_code;
  fmt::print("{}: {} nodes, no problems\n", file, std::get<Tree>(tree).size());
  return Common::EXIT_OK;
}

static void PrintEffective(const Tree& tree, const Settings::Path& place, bool as_json)
{
  const Settings::Effective effective(tree, place);
  json object = json::object();
  for (const Settings::FieldRule& rule : Settings::FieldRules())
  {
    const auto source = effective.Source(rule.field);
    const std::string from = source ? source->ToString() : "default";
    const std::string value = Settings::ValueText(effective.At(rule.field));
    if (as_json)
      object[std::string(rule.name)] = {{"value", value}, {"from", from}};
    else
      fmt::print("{:<24}{:<24}{}\n", rule.name, value.empty() ? "-" : value, from);
  }
  if (as_json)
    fmt::print("{}\n", object.dump(2));
}

int RunShow(const Arguments& arguments)
{
  std::string path;
  std::string file;
  std::vector<std::string> platform = CurrentConfig().platform;
  CommandLine line("show PATH",
                   "Prints the settings in force at /region/hall/service/organisation or a place "
                   "above, each with the node that states it.",
                   "path");
  line.Add()("path", po::value(&path)->required(), "a place without '*'")(
      "platform", po::value(&platform)->value_name("IP:PORT"),
      "read the tree from the log")("tree", po::value(&file)->value_name("FILE"),
                                    "read the tree from a file")("json", "print JSON");
  if (const auto done = line.Parse(arguments))
    return *done;
  const auto place = Settings::Path::Parse(path);
  if (!place || place->HasWildcard())
  {
    fmt::print(stderr, "holdpost show: found '{}', expected a path without '*'\n", path);
    return Common::EXIT_BAD_INPUT;
  }
  if (!file.empty())
  {
    const auto tree = LoadTree(file);
    if (const int* exit_code = std::get_if<int>(&tree))
      return *exit_code;
    PrintEffective(std::get<Tree>(tree), *place, line.Has("json"));
    return Common::EXIT_OK;
  }
  const auto addresses = ParseAddresses(platform, "platform");
  if (!addresses)
    return Common::EXIT_BAD_INPUT;
  Session session;
  const auto fold = session.ReadFold(*addresses);
  if (const auto* error = std::get_if<Error>(&fold))
    return Fail(*error);
  PrintEffective(std::get<Settings::Fold>(fold).AcceptedTree(), *place, line.Has("json"));
  return Common::EXIT_OK;
}

// A tree as an operator wrote it, and what the log says is in force.
struct TreeAndFold
{
  Tree tree;
  std::vector<Address> platform;
  Settings::Fold fold;
};

static std::variant<TreeAndFold, int>
LoadBoth(const std::string& file, const std::vector<std::string>& platform, Session& session)
{
  const auto tree = LoadTree(file);
  if (const int* exit_code = std::get_if<int>(&tree))
    return *exit_code;
  const auto addresses = ParseAddresses(platform, "platform");
  if (!addresses)
    return Common::EXIT_BAD_INPUT;
  const auto fold = session.ReadFold(*addresses);
  if (const auto* error = std::get_if<Error>(&fold))
    return Fail(*error);
  return TreeAndFold{std::get<Tree>(tree), *addresses, std::get<Settings::Fold>(fold)};
}

static void PrintChange(const Settings::Fold& fold, const Settings::Change& change)
{
  for (const Settings::NodeChange& node : change.nodes)
  {
    const auto found = fold.AcceptedTree().find(node.path);
    const Settings::Values before =
        found == fold.AcceptedTree().end() ? Settings::Values() : found->second.values;
    const Settings::Values after = node.values.value_or(Settings::Values());
    fmt::print("{} {} (base {})\n",
               !node.values                         ? "-"
               : found == fold.AcceptedTree().end() ? "+"
                                                    : "~",
               node.path.ToString(), node.base);
    for (const Settings::FieldRule& rule : Settings::FieldRules())
    {
      const auto old_value = before.find(rule.field);
      const auto new_value = after.find(rule.field);
      const bool is_same = old_value != before.end() && new_value != after.end() &&
                           old_value->second == new_value->second;
      if (is_same)
        continue;
      if (old_value != before.end())
        fmt::print("  - {}: {}\n", rule.name, Settings::ValueText(old_value->second));
      if (new_value != after.end())
        fmt::print("  + {}: {}\n", rule.name, Settings::ValueText(new_value->second));
    }
  }
}

int RunDiff(const Arguments& arguments)
{
  std::string file;
  std::vector<std::string> platform = CurrentConfig().platform;
  CommandLine line("diff TREE", "Prints what publishing the tree would change.", "tree");
  line.Add()("tree", po::value(&file)->required(), "the tree, in YAML")(
      "platform", po::value(&platform)->value_name("IP:PORT"), "the platform's log");
  if (const auto done = line.Parse(arguments))
    return *done;
  Session session;
  const auto loaded = LoadBoth(file, platform, session);
  if (const int* exit_code = std::get_if<int>(&loaded))
    return *exit_code;
  const auto& [tree, addresses, fold] = std::get<TreeAndFold>(loaded);
  PrintChange(fold, Settings::ChangeBetween(fold, tree));
  return Common::EXIT_OK;
}

static int ReportVerdict(const Settings::Verdict& verdict, bool as_json)
{
  return std::visit(
      Common::Overloaded{[&](const Settings::Accepted& accepted)
                         {
                           if (as_json)
                             fmt::print("{}\n", json{{"accepted", accepted.offset}}.dump());
                           else
                             fmt::print("accepted at offset {}\n", accepted.offset);
                           return Common::EXIT_OK;
                         },
                         [&](const Settings::Rejected& rejected)
                         {
                           const bool is_race = rejected.error.kind == Common::ErrorKind::Conflict;
                           if (as_json)
                           {
                             fmt::print("{}\n",
                                        json{{"rejected", rejected.offset},
                                             {"kind", Common::AnswerFor(rejected.error.kind).name},
                                             {"winner", rejected.winner},
                                             {"message", rejected.error.message}}
                                            .dump());
                           }
                           fmt::print(stderr, "holdpost: rejected: {}\n", rejected.error.message);
                           return is_race ? Common::EXIT_CONFLICT : Common::EXIT_BAD_INPUT;
                         },
                         [](const auto&)
                         {
                           fmt::print(stderr, "holdpost: the log could not be followed\n");
                           return Common::EXIT_FAILED;
                         }},
      verdict);
}

int RunPublish(const Arguments& arguments)
{
  std::string file;
  std::string author = CurrentConfig().author;
  std::vector<std::string> platform = CurrentConfig().platform;
  Offset base = 0;
  CommandLine line("publish TREE",
                   "Publishes the tree to the platform's log. Of operators who change one node at "
                   "once, one wins; the others get exit code 3 and the winner's offset.",
                   "tree");
  line.Add()("tree", po::value(&file)->required(), "the tree, in YAML")(
      "platform", po::value(&platform)->value_name("IP:PORT"),
      "the platform's log")("author", po::value(&author), "who publishes")(
      "base", po::value(&base)->value_name("OFFSET"),
      "refuse if a node to be changed has changed after this offset")("json", "print JSON");
  if (const auto done = line.Parse(arguments))
    return *done;
  Session session;
  const auto loaded = LoadBoth(file, platform, session);
  if (const int* exit_code = std::get_if<int>(&loaded))
    return *exit_code;
  const auto& [tree, addresses, fold] = std::get<TreeAndFold>(loaded);
  Settings::Change change = Settings::ChangeBetween(fold, tree);
  if (change.nodes.empty())
  {
    fmt::print("nothing to change at offset {}\n", fold.AcceptedOffset());
    return Common::EXIT_OK;
  }
  for (const Settings::NodeChange& node : change.nodes)
  {
    if (line.Has("base") && node.base > base)
    {
      fmt::print(stderr, "holdpost: rejected: {}: offset {} changed it after base {}\n",
                 node.path.ToString(), node.base, base);
      return Common::EXIT_CONFLICT;
    }
  }
  change.id = Common::RandomToken();
  change.author = author;
  const auto verdict = session.Publish(addresses, change);
  if (const auto* error = std::get_if<Error>(&verdict))
    return Fail(*error);
  return ReportVerdict(std::get<Settings::Verdict>(verdict), line.Has("json"));
}
} // namespace Holdpost::OperatorTool
