// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayControl.h"

#include <algorithm>
#include <set>

#include "Common/Compression.h"
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

static constexpr Milliseconds BEAT_PERIOD = Milliseconds(300);
// A peer that was asked is given so long to answer.
static constexpr Milliseconds ASK_PAUSE = Milliseconds(600);
// No settings document is longer.
static constexpr std::size_t DOCUMENT_BYTES_MOST = 16 << 20;

static Control::ReaderRank RankOf(const Address& gateway)
{
  return Common::StableHash(gateway.ToString());
}

GatewayControl::GatewayControl(EventLoop& loop, const MeshConfig& config,
                               ControlPeer::ControlPlane& control, Handlers handlers)
    : m_config(config), m_control(control), m_handlers(std::move(handlers)),
      m_follower({Control::ListPeriod(config.drain_within)}, Common::StableHash(config.instance)),
      m_duty(RankOf(config.mesh_listen), Common::StableHash(config.instance)),
      m_seed_query(MeshAddressesOf(config.seeds, config.mesh_listen)),
      m_briefing(config.hall, Common::StableHash(config.instance)),
      m_membership(config.mesh_listen, config.hall,
                   MeshAddressesOf(config.seeds, config.mesh_listen)),
      m_mesh(loop, {[this](const Mesh::Sender& from, Mesh::Message& message)
                    { OnMessage(from, message); },
                    [](const Address&) {}})
{
}

Result<Address> GatewayControl::Listen()
{
  return m_mesh.Listen(m_config.mesh_listen, {m_config.instance, m_config.hall, {}, 0});
}

void GatewayControl::SetConfig(const MeshConfig& config)
{
  m_config.platform = config.platform;
  m_config.seeds = config.seeds;
  m_config.drain_within = config.drain_within;
  m_control.SetAddress(config.platform);
  m_seed_query.SetPeers(MeshAddressesOf(config.seeds, m_config.mesh_listen));
  m_membership.SetSeeds(MeshAddressesOf(config.seeds, m_config.mesh_listen));
  m_follower.SetListPeriod(Control::ListPeriod(config.drain_within));
}

// --- time ---

void GatewayControl::Tick(TimePoint now)
{
  UpdateDuty(now);
  m_briefing.SetReads(m_duty.Reads());
  FollowPlatform(now);
  SearchGateways(now);
  QuerySeeds(now);
  if (m_duty.Reads() && now >= m_beat_due)
    Beat(now);
  UpdateTargetsInUse();
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
  use.near_gateways = static_cast<std::uint32_t>(m_membership.Near());
  for (const Address& target : in_use.targets)
    use.sidecars.insert({target.host, m_mesh.Self().address.port});
  m_briefing.SetUse(std::move(use));
}

void GatewayControl::TellWork(const Address& target, const Gateway::OwnWork& work)
{
  m_mesh.SendDatagram({target.host, m_mesh.Self().address.port}, Mesh::TellWork{work});
}

TimePoint GatewayControl::NextWakeup() const
{
  const TimePoint beat_due = m_duty.Reads() ? m_beat_due : TimePoint::max();
  return std::min({m_follower.NextWakeup(), m_briefing.NextWakeup(), m_seed_query.NextWakeup(),
                   m_membership.NextWakeup(), m_duty.NextWakeup(), beat_due});
}

// --- the platform ---

void GatewayControl::UpdateDuty(TimePoint now)
{
  m_duty.SetMembers(m_membership.Near());
  switch (m_duty.OnTick(m_follower.LastAnswer(), now))
  {
  case Control::DutyChange::None:
    return;
  case Control::DutyChange::Begins:
    LogEvent(Weight::Important, now, "reader.begins", "settings", m_follower.Version(),
             "targets_at", m_follower.TargetsPosition());
    m_follower.SetReading(true);
    // The others need not begin, too.
    Beat(now);
    return;
  case Control::DutyChange::Ends:
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

void GatewayControl::Ask(const Control::ReadOperator& read)
{
  m_control.ReadOperator(read,
                         [this](const Result<Control::OperatorRead>& result)
                         {
                           const TimePoint now = EventLoop::Now();
                           const auto version = m_follower.Version();
                           const bool is_news = m_follower.OnOperatorRead(result, now);
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
  const bool knows_all = m_follower.Document() && m_follower.HasTargets();
  const bool is_told = m_follower.IsReachable() || !m_duty.Reads();
  const auto peer = m_seed_query.OnTick(
      is_told, knows_all ? Control::Knowledge::Whole : Control::Knowledge::Partial, now);
  if (!peer)
    return;
  m_mesh.Send(*peer, Mesh::AskDocument{m_follower.Version()});
  m_mesh.Send(*peer, Mesh::AskTargets{m_follower.TargetsPosition()});
}

void GatewayControl::SearchGateways(TimePoint now)
{
  for (const Address& seed : m_membership.SeedsToAsk(!m_duty.Reads(), now))
    m_mesh.SendDatagram(seed, Mesh::AskGateways{true});
}

// --- what is passed on to the hall ---

void GatewayControl::Beat(TimePoint now)
{
  m_beat_due = now + BEAT_PERIOD;
  if (!m_duty.Reads() || m_follower.LastAnswer() == TimePoint())
    return;
  const Mesh::ReaderBeat beat = MakeBeat(now);
  for (const Address& gateway : m_membership.Others(now))
    m_mesh.SendDatagram(gateway, beat);
}

Mesh::ReaderBeat GatewayControl::MakeBeat(TimePoint now) const
{
  Mesh::ReaderBeat beat;
  beat.targets = m_follower.TargetsPosition();
  beat.targets_changed = m_follower.TargetsChanged();
  beat.settings = m_follower.Version();
  beat.weights = m_briefing.ToldAt(now);
  beat.answer_age = std::chrono::duration_cast<Milliseconds>(now - m_follower.LastAnswer());
  return beat;
}

Mesh::TellDocument GatewayControl::PackDocument(Settings::DocumentVersion base) const
{
  const bool has_base = base > 0 && base == m_follower.VersionBefore();
  const std::string& text = *m_follower.DocumentText();
  const std::string packed =
      has_base ? Common::Compress(text, *m_follower.TextBefore()) : Common::Compress(text);
  return {m_follower.Version(), has_base ? base : 0, Common::MakeBytes(packed)};
}

void GatewayControl::PassOnDocument(TimePoint now)
{
  if (!m_duty.Reads())
    return;
  const std::vector<Address> gateways = m_membership.Others(now);
  if (gateways.empty())
    return;
  const Mesh::TellDocument tell = PackDocument(m_follower.VersionBefore());
  for (const Address& gateway : gateways)
    m_mesh.Send(gateway, tell);
}

void GatewayControl::PassOnTargets(TimePoint now)
{
  if (!m_duty.Reads())
    return;
  for (const Address& gateway : m_membership.Others(now))
    m_mesh.Send(gateway, Mesh::TellTargets{m_follower.LastTargetsNews()});
}

void GatewayControl::AnswerDocument(const Address& to, Settings::DocumentVersion newer_than)
{
  const bool is_newer = m_follower.Document() && m_follower.Version() > newer_than;
  if (is_newer && m_document_pacing.Take(to, m_follower.Version(), EventLoop::Now()))
    m_mesh.Send(to, PackDocument(newer_than));
}

void GatewayControl::AnswerTargets(const Address& to, Control::Position newer_than)
{
  const bool is_newer = m_follower.HasTargets() && m_follower.TargetsPosition() > newer_than;
  if (is_newer && m_targets_pacing.Take(to, m_follower.TargetsPosition(), EventLoop::Now()))
    m_mesh.Send(to, Mesh::TellTargets{m_follower.WholeTargets()});
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
                         m_follower.TargetsChanged(), now);
  // Weights that some target has were named once, though the record may be gone.
  for (const Gateway::ListedTarget& target : targets)
  {
    if (target.service == plan->service && target.weights_version > 0)
      m_briefing.SetWeights({plan->model, target.weights_version}, now);
  }
  for (const auto& [model, versions] : m_follower.Weights())
  {
    for (const Control::KnownVersion& known : versions.All())
      m_briefing.SetWeights({model, known.version}, known.since);
  }
}

// --- what peers say ---

void GatewayControl::OnMessage(const Mesh::Sender& from, Mesh::Message& message)
{
  std::visit(
      Common::Overloaded{
          [&](const Mesh::LoadReport& report) { OnLoadReport(from, report); },
          [&](const Mesh::ReaderBeat& beat) { OnReaderBeat(from, beat); },
          [&](const Mesh::AskDocument& ask) { AnswerDocument(from.address, ask.newer_than); },
          [&](const Mesh::TellDocument& tell) { OnDocument(from, tell); },
          [&](const Mesh::AskTargets& ask) { AnswerTargets(from.address, ask.newer_than); },
          [&](const Mesh::TellTargets& tell) { OnTargets(from, tell); },
          [&](const Mesh::AskGateways& ask)
          { m_mesh.SendDatagram(from.address, m_membership.OnAsked(from, ask, EventLoop::Now())); },
          [&](const Mesh::TellGateways& tell) { OnGateways(tell.gateways); },
          [&](const Mesh::AskBriefing&)
          { m_mesh.Send(from.address, m_briefing.WholeHello(EventLoop::Now())); },
          [](const auto&) {}},
      message);
}

bool GatewayControl::OfferWeights(const std::vector<Mesh::ToldWeights>& weights, TimePoint now)
{
  bool is_news = false;
  for (const Mesh::ToldWeights& told : weights)
    is_news = m_follower.OfferWeights(told.named, now - told.known) || is_news;
  return is_news;
}

void GatewayControl::OnLoadReport(const Mesh::Sender& from, const Mesh::LoadReport& report)
{
  const TimePoint now = EventLoop::Now();
  m_membership.OnNamed(report.near_gateways, now);
  m_briefing.OnReported(from.address, report.stamp, now);
  m_handlers.on_gateways(m_membership.OnCounted(report.gateways, now));
  if (const auto ask = m_follower.OnPeerVersion(report.settings, now))
    m_mesh.Send(report.settings_at, Mesh::AskDocument{*ask});
  if (OfferWeights(report.weights, now))
    ApplyOperator();
  Gateway::TargetLoad load = report.load;
  load.round_trip = Mesh::RoundTrip(report, now).value_or(Milliseconds(0));
  m_handlers.on_load(load);
}

void GatewayControl::OnGateways(const std::vector<Address>& gateways)
{
  const TimePoint now = EventLoop::Now();
  if (m_membership.OnNamed(gateways, now))
    Beat(now);
}

void GatewayControl::OnReaderBeat(const Mesh::Sender& from, const Mesh::ReaderBeat& beat)
{
  if (from.hall != m_config.hall)
    return;
  const TimePoint now = EventLoop::Now();
  const bool did_read = m_duty.Reads();
  const bool is_new = m_membership.OnNamed({from.address}, now);
  m_duty.OnReaderHeard(RankOf(from.address), beat.answer_age, now);
  // A gateway that has just started reads until it hears of a reader.
  if (is_new && m_duty.Reads() && m_follower.LastAnswer() != TimePoint())
    m_mesh.SendDatagram(from.address, MakeBeat(now));
  if (did_read && !m_duty.Reads())
  {
    LogEvent(Weight::Important, now, "reader.ends", "reader", from.instance);
    m_follower.SetReading(false);
  }
  if (OfferWeights(beat.weights, now))
    ApplyOperator();
  if (m_follower.MissesTargets(beat.targets, beat.targets_changed) && now >= m_ask_targets_due)
  {
    m_ask_targets_due = now + ASK_PAUSE;
    m_mesh.Send(from.address, Mesh::AskTargets{m_follower.TargetsPosition()});
  }
  if (beat.settings > m_follower.Version() && now >= m_ask_document_due)
  {
    m_ask_document_due = now + ASK_PAUSE;
    m_mesh.Send(from.address, Mesh::AskDocument{m_follower.Version()});
  }
}

void GatewayControl::OnDocument(const Mesh::Sender& from, const Mesh::TellDocument& tell)
{
  if (tell.version <= m_follower.Version() || !tell.packed)
    return;
  if (tell.base > 0 && tell.base != m_follower.Version())
  {
    m_mesh.Send(from.address, Mesh::AskDocument{m_follower.Version()});
    return;
  }
  const std::string base = tell.base > 0 ? *m_follower.DocumentText() : "";
  auto text = Common::Decompress(*tell.packed, base, DOCUMENT_BYTES_MOST);
  if (!text)
  {
    LogEvent(Weight::Important, EventLoop::Now(), "settings.unreadable", "version", tell.version,
             "peer", from.instance);
    return;
  }
  auto parsed = m_control.ParseDocument(*text);
  auto* document = std::get_if<Settings::Document>(&parsed);
  if (!document)
    return;
  LogEvent(Weight::Important, EventLoop::Now(), "settings.from_peer", "version", document->version,
           "peer", from.instance);
  const auto shared = std::make_shared<const Settings::Document>(std::move(*document));
  if (m_follower.OfferDocument(shared, Common::MakeBytes(std::move(*text))))
    ApplyOperator();
}

void GatewayControl::OnTargets(const Mesh::Sender& from, const Mesh::TellTargets& tell)
{
  if (!m_follower.OfferTargets(tell.news))
    return;
  LogEvent(Weight::Ordinary, EventLoop::Now(), "targets.from_peer", "position", tell.news.position,
           "changes", tell.news.changes.size(), "peer", from.instance);
  ApplyTargets();
}
} // namespace Holdpost::Node
