// SPDX-License-Identifier: Apache-2.0
#include "Node/SidecarNode.h"

#include <algorithm>
#include <csignal>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Node/MeshPlan.h"
#include "Node/Startup.h"

namespace Holdpost::Node
{
using Common::Address;
using Common::Error;
using Common::EventLoop;
using Common::LogEvent;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Common::Weight;
using nlohmann::json;

static constexpr Milliseconds HOUSEKEEPING_PERIOD = Milliseconds(250);

SidecarNode::SidecarNode(EventLoop& loop, const SidecarConfig& config,
                         ControlPeer::ControlPlane& control, ControlPeer::EngineControl& engine)
    : m_loop(loop), m_config(config), m_control(control), m_engine(engine),
      m_mesh(loop, {[this](const Mesh::Sender& from, Mesh::Message& message)
                    {
                      Sidecar::Actions actions;
                      m_core->OnMessage(from, message, EventLoop::Now(), &actions);
                      Carry(actions);
                    },
                    [this](const Address& peer)
                    {
                      Sidecar::Actions actions;
                      m_core->OnPeerDisconnected(peer, EventLoop::Now(), &actions);
                      Carry(actions);
                    }}),
      m_follower(
          {.assumed_age = Control::AssumedAge(config.mesh.switch_within, config.mesh.start_grace),
           .switch_within = config.mesh.switch_within},
          Common::StableHash(config.mesh.instance)),
      m_config_file(config.mesh.file)
{
}

SidecarNode::~SidecarNode() = default;

bool SidecarNode::Listen()
{
  m_admin = std::make_unique<OperatorPeer::AdminPages>(
      m_loop, m_metrics,
      OperatorPeer::AdminSource{
          [this](Common::Metrics& metrics)
          {
            metrics.Set("holdpost_weights_wanted", static_cast<double>(m_core->WantedVersion()));
            metrics.Set("holdpost_weights_loaded", static_cast<double>(m_core->LoadedVersion()));
            metrics.Set("holdpost_crash_records",
                        static_cast<double>(m_core->CrashLedger().Size()));
          },
          [this] { return m_core->HasPlan() ? std::string() : std::string("no plan yet"); },
          [this] { return Status(); }});
  const Result<Address> mesh =
      m_mesh.Listen(m_config.mesh.mesh_listen, {m_config.mesh.instance, m_config.mesh.hall, {}, 0});
  const Result<Address> admin = m_admin->Listen(m_config.mesh.admin_listen);
  for (const Result<Address>* result : {&mesh, &admin})
  {
    if (const auto* error = std::get_if<Error>(result))
    {
      LogEvent(Weight::Important, EventLoop::Now(), "start.failed", "reason", error->message);
      return false;
    }
  }
  const Sidecar::SidecarOptions options{
      m_mesh.Self().address,
      m_config.mesh.hall,
      m_config.target,
      m_config.service,
      m_config.mesh.link_bytes_per_second,
      m_config.mesh.switch_within,
      MeshAddressesOf(m_config.mesh.seeds, m_mesh.Self().address)};
  m_core = std::make_unique<Sidecar::Sidecar>(options, m_metrics);
  LogEvent(Weight::Important, EventLoop::Now(), "start", "instance", m_config.mesh.instance, "hall",
           m_config.mesh.hall, "target", m_config.target.ToString(), "mesh",
           std::get<Address>(mesh).ToString(), "admin", std::get<Address>(admin).ToString(),
           "version", HOLDPOST_VERSION);
  return true;
}

std::string SidecarNode::Status() const
{
  const std::uint64_t wanted = m_core->WantedVersion();
  const json status = {{"instance", m_config.mesh.instance},
                       {"hall", m_config.mesh.hall},
                       {"role", "sidecar"},
                       {"target", m_config.target.ToString()},
                       {"loaded", m_core->LoadedVersion()},
                       {"wanted", wanted},
                       {"pieces_held", m_core->PiecesHeld(wanted)},
                       {"ready", m_core->HasPlan()}};
  return status.dump();
}

int SidecarNode::Run()
{
  PrepareProcess();
  if (!Listen())
  {
    Common::EventLog::Instance().Flush();
    return 1;
  }
  m_tick_timer = m_loop.MakeTimer([this] { Tick(); });
  for (const int signal_number : {SIGTERM, SIGINT})
  {
    m_signals.push_back(m_loop.WatchSignal(signal_number,
                                           [this]
                                           {
                                             LogEvent(Weight::Important, EventLoop::Now(), "stop");
                                             m_loop.Stop();
                                           }));
  }
  m_signals.push_back(m_loop.WatchSignal(SIGHUP, [this] { Reload(ReloadTrigger::Signal); }));
  Tick();
  m_loop.Run();
  Common::EventLog::Instance().Flush();
  return 0;
}

template <typename Event>
void SidecarNode::Feed(Event event)
{
  Sidecar::Actions actions;
  m_core->Handle(event, EventLoop::Now(), &actions);
  Carry(actions);
}

void SidecarNode::Carry(Sidecar::Actions& actions)
{
  for (const Sidecar::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
  ScheduleTick();
}

void SidecarNode::Do(const Sidecar::ReadReport& /*read*/)
{
  m_engine.ReadReport([this](Result<Sidecar::EngineReport> result)
                      { Feed(Sidecar::ReportRead{std::move(result)}); });
}

void SidecarNode::Do(const Sidecar::ReadIdentity& read)
{
  m_engine.ReadIdentity(read, [this](Result<std::string> result)
                        { Feed(Sidecar::IdentityRead{std::move(result)}); });
}

void SidecarNode::Do(const Sidecar::ListStaged& list)
{
  m_engine.ListStaged(list, [this](Result<std::vector<std::uint32_t>> result)
                      { Feed(Sidecar::StagedListed{std::move(result)}); });
}

void SidecarNode::Do(const Sidecar::ReadStaged& read)
{
  m_engine.ReadStaged(read,
                      [this, ticket = read.ticket, piece = read.piece](Result<Common::Bytes> result)
                      {
                        Feed(Sidecar::StagedRead{ticket, piece, std::move(result)});
                      });
}

void SidecarNode::Do(const Sidecar::StagePiece& stage)
{
  m_engine.StagePiece(
      stage,
      [this, ticket = stage.ticket, piece = stage.piece](Result<std::monostate> result) {
        Feed(Sidecar::PieceStaged{ticket, piece, std::move(result)});
      });
}

void SidecarNode::Do(const Sidecar::LoadStagedWeights& start)
{
  m_engine.Start(start,
                 [this, ticket = start.ticket](Result<Sidecar::OrderOutcome> result) {
                   Feed(Sidecar::LoadAnswered{ticket, std::move(result)});
                 });
}

void SidecarNode::Do(const Sidecar::FetchFromOrigin& fetch)
{
  const Distribution::FetchId id = fetch.id;
  m_origin_calls[id] =
      m_engine.FetchFromOrigin(fetch,
                               [this, id](Result<Common::Bytes> result)
                               {
                                 m_origin_calls.erase(id);
                                 Feed(Sidecar::OriginFetched{id, std::move(result)});
                               });
}

void SidecarNode::Do(const Sidecar::CancelOriginFetch& cancel)
{
  if (const auto call = m_origin_calls.extract(cancel.id))
    m_engine.CancelFetch(call.mapped());
}

void SidecarNode::Do(const Sidecar::SendMessage& tell)
{
  if (tell.may_be_lost)
    m_mesh.SendDatagram(tell.to, tell.message);
  else
    m_mesh.Send(tell.to, tell.message);
}

void SidecarNode::FollowControl()
{
  const TimePoint now = EventLoop::Now();
  m_follower.OnRunning(now);
  // Gateways of the hall tell what is needed; without them the platform is asked directly.
  if (!m_core->IsIsolated(now))
    return;
  // What the platform tells is compared with what gateways have told.
  for (const Control::KnownVersion& known : m_core->NamedVersions().All())
    m_follower.OfferWeights({m_core->Model(), known.version}, known.since);
  if (const auto& told = m_core->VersionsReportedUntil())
    m_follower.OnAllVersionsAnnounced(*told);
  Control::Actions actions;
  m_follower.OnTick(now, &actions);
  for (const Control::Action& action : actions)
  {
    if (const auto* read = std::get_if<Control::ReadOperatorChanges>(&action))
    {
      m_control.ReadOperatorChanges(
          *read,
          [this, number = read->number](const Result<Control::OperatorChanges>& result)
          {
            if (m_follower.OnOperatorRead(result, EventLoop::Now(), number))
              ApplyControl();
          });
    }
    if (const auto* read = std::get_if<Control::ReadTargets>(&action))
    {
      m_control.ReadTargets(*read,
                            [this](const Result<Control::TargetsRead>& result)
                            {
                              if (m_follower.OnTargetsRead(result, EventLoop::Now()))
                                ApplyControl();
                            });
    }
  }
}

void SidecarNode::ApplyControl()
{
  const TimePoint now = EventLoop::Now();
  const auto plan = m_follower.Document() ? PlanOf(*m_follower.Document(), m_config.service)
                                          : std::optional<Mesh::WeightsPlan>();
  if (!plan)
    return;
  m_core->OnPlan(*plan, now);
  for (const auto& [model, versions] : m_follower.Weights())
  {
    for (const Control::KnownVersion& known : versions.All())
      m_core->OnWeights({model, known.version}, known.since);
  }
  Sidecar::Actions actions;
  if (m_follower.HasTargets())
  {
    m_core->OnPeers(SidecarsOf(m_follower.Targets(), plan->service, m_mesh.Self().address.port),
                    now, &actions);
  }
  Carry(actions);
}

void SidecarNode::Reload(ReloadTrigger trigger)
{
  const TimePoint now = EventLoop::Now();
  m_config_file.MarkSeen();
  const auto read = ReadSidecarConfig(m_config.mesh.file);
  if (const auto* problems = std::get_if<Common::Problems>(&read))
    return LogReloadFailed(trigger, *problems, now);
  const auto& fresh = std::get<SidecarConfig>(read);
  LogReload(trigger, PlanReload(m_config, fresh), now);
  m_config.mesh.platform = fresh.mesh.platform;
  m_config.mesh.seeds = fresh.mesh.seeds;
  m_config.mesh.switch_within = fresh.mesh.switch_within;
  m_config.mesh.drain_within = fresh.mesh.drain_within;
  m_config.mesh.stop_within = fresh.mesh.stop_within;
  m_control.SetAddress(fresh.mesh.platform);
  m_core->SetSwitchWithin(fresh.mesh.switch_within);
  m_follower.SetSwitchWithin(fresh.mesh.switch_within);
  m_core->SetSeeds(MeshAddressesOf(fresh.mesh.seeds, m_mesh.Self().address));
}

void SidecarNode::Tick()
{
  const TimePoint now = EventLoop::Now();
  m_tick_due = {};
  Sidecar::Actions actions;
  m_core->OnTick(now, &actions);
  Carry(actions);
  if (now >= m_housekeeping_due)
  {
    m_housekeeping_due = now + HOUSEKEEPING_PERIOD;
    FollowControl();
    m_mesh.CloseIdle(now);
    if (m_config_file.HasChanged(now))
      Reload(ReloadTrigger::FileChanged);
    Common::EventLog::Instance().Flush();
  }
  ScheduleTick();
}

void SidecarNode::ScheduleTick()
{
  const TimePoint now = EventLoop::Now();
  const TimePoint next = std::min(m_housekeeping_due, m_core->NextWakeup(now));
  if (m_tick_due != TimePoint() && m_tick_due <= next)
    return;
  m_tick_due = next;
  m_tick_timer->FireAfter(std::max(next - now, Common::Duration::zero()));
}
} // namespace Holdpost::Node
