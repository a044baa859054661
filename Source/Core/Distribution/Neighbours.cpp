// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Neighbours.h"

#include <algorithm>
#include <set>

namespace Holdpost::Distribution
{
// One in this number of links goes to another hall, but 2 links at least.
static constexpr std::size_t OTHER_HALL_LINK_DIVISOR = 4;

// Adds `count` neighbours in total, from both directions of the ring. All members compute the same
// distances.
static void AddRingNeighbours(std::uint64_t seed, const std::string& self,
                              const std::vector<std::string>& members, std::size_t count,
                              std::set<std::string>* chosen)
{
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  ring.reserve(members.size());
  for (const std::string& member : members)
    ring.emplace_back(Common::StableHash(member, seed), member);
  std::ranges::sort(ring);
  const auto self_entry =
      std::ranges::find(ring, self, &std::pair<std::uint64_t, std::string>::second);
  if (self_entry == ring.end() || ring.size() < 2)
    return;
  const auto position = static_cast<std::size_t>(self_entry - ring.begin());
  const std::size_t half = ring.size() / 2;
  std::set<std::size_t> distances;
  for (std::uint64_t i = 0; distances.size() < std::min((count + 1) / 2, half); ++i)
    distances.insert(i < 2 ? std::min<std::size_t>(i + 1, half)
                           : 1 + Common::MixHash(seed, i) % half);
  for (const std::size_t distance : distances)
  {
    chosen->insert(ring[(position + distance) % ring.size()].second);
    chosen->insert(ring[(position + ring.size() - distance) % ring.size()].second);
  }
}

std::vector<std::string> ChooseNeighbours(const Common::Digest& version, const std::string& self,
                                          const std::string& hall,
                                          const std::vector<NeighbourCandidate>& all,
                                          std::size_t count)
{
  const std::uint64_t seed = Common::StableHash(version.ToHex());
  std::vector<std::string> all_members = {self};
  std::vector<std::string> in_hall = {self};
  for (const NeighbourCandidate& candidate : all)
  {
    if (candidate.instance == self)
      continue;
    all_members.push_back(candidate.instance);
    if (candidate.hall == hall)
      in_hall.push_back(candidate.instance);
  }
  std::set<std::string> chosen;
  const bool has_other_halls = in_hall.size() < all_members.size();
  const std::size_t other_hall_links =
      has_other_halls ? std::max<std::size_t>(2, count / OTHER_HALL_LINK_DIVISOR) : 0;
  AddRingNeighbours(seed, self, in_hall, count > other_hall_links ? count - other_hall_links : 1,
                    &chosen);
  if (other_hall_links > 0)
    AddRingNeighbours(seed + 1, self, all_members, other_hall_links, &chosen);
  chosen.erase(self);
  return {chosen.begin(), chosen.end()};
}
} // namespace Holdpost::Distribution
