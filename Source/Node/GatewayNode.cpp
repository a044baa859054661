// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayNode.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Common/Mailbox.h"
#include "Common/UnreadableRecords.h"
#include "Node/Startup.h"
#include "Peers/Target/TargetMessage.h"

namespace Holdpost::Node
{
using Common::Address;
using Common::Error;
using Common::EventLoop;
using Common::HttpExchange;
using Common::LogEvent;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Common::Weight;
using nlohmann::json;

static constexpr Milliseconds HOUSEKEEPING_PERIOD = Milliseconds(250);
// A process that has not ticked for this time has been frozen, or its machine was suspended.
static constexpr Milliseconds STALL_TIME = Milliseconds(1000);
// The time after that in which it reads what others sent meanwhile, if it knows of none that it
// could ask.
static constexpr Common::Duration READING_TIME = Milliseconds(150);

GatewayNode::GatewayNode(EventLoop& loop, const GatewayConfig& config,
                         ControlPeer::ControlPlane& control, TargetPeer::HeaderNames names)
    : m_loop(loop), m_config(config), m_names(std::move(names)),
      m_known_answer_fields(TargetPeer::KnownAnswerFields(m_names)),
      m_core({config.mesh.hall, config.retries, config.mesh.switch_within,
              Common::StableHash(config.mesh.instance), EventLoop::Now()},
             m_metrics),
      m_memory(loop.Buffers(), MaxBufferBytes(config.memory_bytes), m_metrics,
               [this](CallerPeer::CallerConnection& caller)
               { RefusePartial(caller, Gateway::MemoryFullError()); }),
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
  return !m_stop.IsStopRequested() && m_core.Version() > 0 && m_control.HasTargets();
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
            metrics.Set("holdpost_reads_platform", m_control.IsReader() ? 1 : 0);
            metrics.Set("holdpost_platform_era", static_cast<double>(m_control.PlatformEra()));
            metrics.Set("holdpost_targets_leaving",
                        static_cast<double>(m_core.Targets().Leaving().size()));
            metrics.Set("holdpost_targets_known", static_cast<double>(m_core.Targets().Size()));
            metrics.Set("holdpost_targets_reported",
                        static_cast<double>(m_core.Targets().ReportedCount()));
            metrics.Set("holdpost_switch_deadlines",
                        static_cast<double>(m_core.Deadlines().Count()));
            metrics.Set("holdpost_switch_deadlines_merged",
                        static_cast<double>(m_core.Deadlines().MergedCount()));
            metrics.Set("holdpost_crash_records", static_cast<double>(m_core.CrashLedger().Size()));
            metrics.Set("holdpost_blocked_requests",
                        static_cast<double>(m_core.CrashLedger().Blocked().size()));
            metrics.Set("holdpost_answers_ended_with_target",
                        static_cast<double>(m_core.AnswersEndedWithTarget()));
            m_memory.SetMetrics(metrics);
            metrics.Set("holdpost_unread_fields",
                        static_cast<double>(Common::UnreadFields::Instance().Count()));
            metrics.Set("holdpost_records_unreadable",
                        static_cast<double>(Common::UnreadableRecords::Instance().Count()));
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
           std::get<Address>(results[3]).ToString(), "version", HOLDPOST_VERSION, "buffer_bytes",
           MaxBufferBytes(m_config.memory_bytes));
  return true;
}

std::string GatewayNode::Status()
{
  const json status = {{"instance", m_config.mesh.instance},
                       {"hall", m_config.mesh.hall},
                       {"role", "gateway"},
                       {"settings", m_core.Version()},
                       {"reads_platform", m_control.IsReader()},
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

// --- what is in force ---

GatewayControl::Handlers GatewayNode::ControlHandlers()
{
  GatewayControl::Handlers handlers;
  handlers.on_document = [this](const std::shared_ptr<const Settings::Document>& document)
  { OnDocument(document); };
  handlers.on_weights = [this](const std::string& model, const Control::KnownVersion& known)
  { m_core.OnWeightsNamed(model, known, EventLoop::Now()); };
  handlers.on_targets = [this](const std::vector<Gateway::ListedTarget>& targets)
  {
    Gateway::Actions actions;
    m_core.SetTargets(targets, CheckedNow(), &actions);
    Carry(actions);
  };
  handlers.on_load = [this](const Gateway::TargetLoad& load)
  {
    Gateway::Actions actions;
    m_core.OnTargetLoad(load, CheckedNow(), &actions);
    Carry(actions);
  };
  handlers.on_gateways = [this](const Gateway::GatewayCounts& gateways)
  { m_core.SetGateways(gateways, EventLoop::Now()); };
  handlers.on_crash_records = [this](const std::vector<Crashes::CrashRecord>& records)
  {
    Gateway::Actions actions;
    m_core.OnCrashRecords(records, EventLoop::Now(), &actions);
    Carry(actions);
  };
  // Messages may have waited while the process stood still.
  handlers.on_message = [this] { CheckedNow(); };
  handlers.on_engine_end = [this](const Crashes::EngineEnd& end)
  {
    Gateway::Actions actions;
    m_core.OnEngineEnd(end, CheckedNow(), &actions);
    Carry(actions);
  };
  handlers.on_leaving = [this](const std::vector<Gateway::LeavingTarget>& targets)
  { m_core.OnLeavingTargets(targets, EventLoop::Now()); };
  handlers.leaving_targets = [this] { return m_core.Targets().Leaving(); };
  handlers.crash_ledger = [this]() -> Crashes::CrashLedger& { return m_core.CrashLedger(); };
  handlers.targets_in_use = [this]
  {
    const Gateway::TargetTable& targets = m_core.Targets();
    const TimePoint now = EventLoop::Now();
    return GatewayControl::TargetsInUse{targets.UsedAddresses(), targets.NeedsOtherHalls(now),
                                        targets.CurrentDemand(now)};
  };
  handlers.on_caught_up = [this] { EndHold(); };
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
  m_config.memory_bytes = fresh.memory_bytes;
  m_memory.SetMaxBytes(MaxBufferBytes(fresh.memory_bytes));
  m_config.mesh.stop_within = fresh.mesh.stop_within;
  m_config.mesh.platform = fresh.mesh.platform;
  m_config.mesh.seeds = fresh.mesh.seeds;
  m_config.mesh.switch_within = fresh.mesh.switch_within;
  m_config.mesh.drain_within = fresh.mesh.drain_within;
  m_core.SetRetryLimits(fresh.retries, now);
  m_core.SetSwitchWithin(fresh.mesh.switch_within);
  m_control.SetConfig(m_config.mesh);
  m_stop.SetStopWithin(fresh.mesh.stop_within);
}

void GatewayNode::HandleStopSignal()
{
  const TimePoint now = EventLoop::Now();
  LogEvent(Weight::Important, now, "stop.asked", "open_requests", m_core.OpenRequests());
  m_stop.RequestStop(now);
  CheckStop();
}

std::size_t GatewayNode::UnsentAnswers() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
      m_callers, [](const auto& entry) { return entry.second->HasUnsentAnswer(); }));
}

void GatewayNode::CheckStop()
{
  using Gateway::StopPhase;
  if (!m_stop.IsStopRequested())
    return;
  m_core.SetAnswersDue(*m_stop.AnswersDue());
  const TimePoint now = EventLoop::Now();
  const bool accepts = m_stop.Accepts(now);
  if (!accepts)
    m_core.StopAccepting();
  for (const auto& [raw, caller] : std::map(m_callers))
  {
    if (!accepts && caller->IsReadingBody())
      RefuseUpload(*caller);
    // Callers are told of the end with their answer; idle connections go once no new ones come.
    if (!caller->IsIdle() || !accepts)
      caller->CloseSoon();
  }
  const std::size_t unsent = UnsentAnswers();
  const StopPhase phase = m_stop.PhaseAt(now, m_exchanges.size() + unsent);
  if (phase != StopPhase::Ended)
    return;
  LogEvent(Weight::Important, now, "stop", "open_requests", m_exchanges.size(), "unsent_answers",
           unsent);
  m_loop.Stop();
}

void GatewayNode::CheckStall(TimePoint now)
{
  const TimePoint before = std::exchange(m_checked_at, now);
  if (before == TimePoint() || now - before < STALL_TIME)
    return;
  LogEvent(Weight::Important, now, "process.stalled", "for_ms", now - before);
  const bool asks_others = m_control.CatchUp(now);
  m_core.HoldDispatch(now + (asks_others ? Crashes::LedgerCatchUp::MAX_TIME : READING_TIME));
  ScheduleTick();
}

void GatewayNode::EndHold()
{
  const TimePoint now = EventLoop::Now();
  m_core.HoldDispatch(now);
  Gateway::Actions actions;
  m_core.OnTick(now, &actions);
  Carry(actions);
}

TimePoint GatewayNode::CheckedNow()
{
  const TimePoint now = EventLoop::Now();
  CheckStall(now);
  return now;
}

void GatewayNode::Tick()
{
  const TimePoint now = CheckedNow();
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
    m_memory.Review(now);
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
