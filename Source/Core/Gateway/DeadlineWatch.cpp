// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/DeadlineWatch.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;

// Deadlines that differ by less are the same one: a caller counts its time from when it connects.
static constexpr Milliseconds SAME_WITHIN = Milliseconds(50);
// A request weighs this part of the one after it, so that the last hundred or so count.
static constexpr double FADING = 0.99;
// What weighs less than one request of a while ago is forgotten.
static constexpr double WEIGHT_LEAST = 0.05;
// A deadline is the usual one only if it is that of so many requests, by weight.
static constexpr double USUAL_LEAST = 4;

Duration DeadlineWatch::OnRequest(const std::string& route, Milliseconds deadline)
{
  std::vector<Seen>& seen = m_routes[route];
  for (Seen& other : seen)
    other.weight *= FADING;
  std::erase_if(seen, [](const Seen& other) { return other.weight < WEIGHT_LEAST; });
  const auto same = std::ranges::find_if(seen,
                                         [&](const Seen& other)
                                         {
                                           const Milliseconds apart = other.deadline - deadline;
                                           return std::chrono::abs(apart) < SAME_WITHIN;
                                         });
  if (same == seen.end())
    seen.push_back({deadline, 1});
  else
    same->weight += 1;
  const Seen& usual = *std::ranges::max_element(seen, {}, &Seen::weight);
  if (usual.weight < USUAL_LEAST || usual.deadline - deadline < SAME_WITHIN)
    return Duration::zero();
  return usual.deadline - deadline;
}
} // namespace Holdpost::Gateway
