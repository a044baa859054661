// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Common/YamlReader.h"

// What an operator would otherwise repeat on every command line.
namespace Holdpost::OperatorTool
{
struct OperatorConfig
{
  std::vector<std::string> platform; // addresses of the platform, as --platform
  std::vector<std::string> nodes;    // admin addresses of instances, as --node
  std::string author = "operator";
};

std::variant<OperatorConfig, Common::Problems> ReadOperatorConfig(const std::string& file);
// The settings of this run; the fallbacks unless --config was given.
OperatorConfig& CurrentConfig();
} // namespace Holdpost::OperatorTool
