// SPDX-License-Identifier: Apache-2.0
#include "Core/Settings/Record.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/JsonFields.h"

namespace Holdpost::Settings
{
using Common::Error;
using Common::ErrorKind;
using Common::Result;
using nlohmann::json;

static json ToJson(const Values& values)
{
  json object = json::object();
  for (const auto& [field, value] : values)
  {
    const std::string name(RuleFor(field).name);
    std::visit([&](const auto& plain) { object[name] = plain; }, value);
  }
  return object;
}

std::string ValuesToJson(const Values& values)
{
  return ToJson(values).dump();
}

static json ToJson(const NodeChange& node)
{
  json object = {{"path", node.path.ToString()}, {"base", node.base}};
  object["settings"] = node.values ? ToJson(*node.values) : json(nullptr);
  return object;
}

static json ToJson(const Change& change)
{
  json nodes = json::array();
  for (const NodeChange& node : change.nodes)
    nodes.push_back(ToJson(node));
  return {{"type", "change"}, {"id", change.id}, {"author", change.author}, {"nodes", nodes}};
}

static json ToJson(const TargetClaim& claim)
{
  return {
      {"type", "target"}, {"id", claim.id}, {"target", claim.target}, {"instance", claim.instance}};
}

static json ToJson(const Snapshot& snapshot)
{
  return {{"type", "snapshot"}, {"offset", snapshot.offset}, {"state", snapshot.state}};
}

static json ToJson(const KeyClaims& keys)
{
  json claims = json::array();
  for (const KeyClaim& claim : keys.claims)
    claims.push_back({{"scope", claim.scope}, {"key", claim.key}, {"request", claim.request}});
  return {{"type", "keys"},
          {"id", keys.id},
          {"entry", keys.entry},
          {"incarnation", keys.incarnation},
          {"claims", claims}};
}

std::string EncodeRecord(const Record& record)
{
  return std::visit([](const auto& typed) { return ToJson(typed); }, record).dump();
}

static Value ValueFromJson(const json& value)
{
  if (value.is_boolean())
    return value.get<bool>();
  if (value.is_number_integer())
    return value.get<std::int64_t>();
  return value.get<std::string>();
}

// Throws json::exception or std::invalid_argument; DecodeRecord turns both into an error.
static Values ValuesFromJson(const json& object)
{
  Values values;
  for (const auto& [name, value] : object.items())
  {
    const FieldRule* rule = FindRule(name);
    if (!rule)
      throw std::invalid_argument(fmt::format("{}: unknown field", name));
    values[rule->field] = ValueFromJson(value);
  }
  return values;
}

static NodeChange NodeFromJson(const json& object)
{
  NodeChange node;
  const std::string path = object.at("path");
  if (const std::string problem = Path::Explain(path); !problem.empty())
    throw std::invalid_argument(problem);
  node.path = *Path::Parse(path);
  node.base = Common::RequiredInteger<Common::Offset>(object, "base");
  if (!object.at("settings").is_null())
    node.values = ValuesFromJson(object.at("settings"));
  return node;
}

static Change ChangeFromJson(const json& object)
{
  Change change{object.at("id"), object.at("author"), {}};
  for (const json& node : object.at("nodes"))
    change.nodes.push_back(NodeFromJson(node));
  return change;
}

static KeyClaims KeysFromJson(const json& object)
{
  KeyClaims keys{object.at("id"),
                 object.at("entry"),
                 Common::RequiredInteger<std::uint64_t>(object, "incarnation"),
                 {}};
  for (const json& claim : object.at("claims"))
    keys.claims.push_back({claim.at("scope"), claim.at("key"), claim.at("request")});
  return keys;
}

static Record RecordFromJson(const json& object)
{
  const std::string type = object.at("type");
  if (type == "change")
    return ChangeFromJson(object);
  if (type == "target")
    return TargetClaim{object.at("id"), object.at("target"), object.at("instance")};
  if (type == "snapshot")
    return Snapshot{Common::RequiredInteger<Common::Offset>(object, "offset"), object.at("state")};
  if (type == "keys")
    return KeysFromJson(object);
  throw std::invalid_argument(fmt::format("type: found '{}'", type));
}

Result<Record> DecodeRecord(const std::string& text)
{
  try
  {
    return RecordFromJson(Common::ParseJson(text));
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::BadSettings, error.what()};
  }
}

std::optional<Common::Offset> SnapshotOffset(const std::string& text)
{
  if (text.find(R"("type":"snapshot")") == std::string::npos)
    return std::nullopt;
  const Result<Record> decoded = DecodeRecord(text);
  const auto* record = std::get_if<Record>(&decoded);
  const auto* snapshot = record ? std::get_if<Snapshot>(record) : nullptr;
  if (!snapshot)
    return std::nullopt;
  return snapshot->offset;
}
} // namespace Holdpost::Settings
