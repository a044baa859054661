// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/DeadlineTracker.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;

// Deadlines that differ by less than this count as equal, because a caller measures its time from
// the moment at which it connects.
static constexpr Milliseconds DEADLINE_TOLERANCE = Milliseconds(50);
// Each request multiplies the weights of all earlier requests of its route by this factor, so that
// about the last 100 requests count.
static constexpr double WEIGHT_DECAY_FACTOR = 0.99;
// Deadlines with less weight are dropped. The weight of a single request falls below this value
// after about 300 later requests of the route.
static constexpr double MIN_WEIGHT_REQUESTS = 0.05;
// A deadline counts as the usual one of its route only with at least this weight, in requests.
static constexpr double MIN_USUAL_WEIGHT_REQUESTS = 4;

Duration DeadlineTracker::OnRequest(const std::string& route, Milliseconds deadline)
{
  std::vector<ObservedDeadline>& observed = m_routes[route];
  for (ObservedDeadline& other : observed)
    other.weight *= WEIGHT_DECAY_FACTOR;
  std::erase_if(observed,
                [](const ObservedDeadline& other) { return other.weight < MIN_WEIGHT_REQUESTS; });
  const auto same = std::ranges::find_if(observed,
                                         [&](const ObservedDeadline& other)
                                         {
                                           const Milliseconds apart = other.deadline - deadline;
                                           return std::chrono::abs(apart) < DEADLINE_TOLERANCE;
                                         });
  if (same == observed.end())
    observed.push_back({deadline, 1});
  else
    same->weight += 1;
  const ObservedDeadline& usual =
      *std::ranges::max_element(observed, {}, &ObservedDeadline::weight);
  if (usual.weight < MIN_USUAL_WEIGHT_REQUESTS || usual.deadline - deadline < DEADLINE_TOLERANCE)
    return Duration::zero();
  return usual.deadline - deadline;
}
} // namespace Holdpost::Gateway
