// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayControl.h"

#include <algorithm>
#include <set>

#include "Common/EventLog.h"
#include "Common/Hash.h"
#include "Common/Mailbox.h"
#include "Node/MeshPlan.h"

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

static Control::FollowerOptions FollowerOptionsOf(const MeshConfig& config)
{
  Control::FollowerOptions options;
  options.list_period = Control::ListPeriod(config.drain_within);
  options.assumed_age = Control::AssumedAge(config.switch_within, config.start_grace);
  options.switch_within = config.switch_within;
  return options;
}

GatewayControl::GatewayControl(EventLoop& loop, const MeshConfig& config,
                               ControlPeer::ControlPlane& control, Handlers handlers)
    : m_config(config), m_random(Common::StableHash(config.instance)), m_control(control),
      m_handlers(std::move(handlers)),
      m_follower(FollowerOptionsOf(config), Common::StableHash(config.instance)),
      m_duty(Control::ReaderRankOf(config.mesh_listen), Common::StableHash(config.instance)),
      m_seed_query(MeshAddressesOf(config.seeds, config.mesh_listen)),
      m_briefing(config.hall, Common::StableHash(config.instance)),
      m_membership(config.mesh_listen, config.hall,
                   MeshAddressesOf(config.seeds, config.mesh_listen)),
      m_crash_recorder(Common::StableHash(config.instance)),
      m_mesh(loop, {[this](const Mesh::Sender& from, Mesh::Message& message)
                    {
                      m_handlers.on_message();
                      OnMessage(from, message);
                    },
                    [](const Address&) {}})
{
  m_briefing.SetSwitchWithin(config.switch_within);
}

Result<Address> GatewayControl::Listen()
{
  const bool is_seed = std::ranges::any_of(m_config.seeds, [this](const Address& seed)
                                           { return seed.host == m_config.mesh_listen.host; });
  // Others turn to seeds, so these ask the platform themselves.
  if (!is_seed && !m_config.seeds.empty())
  {
    m_duty.WaitForPeerState(EventLoop::Now());
    m_follower.SetReading(false);
  }
  return m_mesh.Listen(m_config.mesh_listen, {m_config.instance, m_config.hall, {}, 0});
}

void GatewayControl::SetConfig(const MeshConfig& config)
{
  m_config.platform = config.platform;
  m_config.seeds = config.seeds;
  m_config.drain_within = config.drain_within;
  m_control.SetAddress(config.platform);
  m_follower.SetSwitchWithin(config.switch_within);
  m_briefing.SetSwitchWithin(config.switch_within);
  m_seed_query.SetPeers(MeshAddressesOf(config.seeds, m_config.mesh_listen));
  m_membership.SetSeeds(MeshAddressesOf(config.seeds, m_config.mesh_listen));
  m_follower.SetListPeriod(Control::ListPeriod(config.drain_within));
}

// --- time ---

void GatewayControl::Tick(TimePoint now)
{
  UpdateDuty(now);
  m_briefing.SetIsReader(m_duty.IsReader());
  FollowPlatform(now);
  SearchGateways(now);
  QuerySeeds(now);
  if (m_duty.IsReader() && now >= m_beat_due)
    Beat(now);
  UpdateTargetsInUse();
  SendCrashChanges(now);
  AskForCrashRecords(now);
  RecordCrashes(now);
  m_briefing.SetCrashes(m_handlers.crash_ledger().StateHash());
  std::vector<Mesh::Outgoing> outgoing;
  m_briefing.OnTick(now, &outgoing);
  for (const Mesh::Outgoing& out : outgoing)
    m_mesh.SendDatagram(out.to, out.message);
}

void GatewayControl::UpdateTargetsInUse()
{
  const TargetsInUse in_use = m_handlers.targets_in_use();
  Mesh::TargetUse use;
  use.needs_other_halls = in_use.needs_other_halls;
  use.demand = in_use.demand;
  use.near_gateways = static_cast<std::uint32_t>(m_membership.HallGatewayCount());
  for (const Address& target : in_use.targets)
    use.sidecars.insert({target.host, m_mesh.Self().address.port});
  m_sidecars_in_use = use.sidecars;
  m_briefing.SetTargetUse(std::move(use));
}

void GatewayControl::SendWorkUpdate(const Address& target, const Gateway::GatewayWork& work)
{
  m_mesh.SendDatagram({target.host, m_mesh.Self().address.port}, Mesh::WorkUpdate{work});
}

void GatewayControl::SendLimitUpdate(const Address& target, std::optional<double> per_second)
{
  m_mesh.SendDatagram({target.host, m_mesh.Self().address.port}, Mesh::LimitUpdate{per_second});
}

void GatewayControl::SendLeaving(const Gateway::LeavingTarget& target)
{
  for (const Address& gateway : m_membership.Others(EventLoop::Now()))
    m_mesh.Send(gateway, Mesh::LeavingTargets{{target}});
}

TimePoint GatewayControl::NextWakeup() const
{
  const TimePoint beat_due = m_duty.IsReader() ? m_beat_due : TimePoint::max();
  const Crashes::CrashLedger& ledger = m_handlers.crash_ledger();
  const TimePoint crashes_due = std::min(
      {Crashes::CrashExchange::NextWakeup(ledger).value_or(TimePoint::max()),
       m_crash_recorder.NextWakeup(ledger), m_catch_up.NextWakeup().value_or(TimePoint::max())});
  return std::min({m_follower.NextWakeup(), m_briefing.NextWakeup(), m_seed_query.NextWakeup(),
                   m_membership.NextWakeup(), m_duty.NextWakeup(), beat_due, crashes_due});
}

// --- the platform ---

void GatewayControl::UpdateDuty(TimePoint now)
{
  m_duty.SetProcessCount(m_membership.HallGatewayCount());
  switch (m_duty.OnTick(m_follower.LastAnswer(), now))
  {
  case Control::ReadingChange::None:
    return;
  case Control::ReadingChange::Begins:
    LogEvent(Weight::Important, now, "reader.begins", "settings", m_follower.Version(),
             "targets_at", m_follower.TargetsPosition());
    m_follower.SetReading(true);
    // The others need not begin, too.
    Beat(now);
    return;
  case Control::ReadingChange::Ends:
    LogEvent(Weight::Important, now, "reader.ends", "reader", "others that ask in vain, too");
    m_follower.SetReading(false);
    return;
  }
}

void GatewayControl::FollowPlatform(TimePoint now)
{
  Control::Actions actions;
  m_follower.OnTick(now, &actions);
  for (const Control::Action& action : actions)
    std::visit([this](const auto& read) { Ask(read); }, action);
}

void GatewayControl::Ask(const Control::ReadOperatorChanges& read)
{
  m_control.ReadOperatorChanges(
      read,
      [this, number = read.number](const Result<Control::OperatorChanges>& result)
      {
        const TimePoint now = EventLoop::Now();
        const auto version = m_follower.Version();
        const bool is_news = m_follower.OnOperatorRead(result, now, number);
        if (m_follower.Version() > version)
          PassOnDocument(now);
        if (is_news)
        {
          ApplyOperator();
          Beat(now);
        }
        m_handlers.on_wakeup();
      });
}

void GatewayControl::Ask(const Control::ReadTargets& read)
{
  m_control.ReadTargets(read,
                        [this](const Result<Control::TargetsRead>& result)
                        {
                          const TimePoint now = EventLoop::Now();
                          if (m_follower.OnTargetsRead(result, now))
                          {
                            PassOnTargets(now);
                            ApplyTargets();
                          }
                          if (Common::Succeeded(result))
                            Beat(now);
                          m_handlers.on_wakeup();
                        });
}

void GatewayControl::QuerySeeds(TimePoint now)
{
  const bool is_told = m_follower.IsReachable() || !m_duty.IsReader();
  const auto peer = m_seed_query.OnTick(
      is_told, KnowsAll() ? Control::Knowledge::Whole : Control::Knowledge::Partial, now);
  if (peer)
    AskPeer(*peer);
}

// --- what is applied ---

void GatewayControl::ApplyOperator()
{
  if (m_follower.Document())
    m_handlers.on_document(m_follower.Document());
  for (const auto& [model, versions] : m_follower.Weights())
  {
    for (const Control::KnownVersion& known : versions.All())
      m_handlers.on_weights(model, known);
  }
  UpdateBriefing();
}

void GatewayControl::ApplyTargets()
{
  m_handlers.on_targets(m_follower.Targets());
  UpdateBriefing();
}

void GatewayControl::UpdateBriefing()
{
  if (!m_follower.Document())
    return;
  const auto plan = PlanOf(*m_follower.Document());
  if (!plan)
    return;
  m_briefing.SetSettings(m_follower.Document()->version);
  const TimePoint now = EventLoop::Now();
  m_briefing.SetPlan(*plan, m_follower.Version(), now);
  const std::vector<Gateway::ListedTarget> targets = m_follower.Targets();
  m_briefing.SetSidecars(SidecarsOf(targets, plan->service, m_mesh.Self().address.port),
                         m_follower.LastTargetsChange(), now);
  // Weights that some target has were named once, though the record may be gone.
  for (const Gateway::ListedTarget& target : targets)
  {
    if (target.service == plan->service && target.weights_version > 0)
      m_briefing.SetWeights({plan->model, target.weights_version}, {now, true});
  }
  for (const auto& [model, versions] : m_follower.Weights())
  {
    for (const Control::KnownVersion& known : versions.All())
      m_briefing.SetWeights({model, known.version}, known.since);
  }
}

} // namespace Holdpost::Node
