// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/SwitchDeadlines.h"

#include <algorithm>
#include <utility>

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

std::optional<TimePoint> SwitchDeadlines::OnVersionNamed(const std::string& model,
                                                         const Control::KnownVersion& known,
                                                         TimePoint now)
{
  ModelDeadlines& entry = m_models[model];
  const std::uint64_t newest = entry.versions.Newest();
  const std::uint64_t merged = entry.versions.MergedCount();
  const bool is_known = entry.versions.IsKnown(known.version);
  if (!entry.versions.Offer(known, m_switch_within))
    return std::nullopt;
  UpdateDeadlines(entry, now);
  LogEvent(Weight::Important, now, "weights.named", "model", model, "version", known.version,
           "newest", newest, "known_before", is_known, "age_ms", now - known.since.time,
           "is_assumed", known.since.is_assumed, "deadlines", entry.deadlines.size());
  if (entry.versions.MergedCount() > merged)
  {
    LogEvent(Weight::Important, now, "weights.deadlines_merged", "model", model, "version",
             known.version, "deadlines", entry.deadlines.size(), "merged",
             entry.versions.MergedCount());
  }
  return known.since.time + m_switch_within - SWITCH_MARGIN;
}

void SwitchDeadlines::UpdateDeadlines(ModelDeadlines& model, TimePoint now) const
{
  std::vector<SwitchDeadline> deadlines;
  for (const Control::KnownVersion& known : model.versions.RestrictingAt(now, m_switch_within))
  {
    const TimePoint due = known.since.time + m_switch_within - SWITCH_MARGIN;
    const auto before = std::ranges::find(model.deadlines, known.version, &SwitchDeadline::version);
    const bool is_unchanged = before != model.deadlines.end() && before->since == known.since;
    // After a reload that makes the switch period longer, known deadlines stay as they are.
    if (is_unchanged && before->due <= due)
    {
      deadlines.push_back(*before);
      continue;
    }
    deadlines.push_back({known.version, due, known.since, std::max(due, now) + SWEEP_PERIOD});
  }
  model.deadlines = std::move(deadlines);
}

const std::vector<SwitchDeadline>& SwitchDeadlines::DeadlinesOf(const std::string& model) const
{
  static const std::vector<SwitchDeadline> NONE;
  const auto found = m_models.find(model);
  return found == m_models.end() ? NONE : found->second.deadlines;
}

std::size_t SwitchDeadlines::Count() const
{
  std::size_t count = 0;
  for (const auto& [name, model] : m_models)
    count += model.deadlines.size();
  return count;
}

std::uint64_t SwitchDeadlines::MergedCount() const
{
  std::uint64_t count = 0;
  for (const auto& [name, model] : m_models)
    count += model.versions.MergedCount();
  return count;
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
  return std::ranges::any_of(m_models, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second.deadlines, is_overdue); });
}

bool SwitchDeadlines::IsAnyDue(TimePoint now) const
{
  const auto is_due = [now](const SwitchDeadline& switch_deadline)
  { return now >= switch_deadline.due - MAX_NETWORK_DELAY && now < switch_deadline.sweep_until; };
  return std::ranges::any_of(m_models, [&](const auto& entry)
                             { return std::ranges::any_of(entry.second.deadlines, is_due); });
}
} // namespace Holdpost::Gateway
