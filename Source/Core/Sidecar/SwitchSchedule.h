// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Mesh/MeshMessages.h"

// Decides when each target of a service switches to new weights: one after the other, so that the
// other targets carry the load, and all before the switch deadline. Each sidecar computes the same
// order without messages to the others.
namespace Holdpost::Sidecar
{
struct SwitchWindow
{
  // When the version was named.
  Common::TimePoint named_at{};
  // The time after which all targets have to use the version.
  Common::Duration switch_within{};
  // The expected time of a copy if no transfer fails.
  Common::Duration copy_time{};
};

// The position of `self` in the order in which the targets switch to the version, from 0.
std::size_t SwitchOrderRank(const Common::Address& self, const std::vector<Mesh::Peer>& peers,
                            std::uint64_t version);
// The time at which the target with the given rank, out of `count` targets, should switch.
Common::TimePoint PlannedSwitchTime(const SwitchWindow& window, std::size_t rank,
                                    std::size_t count);
} // namespace Holdpost::Sidecar
