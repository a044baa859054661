// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>

#include "Common/EventLog.h"

// Whether a target may be sent a request now, and if not, why: what the list, its agent and its own
// answers say of it, and what became of the requests before.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// How long a target is avoided after its first failure. The time doubles with each consecutive
// failure, MAX_AVOID_DOUBLINGS times at most.
static constexpr Duration MIN_AVOID_TIME = Milliseconds(250);
static constexpr std::uint32_t MAX_AVOID_DOUBLINGS = 4;
// A target that has answered that it is full is avoided until it has probably finished a request.
static constexpr Duration FULL_AVOID_TIME = Milliseconds(60);
// After a start of all machines, the target list names engines that have ended, until their records
// expire after three heartbeat intervals of 1.2 s. Their agents report the engines that replaced
// them, or do not report. Until it has been known for this time, a listed target without a report
// gets no requests while other agents report.
static constexpr Duration MAX_UNREPORTED_TIME = Milliseconds(4000);
// Agents report several times a second: an agent that has been silent for this time may be
// disconnected, and its target with it. Such a target is avoided for longer once a request could
// not be sent to it.
static constexpr Duration SILENT_AFTER = Milliseconds(800);
static constexpr Duration SILENT_AVOID_TIME = Milliseconds(2000);
// For this time, a target whose agent fell silent or started anew within a switch is used only if
// no agent reports a target that serves: the agent may have had to find out whether the target
// loaded correct weights.
static constexpr Duration MAX_SWITCH_SILENCE = Milliseconds(10000);
// The time for which an answer shows that a target without reports runs.
static constexpr Duration PROOF_LIFETIME = Milliseconds(2000);

bool TargetTable::IsUnreported(const Target& target, TimePoint now) const
{
  const bool is_awaited = target.listed.needs_weights && !target.load;
  return is_awaited && HasRecentReports(now) && now - target.known_since < MAX_UNREPORTED_TIME;
}

bool TargetTable::HasRecentReports(TimePoint now) const
{
  return m_last_report != TimePoint::min() && now - m_last_report <= LOAD_LIFETIME;
}

bool TargetTable::LacksProof(const Target& target, TimePoint now) const
{
  const bool has_answered =
      target.answered_at != TimePoint::min() && now - target.answered_at <= PROOF_LIFETIME;
  return target.listed.needs_weights && HasRecentReports(now) && !HasValidLoad(target, now) &&
         !has_answered;
}

bool TargetTable::IsSilent(const Target& target, TimePoint now)
{
  return target.load && now - target.load_received > SILENT_AFTER;
}

bool TargetTable::IsSwitchUnconfirmed(const Target& target, TimePoint now) const
{
  std::optional<TimePoint> since = target.unchecked_since;
  if (target.load && target.load->is_switching && !HasValidLoad(target, now))
    since = target.load_received;
  return since && now - *since <= MAX_SWITCH_SILENCE;
}

bool TargetTable::IsReportedToServe(const Target& target, const TargetQuery& query,
                                    TimePoint now) const
{
  return target.listed.service == query.service && target.IsListed() && !IsLeaving(target) &&
         HasValidLoad(target, now) && !target.load->is_switching &&
         !IsSwitchUnconfirmed(target, now) && target.failures == 0 && WeightsOf(target) > 0 &&
         MeetsSwitchDeadlines(target, query, Duration::zero(), now);
}

bool TargetTable::ExcludesUnconfirmed(const TargetQuery& query, TimePoint now) const
{
  const auto is_unconfirmed = [&](const auto& entry)
  {
    const Target& target = entry.second;
    return target.listed.service == query.service && IsSwitchUnconfirmed(target, now);
  };
  return std::ranges::any_of(m_targets, is_unconfirmed) &&
         std::ranges::any_of(m_targets, [&](const auto& entry)
                             { return IsReportedToServe(entry.second, query, now); });
}

bool TargetTable::IsLeaving(const Target& target) const
{
  return target.listed.state != TargetState::Ready ||
         m_leaving.Contains(target.listed.id, target.listed.incarnation);
}

TargetTable::Availability TargetTable::AvailabilityOf(const Target& target, TimePoint now) const
{
  if (IsLeaving(target))
    return Availability::Leaving;
  if (!m_rests.MaySend(target.listed.id, target.listed.incarnation, now))
    return Availability::Resting;
  if (now < target.avoid_until)
    return Availability::Avoided;
  if (HasValidLoad(target, now) && target.load->is_switching)
    return Availability::Switching;
  // Without proof that the target runs, one request at a time tries it.
  if (IsUnreported(target, now) || (LacksProof(target, now) && !target.expected_starts.empty()))
    return Availability::Unreported;
  const bool has_weights = !target.listed.needs_weights || WeightsOf(target) > 0;
  if (!has_weights)
    return Availability::WithoutWeights;
  return target.limit.MaySend(m_gateways.all, now) ? Availability::Open : Availability::Limited;
}

bool TargetTable::IsOpen(const Target& target, TimePoint now) const
{
  return target.IsListed() && AvailabilityOf(target, now) == Availability::Open;
}

bool TargetTable::OnLeaving(const LeavingTarget& target, TimePoint now)
{
  if (!m_leaving.Add(target, now))
    return false;
  LogEvent(Weight::Important, now, "target.says_leaving", "target", target.id, "incarnation",
           target.incarnation);
  return true;
}

void TargetTable::OnOtherLeaving(const Common::Address& address, const TargetId& id, TimePoint now)
{
  for (const auto& [other_id, other] : m_targets)
  {
    if (other_id != id && other.IsListed() && other.listed.address == address)
      OnLeaving({other_id, other.listed.incarnation}, now);
  }
}

TimePoint TargetTable::OnRestAsked(const TargetChoice& choice, Duration rest, TimePoint now)
{
  return m_rests.OnAsked(choice.id, choice.incarnation, rest, now);
}

void TargetTable::OnFailed(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  const std::uint32_t doublings = std::min(target.failures, MAX_AVOID_DOUBLINGS);
  ++target.failures;
  target.avoid_until = now + MIN_AVOID_TIME * (1U << doublings);
  if (IsSilent(target, now) || LacksProof(target, now))
    target.avoid_until = std::max(target.avoid_until, now + SILENT_AVOID_TIME);
  LogEvent(Weight::Important, now, "target.avoided", "target", id, "failures", target.failures,
           "for_ms", target.avoid_until - now);
}

bool TargetTable::OnOverdue(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !LacksProof(found->second, now))
    return false;
  OnFailed(id, now);
  return true;
}

void TargetTable::OnFull(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  found->second.avoid_until = std::max(found->second.avoid_until, now + FULL_AVOID_TIME);
  found->second.is_rejecting = true;
}

void TargetTable::OnAccepted(const TargetId& id, std::uint64_t request)
{
  m_rests.OnAccepted(id, request);
  if (const auto found = m_targets.find(id); found != m_targets.end())
    found->second.is_rejecting = false;
}

void TargetTable::OnRateLimit(const TargetId& id, std::optional<double> per_second, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  const bool was_limited = found->second.limit.IsLimited();
  found->second.limit.OnAnswer(per_second, now);
  if (was_limited != per_second.has_value())
  {
    LogEvent(Weight::Important, now, per_second ? "target.limited" : "target.unlimited", "target",
             id, "per_second", per_second.value_or(0));
  }
}

bool TargetTable::IsLimited(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.limit.IsLimited();
}
} // namespace Holdpost::Gateway
