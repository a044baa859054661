// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Core/Gateway/ReadAdmission.h"
#include "Core/Gateway/WaitLimit.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// A stopping gateway sends a short retry time, because another gateway can serve the request at
// once.
static constexpr Milliseconds LEAVING_RETRY_AFTER = Milliseconds(50);
static constexpr Milliseconds NOT_READY_RETRY_AFTER = Milliseconds(300);
// The profile that is assumed for engines whose times are not known; the measured start times of
// the first answers correct it.
static constexpr Settings::EngineProfile ASSUMED_ENGINE = {
    .slots = 16,
    .step_ms = 8,
    .step_per_sequence_ms = 0.02,
    .step_per_context_ms = 0.02,
    .prompt_tokens_per_ms = 25,
    .prompt_pairs_ms = 1,
    .tokens_per_event = 5,
    .usual_prompt_tokens = 1000,
    .usual_answer_tokens = 100,
};

Error LeavingError()
{
  return {ErrorKind::Leaving, "the gateway is stopping", LEAVING_RETRY_AFTER};
}

Gateway::Gateway(GatewayOptions options, Common::Metrics& metrics)
    : m_options(std::move(options)), m_log(metrics), m_targets(m_options.hall, m_options.seed),
      m_switch_deadlines(m_options.switch_within)
{
}

bool Gateway::OfferDocument(const std::shared_ptr<const Settings::Document>& document,
                            TimePoint now)
{
  if (document->version <= Version())
    return false;
  LogEvent(Weight::Important, now, "settings.in_force", "version", document->version, "before",
           Version(), "routes", document->routes.size());
  m_document = document;
  m_routes = RouteTable(*document);
  std::set<std::string> names;
  for (const Settings::ServiceSettings& service : document->services)
  {
    names.insert(service.name);
    SetEngine(service, now);
  }
  m_targets.SetServices(std::move(names));
  return true;
}

void Gateway::SetEngine(const Settings::ServiceSettings& service, TimePoint now)
{
  const bool is_unreadable = !service.engine && !service.models.empty();
  if (!is_unreadable)
    return m_targets.SetEngine(service.name, service.engine);
  const bool is_known = m_targets.HasEngine(service.name);
  LogEvent(Weight::Important, now, "engine.profile_missing", "service", service.name, "instead",
           is_known ? "the last known times" : "assumed times, corrected by the answers");
  if (!is_known)
    m_targets.SetEngine(service.name, ASSUMED_ENGINE);
}

void Gateway::SetTargets(const std::vector<ListedTarget>& list, TimePoint now, Actions* actions)
{
  m_targets.SetList(list, now);
  CountCrashes(now, actions);
  DispatchAllWaiting(now, actions);
}

void Gateway::OnTargetLoad(const TargetLoad& load, TimePoint now, Actions* actions)
{
  m_targets.OnLoadReport(load, now);
  OnClosedTargetReported(load, now, actions);
  m_crashes.OnEngineRuns({load.address, load.id, load.incarnation}, now);
  CountCrashes(now, actions);
  MoveFromReportedTarget(load, now, actions);
  DispatchAllWaiting(now, actions);
}

void Gateway::OnWeightsNamed(const std::string& model, const Control::KnownVersion& known,
                             TimePoint now)
{
  if (const auto due = m_switch_deadlines.OnVersionNamed(model, known, now))
    m_timers.push({std::max(*due, now), NO_REQUEST});
}

void Gateway::SetGateways(const GatewayCounts& gateways, TimePoint now)
{
  if (gateways == m_gateways)
    return;
  LogEvent(Weight::Important, now, "gateways.counted", "count", gateways.all, "before",
           m_gateways.all, "near", gateways.same_hall, "retry_sharers", gateways.retry_sharers);
  m_gateways = gateways;
  m_targets.SetGateways(gateways);
  m_crashes.SetGatewayCount(gateways.all);
  for (auto& [service, queue] : m_queues)
    queue.retries.SetGateways(gateways.retry_sharers);
}

void Gateway::SetRetryLimits(const RetryLimits& limits, TimePoint now)
{
  m_options.retries = limits;
  for (auto& [service, queue] : m_queues)
    queue.retries.SetLimits(limits, now);
}

Gateway::ServiceQueue& Gateway::QueueOf(const std::string& service)
{
  auto [found, is_new] = m_queues.try_emplace(service, m_options.retries, m_options.started);
  if (is_new)
    found->second.retries.SetGateways(m_gateways.retry_sharers);
  return found->second;
}

Gateway::Tracked* Gateway::Find(RequestNumber number)
{
  const auto found = m_requests.find(number);
  return found == m_requests.end() ? nullptr : &found->second;
}

void Gateway::Handle(RequestArrived event, TimePoint now, Actions* actions)
{
  m_log.OnArrived();
  if (!m_accepts_requests)
    return RefuseArrival(event, LeavingError(), now, actions);
  if (event.is_memory_full)
    return RefuseArrival(event, MemoryFullError(), now, actions);
  if (!m_document)
    return RefuseArrival(event, {ErrorKind::NotReady, "no settings yet", NOT_READY_RETRY_AFTER},
                         now, actions);
  const Settings::Route* route = m_routes.Find(event.request.host, event.request.path);
  if (!route || route->services.empty())
    return RefuseArrival(event, {ErrorKind::NotFound, "no route"}, now, actions);
  const Settings::OrganisationSettings* organisation =
      m_routes.FindOrganisation(event.request.credential);
  if (!organisation && !route->allows_anonymous && m_routes.HasOrganisations())
    return RefuseArrival(event, {ErrorKind::BadCredential, "unknown credential"}, now, actions);
  const Milliseconds time =
      std::min(route->timeout, event.request.deadline.value_or(route->timeout));
  const bool may_be_cut = m_answers_due && now + time > *m_answers_due;
  if (may_be_cut && route->repetition == Settings::Repetition::Once)
    return RefuseArrival(event, LeavingError(), now, actions);

  const std::string caller = organisation ? organisation->name : "";
  const std::string service = RouteTable::ServiceFor(*route, Common::StableHash(event.request.id));
  Crashes::RequestCauses causes =
      Crashes::CausesOf(FingerprintOf(caller, event.request.host, event.request.content), service,
                        caller, event.request.shared_parts);
  if (const auto cause = m_crashes.BlockedBy(causes))
    return RefuseBlocked(event, causes, *cause, now, actions);

  Tracked tracked;
  tracked.number = event.number;
  tracked.route = *route;
  tracked.service = service;
  tracked.organisation = caller;
  tracked.priority =
      organisation && organisation->priority ? *organisation->priority : route->priority;
  tracked.causes = std::move(causes);
  tracked.request = std::move(event.request);
  tracked.arrived = now;
  tracked.first_attempt_at =
      tracked.request.deadline
          ? now - m_deadline_tracker.OnRequest(route->name, *tracked.request.deadline)
          : now;
  tracked.deadline = may_be_cut ? *m_answers_due : now + time;
  tracked.last_event = tracked.request.last_event;
  QueueOf(tracked.service).retries.OnRequest(now);
  m_targets.OnArrival(tracked.service, now);
  m_timers.push({tracked.deadline, tracked.number});
  Tracked& placed = m_requests.emplace(tracked.number, std::move(tracked)).first->second;
  EnqueueNotRun(placed, false, now, actions);
}

void Gateway::SetAnswersDue(TimePoint due)
{
  if (m_answers_due == due)
    return;
  m_answers_due = due;
  for (auto& [number, tracked] : m_requests)
  {
    if (tracked.deadline <= due)
      continue;
    tracked.deadline = due;
    m_timers.push({due, number});
  }
}

void Gateway::DispatchAllWaiting(TimePoint now, Actions* actions)
{
  for (const auto& [service, queue] : m_queues)
    DispatchWaiting(service, now, actions);
}

void Gateway::Forget(RequestNumber number)
{
  m_requests.erase(number);
}

void Gateway::Handle(const CallerLeft& event, TimePoint now, Actions* actions)
{
  Tracked* tracked = Find(event.number);
  if (!tracked)
    return;
  m_log.OnCallerLeft(*tracked, now);
  const std::string service = tracked->service;
  if (tracked->state == State::Waiting)
    QueueOf(service).waiting[tracked->priority].Remove(tracked->organisation, tracked->number);
  else
    actions->push_back(CancelAttempt{tracked->number});
  ReleaseTarget(*tracked, actions);
  Forget(event.number);
  DispatchWaiting(service, now, actions);
}

void Gateway::Handle(const AnswerBegan& event, TimePoint now, Actions* actions)
{
  Tracked* tracked = Find(event.number);
  if (!tracked || tracked->state != State::Sent)
    return;
  tracked->last_attempt->answer_status = event.status;
  UpdateRateLimit(*tracked, event, now, actions);
  if (event.is_not_run || event.is_other_target)
  {
    if (event.is_other_target)
      m_targets.OnReplaced(TargetInSameIncarnation(*tracked), now);
    else
      m_targets.OnFull(TargetInSameIncarnation(*tracked), now);
    actions->push_back(CancelAttempt{tracked->number});
    return OnNotRun(*tracked, event.is_other_target ? "other_target" : "target_full", now, actions);
  }
  ++tracked->runs;
  // Only the rest of the same event stream can continue an answer that was passed on in part.
  const bool cannot_continue = tracked->was_head_passed && !event.is_event_stream;
  const bool is_failure = event.status >= MIN_FAILURE_STATUS || cannot_continue;
  if (is_failure && MayRunAgain(*tracked) && TakeRetry(*tracked, "failure_answer", now))
  {
    actions->push_back(CancelAttempt{tracked->number});
    return Retry(*tracked, "failure_answer", now, actions);
  }
  if (cannot_continue)
  {
    actions->push_back(CancelAttempt{tracked->number});
    return GiveUp(*tracked, {ErrorKind::Unreachable, "the target did not continue the stream"}, now,
                  actions);
  }
  m_targets.OnStarted(TargetInSameIncarnation(*tracked), tracked->number, tracked->PromptTokens(),
                      now);
  LogIfOldWeights(*tracked, event.weights_version, now);
  if (!is_failure)
  {
    const LastAttempt& attempt = *tracked->last_attempt;
    m_targets.OnStartMeasured(tracked->service, attempt.choice, now - attempt.sent, now);
    m_log.OnStarted(*tracked, m_targets.CorrectionOf(tracked->service), now);
  }
  ReportWork(tracked->target, actions);
  tracked->has_started = true;
  if (!tracked->was_head_passed)
  {
    tracked->answer_passed_at = now;
    m_log.OnAnswerHeadPassed(*tracked, now);
  }
  tracked->state = State::Passing;
  tracked->was_head_passed = true;
  actions->push_back(PassAnswer{tracked->number});
}

void Gateway::Handle(const AnswerEnded& event, TimePoint now, Actions* actions)
{
  Tracked* tracked = Find(event.number);
  if (!tracked)
    return;
  m_targets.OnSucceeded(TargetInSameIncarnation(*tracked));
  OnAnswerWhole(*tracked, event.ends_with_connection, now);
  m_log.OnDone(*tracked, event, now);
  ReleaseTarget(*tracked, actions);
  const std::string service = tracked->service;
  Forget(event.number);
  DispatchWaiting(service, now, actions);
}

void Gateway::Handle(const AttemptFailed& event, TimePoint now, Actions* actions)
{
  Tracked* tracked = Find(event.number);
  if (!tracked || tracked->state == State::Waiting)
    return;
  tracked->last_attempt->end = event.end;
  if (event.end != AttemptEnd::Recalled)
    m_targets.OnFailed(TargetInSameIncarnation(*tracked), now);
  if (event.last_event)
  {
    tracked->last_event = event.last_event;
    tracked->ids_rise_by_one = event.ids_rise_by_one;
  }
  tracked->may_continue = event.may_continue;
  if (event.failure == AttemptFailure::NotSent)
    return OnNotRun(*tracked, "not_sent", now, actions);
  OnAttemptLost(*tracked, event, now);
  // A run whose answer has begun was counted at the start of the answer.
  if (tracked->state == State::Sent)
    ++tracked->runs;
  RetryOrGiveUp(*tracked, "lost",
                {ErrorKind::Unreachable, "the target was lost while it may have run"}, now,
                actions);
  StopBlockedRequests(now, actions);
}

void Gateway::OnTimer(Tracked& tracked, TimePoint now, Actions* actions)
{
  if (tracked.state == State::Waiting)
  {
    if (now < tracked.refuse_at && now < tracked.deadline)
      return;
    if (tracked.awaits_weights && KeepAwaitingWeights(tracked, now))
      return;
    QueueOf(tracked.service).waiting[tracked.priority].Remove(tracked.organisation, tracked.number);
    if (tracked.runs > 0)
    {
      return GiveUp(tracked, {ErrorKind::Unreachable, "no target could run it again"}, now,
                    actions);
    }
    const ErrorKind reason = RefusalReason(m_targets.SummaryOf(QueryFor(tracked, now), now));
    return GiveUp(tracked, {reason, "no target can begin it in time"}, now, actions);
  }
  if (now < tracked.deadline)
  {
    if (tracked.state == State::Sent)
      MoveIfOverdue(tracked, now, actions);
    return;
  }
  actions->push_back(CancelAttempt{tracked.number});
  GiveUp(tracked, {ErrorKind::AnswerTimeout, "the time for the answer is over"}, now, actions);
}

void Gateway::OnTick(TimePoint now, Actions* actions)
{
  m_crashes.OnTick(now);
  StopBlockedRequests(now, actions);
  CancelOnOldWeights(now, actions);
  EndDispatchHold(now, actions);
  ReviewClosed(now, actions);
  while (!m_timers.empty() && m_timers.top().at <= now)
  {
    const RequestNumber number = m_timers.top().number;
    m_timers.pop();
    if (Tracked* tracked = Find(number))
      OnTimer(*tracked, now, actions);
  }
  DispatchAllWaiting(now, actions);
}

std::optional<TimePoint> Gateway::NextWakeup() const
{
  std::optional<TimePoint> next = m_crashes.NextWakeup();
  const auto take = [&next](TimePoint at) { next = std::min(next.value_or(at), at); };
  if (const auto closed_due = m_closed_answers.NextWakeup())
    take(*closed_due);
  if (!m_timers.empty())
    take(m_timers.top().at);
  return next;
}
} // namespace Holdpost::Gateway
