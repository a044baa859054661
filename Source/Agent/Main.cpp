// SPDX-License-Identifier: Apache-2.0
#include <fmt/format.h>

#include "Common/Program.h"
#include "Node/AgentNode.h"

// The daemon in the slot at a target: a thin main over the library.
int main(int argc, char** argv)
{
  using namespace Holdpost;
  const auto parsed = Common::ParseDaemonOptions("holdpost-agent",
                                                 "Runs in the slot at a target: fetches and serves "
                                                 "weights, gives fenced orders, runs requests.",
                                                 {argv + 1, argv + argc});
  if (const int* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  const auto& options = std::get<Common::DaemonOptions>(parsed);
  const auto config = Node::ReadAgentConfig(options.config_file);
  if (const auto* problems = std::get_if<Common::Problems>(&config))
  {
    fmt::print(stderr, "{}", Common::JoinProblems(*problems));
    return Common::EXIT_BAD_INPUT;
  }
  if (options.check_only)
    return Common::EXIT_OK;
  return Node::AgentNode(std::get<Node::AgentConfig>(config)).Run();
}
