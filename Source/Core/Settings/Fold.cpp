// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Fold.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/JsonFields.h"
#include "Common/Mailbox.h"

namespace Holdpost::Settings
{
using Common::Error;
using Common::ErrorKind;
using Common::Offset;
using Common::Result;
using nlohmann::json;

Offset Fold::NodeOffset(const Path& path) const
{
  const auto found = m_node_offsets.find(path);
  return found == m_node_offsets.end() ? 0 : found->second;
}

std::optional<ClaimHolder> Fold::HolderOf(const std::string& target) const
{
  const auto found = m_target_claims.find(target);
  if (found == m_target_claims.end())
    return std::nullopt;
  return found->second;
}

std::optional<Rejected> Fold::FindConflict(const Change& change, Offset offset) const
{
  for (const NodeChange& node : change.nodes)
  {
    const Offset last = NodeOffset(node.path);
    if (node.base == last)
      continue;
    return Rejected{offset,
                    {ErrorKind::Conflict,
                     fmt::format("{}: written against offset {}, but offset {} changed it first",
                                 node.path.ToString(), node.base, last)},
                    last};
  }
  return std::nullopt;
}

Verdict Fold::ApplyChange(const Change& change, Offset offset)
{
  if (auto conflict = FindConflict(change, offset))
    return *conflict;
  // Applied in place and taken back if it is no good: a copy of the tree costs more than the check.
  Tree before;
  std::vector<ChangedNode> changed;
  for (const NodeChange& node : change.nodes)
  {
    const auto found = m_tree.find(node.path);
    const bool is_new = found == m_tree.end();
    if (!is_new)
      before.insert(*found);
    changed.push_back({node.path, is_new ? Values() : found->second.values, is_new});
    if (node.values)
      m_tree[node.path] = Node{*node.values, offset};
    else
      m_tree.erase(node.path);
  }
  const std::vector<TreeProblem> problems = CheckChanged(m_tree, changed);
  if (!problems.empty())
  {
    for (const NodeChange& node : change.nodes)
      m_tree.erase(node.path);
    m_tree.merge(before);
    const TreeProblem& first = problems.front();
    return Rejected{offset,
                    {ErrorKind::BadSettings,
                     fmt::format("{} {}: {}", first.path.ToString(), first.field, first.text)},
                    0};
  }
  for (const NodeChange& node : change.nodes)
    m_node_offsets[node.path] = offset;
  m_accepted_offset = offset;
  return Accepted{offset};
}

Verdict Fold::Apply(const LogRecord& record)
{
  if (record.offset != m_position + 1)
    return OutOfOrder{m_position + 1};
  m_position = record.offset;
  const Result<Record> decoded = DecodeRecord(record.text);
  if (const auto* error = std::get_if<Error>(&decoded))
    return Rejected{record.offset, *error, 0};
  return std::visit(
      Common::Overloaded{
          [&](const Change& change) -> Verdict { return ApplyChange(change, record.offset); },
          [&](const TargetClaim& claim) -> Verdict
          {
            const bool displaces = m_target_claims.contains(claim.target);
            m_target_claims[claim.target] = {claim.instance, claim.id, record.offset, displaces};
            return NotSettings{};
          },
          [](const auto&) -> Verdict { return NotSettings{}; }},
      std::get<Record>(decoded));
}

bool Fold::JoinAtSnapshot(const std::vector<LogRecord>& records)
{
  const Offset first = records.front().offset;
  for (auto record = records.rbegin(); record != records.rend(); ++record)
  {
    const Result<Record> decoded = DecodeRecord(record->text);
    const auto* ok = std::get_if<Record>(&decoded);
    const auto* snapshot = ok ? std::get_if<Snapshot>(ok) : nullptr;
    // Records after the snapshot's offset must all be in the stretch, or changes would be lost.
    if (!snapshot || snapshot->offset + 1 < first || snapshot->offset >= record->offset)
      continue;
    if (Common::Succeeded(Adopt(snapshot->offset, snapshot->state)))
      return true;
  }
  return false;
}

bool Fold::ApplyAll(const std::vector<LogRecord>& records)
{
  if (records.empty())
    return true;
  if (records.front().offset > m_position + 1 && !JoinAtSnapshot(records))
    return false;
  for (const LogRecord& record : records)
  {
    if (record.offset > m_position)
      Apply(record);
  }
  return true;
}

std::string Fold::Serialize() const
{
  json nodes = json::object();
  for (const auto& [path, node] : m_tree)
  {
    nodes[path.ToString()] = {{"offset", node.offset},
                              {"settings", Common::ParseJson(ValuesToJson(node.values))}};
  }
  json offsets = json::object();
  for (const auto& [path, offset] : m_node_offsets)
    offsets[path.ToString()] = offset;
  json claims = json::object();
  for (const auto& [target, holder] : m_target_claims)
  {
    claims[target] = {{"instance", holder.instance},
                      {"id", holder.id},
                      {"offset", holder.offset},
                      {"displaced", holder.has_displaced}};
  }
  return json{{"position", m_position},
              {"accepted", m_accepted_offset},
              {"nodes", nodes},
              {"offsets", offsets},
              {"claims", claims}}
      .dump();
}

// Throws json::exception on a malformed state.
static Tree TreeFromJson(const json& nodes)
{
  Tree tree;
  for (const auto& [text, object] : nodes.items())
  {
    Node node;
    node.offset = Common::RequiredInteger<Offset>(object, "offset");
    for (const auto& [name, value] : object.at("settings").items())
    {
      const FieldRule* rule = FindRule(name);
      if (!rule)
        continue;
      node.values[rule->field] =
          ParseValue(*rule, value.is_string() ? value.get<std::string>() : value.dump());
    }
    tree[Path::Parse(text).value_or(Path())] = std::move(node);
  }
  return tree;
}

Result<std::monostate> Fold::Adopt(Offset position, const std::string& state)
{
  if (position <= m_position)
    return Error{ErrorKind::Conflict, "the state offered is not newer than the own one"};
  try
  {
    const json object = Common::ParseJson(state);
    Tree tree = TreeFromJson(object.at("nodes"));
    const auto accepted = Common::RequiredInteger<Offset>(object, "accepted");
    if (object.at("position") != position || accepted < m_accepted_offset ||
        !CheckTree(tree).empty())
      return Error{ErrorKind::BadSettings, "the state offered does not hold together"};
    std::map<Path, Offset> offsets;
    for (const auto& [text, offset] : object.at("offsets").items())
      offsets[Path::Parse(text).value_or(Path())] = Common::ReadInteger<Offset>(offset, text);
    std::map<std::string, ClaimHolder> claims;
    for (const auto& [target, holder] : object.at("claims").items())
    {
      claims[target] = {holder.at("instance"), holder.at("id"),
                        Common::RequiredInteger<Offset>(holder, "offset"), holder.at("displaced")};
    }
    m_tree = std::move(tree);
    m_node_offsets = std::move(offsets);
    m_target_claims = std::move(claims);
    m_accepted_offset = accepted;
    m_position = position;
    return std::monostate{};
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::BadSettings, error.what()};
  }
}

Change ChangeBetween(const Fold& accepted, const Tree& wanted)
{
  Change change;
  for (const auto& [path, node] : wanted)
  {
    const auto found = accepted.AcceptedTree().find(path);
    if (found != accepted.AcceptedTree().end() && found->second.values == node.values)
      continue;
    change.nodes.push_back({path, accepted.NodeOffset(path), node.values});
  }
  for (const auto& [path, node] : accepted.AcceptedTree())
  {
    if (!wanted.contains(path))
      change.nodes.push_back({path, accepted.NodeOffset(path), std::nullopt});
  }
  return change;
}
} // namespace Holdpost::Settings
