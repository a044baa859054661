// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/DeadlineWatch.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;

// Deadlines that differ by less count as equal: a caller measures its time from when it connects.
static constexpr Milliseconds SAME_WITHIN = Milliseconds(50);
// Each request multiplies the weight of all earlier ones by this factor, so that about the last 100
// requests count.
static constexpr double FADING = 0.99;
// Deadlines with less weight are dropped. A single request reaches this weight after many later
// ones.
static constexpr double WEIGHT_LEAST = 0.05;
// A deadline counts as the usual one of its route only with at least this weight, in requests.
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
