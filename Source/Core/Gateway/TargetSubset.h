// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Core/Gateway/Target.h"

// Limits each gateway to a subset of the targets, to which it sends as long as one of them is
// available. A load report loses its value when many gateways act on it at once, and each report
// costs a message: therefore a limited number of gateways uses each target, most of them from the
// target's hall.
namespace Holdpost::Gateway
{
struct GatewayCounts
{
  std::size_t all = 1;
  std::size_t same_hall = 1; // gateways of this gateway's hall, including this gateway
  // The gateways that may be using their shares of the allowance of retries: those that are there,
  // and those that have gone lately or are cut off. 0 as long as none were counted.
  std::size_t retry_sharers = 0;

  bool operator==(const GatewayCounts&) const = default;
  // The approximate number of gateways of other halls that use one target.
  std::size_t OtherHallGatewaysPerTarget() const;
};

class TargetSubset
{
public:
  // `seed` differs between gateways, so that each of them selects a different subset.
  TargetSubset(std::string hall, std::uint64_t seed) : m_hall(std::move(hall)), m_seed(seed) {}

  // The selected targets, of those that need weights. Targets of other services are not selected:
  // every gateway uses all of them.
  std::set<TargetId> Choose(const std::vector<ListedTarget>& list,
                            const GatewayCounts& gateways) const;

private:
  std::string m_hall;
  std::uint64_t m_seed;
};
} // namespace Holdpost::Gateway
