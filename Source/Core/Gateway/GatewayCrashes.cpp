// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

// The part of the gateway that keeps requests away from targets that they would crash.
namespace Holdpost::Gateway
{
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;

static Error CrashesTargetsError(const Crashes::CrashCause& cause)
{
  return {ErrorKind::CrashesTargets, Crashes::IsPromptPart(cause)
                                         ? "a part of the prompt crashes the targets that run it"
                                         : "the request crashes the targets that run it"};
}

// The id of the part that is the cause; empty if the whole request is.
static std::optional<std::string> PartIdOf(const Crashes::CrashCause& cause,
                                           const Crashes::RequestCauses& causes,
                                           const CallerRequest& request)
{
  const auto* part = std::get_if<Crashes::PromptPart>(&cause);
  if (!part)
    return std::nullopt;
  const auto found = std::ranges::find(causes.parts, *part);
  return request.shared_parts.at(static_cast<std::size_t>(found - causes.parts.begin()));
}

void Gateway::RefuseBlocked(const RequestArrived& event, const Crashes::RequestCauses& causes,
                            const Crashes::CrashCause& cause, TimePoint now, Actions* actions)
{
  Error error = CrashesTargetsError(cause);
  m_log.OnRejected(event.request, Common::AnswerFor(error.kind), Version(), now);
  actions->push_back(
      Refuse{event.number, std::move(error), PartIdOf(cause, causes, event.request)});
}

Crashes::Attempt Gateway::AttemptOf(const Tracked& tracked)
{
  const LastAttempt& attempt = *tracked.last_attempt;
  return {tracked.causes, attempt.choice.id, attempt.choice.address, attempt.choice.incarnation,
          attempt.sent,   tracked.request.id};
}

void Gateway::OnAttemptLost(const Tracked& tracked, const AttemptFailed& event, TimePoint now)
{
  // A target that sends what is no answer has not ended.
  const bool has_sent_no_answer =
      event.end == AttemptEnd::BadAnswer || event.end == AttemptEnd::TooManyBytes;
  if (event.failure != AttemptFailure::Lost || has_sent_no_answer)
    return;
  const TargetChoice& choice = tracked.last_attempt->choice;
  if (!m_targets.MayHaveCrashed(choice.id))
    return;
  const bool has_ended = m_targets.HasEnded(choice.id, choice.incarnation);
  m_crashes.OnLost(AttemptOf(tracked), has_ended, now);
  if (!has_ended)
    ProbeLost(tracked, now);
}

void Gateway::OnAnswerWhole(const Tracked& tracked, bool ends_with_connection, TimePoint now)
{
  // An answer that rejects the request does not show what running it does.
  if (tracked.last_attempt->answer_status >= MIN_REJECTION_STATUS)
    return;
  const TargetChoice& choice = tracked.last_attempt->choice;
  if (!ends_with_connection || !m_targets.MayHaveCrashed(choice.id))
    return m_crashes.OnAnswered(tracked.causes, now, now);
  m_crashes.OnEndedWithConnection(AttemptOf(tracked),
                                  m_targets.HasEnded(choice.id, choice.incarnation), now);
}

void Gateway::CountCrashes(TimePoint now, Actions* actions)
{
  m_crashes.OnTargets([this](const Crashes::Attempt& attempt)
                      { return m_targets.HasEnded(attempt.target, attempt.incarnation); },
                      now);
  StopBlockedRequests(now, actions);
}

void Gateway::OnEngineEnd(const Crashes::EngineEnd& end, TimePoint now, Actions* actions)
{
  m_crashes.OnEngineEnd(end, now);
  RefuteClosed(m_closed_answers.TakeEnded(end.target, end.id, end.incarnation),
               AttemptEnd::TargetEnded, now, actions);
  StopBlockedRequests(now, actions);
}

void Gateway::OnCrashRecords(const std::vector<Crashes::CrashRecord>& records, TimePoint now,
                             Actions* actions)
{
  m_crashes.OnRecords(records, now);
  StopBlockedRequests(now, actions);
}

void Gateway::StopBlockedRequests(TimePoint now, Actions* actions)
{
  const std::vector<Crashes::CrashCause> newly_blocked = m_crashes.Ledger().TakeNewlyBlocked();
  if (newly_blocked.empty())
    return;
  for (const Crashes::CrashCause& cause : newly_blocked)
    m_log.OnBlocked(cause, m_crashes.Ledger().CrashesOf(cause), now);
  std::vector<RequestNumber> numbers;
  for (const auto& [number, tracked] : m_requests)
  {
    if (m_crashes.IsBlocked(tracked.causes))
      numbers.push_back(number);
  }
  for (const RequestNumber number : numbers)
    StopBlocked(*Find(number), now, actions);
}

void Gateway::StopBlocked(Tracked& tracked, TimePoint now, Actions* actions)
{
  const Crashes::CrashCause cause = *m_crashes.BlockedBy(tracked.causes);
  // A part ends its engine when the answer begins, so an answer that goes on shows that it does
  // not.
  if (tracked.state == State::Passing && Crashes::IsPromptPart(cause))
    return;
  if (tracked.state == State::Waiting)
  {
    QueueOf(tracked.service).waiting[tracked.priority].Remove(tracked.organisation, tracked.number);
  }
  else
  {
    // The target may have begun to run it.
    ++tracked.runs;
    actions->push_back(CancelAttempt{tracked.number});
  }
  GiveUp(tracked, CrashesTargetsError(cause), now, actions);
}
} // namespace Holdpost::Gateway
