// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Core/Gateway/WaitLimit.h"

// The part of the gateway that gives requests up, and computes after which time callers may retry.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds MIN_RETRY_AFTER = Milliseconds(150);
static constexpr Milliseconds MAX_RETRY_AFTER = Milliseconds(2000);
// The shortest time until a retry, before it is spread out and clamped, as a share of the turnover
// time: the time in which a full target ends all requests that it runs.
static constexpr double RETRY_AFTER_TURNOVER_SHARE = 0.65;

void Gateway::RefuseArrival(const RequestArrived& event, Error error, TimePoint now,
                            Actions* actions)
{
  m_log.OnRejected(event.request, Common::AnswerFor(error.kind), Version(), now);
  actions->push_back(Refuse{event.number, std::move(error)});
}

// The time until the first target returns from its rest, if no other target accepts requests.
static Milliseconds TimeUntilReturn(const TargetSummary& targets)
{
  if (targets.open > 0 || targets.avoided > 0 || !targets.next_return)
    return Milliseconds::zero();
  return std::chrono::ceil<Milliseconds>(*targets.next_return);
}

// The time until the first target may have loaded weights; empty if targets lack something else.
static std::optional<Duration> TimeUntilWeights(const TargetSummary& targets)
{
  if (RefusalReason(targets) != ErrorKind::NoWeights)
    return std::nullopt;
  return targets.weights.enough_in ? targets.weights.enough_in : targets.weights.first_in;
}

// Returns the time after which the caller may retry: until targets have loaded weights, or until a
// full target has ended about all requests that it runs now. The times are spread out by the
// request id; otherwise callers that were refused together would retry together.
Milliseconds Gateway::RetryAfterFor(const Tracked& tracked, const TargetSummary& targets) const
{
  const Duration turnover = m_targets.TurnoverTimeOf(tracked.service);
  const double spread = static_cast<double>(Common::StableHash(tracked.request.id) % 1000) / 1000;
  const auto wait = std::chrono::duration_cast<Milliseconds>(RETRY_AFTER_TURNOVER_SHARE * turnover);
  const auto spread_wait = std::chrono::duration_cast<Milliseconds>(spread * wait);
  // Targets that have just loaded weights have no work that would have to end first.
  if (const auto weights = TimeUntilWeights(targets))
    return std::chrono::ceil<Milliseconds>(*weights) + MIN_RETRY_AFTER + spread_wait;
  return TimeUntilReturn(targets) +
         std::clamp(wait + spread_wait, MIN_RETRY_AFTER, MAX_RETRY_AFTER);
}

// Describes the service as a new request of the same kind would find it now.
ServiceView Gateway::ViewOf(const Tracked& tracked, TimePoint now) const
{
  TargetQuery query = QueryFor(tracked, now);
  query.max_start = StartGoal(tracked);
  query.waiting = WaitingCountOf(tracked.service);
  return {m_targets.Utilization(tracked.service, now), m_targets.CapacityFor(query, now),
          m_targets.SummaryOf(query, now), Version()};
}

void Gateway::GiveUp(Tracked& tracked, Error error, TimePoint now, Actions* actions)
{
  ReleaseTarget(tracked, actions);
  const std::string service = tracked.service;
  if (tracked.was_head_passed)
  {
    m_log.OnAnswerCut(tracked, Common::AnswerFor(error.kind), now);
    actions->push_back(AbortAnswer{tracked.number});
  }
  else
  {
    const Common::ErrorAnswer& answer = Common::AnswerFor(error.kind);
    // The outcome "not run" would be wrong once a target may have run the request.
    if (answer.outcome == Common::Outcome::NotRun && tracked.runs > 0)
      error = {ErrorKind::Unreachable, error.message};
    const Common::ErrorAnswer& given = Common::AnswerFor(error.kind);
    const bool may_come_back = given.retry_after > Milliseconds::zero();
    const ServiceView view = ViewOf(tracked, now);
    if (given.outcome == Common::Outcome::NotRun && may_come_back)
      error.retry_after = RetryAfterFor(tracked, view.targets);
    m_targets.OnRefused(service, now);
    m_log.OnRefused(tracked, Common::AnswerFor(error.kind), view, now);
    actions->push_back(Refuse{tracked.number, std::move(error)});
  }
  Forget(tracked.number);
}
} // namespace Holdpost::Gateway
