// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Hash.h"
#include "Common/Types.h"

// What instances of the system tell each other about themselves.
namespace Holdpost::Membership
{
enum class Role
{
  Entry,
  Agent,
};

enum class Lifecycle
{
  Starting,
  Serving,
  Leaving,
};

struct VersionState
{
  Common::Digest version;
  std::uint32_t pieces_held = 0;
  std::uint32_t pieces_total = 0; // 0 until the manifest is known

  bool operator==(const VersionState&) const = default;
};

struct ServiceState
{
  std::string service;
  // The version that the target answers with; zero for plain services and while none is loaded.
  Common::Digest version;
  bool is_ready = false;
  // The target is loading another version; the one above answers meanwhile.
  bool is_loading = false;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;

  bool operator==(const ServiceState&) const = default;
};

struct Report
{
  std::string instance;
  std::string hall;
  std::string pool; // agents only
  Role role = Role::Agent;
  // Grows with each start under the same name.
  std::uint64_t incarnation = 0;
  Common::Address address; // of its Cap'n Proto RPC
  Lifecycle lifecycle = Lifecycle::Starting;
  Common::Offset position = 0; // last log offset folded
  Common::Offset accepted = 0; // last offset that changed the settings
  // Requests that the receiver, an entry, may have running at the sender, an agent.
  std::uint32_t credits = 0;
  // Requests that wait at the sender, an entry, for targets like the receiver.
  std::uint32_t demand = 0;
  // From an entry: the receiver, an agent, may load now without too many of the hall loading at
  // once.
  bool may_load = false;
  std::vector<VersionState> versions;
  std::vector<ServiceState> services;

  bool operator==(const Report&) const = default;
};

// One line of the platform's list of instances.
struct ListedInstance
{
  std::string instance;
  std::string hall;
  std::string pool;
  Role role = Role::Agent;
  Common::Address address;
  bool is_leaving = false;
};
} // namespace Holdpost::Membership
