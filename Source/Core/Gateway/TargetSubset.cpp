// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetSubset.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Common/Hash.h"

namespace Holdpost::Gateway
{
// The approximate number of gateways that use one target: from its own hall, and from all other
// halls together.
static constexpr std::size_t SAME_HALL_GATEWAYS_PER_TARGET = 16;
static constexpr std::size_t OTHER_HALL_GATEWAYS_PER_TARGET = 8;
// The minimum number of targets that a gateway uses in its own hall and in each other hall, or all
// targets if the hall has fewer.
static constexpr std::size_t MIN_SAME_HALL_TARGETS = 16;
static constexpr std::size_t MIN_OTHER_HALL_TARGETS = 4;

std::size_t GatewayCounts::OtherHallGatewaysPerTarget() const
{
  return std::min(all - std::min(all, same_hall), OTHER_HALL_GATEWAYS_PER_TARGET);
}

// How many of `targets` each of `gateways` has to use so that `gateways_per_target` gateways use
// each target.
static std::size_t TargetsPerGateway(std::size_t targets, std::size_t gateways,
                                     std::size_t gateways_per_target, std::size_t min_targets)
{
  const std::size_t gateway_count = std::max<std::size_t>(gateways, 1);
  const std::size_t target_count =
      (targets * gateways_per_target + gateway_count - 1) / gateway_count;
  return std::clamp(target_count, std::min(min_targets, targets), targets);
}

std::set<TargetId> TargetSubset::Choose(const std::vector<ListedTarget>& list,
                                        const GatewayCounts& gateways) const
{
  // Targets by service and hall. Each gateway ranks them in a different order, which its seed
  // determines.
  using RankedTargets = std::vector<std::pair<std::uint64_t, TargetId>>;
  std::map<std::pair<std::string, std::string>, RankedTargets> groups;
  for (const ListedTarget& target : list)
  {
    if (target.needs_weights)
    {
      groups[{target.service, target.hall}].emplace_back(Common::StableHash(target.id, m_seed),
                                                         target.id);
    }
  }
  std::set<TargetId> used;
  for (auto& [group, ranked] : groups)
  {
    const bool is_same_hall = group.second == m_hall;
    const std::size_t count =
        is_same_hall ? TargetsPerGateway(ranked.size(), gateways.same_hall,
                                         SAME_HALL_GATEWAYS_PER_TARGET, MIN_SAME_HALL_TARGETS)
                     : TargetsPerGateway(ranked.size(),
                                         gateways.all - std::min(gateways.all, gateways.same_hall),
                                         OTHER_HALL_GATEWAYS_PER_TARGET, MIN_OTHER_HALL_TARGETS);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::ranges::transform(ranked.begin(), end, std::inserter(used, used.end()),
                           &std::pair<std::uint64_t, TargetId>::second);
  }
  return used;
}
} // namespace Holdpost::Gateway
