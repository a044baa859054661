// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

#include "Core/Gateway/CallerPatience.h"
#include "Core/Gateway/WaitLimit.h"

// The part of the gateway that queues requests and decides for how long they wait for a target.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// The period at which a request that waits for the loading of weights is checked: it is refused at
// once when it cannot begin in time any more.
static constexpr Milliseconds WEIGHTS_CHECK_PERIOD = Milliseconds(100);

void Gateway::EnqueueNotRun(Tracked& request, bool is_retry, TimePoint now, Actions* actions)
{
  const RequestNumber number = request.number;
  request.refuse_at = request.deadline;
  Enqueue(request, is_retry, now, actions);
  Tracked* waiting = Find(number);
  if (!waiting || waiting->state != State::Waiting)
    return;
  Tracked& tracked = *waiting;
  TargetQuery query = QueryFor(tracked, now);
  query.waiting = WaitingCountOf(tracked.service);
  const TargetSummary summary = m_targets.SummaryOf(query, now);
  tracked.awaits_weights = MayAwaitWeights(summary, TimeForStart(tracked, now));
  if (tracked.awaits_weights)
  {
    m_log.OnAwaitsWeights(tracked, *summary.weights.enough_in, now);
    return ScheduleWeightsCheck(tracked, now);
  }
  const Duration wait =
      MaxWait(summary, query.waiting, m_targets.PassTimeOf(tracked.service), StartGoal(tracked));
  tracked.refuse_at = std::min(tracked.deadline, std::max(now, m_dispatch_from) + wait);
  m_timers.push({tracked.refuse_at, tracked.number});
  OnTimer(tracked, now, actions);
}

Duration Gateway::TimeForStart(const Tracked& tracked, TimePoint now) const
{
  const std::optional<GenerationHint>& generation = tracked.request.generation;
  const Duration answer_time = m_targets.GenerationTimeOf(
      tracked.service, generation ? generation->expected_answer_tokens : 0);
  const TimePoint latest = tracked.deadline - answer_time;
  if (!tracked.route.is_stream)
    return latest - now;
  return std::min(latest, tracked.arrived + CallerPatience(tracked.route)) - now;
}

void Gateway::ScheduleWeightsCheck(Tracked& tracked, TimePoint now)
{
  tracked.refuse_at = std::min(tracked.deadline, now + WEIGHTS_CHECK_PERIOD);
  m_timers.push({tracked.refuse_at, tracked.number});
}

bool Gateway::KeepAwaitingWeights(Tracked& tracked, TimePoint now)
{
  const TargetSummary summary = m_targets.SummaryOf(QueryFor(tracked, now), now);
  if (!MayKeepAwaitingWeights(summary, TimeForStart(tracked, now)))
    return false;
  ScheduleWeightsCheck(tracked, now);
  return true;
}

// The fair queue counts deficits in prompt tokens. A request without a model counts as a small
// request, with 100 tokens.
static std::int64_t CostOf(const CallerRequest& request)
{
  return request.generation ? std::max<std::int64_t>(request.generation->prompt_tokens, 1) : 100;
}

void Gateway::Enqueue(Tracked& tracked, bool is_retry, TimePoint now, Actions* actions)
{
  tracked.state = State::Waiting;
  tracked.target.clear();
  // The timer of the deadline was set when the request arrived.
  if (tracked.refuse_at < tracked.deadline)
    m_timers.push({tracked.refuse_at, tracked.number});
  Routing::FairQueue& queue = QueueOf(tracked.service).waiting[tracked.priority];
  const Routing::Waiting waiting{tracked.number, CostOf(tracked.request)};
  if (is_retry)
    queue.AddFront(tracked.organisation, 1, waiting);
  else
    queue.Add(tracked.organisation, 1, waiting);
  DispatchWaiting(tracked.service, now, actions);
}
} // namespace Holdpost::Gateway
