// SPDX-License-Identifier: Apache-2.0
#include <fmt/format.h>

#include "Common/Program.h"
#include "Node/EntryNode.h"

// The daemon on an entry instance: a thin main over the library.
int main(int argc, char** argv)
{
  using namespace Holdpost;
  const auto parsed = Common::ParseDaemonOptions(
      "holdpost-entry", "Takes callers' requests at an entry instance and routes them to targets.",
      {argv + 1, argv + argc});
  if (const int* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& options = std::get<Common::DaemonOptions>(parsed);
  const auto config = Node::ReadEntryConfig(options.config_file);
  if (const auto* problems = std::get_if<Common::Problems>(&config))
  {
    fmt::print(stderr, "{}", Common::JoinProblems(*problems));
    return Common::EXIT_BAD_INPUT;
  }
  if (options.check_only)
    return Common::EXIT_OK;
  return Node::EntryNode(std::get<Node::EntryConfig>(config)).Run();
}
