// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

// The part of the gateway that decides when a request is retried at another target, and when it is
// cancelled at its present target.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

// The maximum number of times that a request is sent to a target, including targets that reject it.
static constexpr std::uint32_t MAX_SENDS = 4;
// A request whose answer is overdue, at a target of which nothing shows that it runs, moves to
// another target as soon as one can begin it. This is the period at which one is looked for.
static constexpr Duration MOVE_RETRY_PERIOD = Milliseconds(250);
// The maximum wait for another target if the first one was lost before the answer began.
static constexpr Duration MAX_RETRY_WAIT = Milliseconds(300);
// The maximum wait for another target if a stream broke. Callers wait for about this time for the
// next event.
static constexpr Duration MAX_RESUME_WAIT = Milliseconds(1200);

bool Gateway::MayRunAgain(const Tracked& tracked) const
{
  const bool is_repeatable = tracked.route.repetition == Settings::Repetition::Idempotent;
  return is_repeatable && tracked.runs < tracked.route.max_attempts &&
         !m_crashes.IsSuspect(tracked.causes);
}

bool Gateway::MayResume(const Tracked& tracked)
{
  return !tracked.was_head_passed || (tracked.route.is_resumable && tracked.may_continue);
}

bool Gateway::TakeRetry(const Tracked& tracked, std::string_view reason, TimePoint now)
{
  RetryAllowance& allowance = QueueOf(tracked.service).retries;
  const bool is_permitted = allowance.Take(now);
  if (!is_permitted)
    m_log.OnRetryDenied(reason);
  m_log.OnRetryUsed(tracked.service, allowance.UsageAt(now), now);
  return is_permitted;
}

void Gateway::RetryOrGiveUp(Tracked& tracked, std::string_view reason,
                            const Error& error_if_not_retried, TimePoint now, Actions* actions)
{
  if (!MayResume(tracked) || !MayRunAgain(tracked) || !TakeRetry(tracked, reason, now))
    return GiveUp(tracked, error_if_not_retried, now, actions);
  Retry(tracked, reason, now, actions);
}

void Gateway::Retry(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  m_log.OnRetried(tracked, reason, now);
  ReleaseTarget(tracked, actions);
  tracked.refuse_at = std::min(tracked.deadline,
                               now + (tracked.was_head_passed ? MAX_RESUME_WAIT : MAX_RETRY_WAIT));
  Enqueue(tracked, true, now, actions);
}

void Gateway::OnNotRun(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  ReleaseTarget(tracked, actions);
  if (tracked.sends >= MAX_SENDS || !TakeRetry(tracked, reason, now))
    return GiveUp(tracked, {ErrorKind::TargetRefused, "no target had room"}, now, actions);
  m_log.OnRetried(tracked, reason, now);
  const bool may_have_run = tracked.runs > 0 || tracked.was_head_passed;
  // The time spent at the target that rejected the request does not shorten the wait for another
  // target.
  if (!may_have_run)
    return EnqueueNotRun(tracked, true, now, actions);
  // A request that may have run elsewhere keeps its previous time limit for finding another target.
  tracked.refuse_at = std::min(tracked.deadline, std::max(tracked.refuse_at, now));
  Enqueue(tracked, true, now, actions);
}

bool Gateway::MayStartWithOldWeights(const Tracked& tracked, TimePoint now) const
{
  const std::uint64_t weights = m_targets.WeightsAt(tracked.target);
  // The cancellation has to reach the target before the switch deadline.
  const Duration network_delay =
      std::min(m_targets.NetworkDelayTo(tracked.target), MAX_NETWORK_DELAY);
  // A target that is switching is safe only if its next version is new enough; otherwise it would
  // begin the request with that next version, which is too old.
  return std::ranges::any_of(
      SwitchDeadlinesFor(tracked.service),
      [&](const SwitchDeadline& switch_deadline)
      {
        return now >= switch_deadline.due - network_delay && weights < switch_deadline.version &&
               !m_targets.IsSwitchingTo(tracked.target, switch_deadline.version, now);
      });
}

void Gateway::LogIfOldWeights(const Tracked& tracked, std::uint64_t version, TimePoint now)
{
  if (version == 0)
    return;
  if (const auto switch_deadline =
          m_switch_deadlines.EarliestReplacing(ModelOf(tracked.service), version))
  {
    m_log.OnStartedWithOldWeights(
        tracked,
        {version, switch_deadline->version, SwitchDeadlines::TimeLeft(*switch_deadline, now)}, now);
  }
}

std::vector<RequestNumber>
Gateway::SentRequestsWhere(const std::function<bool(const Tracked&)>& condition) const
{
  std::vector<RequestNumber> numbers;
  for (const auto& [number, tracked] : m_requests)
  {
    if (tracked.state == State::Sent && !tracked.closed_at && condition(tracked))
      numbers.push_back(number);
  }
  return numbers;
}

void Gateway::CancelOnOldWeights(TimePoint now, Actions* actions)
{
  if (!m_switch_deadlines.IsAnyDue(now))
    return;
  const auto may_start_with_old_weights = [&](const Tracked& tracked)
  { return MayStartWithOldWeights(tracked, now); };
  CancelAtTargets(SentRequestsWhere(may_start_with_old_weights), now, actions);
}

void Gateway::MoveFromReportedTarget(const TargetLoad& load, TimePoint now, Actions* actions)
{
  // Most reports give no cause to move a request. They return here, because reports are frequent
  // and finding the target by its address scans all targets.
  if (!load.is_switching && !m_switch_deadlines.IsOverdue(load.weights_version, now))
    return;
  const TargetId target = m_targets.FindByAddress(load.address);
  if (target.empty())
    return;
  if (load.is_switching)
    MoveFromSwitchingTarget(target, now, actions);
  CancelIfNotSwitching(target, now, actions);
}

void Gateway::CancelIfNotSwitching(const TargetId& target, TimePoint now, Actions* actions)
{
  if (m_targets.WorkAt(target).requests == 0 ||
      !m_switch_deadlines.IsOverdue(m_targets.WeightsAt(target), now))
    return;
  const auto may_start_with_old_weights = [&](const Tracked& tracked)
  { return tracked.target == target && MayStartWithOldWeights(tracked, now); };
  CancelAtTargets(SentRequestsWhere(may_start_with_old_weights), now, actions);
}

void Gateway::CancelAtTargets(const std::vector<RequestNumber>& requests, TimePoint now,
                              Actions* actions)
{
  for (const RequestNumber number : requests)
  {
    // Moving an earlier request of the list may have ended or resent this one.
    Tracked* tracked = Find(number);
    if (!tracked || tracked->state != State::Sent)
      continue;
    m_log.OnCancelledAtTarget(*tracked, now);
    if (Move(*tracked, "old_weights", now, actions))
      continue;
    actions->push_back(CancelAttempt{number});
    GiveUp(*tracked, {ErrorKind::Unreachable, "the target's weights are too old to begin"}, now,
           actions);
  }
}

bool Gateway::Move(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  // The present target may have begun, or may begin before the cancellation arrives.
  const std::uint32_t runs = tracked.runs + 1;
  const bool may_move = MayRunAgain(tracked) && runs < tracked.route.max_attempts;
  // Without an allowance for a retry the move would end in an error, so the request stays at its
  // target.
  if (!may_move || !TakeRetry(tracked, reason, now))
    return false;
  tracked.runs = runs;
  actions->push_back(CancelAttempt{tracked.number});
  Retry(tracked, reason, now, actions);
  return true;
}

void Gateway::MoveFromSwitchingTarget(const TargetId& target, TimePoint now, Actions* actions)
{
  const auto may_leave = [&](const Tracked& tracked)
  { return tracked.target == target && MayRunAgain(tracked); };
  for (const RequestNumber number : SentRequestsWhere(may_leave))
  {
    if (Tracked* tracked = Find(number); tracked && tracked->state == State::Sent)
      Move(*tracked, "switching", now, actions);
  }
}

void Gateway::MoveIfOverdue(Tracked& tracked, TimePoint now, Actions* actions)
{
  if (now < tracked.move_at || tracked.closed_at)
    return;
  const bool is_unproven = m_targets.OnOverdue(TargetInSameIncarnation(tracked), now);
  tracked.move_at = is_unproven ? now + MOVE_RETRY_PERIOD : TimePoint::max();
  // A move only helps if another target can begin the request at once.
  const auto choice = m_targets.Choose(QueryFor(tracked, now), now);
  const bool may_begin_elsewhere = choice && choice->has_free_slot;
  if (may_begin_elsewhere && Move(tracked, "overdue", now, actions))
    return;
  if (is_unproven)
    m_timers.push({tracked.move_at, tracked.number});
}
} // namespace Holdpost::Gateway
