// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

// What the command lines of all daemons share.
namespace Holdpost::Common
{
// Exit codes, the same for every program.
constexpr int EXIT_OK = 0;
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_BAD_INPUT = 2;
constexpr int EXIT_CONFLICT = 3;

struct DaemonOptions
{
  std::string config_file;
  bool check_only = false;
};

// Parses --help, --version, --config, --check and --log-level. Holds an exit code when the program
// is done already, either because it printed what was asked for or because the arguments are bad.
std::variant<DaemonOptions, int> ParseDaemonOptions(const std::string& program,
                                                    const std::string& summary,
                                                    const std::vector<std::string>& arguments);
} // namespace Holdpost::Common
