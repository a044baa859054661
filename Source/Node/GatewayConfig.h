// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Common/Types.h"
#include "Common/YamlReader.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Gateway/RetryAllowance.h"

// The settings of one gateway or sidecar process: what it is, where its peers are, and the bounds
// that the platform sets.
namespace Holdpost::Node
{
// What both kinds of process have.
struct MeshConfig
{
  // Where the settings were read from.
  std::string file;
  std::string instance;
  std::string region;
  std::string hall;
  // Where gateways and sidecars reach each other. All use the same port.
  Common::Address mesh_listen;
  Common::Address admin_listen;
  Common::Address platform;
  // Addresses of some other processes; they may be stale.
  std::vector<Common::Address> seeds;
  // New weights have to be in use everywhere so long after they were named.
  Common::Milliseconds switch_within = Control::DEFAULT_SWITCH_WITHIN;
  // A process is not held to bounds for so long after its start.
  Common::Milliseconds start_grace{3000};
  // A leaving target gets no new requests after so long.
  Common::Milliseconds drain_within{2000};
  // A stopping process is killed after so long.
  Common::Milliseconds stop_within{8000};
  std::uint64_t link_bytes_per_second = 0; // 0: not known
};

struct GatewayConfig
{
  MeshConfig mesh;
  Common::Address caller_listen;
  Common::Address ready_listen;
  // The page that says whether the gateway takes requests.
  std::string ready_path = "/readyz";
  // The memory that the process may use.
  std::size_t memory_bytes = std::size_t{256} << 20;
  Gateway::RetryLimits retries;
};

struct SidecarConfig
{
  MeshConfig mesh;
  // The target on the same machine, and the service that it belongs to.
  Common::Address target;
  std::string service;
};

std::variant<GatewayConfig, Common::Problems> ReadGatewayConfig(const std::string& file);
std::variant<SidecarConfig, Common::Problems> ReadSidecarConfig(const std::string& file);
} // namespace Holdpost::Node
