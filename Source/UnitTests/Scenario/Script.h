// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

// The scenario language: one step a line, described in docs/SCENARIOS.md.
namespace Holdpost::Scenario
{
struct ScriptResult
{
  // Empty if every step could be read and every expectation came true; else "LINE: what".
  std::string failure;
  std::vector<std::string> transcript;
};

ScriptResult RunScript(const std::string& text);
} // namespace Holdpost::Scenario
