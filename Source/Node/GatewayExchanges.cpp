// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayNode.h"

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Peers/Target/TargetMessage.h"

// What passes between callers, the gateway's decisions and targets.
namespace Holdpost::Node
{
using CallerPeer::CallerConnection;
using Common::Error;
using Common::EventLoop;
using Gateway::RequestNumber;

// An attempt that is cancelled after this time without a byte from its target is logged.
static constexpr Common::Milliseconds UNANSWERED_TIME = Common::Milliseconds(1000);

// --- callers ---

template <typename Event>
void GatewayNode::Feed(Event event)
{
  Gateway::Actions actions;
  m_core.Handle(std::move(event), CheckedNow(), &actions);
  Carry(actions);
}

void GatewayNode::OnAccepted(int fd)
{
  auto caller = std::make_shared<CallerConnection>(m_loop, fd, m_limits);
  CallerConnection* raw = caller.get();
  m_callers.emplace(raw, caller);
  CallerConnection::Handlers handlers;
  handlers.on_request = [this, raw](CallerConnection&) { OnRequest(m_callers.at(raw)); };
  handlers.on_closed = [this, raw]
  {
    m_memory.OnReadEnded(*raw);
    m_callers.erase(raw);
  };
  handlers.on_partial_request = [this](CallerConnection& partial)
  { m_memory.OnPartialRequest(partial, m_limits.body_bytes, EventLoop::Now()); };
  caller->Start(std::move(handlers));
}

void GatewayNode::OnRequest(const std::shared_ptr<CallerConnection>& caller)
{
  const RequestNumber number = m_next_number++;
  m_memory.OnReadEnded(*caller);
  m_exchanges[number].caller = caller;
  caller->SetOpenRequest([this, number] { OnCallerLeft(number); },
                         [this, number]
                         {
                           const auto found = m_exchanges.find(number);
                           if (found != m_exchanges.end() && found->second.call)
                             found->second.call->ResumeReading();
                         });
  Feed(Gateway::RequestArrived{
      number, TargetPeer::ReadCallerRequest(caller->Head(), *caller->Body(), m_names),
      m_memory.IsFull()});
}

void GatewayNode::OnCallerLeft(RequestNumber number)
{
  Feed(Gateway::CallerLeft{number});
  Take(number);
}

GatewayNode::Exchange GatewayNode::Take(RequestNumber number)
{
  auto taken = m_exchanges.extract(number);
  if (!taken)
    return {};
  if (taken.mapped().call)
    taken.mapped().call->Cancel();
  return std::move(taken.mapped());
}

// --- targets ---

void GatewayNode::Do(const Gateway::Dispatch& dispatch)
{
  const auto found = m_exchanges.find(dispatch.number);
  if (found == m_exchanges.end())
    return;
  Exchange& exchange = found->second;
  const CallerConnection& caller = *exchange.caller;
  TargetPeer::CallRequest request;
  request.target = dispatch.target;
  request.address = dispatch.address;
  request.body = caller.Body();
  request.head =
      TargetPeer::WriteTargetHead(caller.Head(), request.body->size(), dispatch, m_names);
  if (const std::string* id = caller.Head().fields.Find(m_names.request_id))
    request.request_id = *id;
  request.is_head_method = caller.Head().method == "HEAD";
  request.is_stream = dispatch.is_stream;
  if (dispatch.resume_after)
    request.resume = {*dispatch.resume_after, dispatch.ids_rise_by_one};
  request.may_repeat = dispatch.may_repeat;
  if (dispatch.needs_new_connection)
    m_pool.Forget(dispatch.target);
  exchange.call = std::make_shared<TargetPeer::TargetCall>(m_pool, m_names);
  exchange.is_whole = false;
  exchange.body.clear();
  const RequestNumber number = dispatch.number;
  exchange.call->Start(std::move(request),
                       {[this, number](const Common::HttpHead& head, bool is_whole)
                        { OnAnswer(number, head, is_whole); },
                        [this, number](std::string_view data) { OnBody(number, data); },
                        [this, number] { OnCallEnded(number); },
                        [this, number](TargetPeer::CallFailure failure)
                        { OnCallFailed(number, failure); },
                        [this, number](const Common::HttpHead& head, bool is_foreign)
                        { OnAnswerHead(number, head, is_foreign); },
                        [this, number] { Feed(Gateway::AnswerClosed{number}); }});
}

void GatewayNode::OnAnswerHead(RequestNumber number, const Common::HttpHead& head, bool is_foreign)
{
  Common::UnreadFields::Instance().NoteUnknown("answer", head.fields, m_known_answer_fields,
                                               EventLoop::Now());
  Gateway::AnswerHead arrived;
  arrived.number = number;
  arrived.is_foreign = is_foreign;
  arrived.is_other_target = head.status == TargetPeer::MISDIRECTED_STATUS;
  arrived.is_leaving = TargetPeer::SaysLeaving(head, m_names);
  arrived.rest = TargetPeer::ReadRest(head);
  arrived.is_rejected = arrived.rest || head.fields.Find(m_names.not_run) != nullptr;
  Feed(arrived);
}

void GatewayNode::OnAnswer(RequestNumber number, const Common::HttpHead& head, bool is_whole)
{
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end())
    return;
  found->second.answer = head;
  found->second.is_whole = is_whole;
  Gateway::AnswerBegan began;
  began.number = number;
  began.status = head.status;
  began.is_whole = is_whole;
  began.is_not_run = head.fields.Find(m_names.not_run) != nullptr;
  began.is_other_target = head.status == TargetPeer::MISDIRECTED_STATUS;
  began.is_event_stream = found->second.call->IsEventStream();
  began.rate_limit = TargetPeer::ReadRateLimit(head, m_names);
  began.weights_version = head.fields.FindNumber(m_names.weights_version).value_or(0);
  Feed(began);
}

void GatewayNode::Do(const Gateway::PassAnswer& pass)
{
  const auto found = m_exchanges.find(pass.number);
  if (found == m_exchanges.end())
    return;
  Exchange& exchange = found->second;
  if (!exchange.has_begun && !exchange.is_whole)
  {
    exchange.has_begun = true;
    exchange.caller->BeginAnswer(exchange.answer.status, exchange.answer.reason,
                                 TargetPeer::AnswerFieldLines(exchange.answer));
  }
  // Passing may end the exchange.
  const std::shared_ptr<TargetPeer::TargetCall> call = exchange.call;
  call->Pass();
}

void GatewayNode::OnBody(RequestNumber number, std::string_view data)
{
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end())
    return;
  Exchange& exchange = found->second;
  if (!exchange.has_begun)
  {
    exchange.body.append(data);
    return;
  }
  exchange.caller->SendPart(data);
  if (exchange.caller->UnsentBytes() > m_memory.MaxUnsentBytes())
    exchange.call->PauseReading();
}

void GatewayNode::OnCallEnded(RequestNumber number)
{
  const auto found = m_exchanges.find(number);
  Gateway::AnswerEnded ended{number};
  if (found != m_exchanges.end())
  {
    ended.ends_with_connection = found->second.answer.framing == Common::BodyFraming::UntilClose;
    ended.last_event = found->second.call->Events().LastEvent();
  }
  Feed(ended);
  const Exchange exchange = Take(number);
  if (!exchange.caller)
    return;
  if (exchange.has_begun)
    return exchange.caller->EndAnswer();
  exchange.caller->Answer(exchange.answer.status, exchange.answer.reason,
                          TargetPeer::AnswerFieldLines(exchange.answer), exchange.body);
}

void GatewayNode::OnCallFailed(RequestNumber number, TargetPeer::CallFailure failure)
{
  const auto found = m_exchanges.find(number);
  if (found == m_exchanges.end())
    return;
  Gateway::AttemptFailed failed;
  failed.number = number;
  failed.failure = failure == TargetPeer::CallFailure::NotSent ? Gateway::AttemptFailure::NotSent
                                                               : Gateway::AttemptFailure::Lost;
  failed.end = found->second.call->EndedBy();
  if (found->second.has_begun)
  {
    const TargetPeer::TargetCall& call = *found->second.call;
    failed.last_event = call.Events().LastEvent();
    failed.ids_rise_by_one = call.Events().IdsRiseByOne();
    // An attempt that failed before its answer began leaves the answer as it was.
    failed.may_continue =
        !call.HasAnswered() || (call.IsEventStream() && call.Events().IsResumable());
  }
  Feed(failed);
}

static std::string_view ConnectionName(const TargetPeer::TargetCall& call)
{
  if (call.IsConnecting())
    return "connecting";
  return call.IsOnKeptConnection() ? "kept" : "new";
}

void GatewayNode::LogUnanswered(const TargetPeer::TargetCall& call)
{
  const Common::TimePoint now = EventLoop::Now();
  const auto unanswered = call.UnansweredFor(now);
  if (!unanswered || *unanswered < UNANSWERED_TIME)
    return;
  m_metrics.Add("holdpost_attempts_unanswered_total");
  Common::LogEvent(Common::Weight::Important, now, "attempt.unanswered", "request",
                   call.RequestId(), "target", call.Target(), "connection", ConnectionName(call),
                   "for_ms", *unanswered, "received_bytes", call.ReceivedBytes());
}

void GatewayNode::Do(const Gateway::CancelAttempt& cancel)
{
  const auto found = m_exchanges.find(cancel.number);
  if (found == m_exchanges.end() || !found->second.call)
    return;
  LogUnanswered(*found->second.call);
  found->second.call->Cancel();
}

void GatewayNode::Do(const Gateway::EndClosedAnswer& end)
{
  const auto found = m_exchanges.find(end.number);
  if (found == m_exchanges.end() || !found->second.call)
    return;
  // This may end the exchange.
  const std::shared_ptr<TargetPeer::TargetCall> call = found->second.call;
  call->EndClosed(end.reason);
}

void GatewayNode::Do(const Gateway::ProbeTarget& probe)
{
  auto started = std::make_shared<TargetPeer::HealthProbe>(m_pool, m_names);
  m_probes[probe.target] = started;
  started->Start(
      probe.target, probe.address, probe.path,
      [this, target = probe.target, address = probe.address](Gateway::ProbeOutcome outcome)
      {
        // The probe lives until this call returns.
        const auto probe_in_call = m_probes.extract(target);
        Feed(Gateway::ProbeEnded{target, address, outcome});
      });
}

// Fractions of a second are allowed: a caller that waits a whole second too long may be too late.
static std::string RetryAfterLine(const Error& error)
{
  if (!error.retry_after)
    return "";
  return fmt::format("Retry-After: {:.3f}\r\n",
                     std::chrono::duration<double>(*error.retry_after).count());
}

std::string GatewayNode::RefusalFields(const Common::HttpHead& request, const Error& error) const
{
  const Common::ErrorAnswer& row = Common::AnswerFor(error.kind);
  std::string fields = RetryAfterLine(error);
  if (const std::string* id = request.fields.Find(m_names.request_id))
    Common::AppendField(&fields, m_names.request_id, *id);
  Common::AppendField(&fields, "Holdpost-Error", row.name);
  Common::AppendField(&fields, "Holdpost-Outcome", Common::OutcomeName(row.outcome));
  return fields;
}

void GatewayNode::RefusePartial(CallerConnection& caller, const Error& error) const
{
  const int status = Common::AnswerFor(error.kind).http_status;
  caller.RefusePartial(status, Common::ReasonPhrase(status), RefusalFields(caller.Head(), error));
}

void GatewayNode::RefuseUpload(CallerConnection& caller)
{
  m_metrics.Add("holdpost_requests_not_read_total");
  Common::LogEvent(Common::Weight::Important, EventLoop::Now(), "request.not_read", "reason",
                   "leaving", "read_bytes", caller.ReadBytes(), "declared_bytes",
                   caller.DeclaredBytes().value_or(0));
  m_memory.OnReadEnded(caller);
  RefusePartial(caller, Gateway::LeavingError());
}

void GatewayNode::Do(const Gateway::Refuse& refuse)
{
  const Exchange exchange = Take(refuse.number);
  if (!exchange.caller)
    return;
  const Common::ErrorAnswer& row = Common::AnswerFor(refuse.error.kind);
  std::string fields = RefusalFields(exchange.caller->Head(), refuse.error);
  if (refuse.blocked_part)
    Common::AppendField(&fields, "Holdpost-Blocked-Part", *refuse.blocked_part);
  exchange.caller->Answer(row.http_status, Common::ReasonPhrase(row.http_status), fields, "");
}

void GatewayNode::Do(const Gateway::AbortAnswer& abort)
{
  if (const Exchange exchange = Take(abort.number); exchange.caller)
    exchange.caller->AbortAnswer();
}

void GatewayNode::Do(const Gateway::ReportWorkToAgent& tell)
{
  m_control.SendWorkUpdate(tell.target, tell.work);
}

void GatewayNode::Do(const Gateway::ReportLimitToAgent& tell)
{
  m_control.SendLimitUpdate(tell.target, tell.per_second);
}

void GatewayNode::Do(const Gateway::ReportLeaving& tell)
{
  m_control.SendLeaving(tell.target);
}

void GatewayNode::Do(const Gateway::RecallConnecting& recall)
{
  std::vector<std::shared_ptr<TargetPeer::TargetCall>> connecting;
  for (const auto& [number, exchange] : m_exchanges)
  {
    const auto& call = exchange.call;
    if (call && call->IsConnecting() && call->Target() == recall.target)
      connecting.push_back(call);
  }
  for (const auto& call : connecting)
    call->Recall();
}

void GatewayNode::Carry(Gateway::Actions& actions)
{
  for (const Gateway::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
  if (m_memory.NeedsReview())
    m_memory.Review(EventLoop::Now());
  ScheduleTick();
}
} // namespace Holdpost::Node
