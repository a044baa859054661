// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/SwitchSchedule.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Holdpost::Sidecar
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// The time that is left before the switch deadline for late pieces and for loading the weights.
static constexpr Duration END_MARGIN = Milliseconds(1000);

std::size_t SwitchOrderRank(const Common::Address& self, const std::vector<Mesh::Peer>& peers,
                            std::uint64_t version)
{
  const std::uint64_t own_hash = Common::StableHash(self.ToString(), version);
  return static_cast<std::size_t>(std::ranges::count_if(
      peers,
      [&](const Mesh::Peer& peer)
      {
        return peer.address != self &&
               Common::StableHash(peer.address.ToString(), version) < own_hash;
      }));
}

TimePoint PlannedSwitchTime(const SwitchWindow& window, std::size_t rank, std::size_t count)
{
  const TimePoint end = window.named_at + window.switch_within - END_MARGIN;
  const TimePoint begin = std::min(window.named_at + window.copy_time, end);
  const Duration span = end - begin;
  const double share =
      (static_cast<double>(rank) + 0.5) / static_cast<double>(std::max(count, rank + 1));
  return begin + std::chrono::duration_cast<Duration>(share * span);
}
} // namespace Holdpost::Sidecar
