// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetReach.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Common/Hash.h"

namespace Holdpost::Gateway
{
// The approximate number of gateways that use one target: from its own hall, and from all other
// halls together.
static constexpr std::size_t NEAR_GATEWAYS_OF_TARGET = 16;
static constexpr std::size_t FAR_GATEWAYS_OF_TARGET = 8;
// The minimum number of targets that a gateway uses in its own hall and in each other hall, or all
// targets if the hall has fewer.
static constexpr std::size_t NEAR_LEAST = 16;
static constexpr std::size_t FAR_LEAST = 4;

std::size_t GatewayCounts::FarUsersOfTarget() const
{
  return std::min(all - std::min(all, near), FAR_GATEWAYS_OF_TARGET);
}

// How many of `targets` each of `gateways` has to use so that `users` gateways use each target.
static std::size_t TargetsOfEach(std::size_t targets, std::size_t gateways, std::size_t users,
                                 std::size_t least)
{
  const std::size_t others = std::max<std::size_t>(gateways, 1);
  const std::size_t even = (targets * users + others - 1) / others;
  return std::clamp(even, std::min(least, targets), targets);
}

std::set<TargetId> TargetReach::Choose(const std::vector<ListedTarget>& list,
                                       const GatewayCounts& gateways) const
{
  // Targets by service and hall. Each gateway ranks them in a different order, which its seed
  // determines.
  using Ranked = std::vector<std::pair<std::uint64_t, TargetId>>;
  std::map<std::pair<std::string, std::string>, Ranked> groups;
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
    const bool is_near = group.second == m_hall;
    const std::size_t count =
        is_near ? TargetsOfEach(ranked.size(), gateways.near, NEAR_GATEWAYS_OF_TARGET, NEAR_LEAST)
                : TargetsOfEach(ranked.size(), gateways.all - std::min(gateways.all, gateways.near),
                                FAR_GATEWAYS_OF_TARGET, FAR_LEAST);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::ranges::transform(ranked.begin(), end, std::inserter(used, used.end()),
                           &std::pair<std::uint64_t, TargetId>::second);
  }
  return used;
}
} // namespace Holdpost::Gateway
