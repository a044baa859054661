// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Mesh/MeshMessages.h"

// When each target of a service takes new weights: one after the other, so that the others carry
// the load, and all in time. Every sidecar works out the same order alone.
namespace Holdpost::Sidecar
{
struct SwitchWindow
{
  // When the version was named.
  Common::TimePoint named{};
  // Until all targets have to have it.
  Common::Duration within{};
  // How long a copy takes when nothing goes wrong.
  Common::Duration copy{};
};

// The place of `self` in the order of switching to the version, from 0.
std::size_t SwitchRank(const Common::Address& self, const std::vector<Mesh::Peer>& peers,
                       std::uint64_t version);
// When the target of the rank, of `count`, is to switch.
Common::TimePoint PlannedSwitch(const SwitchWindow& window, std::size_t rank, std::size_t count);
} // namespace Holdpost::Sidecar
