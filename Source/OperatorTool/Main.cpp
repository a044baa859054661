// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "Common/Program.h"
#include "OperatorTool/Commands.h"

// `holdpost`: the operators' command.
namespace
{
using namespace Holdpost;

struct Command
{
  std::string_view name;
  std::string_view help;
  int (*run)(const OperatorTool::Arguments&);
};

constexpr std::array COMMANDS = {
    Command{"check", "check a settings tree and print every problem", &OperatorTool::RunCheck},
    Command{"show", "print the settings in force at a path and where each comes from",
            &OperatorTool::RunShow},
    Command{"diff", "print what publishing a tree would change", &OperatorTool::RunDiff},
    Command{"publish", "publish a tree to the platform's log", &OperatorTool::RunPublish},
    Command{"manifest", "cut weights into pieces and print their version",
            &OperatorTool::RunManifest},
    Command{"status", "print what instances are doing", &OperatorTool::RunStatus},
    Command{"watch", "wait until settings are in force or a version is ready",
            &OperatorTool::RunWatch},
};

void PrintUsage(FILE* out)
{
  fmt::print(out, "usage: holdpost COMMAND [options]\n\n");
  for (const Command& command : COMMANDS)
    fmt::print(out, "  {:<10}{}\n", command.name, command.help);
  fmt::print(out, "\nSee holdpost COMMAND --help.\n"
                  "Exit codes: 0 done, 1 failed, 2 bad arguments or tree, 3 lost a race.\n");
}
} // namespace

int main(int argc, char** argv)
{
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--version")
  {
    fmt::print("holdpost {}\n", HOLDPOST_VERSION);
    return Common::EXIT_OK;
  }
  const auto command = std::ranges::find(COMMANDS, name, &Command::name);
  if (command == COMMANDS.end())
  {
    const bool is_help = name == "--help" || name == "-h";
    PrintUsage(is_help ? stdout : stderr);
    return is_help ? Common::EXIT_OK : Common::EXIT_BAD_INPUT;
  }
  return command->run({argv + 2, argv + argc});
}
