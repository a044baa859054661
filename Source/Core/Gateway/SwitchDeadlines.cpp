// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/SwitchDeadlines.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The gateway's switch deadlines are this much earlier than the real ones, because other processes
// may have learned of a new version a little earlier.
static constexpr Duration SWITCH_MARGIN = Milliseconds(250);
// The gateway looks for requests that may begin with old weights until this long after its own
// switch deadline, or after it learns of the version if that is later. The period is longer than
// SWITCH_MARGIN, so that it ends after the real deadline.
static constexpr Duration SWEEP_PERIOD = Milliseconds(500);
// The maximum number of versions of a model whose switch deadlines are kept.
static constexpr std::size_t MAX_DEADLINES_PER_MODEL = 4;

std::optional<TimePoint> SwitchDeadlines::OnVersionNamed(const std::string& model,
                                                         const Control::KnownVersion& known,
                                                         TimePoint now)
{
  std::vector<SwitchDeadline>& deadlines = m_deadlines[model];
  const auto position =
      std::ranges::lower_bound(deadlines, known.version, {}, &SwitchDeadline::version);
  const bool is_known = position != deadlines.end() && position->version == known.version;
  if (is_known && !known.since.Replaces(position->since))
    return std::nullopt;
  const TimePoint due = known.since.time + m_switch_within - SWITCH_MARGIN;
  LogEvent(Weight::Important, now, "weights.named", "model", model, "version", known.version,
           "newest", deadlines.empty() ? 0 : deadlines.back().version, "known_before", is_known,
           "age_ms", now - known.since.time, "is_assumed", known.since.is_assumed);
  const SwitchDeadline switch_deadline{known.version, due, known.since,
                                       std::max(due, now) + SWEEP_PERIOD};
  if (is_known)
    *position = switch_deadline;
  else
    deadlines.insert(position, switch_deadline);
  if (deadlines.size() > MAX_DEADLINES_PER_MODEL)
  {
    LogEvent(Weight::Important, now, "weights.deadline_dropped", "model", model, "version",
             deadlines.front().version, "left_ms", TimeLeft(deadlines.front(), now));
    deadlines.erase(deadlines.begin());
  }
  return due;
}

const std::vector<SwitchDeadline>& SwitchDeadlines::DeadlinesOf(const std::string& model) const
{
  static const std::vector<SwitchDeadline> NONE;
  const auto found = m_deadlines.find(model);
  return found == m_deadlines.end() ? NONE : found->second;
}

std::optional<SwitchDeadline> SwitchDeadlines::EarliestReplacing(const std::string& model,
                                                                 std::uint64_t version) const
{
  std::optional<SwitchDeadline> first;
  for (const SwitchDeadline& switch_deadline : DeadlinesOf(model))
  {
    if (switch_deadline.version > version && (!first || switch_deadline.due < first->due))
      first = switch_deadline;
  }
  return first;
}

Duration SwitchDeadlines::TimeLeft(const SwitchDeadline& switch_deadline, TimePoint now)
{
  return switch_deadline.due + SWITCH_MARGIN - now;
}

bool SwitchDeadlines::IsOverdue(std::uint64_t version, TimePoint now) const
{
  const auto is_overdue = [version, now](const SwitchDeadline& switch_deadline)
  { return switch_deadline.version > version && now >= switch_deadline.due; };
  return std::ranges::any_of(m_deadlines, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second, is_overdue); });
}

bool SwitchDeadlines::IsAnyDue(TimePoint now) const
{
  const auto is_due = [now](const SwitchDeadline& switch_deadline)
  { return now >= switch_deadline.due - MAX_NETWORK_DELAY && now < switch_deadline.sweep_until; };
  return std::ranges::any_of(m_deadlines, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second, is_due); });
}
} // namespace Holdpost::Gateway
