// SPDX-License-Identifier: Apache-2.0
#include "Node/NodeConfig.h"

#include <fmt/format.h>

#include "Core/Settings/Path.h"

namespace Holdpost::Node
{
using Common::Problems;
using Common::YamlReader;

static std::string ReadName(YamlReader& reader, const std::string& field)
{
  std::string name = reader.RequiredString(field);
  if (!name.empty() && !Settings::IsName(name))
  {
    reader.Report(reader.Child(field), field,
                  fmt::format("found '{}', expected a name of a-z, 0-9 and '-'", name));
  }
  return name;
}

static NodeConfig ReadNode(YamlReader& reader)
{
  NodeConfig node;
  node.instance = ReadName(reader, "instance");
  node.hall = ReadName(reader, "hall");
  node.listen = reader.ReadAddress("listen", true, true);
  node.admin_listen = reader.ReadAddress("admin_listen", true, true);
  node.platform = reader.AddressList("platform");
  if (!reader.Has("platform"))
    reader.Report({}, "platform", "found nothing, expected a list of the platform's addresses");
  node.neighbours = reader.AddressList("neighbours");
  return node;
}

std::variant<AgentConfig, Problems> ReadAgentConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  AgentConfig config;
  config.node = ReadNode(reader);
  config.pool = ReadName(reader, "pool");
  config.target = reader.ReadAddress("target", true, false);
  config.target_name = ReadName(reader, "target_name");
  config.target_checks_fence = reader.Boolean("target_checks_fence", true);
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

std::variant<EntryConfig, Problems> ReadEntryConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  EntryConfig config;
  config.node = ReadNode(reader);
  config.caller_listen = reader.ReadAddress("caller_listen", true, true);
  config.body_bytes_most = static_cast<std::size_t>(reader.Integer(
      "body_bytes_most", static_cast<std::int64_t>(config.body_bytes_most), 1024, 1 << 30));
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}
} // namespace Holdpost::Node
