// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/WeightsBounds.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// Switch deadlines are earlier by this margin, because other processes may have learned of a new
// version a little earlier.
static constexpr Duration SWITCH_MARGIN = Milliseconds(250);
// Time after the switch deadline, or after the gateway learns of it, in which the gateway looks for
// requests with old weights. The kept deadline is before the real one by the margin above.
static constexpr Duration SWEEP_TIME = Milliseconds(500);
// The maximum number of versions of a model whose switch deadlines are kept.
static constexpr std::size_t BOUNDS_KEPT = 4;

std::optional<TimePoint> WeightsBounds::OnNamed(const std::string& model,
                                                const Control::KnownVersion& known, TimePoint now)
{
  std::vector<WeightsBound>& bounds = m_bounds[model];
  const auto place = std::ranges::lower_bound(bounds, known.version, {}, &WeightsBound::version);
  const bool is_known = place != bounds.end() && place->version == known.version;
  if (is_known && !known.since.Replaces(place->since))
    return std::nullopt;
  const TimePoint due = known.since.time + m_switch_within - SWITCH_MARGIN;
  LogEvent(Weight::Important, now, "weights.named", "model", model, "version", known.version,
           "newest", bounds.empty() ? 0 : bounds.back().version, "known_before", is_known, "age_ms",
           now - known.since.time, "is_assumed", known.since.is_assumed);
  const WeightsBound bound{known.version, due, known.since, std::max(due, now) + SWEEP_TIME};
  if (is_known)
    *place = bound;
  else
    bounds.insert(place, bound);
  if (bounds.size() > BOUNDS_KEPT)
    bounds.erase(bounds.begin());
  return due;
}

const std::vector<WeightsBound>& WeightsBounds::Of(const std::string& model) const
{
  static const std::vector<WeightsBound> NONE;
  const auto found = m_bounds.find(model);
  return found == m_bounds.end() ? NONE : found->second;
}

std::optional<WeightsBound> WeightsBounds::FirstToReplace(const std::string& model,
                                                          std::uint64_t version) const
{
  std::optional<WeightsBound> first;
  for (const WeightsBound& bound : Of(model))
  {
    if (bound.version > version && (!first || bound.due < first->due))
      first = bound;
  }
  return first;
}

Duration WeightsBounds::TimeLeft(const WeightsBound& bound, TimePoint now)
{
  return bound.due + SWITCH_MARGIN - now;
}

bool WeightsBounds::IsOverdue(std::uint64_t version, TimePoint now) const
{
  const auto is_overdue = [version, now](const WeightsBound& bound)
  { return bound.version > version && now >= bound.due; };
  return std::ranges::any_of(m_bounds, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second, is_overdue); });
}

bool WeightsBounds::IsAnyDue(TimePoint now) const
{
  const auto is_due = [now](const WeightsBound& bound)
  { return now >= bound.due - TARGET_WAY_MOST && now < bound.sweep_until; };
  return std::ranges::any_of(m_bounds, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second, is_due); });
}
} // namespace Holdpost::Gateway
