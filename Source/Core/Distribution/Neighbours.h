// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Hash.h"

// The bounded set of instances with which pieces of a version are exchanged.
namespace Holdpost::Distribution
{
struct NeighbourCandidate
{
  std::string instance;
  std::string hall;
  Common::Digest version; // the one it wants

  bool operator==(const NeighbourCandidate&) const = default;
};

// Both ends of a link compute the same answer, so nobody has to ask. Instances stand on a ring in
// an order seeded by the version; each is linked to those at distances 1, 2 and then at seeded
// ones, in both directions, which makes a graph of small diameter. Most links are inside the hall.
// Returns at most `count` names (a few less where distances coincide), sorted.
std::vector<std::string> ChooseNeighbours(const Common::Digest& version, const std::string& self,
                                          const std::string& hall,
                                          const std::vector<NeighbourCandidate>& all,
                                          std::size_t count);
} // namespace Holdpost::Distribution
