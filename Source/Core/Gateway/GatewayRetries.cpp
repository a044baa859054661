// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

// When a request is sent to another target, and when it is taken away from one.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

// Targets of one request, those included that rejected it.
static constexpr std::uint32_t SENDS_MOST = 4;
// A request whose target was lost before its answer began finds another one within this.
static constexpr Duration RETRY_WITHIN = Milliseconds(300);
// A caller of a broken stream waits about so long for the next event.
static constexpr Duration RESUME_WITHIN = Milliseconds(1200);

bool Gateway::MayRunAgain(const Tracked& tracked) const
{
  const bool is_repeatable = tracked.route.repetition == Settings::Repetition::Idempotent;
  return is_repeatable && tracked.runs < tracked.route.attempts_most;
}

void Gateway::TryAgain(Tracked& tracked, std::string_view reason, const Error& otherwise,
                       TimePoint now, Actions* actions)
{
  const bool may_resume = !tracked.was_passed || tracked.route.is_resumable;
  if (!may_resume || !MayRunAgain(tracked) || !QueueOf(tracked.service).retries.Take(now))
    return GiveUp(tracked, otherwise, now, actions);
  Retry(tracked, reason, now, actions);
}

void Gateway::Retry(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  m_log.OnRetried(tracked, reason, now);
  LeaveTarget(tracked, actions);
  tracked.refuse_at =
      std::min(tracked.deadline, now + (tracked.was_passed ? RESUME_WITHIN : RETRY_WITHIN));
  Enqueue(tracked, true, now, actions);
}

void Gateway::OnNotRun(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  LeaveTarget(tracked, actions);
  if (tracked.sends >= SENDS_MOST || !QueueOf(tracked.service).retries.Take(now))
    return GiveUp(tracked, {ErrorKind::TargetRefused, "no target had room"}, now, actions);
  m_log.OnRetried(tracked, reason, now);
  const bool may_have_run = tracked.runs > 0 || tracked.was_passed;
  // What was spent on the target that rejected it does not shorten its wait for another one.
  if (!may_have_run)
    return EnqueueNotRun(tracked, true, now, actions);
  // One that may have run elsewhere keeps the time that it has to find another target.
  tracked.refuse_at = std::min(tracked.deadline, std::max(tracked.refuse_at, now));
  Enqueue(tracked, true, now, actions);
}

bool Gateway::MayBeginOnOldWeights(const Tracked& tracked, TimePoint now) const
{
  const std::uint64_t weights = m_targets.WeightsAt(tracked.target);
  // The target has to learn of it in time.
  const Duration way = std::min(m_targets.WayTo(tracked.target), TARGET_WAY_MOST);
  // One that is taking a version that is too old itself would begin the request on that one.
  return std::ranges::any_of(WeightsFor(tracked.service),
                             [&](const WeightsBound& bound)
                             {
                               return now >= bound.due - way && weights < bound.version &&
                                      !m_targets.IsTaking(tracked.target, bound.version, now);
                             });
}

void Gateway::NoteWeights(const Tracked& tracked, std::uint64_t version, TimePoint now)
{
  if (version == 0)
    return;
  if (const auto bound = m_weights.FirstToReplace(ModelOf(tracked.service), version))
  {
    m_log.OnBegunOnOldWeights(tracked,
                              {version, bound->version, WeightsBounds::TimeLeft(*bound, now)}, now);
  }
}

std::vector<RequestNumber>
Gateway::SentThat(const std::function<bool(const Tracked&)>& condition) const
{
  std::vector<RequestNumber> numbers;
  for (const auto& [number, tracked] : m_requests)
  {
    if (tracked.state == State::Sent && condition(tracked))
      numbers.push_back(number);
  }
  return numbers;
}

void Gateway::LeaveOldWeights(TimePoint now, Actions* actions)
{
  if (!m_weights.IsAnyDue(now))
    return;
  const auto is_late = [&](const Tracked& tracked) { return MayBeginOnOldWeights(tracked, now); };
  TakeBack(SentThat(is_late), now, actions);
}

void Gateway::LeaveReported(const TargetLoad& load, TimePoint now, Actions* actions)
{
  // To find the target takes a look at all of them, and reports come often.
  if (!load.is_switching && !m_weights.IsOverdue(load.weights_version, now))
    return;
  const TargetId target = m_targets.FindByAddress(load.address);
  if (target.empty())
    return;
  if (load.is_switching)
    LeaveSwitching(target, now, actions);
  LeaveIfNotTaking(target, now, actions);
}

void Gateway::LeaveIfNotTaking(const TargetId& target, TimePoint now, Actions* actions)
{
  if (m_targets.OwnWorkAt(target).requests == 0 ||
      !m_weights.IsOverdue(m_targets.WeightsAt(target), now))
    return;
  const auto is_late = [&](const Tracked& tracked)
  { return tracked.target == target && MayBeginOnOldWeights(tracked, now); };
  TakeBack(SentThat(is_late), now, actions);
}

void Gateway::TakeBack(const std::vector<RequestNumber>& requests, TimePoint now, Actions* actions)
{
  for (const RequestNumber number : requests)
  {
    // Moving one may settle another.
    Tracked* tracked = Find(number);
    if (!tracked || tracked->state != State::Sent)
      continue;
    m_log.OnTakenBack(*tracked, now);
    if (Move(*tracked, "old_weights", now, actions))
      continue;
    actions->push_back(CancelAttempt{number});
    GiveUp(*tracked, {ErrorKind::Unreachable, "the target's weights are too old to begin"}, now,
           actions);
  }
}

bool Gateway::Move(Tracked& tracked, std::string_view reason, TimePoint now, Actions* actions)
{
  // The present target may have begun, or begin before it learns of this.
  const std::uint32_t runs = tracked.runs + 1;
  const bool may_move = MayRunAgain(tracked) && runs < tracked.route.attempts_most;
  // Without an allowance it would end in an error: then it stays where it is.
  if (!may_move || !QueueOf(tracked.service).retries.Take(now))
    return false;
  tracked.runs = runs;
  actions->push_back(CancelAttempt{tracked.number});
  Retry(tracked, reason, now, actions);
  return true;
}

void Gateway::LeaveSwitching(const TargetId& target, TimePoint now, Actions* actions)
{
  const auto may_leave = [&](const Tracked& tracked)
  { return tracked.target == target && MayRunAgain(tracked); };
  for (const RequestNumber number : SentThat(may_leave))
  {
    if (Tracked* tracked = Find(number); tracked && tracked->state == State::Sent)
      Move(*tracked, "switching", now, actions);
  }
}

void Gateway::MoveIfOverdue(Tracked& tracked, TimePoint now, Actions* actions)
{
  if (now < tracked.move_at)
    return;
  tracked.move_at = TimePoint::max();
  // Moving pays only if another target can begin at once.
  const auto choice = m_targets.Choose(WishOf(tracked), now);
  if (choice && choice->has_free_slot)
    Move(tracked, "overdue", now, actions);
}
} // namespace Holdpost::Gateway
