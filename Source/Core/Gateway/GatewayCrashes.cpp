// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

// The part of the gateway that keeps requests away from targets that they would crash.
namespace Holdpost::Gateway
{
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;

void Gateway::OnAttemptLost(const Tracked& tracked, const AttemptFailed& event, TimePoint now)
{
  // A target that sends what is no answer has not ended.
  if (event.failure != AttemptFailure::Lost || event.end == AttemptEnd::BadAnswer)
    return;
  const TargetChoice& choice = tracked.last_attempt->choice;
  if (!m_targets.MayHaveCrashed(choice.id))
    return;
  m_crashes.OnLost({tracked.fingerprint, choice.id, choice.address, choice.incarnation},
                   m_targets.HasEnded(choice.id, choice.incarnation), now);
}

void Gateway::CountCrashes(TimePoint now, Actions* actions)
{
  m_crashes.OnTargets([this](const Crashes::LostAttempt& lost)
                      { return m_targets.HasEnded(lost.target, lost.incarnation); },
                      now);
  StopBlockedRequests(now, actions);
}

void Gateway::OnEngineEnd(const Crashes::EngineEnd& end, TimePoint now, Actions* actions)
{
  m_crashes.OnEngineEnd(end, now);
  StopBlockedRequests(now, actions);
}

void Gateway::OnCrashRecords(const std::vector<Crashes::CrashRecord>& records, TimePoint now,
                             Actions* actions)
{
  m_crashes.Ledger().Merge(records, now);
  StopBlockedRequests(now, actions);
}

void Gateway::StopBlockedRequests(TimePoint now, Actions* actions)
{
  for (const RequestFingerprint& blocked : m_crashes.Ledger().TakeNewlyBlocked())
  {
    m_log.OnBlocked(blocked, now);
    std::vector<RequestNumber> numbers;
    for (const auto& [number, tracked] : m_requests)
    {
      if (tracked.fingerprint == blocked)
        numbers.push_back(number);
    }
    for (const RequestNumber number : numbers)
    {
      Tracked& tracked = *Find(number);
      if (tracked.state == State::Waiting)
      {
        QueueOf(tracked.service)
            .waiting[tracked.priority]
            .Remove(tracked.organisation, tracked.number);
      }
      else
      {
        // The target may have begun to run it.
        ++tracked.runs;
        actions->push_back(CancelAttempt{number});
      }
      GiveUp(tracked, {ErrorKind::CrashesTargets, "the request crashes the targets that run it"},
             now, actions);
    }
  }
}
} // namespace Holdpost::Gateway
