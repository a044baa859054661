// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayNode.h"

#include <algorithm>
#include <csignal>

#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Common/Mailbox.h"
#include "Node/Startup.h"
#include "Peers/Target/TargetMessage.h"

namespace Holdpost::Node
{
using CallerPeer::CallerConnection;
using Common::Address;
using Common::Error;
using Common::EventLoop;
using Common::HttpExchange;
using Common::LogEvent;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Common::Weight;
using Gateway::RequestNumber;
using nlohmann::json;

static constexpr Milliseconds HOUSEKEEPING_PERIOD = Milliseconds(250);
// Bytes of one answer that wait for a slow caller before the target is held back.
static constexpr std::size_t UNSENT_BYTES_MOST = 256 << 10;

GatewayNode::GatewayNode(EventLoop& loop, const GatewayConfig& config,
                         ControlPeer::ControlPlane& control, TargetPeer::HeaderNames names)
    : m_loop(loop), m_config(config), m_names(std::move(names)),
      m_core({config.mesh.hall, config.retries, config.mesh.switch_within,
              Common::StableHash(config.mesh.instance)},
             m_metrics),
      m_control(loop, config.mesh, control, ControlHandlers()), m_pool(loop),
      m_listener(loop, [this](int fd) { OnAccepted(fd); }),
      m_ready_server(loop, Common::HttpServer::Limits{},
                     [this](const std::shared_ptr<HttpExchange>& exchange)
                     {
                       const bool is_known = exchange->Request().path == m_config.ready_path;
                       exchange->Reply(is_known && IsReady() ? 200 : (is_known ? 503 : 404), {},
                                       "");
                     }),
      m_stop(config.mesh.stop_within), m_config_file(config.mesh.file)
{
}

GatewayNode::~GatewayNode() = default;

bool GatewayNode::IsReady() const
{
  return !m_stop.IsAsked() && m_core.Version() > 0 && m_control.HasTargets();
}

bool GatewayNode::Listen()
{
  m_admin = std::make_unique<OperatorPeer::AdminPages>(
      m_loop, m_metrics,
      OperatorPeer::AdminSource{
          [this](Common::Metrics& metrics)
          {
            metrics.Set("holdpost_open_requests", static_cast<double>(m_core.OpenRequests()));
            metrics.Set("holdpost_settings_version", static_cast<double>(m_core.Version()));
            metrics.Set("holdpost_reads_platform", m_control.Reads() ? 1 : 0);
            metrics.Set("holdpost_targets_known", static_cast<double>(m_core.Targets().Size()));
            metrics.Set("holdpost_log_lines_dropped",
                        static_cast<double>(Common::EventLog::Instance().Dropped()));
          },
          [this] { return IsReady() ? std::string() : std::string("not ready"); },
          [this] { return Status(); }});
  const Result<Address> results[] = {
      m_listener.Listen(m_config.caller_listen), m_ready_server.Listen(m_config.ready_listen),
      m_admin->Listen(m_config.mesh.admin_listen), m_control.Listen()};
  for (const Result<Address>& result : results)
  {
    if (const auto* error = std::get_if<Error>(&result))
    {
      LogEvent(Weight::Important, EventLoop::Now(), "start.failed", "reason", error->message);
      return false;
    }
  }
  LogEvent(Weight::Important, EventLoop::Now(), "start", "instance", m_config.mesh.instance, "hall",
           m_config.mesh.hall, "callers", std::get<Address>(results[0]).ToString(), "ready",
           std::get<Address>(results[1]).ToString(), "admin",
           std::get<Address>(results[2]).ToString(), "mesh",
           std::get<Address>(results[3]).ToString(), "version", HOLDPOST_VERSION);
  return true;
}

std::string GatewayNode::Status()
{
  const json status = {{"instance", m_config.mesh.instance},
                       {"hall", m_config.mesh.hall},
                       {"role", "gateway"},
                       {"settings", m_core.Version()},
                       {"reads_platform", m_control.Reads()},
                       {"platform_answers", m_control.IsPlatformReachable()},
                       {"targets", m_core.Targets().Size()},
                       {"open_requests", m_core.OpenRequests()},
                       {"ready", IsReady()}};
  return status.dump();
}

int GatewayNode::Run()
{
  PrepareProcess();
  if (!Listen())
  {
    Common::EventLog::Instance().Flush();
    return 1;
  }
  m_tick_timer = m_loop.MakeTimer([this] { Tick(); });
  for (const int signal_number : {SIGTERM, SIGINT})
    m_signals.push_back(m_loop.WatchSignal(signal_number, [this] { HandleStopSignal(); }));
  m_signals.push_back(m_loop.WatchSignal(SIGHUP, [this] { Reload(ReloadTrigger::Signal); }));
  Tick();
  m_loop.Run();
  Common::EventLog::Instance().Flush();
  return m_exit_code;
}

// --- callers ---

void GatewayNode::OnAccepted(int fd)
{
  auto caller = std::make_shared<CallerConnection>(m_loop, fd, m_limits);
  CallerConnection* raw = caller.get();
  m_callers.emplace(raw, caller);
  CallerConnection::Handlers handlers;
  handlers.on_request = [this, raw](CallerConnection&) { OnRequest(m_callers.at(raw)); };
  handlers.on_closed = [this, raw] { m_callers.erase(raw); };
  caller->Start(std::move(handlers));
}

void GatewayNode::OnRequest(const std::shared_ptr<CallerConnection>& caller)
{
  const RequestNumber number = m_next_number++;
  m_exchanges[number].caller = caller;
  caller->SetOpenRequest([this, number] { OnCallerLeft(number); },
                         [this, number]
                         {
                           const auto found = m_exchanges.find(number);
                           if (found != m_exchanges.end() && found->second.call)
                             found->second.call->ResumeReading();
                         });
  Feed(Gateway::RequestArrived{number, TargetPeer::ReadCallerRequest(caller->Head(), m_names)});
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
  request.message = TargetPeer::WriteTargetRequest(caller.Head(), caller.Body(), dispatch, m_names);
  if (const std::string* id = caller.Head().fields.Find(m_names.request_id))
    request.request_id = *id;
  request.is_head_method = caller.Head().method == "HEAD";
  request.is_stream = dispatch.is_stream;
  request.resume_after = dispatch.resume_after;
  request.may_repeat = dispatch.may_repeat;
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
                        { OnCallFailed(number, failure); }});
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
  began.is_other_target = head.status == 421;
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
  if (exchange.caller->UnsentBytes() > UNSENT_BYTES_MOST)
    exchange.call->PauseReading();
}

void GatewayNode::OnCallEnded(RequestNumber number)
{
  Feed(Gateway::AnswerEnded{number});
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
    failed.last_event = found->second.call->LastEvent();
  Feed(failed);
}

void GatewayNode::Do(const Gateway::CancelAttempt& cancel)
{
  const auto found = m_exchanges.find(cancel.number);
  if (found != m_exchanges.end() && found->second.call)
    found->second.call->Cancel();
}

// Fractions of a second are allowed: a caller that waits a whole second too long may be too late.
static std::string RetryAfterLine(const Error& error)
{
  if (!error.retry_after)
    return "";
  return fmt::format("Retry-After: {:.3f}\r\n",
                     std::chrono::duration<double>(*error.retry_after).count());
}

void GatewayNode::Do(const Gateway::Refuse& refuse)
{
  const Exchange exchange = Take(refuse.number);
  if (!exchange.caller)
    return;
  const Common::ErrorAnswer& row = Common::AnswerFor(refuse.error.kind);
  std::string fields = RetryAfterLine(refuse.error);
  if (const std::string* id = exchange.caller->Head().fields.Find(m_names.request_id))
    Common::AppendField(&fields, m_names.request_id, *id);
  Common::AppendField(&fields, "Holdpost-Error", row.name);
  Common::AppendField(&fields, "Holdpost-Outcome", Common::OutcomeName(row.outcome));
  exchange.caller->Answer(row.http_status, Common::ReasonPhrase(row.http_status), fields, "");
}

void GatewayNode::Do(const Gateway::AbortAnswer& abort)
{
  if (const Exchange exchange = Take(abort.number); exchange.caller)
    exchange.caller->AbortAnswer();
}

void GatewayNode::Do(const Gateway::TellAgent& tell)
{
  m_control.TellWork(tell.target, tell.work);
}

template <typename Event>
void GatewayNode::Feed(Event event)
{
  Gateway::Actions actions;
  m_core.Handle(std::move(event), EventLoop::Now(), &actions);
  Carry(actions);
}

void GatewayNode::Carry(Gateway::Actions& actions)
{
  for (const Gateway::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
  ScheduleTick();
}

// --- what is in force ---

GatewayControl::Handlers GatewayNode::ControlHandlers()
{
  GatewayControl::Handlers handlers;
  handlers.on_document = [this](const std::shared_ptr<const Settings::Document>& document)
  { OnDocument(document); };
  handlers.on_weights = [this](const std::string& model, const Control::KnownVersion& known)
  { m_core.OnWeightsNamed(model, known.version, known.since); };
  handlers.on_targets = [this](const std::vector<Gateway::ListedTarget>& targets)
  {
    Gateway::Actions actions;
    m_core.SetTargets(targets, EventLoop::Now(), &actions);
    Carry(actions);
  };
  handlers.on_load = [this](const Gateway::TargetLoad& load)
  {
    Gateway::Actions actions;
    m_core.OnTargetLoad(load, EventLoop::Now(), &actions);
    Carry(actions);
  };
  handlers.on_gateways = [this](const Gateway::GatewayCounts& gateways)
  { m_core.SetGateways(gateways, EventLoop::Now()); };
  handlers.targets_in_use = [this]
  {
    const Gateway::TargetTable& targets = m_core.Targets();
    const TimePoint now = EventLoop::Now();
    return GatewayControl::TargetsInUse{targets.Used(), targets.NeedsOtherHalls(now),
                                        targets.DemandHere(now)};
  };
  handlers.on_wakeup = [this] { Tick(); };
  return handlers;
}

void GatewayNode::OnDocument(const std::shared_ptr<const Settings::Document>& document)
{
  if (!m_core.OfferDocument(document, EventLoop::Now()))
    return;
  const Settings::CallerLimits& limits = document->limits;
  m_limits = {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout};
  for (const auto& [raw, caller] : m_callers)
    caller->SetLimits(m_limits);
}

// --- time ---

void GatewayNode::Reload(ReloadTrigger trigger)
{
  const TimePoint now = EventLoop::Now();
  m_config_file.MarkSeen();
  const auto read = ReadGatewayConfig(m_config.mesh.file);
  if (const auto* problems = std::get_if<Common::Problems>(&read))
    return LogReloadFailed(trigger, *problems, now);
  const auto& fresh = std::get<GatewayConfig>(read);
  const ReloadPlan plan = PlanReload(m_config, fresh);
  LogReload(trigger, plan, now);
  m_config.retries = fresh.retries;
  m_config.ready_path = fresh.ready_path;
  m_config.mesh.stop_within = fresh.mesh.stop_within;
  m_config.mesh.platform = fresh.mesh.platform;
  m_config.mesh.seeds = fresh.mesh.seeds;
  m_config.mesh.switch_within = fresh.mesh.switch_within;
  m_config.mesh.drain_within = fresh.mesh.drain_within;
  m_core.SetRetryLimits(fresh.retries);
  m_core.SetSwitchWithin(fresh.mesh.switch_within);
  m_control.SetConfig(m_config.mesh);
  m_stop.SetWithin(fresh.mesh.stop_within);
}

void GatewayNode::HandleStopSignal()
{
  const TimePoint now = EventLoop::Now();
  LogEvent(Weight::Important, now, "stop.asked", "open_requests", m_core.OpenRequests());
  m_stop.Ask(now);
  CheckStop();
}

void GatewayNode::CheckStop()
{
  using Gateway::StopPhase;
  const StopPhase phase = m_stop.PhaseAt(EventLoop::Now(), m_exchanges.size());
  if (phase == StopPhase::Serving)
    return;
  if (phase != StopPhase::Leaving)
    m_core.StopTaking();
  for (const auto& [raw, caller] : std::map(m_callers))
  {
    // Callers hear of the end with their answer; idle connections go once no new ones come.
    if (!caller->IsIdle() || phase != StopPhase::Leaving)
      caller->CloseSoon();
  }
  if (phase != StopPhase::Ended)
    return;
  LogEvent(Weight::Important, EventLoop::Now(), "stop", "open_requests", m_exchanges.size());
  m_loop.Stop();
}

void GatewayNode::Tick()
{
  const TimePoint now = EventLoop::Now();
  m_tick_due = {};
  m_control.Tick(now);
  Gateway::Actions actions;
  m_core.OnTick(now, &actions);
  Carry(actions);
  if (now >= m_housekeeping_due)
  {
    m_housekeeping_due = now + HOUSEKEEPING_PERIOD;
    m_control.CloseIdle(now);
    m_pool.CloseExpired(now);
    if (m_config_file.HasChanged(now))
      Reload(ReloadTrigger::FileChanged);
    CheckStop();
    Common::EventLog::Instance().Flush();
  }
  ScheduleTick();
}

void GatewayNode::ScheduleTick()
{
  TimePoint next = std::min(m_housekeeping_due, m_control.NextWakeup());
  if (const auto wakeup = m_core.NextWakeup())
    next = std::min(next, *wakeup);
  if (m_tick_due != TimePoint() && m_tick_due <= next)
    return;
  m_tick_due = next;
  m_tick_timer->FireAfter(std::max(next - EventLoop::Now(), Common::Duration::zero()));
}
} // namespace Holdpost::Node
