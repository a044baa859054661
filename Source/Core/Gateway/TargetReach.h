// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Core/Gateway/Target.h"

// Which targets a gateway sends to as long as it can. Reports that many gateways act on at once are
// worth little, and each report costs a message: so a target is used by a limited number of
// gateways, those of its hall first.
namespace Holdpost::Gateway
{
struct GatewayCounts
{
  std::size_t all = 1;
  std::size_t near = 1; // in the own hall, this one included

  bool operator==(const GatewayCounts&) const = default;
  // About so many gateways of other halls use one target.
  std::size_t FarUsersOfTarget() const;
};

class TargetReach
{
public:
  // `seed` differs between gateways, so that each picks others.
  TargetReach(std::string hall, std::uint64_t seed) : m_hall(std::move(hall)), m_seed(seed) {}

  // The targets with engines that are used; other services' are used by all.
  std::set<TargetId> Choose(const std::vector<ListedTarget>& list,
                            const GatewayCounts& gateways) const;

private:
  std::string m_hall;
  std::uint64_t m_seed;
};
} // namespace Holdpost::Gateway
