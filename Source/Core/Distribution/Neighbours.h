// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Hash.h"

// Selects the bounded set of instances with which an instance exchanges pieces of a version.
namespace Holdpost::Distribution
{
struct NeighbourCandidate
{
  std::string instance;
  std::string hall;
  Common::Digest version; // the version that the instance wants

  bool operator==(const NeighbourCandidate&) const = default;
};

// Both ends of a link compute the same result, so instances need no negotiation. The instances form
// a ring in an order that the version seeds. Each instance is linked to the instances at distances
// 1 and 2 and at further seeded distances, in both directions; the resulting graph has a small
// diameter. Most links are inside the hall. Returns about `count` names, sorted: up to two more if
// odd numbers of links are rounded up to pairs, and fewer if distances coincide.
std::vector<std::string> ChooseNeighbours(const Common::Digest& version, const std::string& self,
                                          const std::string& hall,
                                          const std::vector<NeighbourCandidate>& all,
                                          std::size_t count);
} // namespace Holdpost::Distribution
