// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

// The part of the gateway that sends waiting requests to targets.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// The share of a route's goal that may pass until the expected start of a request.
static constexpr double START_GOAL_SHARE = 0.7;
// A request that is past its goal is sent only if it can begin within this share of the start goal.
// In lasting overload it would otherwise displace a request that can still meet its goal, and both
// would be late.
static constexpr double PAST_GOAL_START_SHARE = 0.85;
// A request may be moved if its answer has not begun after twice the expected time plus this
// margin.
static constexpr Duration MOVE_MARGIN = Milliseconds(300);

void Gateway::HoldDispatch(TimePoint until)
{
  m_dispatch_from = until;
  m_timers.push({until, NO_REQUEST});
}

void Gateway::EndDispatchHold(TimePoint now, Actions* actions)
{
  if (m_dispatch_from == TimePoint{} || now < m_dispatch_from)
    return;
  m_dispatch_from = {};
  DispatchAllWaiting(now, actions);
}

void Gateway::DispatchWaiting(const std::string& service, TimePoint now, Actions* actions)
{
  if (now < m_dispatch_from)
    return;
  for (auto& [priority, queue] : QueueOf(service).waiting)
  {
    if (!DispatchFrom(queue, now, actions))
      return;
  }
}

bool Gateway::DispatchFrom(Routing::FairQueue& queue, TimePoint now, Actions* actions)
{
  // A retry may find no target only because it has tried those that are open; the requests behind
  // it may go there.
  std::vector<Routing::Waiting> passed_over;
  bool is_blocked = false;
  while (!is_blocked)
  {
    const auto next = queue.Take();
    if (!next)
      break;
    Tracked& tracked = *Find(next->number);
    if (TryDispatch(tracked, now, actions))
      continue;
    passed_over.push_back(*next);
    is_blocked = tracked.tried.empty();
  }
  for (auto waiting = passed_over.rbegin(); waiting != passed_over.rend(); ++waiting)
    queue.AddFront(Find(waiting->number)->organisation, 1, *waiting);
  return !is_blocked;
}

const std::string& Gateway::ModelOf(const std::string& service) const
{
  static const std::string NONE;
  for (const Settings::ServiceSettings& settings : m_document->services)
  {
    if (settings.name == service && !settings.models.empty())
      return settings.models.front().name;
  }
  return NONE;
}

const std::vector<SwitchDeadline>& Gateway::SwitchDeadlinesFor(const std::string& service) const
{
  return m_switch_deadlines.DeadlinesOf(ModelOf(service));
}

Duration Gateway::StartGoal(const Tracked& tracked)
{
  return std::chrono::duration_cast<Duration>(START_GOAL_SHARE * tracked.route.goal);
}

bool Gateway::IsWorthSending(const Tracked& tracked, const TargetChoice& choice,
                             TimePoint now) const
{
  if (tracked.was_head_passed)
    return true;
  // A request that may have run cannot be refused as "not run", and a late answer is better than an
  // error.
  if (tracked.runs > 0)
    return choice.expected_start <= (tracked.deadline - now) / 2;
  // A request to a plain service (without a model) may take a free slot even if it is past its
  // goal, because there it delays no other request.
  const bool may_use_free_slot = !tracked.request.generation || !IsPastGoal(tracked, now);
  if (choice.has_free_slot && may_use_free_slot)
    return true;
  return choice.expected_start <= MaxStartDelay(tracked, now);
}

bool Gateway::IsPastGoal(const Tracked& tracked, TimePoint now)
{
  return now - tracked.first_attempt_at >= tracked.route.goal;
}

Duration Gateway::MaxStartDelay(const Tracked& tracked, TimePoint now)
{
  if (IsPastGoal(tracked, now))
    return std::chrono::duration_cast<Duration>(PAST_GOAL_START_SHARE * StartGoal(tracked));
  return std::max(StartGoal(tracked) - (now - tracked.first_attempt_at), Duration(1));
}

TargetQuery Gateway::QueryFor(const Tracked& tracked, TimePoint now) const
{
  const std::optional<GenerationHint>& generation = tracked.request.generation;
  TargetQuery query;
  query.service = tracked.service;
  query.prompt_tokens = tracked.PromptTokens();
  query.answer_tokens = generation ? generation->expected_answer_tokens : 0;
  query.tried = tracked.tried;
  query.weights = SwitchDeadlinesFor(tracked.service);
  const auto queue = m_queues.find(tracked.service);
  query.may_be_retried = queue != m_queues.end() && queue->second.retries.Permits(now);
  query.prefers_idle = m_crashes.IsSuspect(tracked.causes);
  return query;
}

std::size_t Gateway::WaitingCountOf(const std::string& service) const
{
  const auto queue = m_queues.find(service);
  if (queue == m_queues.end())
    return 0;
  std::size_t count = 0;
  for (const auto& [priority, waiting] : queue->second.waiting)
    count += waiting.Size();
  return count;
}

TargetQuery Gateway::InTimeQueryFor(const Tracked& tracked, TimePoint now) const
{
  TargetQuery query = QueryFor(tracked, now);
  query.waiting = WaitingCountOf(tracked.service);
  const bool may_be_refused = tracked.runs == 0 && !tracked.was_head_passed;
  if (may_be_refused)
    query.max_start = MaxStartDelay(tracked, now);
  return query;
}

void Gateway::ReportWork(const TargetId& id, Actions* actions) const
{
  if (const auto agent = m_targets.AgentAddressOf(id))
    actions->push_back(ReportWorkToAgent{*agent, m_targets.WorkAt(id)});
}

void Gateway::UpdateRateLimit(const Tracked& tracked, const AnswerBegan& event, TimePoint now,
                              Actions* actions)
{
  const TargetId id = TargetInSameIncarnation(tracked);
  // An answer without a limit ends one only if its request was sent under it: an earlier one may
  // have begun before the target named it.
  const bool is_news = event.rate_limit || tracked.last_attempt->choice.is_limited;
  if (id.empty() || event.is_other_target || !is_news)
    return;
  m_targets.OnRateLimit(id, event.rate_limit, now);
  if (const auto agent = m_targets.AgentAddressOf(id))
    actions->push_back(ReportLimitToAgent{*agent, event.rate_limit});
}

bool Gateway::TryDispatch(Tracked& tracked, TimePoint now, Actions* actions)
{
  const TargetQuery query = InTimeQueryFor(tracked, now);
  const auto choice = m_targets.Choose(query, now);
  if (!choice || !IsWorthSending(tracked, *choice, now))
    return false;
  tracked.state = State::Sent;
  tracked.target = choice->id;
  tracked.last_attempt = {*choice, now};
  tracked.tried.insert(choice->id);
  ++tracked.sends;
  tracked.has_started = false;
  m_targets.OnDispatched(choice->id, tracked.number, query.prompt_tokens, choice->expected_start,
                         now);
  tracked.move_at = now + 2 * choice->expected_start + MOVE_MARGIN;
  m_timers.push({tracked.move_at, tracked.number});
  m_log.OnSent(tracked, Version(), now);
  Dispatch dispatch;
  dispatch.number = tracked.number;
  dispatch.target = choice->id;
  dispatch.address = choice->address;
  dispatch.time_left =
      std::max(std::chrono::duration_cast<Milliseconds>(tracked.deadline - now), Milliseconds(1));
  dispatch.organisation = tracked.organisation;
  dispatch.expected_start = choice->expected_start;
  dispatch.resume_after = tracked.last_event;
  dispatch.ids_rise_by_one = tracked.ids_rise_by_one;
  dispatch.is_stream = tracked.route.is_stream;
  dispatch.may_repeat = tracked.route.repetition == Settings::Repetition::Idempotent;
  dispatch.needs_new_connection = choice->is_probe;
  actions->push_back(std::move(dispatch));
  ReportWork(choice->id, actions);
  return true;
}

void Gateway::ReleaseTarget(Tracked& tracked, Actions* actions)
{
  m_closed_answers.Forget(tracked.number);
  tracked.closed_at.reset();
  if (tracked.target.empty())
    return;
  const std::uint32_t unread_tokens = tracked.has_started ? 0 : tracked.PromptTokens();
  m_targets.OnEnded(TargetInSameIncarnation(tracked), tracked.number, unread_tokens);
  ReportWork(tracked.target, actions);
  tracked.target.clear();
}

TargetId Gateway::TargetInSameIncarnation(const Tracked& tracked) const
{
  if (!tracked.last_attempt ||
      !m_targets.IsSameIncarnation(tracked.target, tracked.last_attempt->choice.incarnation))
    return {};
  return tracked.target;
}
} // namespace Holdpost::Gateway
