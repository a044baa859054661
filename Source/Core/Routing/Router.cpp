// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/Router.h"

#include <algorithm>

#include <fmt/format.h>

namespace Holdpost::Routing
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr std::size_t ATTEMPTS_MOST = 3;
// Weight of the newest sample in the running mean of tokens a second.
static constexpr double RATE_SMOOTHING = 0.1;

std::string_view RetryReasonName(RetryReason reason)
{
  return reason == RetryReason::TargetRefused ? "target_refused" : "unreachable";
}

static Milliseconds ToMilliseconds(Duration duration)
{
  return std::max(std::chrono::ceil<Milliseconds>(duration), Milliseconds(1));
}

void Router::SetQuota(const std::string& organisation, std::int64_t tokens_per_second,
                      std::int64_t burst)
{
  m_quotas[organisation].SetLimits(tokens_per_second, burst);
}

void Router::SetRetryPercent(const std::string& service, std::int64_t percent)
{
  m_services[service].retries.SetPercent(percent);
}

void Router::SetTarget(const std::string& service, const std::string& target,
                       const TargetState& state, TimePoint now, Actions* actions)
{
  for (auto& [name, other] : m_services)
  {
    if (name != service)
      other.targets.Remove(target);
  }
  Service& found = m_services[service];
  found.targets.Set(target, state);
  Pump(found, now, actions);
}

void Router::RemoveTarget(const std::string& target, TimePoint now, Actions* actions)
{
  for (auto& [name, service] : m_services)
  {
    service.targets.Remove(target);
    if (service.targets.IsEmpty())
      RefuseAllWaiting(service, name, actions);
  }
  (void)now;
}

void Router::RefuseAllWaiting(Service& service, const std::string& name, Actions* actions)
{
  while (const auto waiting = service.queue.Take())
  {
    Settle(waiting->number, {ErrorKind::NoTarget, fmt::format("no target serves {} now", name)},
           actions);
  }
}

Duration Router::ExpectedWait(const Service& service, const Request& request) const
{
  if (service.tokens_per_second <= 0 || service.targets.FreeCredits() > 0)
    return Duration::zero();
  const std::int64_t ahead = service.queue.CostAhead(request.organisation, request.weight);
  const double at_once = std::max<std::uint32_t>(service.targets.InUse(), 1);
  const std::chrono::duration<double> wait(static_cast<double>(ahead) /
                                           (service.tokens_per_second * at_once));
  return std::chrono::duration_cast<Duration>(wait);
}

void Router::Submit(const Request& request, TimePoint now, Actions* actions)
{
  const auto refuse = [&](ErrorKind kind, std::string message, Duration wait = {})
  {
    Error error{kind, std::move(message)};
    if (wait > Duration::zero())
      error.retry_after = ToMilliseconds(wait);
    actions->push_back(Refuse{request.number, std::move(error)});
  };
  Service& service = m_services[request.service];
  if (service.targets.IsEmpty())
    return refuse(ErrorKind::NoTarget, fmt::format("no target serves {} now", request.service));
  if (service.queue.SizeOf(request.organisation) >= request.queue_most)
  {
    return refuse(ErrorKind::QueueFull, "too many requests of the organisation wait",
                  ExpectedWait(service, request));
  }
  const Duration wait = ExpectedWait(service, request);
  if (now + wait > request.deadline)
  {
    return refuse(ErrorKind::DeadlineTooShort, "the answer could not start in time",
                  now + wait - request.deadline);
  }
  const Duration quota_wait = m_quotas[request.organisation].Take(request.cost, now);
  if (quota_wait > Duration::zero())
    return refuse(ErrorKind::QuotaExceeded, "the organisation's quota is used up", quota_wait);
  service.retries.OnRequest();
  m_requests[request.number] = Tracked{request, State::Waiting, "", {}, {}};
  service.queue.Add(request.organisation, request.weight, {request.number, request.cost});
  Pump(service, now, actions);
}

void Router::Pump(Service& service, TimePoint now, Actions* actions)
{
  std::vector<Waiting> passed_over;
  while (service.queue.Size() > 0 && service.targets.FreeCredits() > 0)
  {
    const Waiting waiting = *service.queue.Take();
    Tracked& tracked = m_requests.at(waiting.number);
    const std::string target =
        service.targets.Choose(tracked.request.affinity, tracked.tried, m_random);
    if (target.empty())
    {
      passed_over.push_back(waiting);
      continue;
    }
    tracked.state = State::Running;
    tracked.target = target;
    tracked.dispatched = now;
    service.targets.OnDispatched(target);
    actions->push_back(Dispatch{waiting.number, target});
  }
  for (auto waiting = passed_over.rbegin(); waiting != passed_over.rend(); ++waiting)
  {
    const Request& request = m_requests.at(waiting->number).request;
    service.queue.AddFront(request.organisation, request.weight, *waiting);
  }
}

void Router::Settle(RequestNumber number, Error error, Actions* actions)
{
  actions->push_back(Refuse{number, std::move(error)});
  m_requests.erase(number);
}

void Router::OnStarted(RequestNumber number, TimePoint /*now*/)
{
  const auto found = m_requests.find(number);
  if (found != m_requests.end())
    found->second.state = State::Answering;
}

void Router::OnEnded(RequestNumber number, TimePoint now, Actions* actions)
{
  const auto found = m_requests.find(number);
  if (found == m_requests.end())
    return;
  const Tracked tracked = std::move(found->second);
  m_requests.erase(found);
  Service& service = m_services[tracked.request.service];
  service.targets.OnEnded(tracked.target);
  const double seconds = std::chrono::duration<double>(now - tracked.dispatched).count();
  if (seconds > 0)
  {
    const double rate = static_cast<double>(tracked.request.cost) / seconds;
    service.tokens_per_second =
        service.tokens_per_second <= 0
            ? rate
            : service.tokens_per_second + RATE_SMOOTHING * (rate - service.tokens_per_second);
  }
  Pump(service, now, actions);
}

bool Router::TryAgain(Tracked& tracked, RetryReason reason, TimePoint now, Actions* actions)
{
  Service& service = m_services[tracked.request.service];
  tracked.tried.insert(tracked.target);
  if (now >= tracked.request.deadline || tracked.tried.size() >= ATTEMPTS_MOST ||
      !service.targets.HasOther(tracked.tried) || !service.retries.TakeRetry())
    return false;
  tracked.state = State::Waiting;
  tracked.target.clear();
  service.queue.AddFront(tracked.request.organisation, tracked.request.weight,
                         {tracked.request.number, tracked.request.cost});
  actions->push_back(CountRetry{reason});
  return true;
}

void Router::OnNotRun(RequestNumber number, const Error& error, TimePoint now, Actions* actions)
{
  const auto found = m_requests.find(number);
  if (found == m_requests.end())
    return;
  Service& service = m_services[found->second.request.service];
  service.targets.OnEnded(found->second.target);
  service.targets.OnRefused(found->second.target);
  if (!TryAgain(found->second, RetryReason::TargetRefused, now, actions))
    Settle(number, error, actions);
  Pump(service, now, actions);
}

void Router::OnOutcomeUnknown(RequestNumber number, const Error& error, TimePoint now,
                              Actions* actions)
{
  const auto found = m_requests.find(number);
  if (found == m_requests.end())
    return;
  Service& service = m_services[found->second.request.service];
  service.targets.OnEnded(found->second.target);
  const bool may_repeat = found->second.request.is_repeatable;
  if (!may_repeat || !TryAgain(found->second, RetryReason::Unreachable, now, actions))
    Settle(number, error, actions);
  Pump(service, now, actions);
}

void Router::OnCallerGone(RequestNumber number, TimePoint now, Actions* actions)
{
  const auto found = m_requests.find(number);
  if (found == m_requests.end())
    return;
  Service& service = m_services[found->second.request.service];
  if (found->second.state == State::Waiting)
    service.queue.Remove(found->second.request.organisation, number);
  else
  {
    service.targets.OnEnded(found->second.target);
    actions->push_back(CancelRun{number, found->second.target});
  }
  m_requests.erase(found);
  Pump(service, now, actions);
}

void Router::OnTick(TimePoint now, Actions* actions)
{
  std::vector<RequestNumber> late;
  for (const auto& [number, tracked] : m_requests)
  {
    if (tracked.state == State::Waiting && now >= tracked.request.deadline)
      late.push_back(number);
  }
  for (const RequestNumber number : late)
  {
    const Request request = m_requests.at(number).request;
    Service& service = m_services[request.service];
    service.queue.Remove(request.organisation, number);
    Error error{ErrorKind::DeadlineTooShort, "the answer could not start in time"};
    if (const Duration wait = ExpectedWait(service, request); wait > Duration::zero())
      error.retry_after = ToMilliseconds(wait);
    Settle(number, std::move(error), actions);
  }
}

std::uint32_t Router::DemandFor(const std::string& service) const
{
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return 0;
  return static_cast<std::uint32_t>(found->second.queue.Size()) + found->second.targets.InUse();
}

RequestNumber Router::SettledBelow(RequestNumber next_number) const
{
  return m_requests.empty() ? next_number : m_requests.begin()->first;
}
} // namespace Holdpost::Routing
