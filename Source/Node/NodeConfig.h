// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Common/Types.h"
#include "Common/YamlReader.h"

// The settings of one process: what it is and where its peers are. All else comes from the tree.
namespace Holdpost::Node
{
struct NodeConfig
{
  std::string instance;
  std::string hall;
  Common::Address listen;       // Cap'n Proto RPC for other instances
  Common::Address admin_listen; // /metrics and the other pages for operators
  std::vector<Common::Address> platform;
  // RPC addresses of instances in the hall, for a start while the platform is out of reach.
  std::vector<Common::Address> neighbours;
};

struct AgentConfig
{
  NodeConfig node;
  std::string pool;
  Common::Address target;
  // A name that stays when the agent is replaced; the claim in the log is made under it.
  std::string target_name;
  bool target_checks_fence = true;
};

struct EntryConfig
{
  NodeConfig node;
  Common::Address caller_listen;
  std::size_t body_bytes_most = 4 << 20;
};

std::variant<AgentConfig, Common::Problems> ReadAgentConfig(const std::string& file);
std::variant<EntryConfig, Common::Problems> ReadEntryConfig(const std::string& file);
} // namespace Holdpost::Node
