// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <cmath>

// How much later than expected a target starts its answers, and when it is tried again although
// earlier requests to it are unanswered.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// The time constant of the exponential decay of a target's measured lag.
static constexpr double LAG_DECAY_SECONDS = 2;
// Unanswered requests say nothing about the present once the target has been sent nothing for this
// time: it may have lost only these requests.
static constexpr Duration PROBE_PERIOD = Milliseconds(500);

Duration TargetTable::MeasuredLagOf(const Target& target, TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - target.lag_updated).count();
  const Duration decayed_lag =
      std::chrono::duration_cast<Duration>(target.lag * std::exp(-age / LAG_DECAY_SECONDS));
  return std::max(decayed_lag, NetworkDelayTo(target));
}

Duration TargetTable::OverdueOf(const Target& target, TimePoint now)
{
  Duration overdue{};
  for (const auto& [request, expected] : target.expected_starts)
  {
    // A request that later ones have overtaken is lost or stuck, and delays no other.
    if (expected > target.latest_started)
      overdue = std::max(overdue, now - expected);
  }
  return overdue;
}

Duration TargetTable::LagOf(const Target& target, TimePoint now) const
{
  // An answer that is overdue now says more than the answers that arrived.
  return std::max(MeasuredLagOf(target, now), OverdueOf(target, now));
}

std::optional<TargetChoice> TargetTable::ProbeFor(const TargetQuery& query,
                                                  const std::vector<TargetChoice>& choices,
                                                  TimePoint now) const
{
  const auto is_late = [&](const TargetChoice& choice)
  { return query.max_start && choice.expected_start > *query.max_start; };
  if (!std::ranges::all_of(choices, is_late))
    return std::nullopt;
  for (const TargetChoice& choice : choices)
  {
    const Target& target = m_targets.at(choice.id);
    if (now - target.sent_at < PROBE_PERIOD)
      continue;
    TargetChoice probe = choice;
    probe.expected_start += MeasuredLagOf(target, now) - LagOf(target, now);
    probe.is_probe = true;
    if (!is_late(probe))
      return probe;
  }
  return std::nullopt;
}
} // namespace Holdpost::Gateway
