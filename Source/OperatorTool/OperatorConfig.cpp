// SPDX-License-Identifier: Apache-2.0
#include "OperatorTool/OperatorConfig.h"

namespace Holdpost::OperatorTool
{
static std::vector<std::string> ToTexts(const std::vector<Common::Address>& addresses)
{
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const Common::Address& address : addresses)
    texts.push_back(address.ToString());
  return texts;
}

std::variant<OperatorConfig, Common::Problems> ReadOperatorConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Common::Problems>(&loaded))
    return std::move(*failed);
  Common::Problems problems;
  Common::YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  OperatorConfig config;
  config.platform = ToTexts(reader.AddressList("platform"));
  config.nodes = ToTexts(reader.AddressList("nodes"));
  config.author = reader.String("author", config.author);
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

OperatorConfig& CurrentConfig()
{
  static OperatorConfig s_config;
  return s_config;
}
} // namespace Holdpost::OperatorTool
