// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayControl.h"

#include <algorithm>

#include "Common/Compression.h"
#include "Common/EventLog.h"
#include "Common/Mailbox.h"

// What a gateway and the others of its hall tell each other.
namespace Holdpost::Node
{
using Common::Address;
using Common::EventLoop;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr Milliseconds BEAT_PERIOD = Milliseconds(300);
// A peer that was asked is given so long to answer.
static constexpr Milliseconds ASK_PAUSE = Milliseconds(600);
// One that the platform has never answered says this.
static constexpr Milliseconds ANSWER_AGE_TOLD_MOST = std::chrono::hours(1);
// No settings document is longer.
static constexpr std::size_t DOCUMENT_BYTES_MOST = 16 << 20;

void GatewayControl::SearchGateways(TimePoint now)
{
  for (const Address& seed : m_membership.SeedsToAsk(m_duty.IsFollowing(), now))
    m_mesh.SendDatagram(seed, Mesh::GatewaysRequest{true});
}

// --- what is passed on to the hall ---

void GatewayControl::Beat(TimePoint now)
{
  m_beat_due = now + BEAT_PERIOD;
  // Without an answer of its own it says that it asks in vain; after a start it just has none yet.
  if (!m_duty.IsReader() || !MayBeFollowed())
    return;
  const Mesh::ReaderBeat beat = MakeBeat(now);
  for (const Address& gateway : m_membership.Others(now))
    m_mesh.SendDatagram(gateway, beat);
}

Mesh::ReaderBeat GatewayControl::MakeBeat(TimePoint now) const
{
  Mesh::ReaderBeat beat;
  beat.targets = m_follower.TargetsPosition();
  beat.targets_changed = m_follower.LastTargetsChange();
  beat.settings = m_follower.Version();
  beat.weights = m_briefing.AdvertisedVersionsAt(now);
  const auto answer_age = std::chrono::duration_cast<Milliseconds>(now - m_follower.LastAnswer());
  beat.answer_age = std::min(answer_age, ANSWER_AGE_TOLD_MOST);
  return beat;
}

const Mesh::DocumentUpdate& GatewayControl::PackDocument(Settings::DocumentVersion base)
{
  const bool has_base = base > 0 && base == m_follower.PreviousVersion();
  Mesh::DocumentUpdate& told = has_base ? m_packed_change : m_packed_whole;
  // All gateways of a hall that has just started ask for the same.
  if (told.version == m_follower.Version())
    return told;
  const std::string& text = *m_follower.DocumentText();
  std::string packed =
      has_base ? Common::Compress(text, *m_follower.PreviousText()) : Common::Compress(text);
  told = {m_follower.Version(), has_base ? base : 0, Common::MakeBytes(std::move(packed))};
  return told;
}

Mesh::DocumentUpdate GatewayControl::MakeTellDocument(Settings::DocumentVersion base, TimePoint now)
{
  Mesh::DocumentUpdate tell = PackDocument(base);
  tell.weights = m_briefing.AdvertisedVersionsAt(now);
  return tell;
}

void GatewayControl::PassOnDocument(TimePoint now)
{
  if (!m_duty.IsReader())
    return;
  const std::vector<Address> gateways = m_membership.Others(now);
  if (gateways.empty())
    return;
  const Mesh::DocumentUpdate tell = MakeTellDocument(m_follower.PreviousVersion(), now);
  for (const Address& gateway : gateways)
    m_mesh.Send(gateway, tell);
}

void GatewayControl::PassOnTargets(TimePoint now)
{
  if (!m_duty.IsReader())
    return;
  for (const Address& gateway : m_membership.Others(now))
    m_mesh.Send(gateway, Mesh::TargetsUpdate{m_follower.LastTargetListChanges()});
}

void GatewayControl::AnswerDocument(const Address& to, Settings::DocumentVersion newer_than)
{
  const TimePoint now = EventLoop::Now();
  const bool is_newer = m_follower.Document() && m_follower.Version() > newer_than;
  if (is_newer && m_document_pacing.TryAcquire(to, m_follower.Version(), now))
    m_mesh.Send(to, MakeTellDocument(newer_than, now));
}

void GatewayControl::AnswerTargets(const Address& to, Control::Position newer_than)
{
  const bool is_newer = m_follower.HasTargets() && m_follower.TargetsPosition() > newer_than;
  if (!is_newer || !m_targets_pacing.TryAcquire(to, m_follower.TargetsPosition(), EventLoop::Now()))
    return;
  // First what the list may not say yet, and what may not be sent to the targets.
  m_mesh.Send(to, Mesh::LeavingTargets{m_handlers.leaving_targets()});
  m_mesh.Send(to, Mesh::CrashRecords{m_handlers.crash_ledger().All(EventLoop::Now())});
  m_mesh.Send(to, Mesh::TargetsUpdate{m_follower.FullTargetList()});
}

// --- what peers say ---

void GatewayControl::OnMessage(const Mesh::Sender& from, Mesh::Message& message)
{
  m_follower.OnRunning(EventLoop::Now());
  std::visit(
      Common::Overloaded{
          [&](const Mesh::LoadReport& report) { OnLoadReport(from, report); },
          [&](const Mesh::ReaderBeat& beat) { OnReaderHeartbeat(from, beat); },
          [&](const Mesh::DocumentRequest& ask) { AnswerDocument(from.address, ask.newer_than); },
          [&](const Mesh::DocumentUpdate& tell) { OnDocument(from, tell); },
          [&](const Mesh::TargetsRequest& ask) { AnswerTargets(from.address, ask.newer_than); },
          [&](const Mesh::TargetsUpdate& tell) { OnTargets(from, tell); },
          [&](const Mesh::GatewaysRequest& ask) {
            m_mesh.SendDatagram(from.address,
                                m_membership.OnGatewaysRequest(from, ask, EventLoop::Now()));
          },
          [&](const Mesh::GatewaysReply& tell) { OnGateways(tell.gateways); },
          [&](const Mesh::BriefingRequest&)
          { m_mesh.Send(from.address, m_briefing.FullHello(EventLoop::Now())); },
          [&](const Mesh::CrashRecords& told) { OnCrashRecords(told.records); },
          [&](const Mesh::CrashRecordsAnswer& tell) { OnCrashRecordsAnswer(from, tell); },
          [&](const Mesh::EngineEnded& told) { m_handlers.on_engine_end(told.end); },
          [&](const Mesh::LeavingTargets& told) { m_handlers.on_leaving(told.targets); },
          [](const auto&) {}},
      message);
}

bool GatewayControl::OfferWeights(const std::vector<Mesh::AdvertisedVersion>& weights,
                                  TimePoint now)
{
  bool is_news = false;
  for (const Mesh::AdvertisedVersion& told : weights)
    is_news = m_follower.OfferWeights(told.named, told.Since(now)) || is_news;
  return is_news;
}

void GatewayControl::OnLoadReport(const Mesh::Sender& from, const Mesh::LoadReport& report)
{
  const TimePoint now = EventLoop::Now();
  m_membership.OnGatewaysListed(report.near_gateways, now);
  m_briefing.OnReported(from.address, report.stamp, now);
  m_handlers.on_gateways(m_membership.OnGatewaysCounted(report.gateways, now));
  const Crashes::CrashLedger& ledger = m_handlers.crash_ledger();
  if (m_crash_exchange.OnPeerHash(from.address, report.crashes, ledger, now))
    m_mesh.SendDatagram(from.address, Mesh::CrashRecords{ledger.All(now)});
  if (const auto ask = m_follower.OnPeerVersion(report.settings, now))
    m_mesh.Send(report.settings_at, Mesh::DocumentRequest{*ask});
  if (OfferWeights(report.weights, now))
    ApplyOperator();
  Gateway::TargetLoad load = report.load;
  load.round_trip = Mesh::RoundTrip(report, now).value_or(Milliseconds(0));
  load.ran_at = Mesh::RanAt(report, now);
  m_handlers.on_load(load);
}

void GatewayControl::OnGateways(const std::vector<Address>& gateways)
{
  const TimePoint now = EventLoop::Now();
  if (m_membership.OnGatewaysListed(gateways, now))
    Beat(now);
  if (gateways.empty())
    m_duty.OnNoPeers(now);
  else if (!KnowsAll())
    AskPeer(gateways[m_random() % gateways.size()]);
  m_handlers.on_wakeup();
}

bool GatewayControl::KnowsAll() const
{
  return m_follower.Document() && m_follower.HasTargets();
}

bool GatewayControl::MayBeFollowed() const
{
  // Before the first settings are written there is nothing to pass on, but one reader is enough to
  // wait for them.
  return KnowsAll() || m_follower.HasReadAll();
}

void GatewayControl::AskPeer(const Address& peer)
{
  m_mesh.Send(peer, Mesh::DocumentRequest{m_follower.Version()});
  m_mesh.Send(peer, Mesh::TargetsRequest{m_follower.TargetsPosition()});
}

void GatewayControl::OnReaderHeartbeat(const Mesh::Sender& from, const Mesh::ReaderBeat& beat)
{
  if (from.hall != m_config.hall)
    return;
  const TimePoint now = EventLoop::Now();
  const bool did_read = m_duty.IsReader();
  const bool is_new = m_membership.OnGatewaysListed({from.address}, now);
  m_duty.OnReaderHeartbeat(Control::ReaderRankOf(from.address), beat.answer_age, now);
  // A gateway that has just started reads until a beat of a reader comes.
  if (is_new && m_duty.IsReader() && MayBeFollowed())
    m_mesh.SendDatagram(from.address, MakeBeat(now));
  if (did_read && !m_duty.IsReader())
  {
    LogEvent(Weight::Important, now, "reader.ends", "reader", from.instance);
    m_follower.SetReading(false);
  }
  if (OfferWeights(beat.weights, now))
    ApplyOperator();
  m_follower.OnAllVersionsAnnounced(now - beat.answer_age);
  if (m_follower.OnPeerTargetsPosition(beat.targets, beat.targets_changed, now) &&
      now >= m_ask_targets_due)
  {
    m_ask_targets_due = now + ASK_PAUSE;
    m_mesh.Send(from.address, Mesh::TargetsRequest{m_follower.TargetsPosition()});
  }
  if (beat.settings > m_follower.Version() && now >= m_ask_document_due)
  {
    m_ask_document_due = now + ASK_PAUSE;
    m_mesh.Send(from.address, Mesh::DocumentRequest{m_follower.Version()});
  }
}

void GatewayControl::OnDocument(const Mesh::Sender& from, const Mesh::DocumentUpdate& tell)
{
  if (OfferWeights(tell.weights, EventLoop::Now()))
    ApplyOperator();
  if (tell.version <= m_follower.Version() || !tell.packed)
    return;
  if (tell.base > 0 && tell.base != m_follower.Version())
  {
    m_mesh.Send(from.address, Mesh::DocumentRequest{m_follower.Version()});
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

void GatewayControl::OnTargets(const Mesh::Sender& from, const Mesh::TargetsUpdate& tell)
{
  if (!m_follower.OfferTargets(tell.news, EventLoop::Now()))
    return;
  LogEvent(Weight::Ordinary, EventLoop::Now(), "targets.from_peer", "position", tell.news.position,
           "changes", tell.news.changes.size(), "peer", from.instance);
  ApplyTargets();
}
} // namespace Holdpost::Node
