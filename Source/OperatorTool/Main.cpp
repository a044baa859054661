// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/Program.h"
#include "OperatorTool/Commands.h"
#include "OperatorTool/OperatorConfig.h"

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
    Command{"explain", "tell from logs what became of a request", &OperatorTool::RunExplain},
    Command{"losses", "sum up from logs when and why requests were lost", &OperatorTool::RunLosses},
};

void PrintUsage(FILE* out)
{
  fmt::print(out, "usage: holdpost [global options] COMMAND [options]\n\n");
  for (const Command& command : COMMANDS)
    fmt::print(out, "  {:<10}{}\n", command.name, command.help);
  fmt::print(out, "\nGlobal options:\n"
                  "  --config FILE      platform, nodes and author, in YAML\n"
                  "  --check            check the settings file and exit\n"
                  "  --log-level LEVEL  error, warning, info or debug (default: warning)\n"
                  "  --help, --version\n");
  fmt::print(out, "\nSee holdpost COMMAND --help.\n"
                  "Exit codes: 0 done, 1 failed, 2 bad arguments or tree, 3 lost a race.\n");
}
// Options that stand before the command. Holds an exit code if the program is done already.
std::optional<int> ParseGlobalOptions(std::vector<std::string>* arguments)
{
  bool check_only = false;
  bool has_config = false;
  const auto take = [&]
  {
    std::string text = arguments->empty() ? "" : arguments->front();
    if (!arguments->empty())
      arguments->erase(arguments->begin());
    return text;
  };
  while (!arguments->empty() && arguments->front().starts_with("-"))
  {
    const std::string option = take();
    if (option == "--help" || option == "-h")
    {
      PrintUsage(stdout);
      return Common::EXIT_OK;
    }
    if (option == "--version")
    {
      fmt::print("holdpost {}\n", HOLDPOST_VERSION);
      return Common::EXIT_OK;
    }
    Common::LogLevel level = Common::LogLevel::Warning;
    if (option == "--check")
      check_only = true;
    else if (option == "--log-level" && Common::ParseLogLevel(take(), &level))
      Common::SetLogLevel(level);
    else if (option == "--config" || option == "-c")
    {
      auto config = OperatorTool::ReadOperatorConfig(take());
      if (const auto* problems = std::get_if<Common::Problems>(&config))
      {
        fmt::print(stderr, "{}", Common::JoinProblems(*problems));
        return Common::EXIT_BAD_INPUT;
      }
      OperatorTool::CurrentConfig() = std::get<OperatorTool::OperatorConfig>(std::move(config));
      has_config = true;
    }
    else
    {
      fmt::print(stderr, "holdpost: found '{}', expected an option or a command; see --help\n",
                 option);
      return Common::EXIT_BAD_INPUT;
    }
  }
  if (check_only)
    return has_config ? Common::EXIT_OK : Common::EXIT_BAD_INPUT;
  return std::nullopt;
}
} // namespace

int main(int argc, char** argv)
{
  Common::SetLogLevel(Common::LogLevel::Warning);
  std::vector<std::string> arguments(argv + 1, argv + argc);
  if (const auto done = ParseGlobalOptions(&arguments))
    return *done;
  const std::string name = arguments.empty() ? "" : arguments.front();
  const auto command = std::ranges::find(COMMANDS, name, &Command::name);
  if (command == COMMANDS.end())
  {
    PrintUsage(stderr);
    return Common::EXIT_BAD_INPUT;
  }
  return command->run({arguments.begin() + 1, arguments.end()});
}
