// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Common/Mailbox.h"
#include "Common/YamlReader.h"

namespace Holdpost::Sidecar
{
using Common::Address;
using Common::Digest;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr Milliseconds REPORT_PERIOD = Milliseconds(100);
// A shorter period while weights are being loaded, so that the end of the load is noticed soon.
static constexpr Milliseconds REPORT_PERIOD_LOADING = Milliseconds(25);
static constexpr Milliseconds PEERS_PERIOD = Milliseconds(1000);
static constexpr Milliseconds PATIENCE = Milliseconds(500);
static constexpr Milliseconds STALL = Milliseconds(900);
// The maximum backoff after a failed fetch from the origin. It is short because only a few sidecars
// fetch from the origin, and all of them wait for it after a failure.
static constexpr Milliseconds ORIGIN_PAUSE_MOST = Milliseconds(100);
// The number of members of the hall with which a sidecar exchanges pieces. A piece enters a hall at
// one member; if more neighbours request the piece from that member at once, most requests are
// refused and the links of these neighbours are idle.
static constexpr std::size_t NEIGHBOURS = 8;
// The number of pieces that are transferred over the link at once in each direction. Requests to
// the target and its answers queue behind all of them.
static constexpr std::uint32_t PIECES_AT_ONCE = 3;
// The same limit while a copy is needed soon.
static constexpr std::uint32_t PIECES_AT_ONCE_IN_HASTE = 6;
// The same limit for a copy that this sidecar only keeps for its peers.
static constexpr std::uint32_t PIECES_AT_ONCE_FOR_OTHERS = 1;
// The maximum number of uploads that wait for the link. A peer whose request would exceed it is
// refused and asks another peer.
static constexpr std::size_t UPLOADS_WAITING = 1;
static constexpr std::size_t UPLOADS_WAITING_IN_HASTE = 3;
// The maximum number of piece requests of peers that the sidecar remembers. A request is remembered
// until the peer confirms that it has the piece.
static constexpr std::size_t ASKED_MOST = 256;
static constexpr Milliseconds PIECE_TIME_LEAST = Milliseconds(5);
static constexpr Milliseconds ORIGIN_PIECE_TIME_LEAST = Milliseconds(2);
// The minimum number of pieces that a member downloads from other members at once while the hall
// lacks pieces. With more downloads on its link, the piece that the member fetches from the origin
// takes as long as all of these, and the origin's link is idle. The larger the hall, the less often
// a member fetches from the origin.
static constexpr std::uint32_t DOWNLOADS_WHILE_LACKING_LEAST = 3;
static constexpr std::uint32_t MEMBERS_FOR_EACH_DOWNLOAD = 3;
static constexpr Milliseconds CLAIM_LEAST = Milliseconds(300);
static constexpr Milliseconds CLAIM_MOST = Milliseconds(5000);

Digest Sidecar::VersionDigest(const std::string& model, std::uint64_t version)
{
  return Common::Sha256(fmt::format("{}@{}", model, version));
}

Sidecar::Sidecar(SidecarOptions options, Common::Metrics& metrics)
    : m_options(std::move(options)), m_metrics(metrics),
      m_exchange(m_options.address.ToString(), m_options.hall,
                 Common::StableHash(m_options.address.ToString())),
      m_search(m_options.seeds)
{
  m_exchange.SetOptions(MakeExchangeOptions());
}

Distribution::ExchangeOptions Sidecar::MakeExchangeOptions() const
{
  Distribution::ExchangeOptions options;
  options.link_bytes_per_second = m_options.link_bytes_per_second;
  options.link_pacing = Distribution::LinkPacing::Wire;
  options.neighbours = NEIGHBOURS;
  options.swarm.patience = PATIENCE;
  options.swarm.stall = STALL;
  options.swarm.backoff_most = ORIGIN_PAUSE_MOST;
  const bool is_in_haste = m_urgency == Urgency::Haste;
  options.upload_queue_most = is_in_haste ? UPLOADS_WAITING_IN_HASTE : UPLOADS_WAITING;
  options.uploads_unconfirmed_most = is_in_haste ? PIECES_AT_ONCE_IN_HASTE : PIECES_AT_ONCE;
  options.swarm.fetches_pieces = m_urgency != Urgency::FindsStaged;
  options.swarm.adapts_window = true;
  options.swarm.window_in_all = PiecesAtOnce();
  options.swarm.piece_time = PieceTime();
  options.swarm.origin_piece_time = OriginPieceTime();
  options.swarm.window_while_lacking = DownloadsWhileLacking();
  options.swarm.is_named_by_content = false;
  options.swarm.has_weight_store = false;
  options.swarm.shares_crossings = true;
  options.swarm.origin_hall = m_plan.origin_hall;
  options.swarm.claim_lifetime = ClaimLifetime();
  return options;
}

std::uint32_t Sidecar::PiecesAtOnce() const
{
  switch (m_urgency)
  {
  case Urgency::FindsStaged:
  case Urgency::ForOthers:
    return PIECES_AT_ONCE_FOR_OTHERS;
  case Urgency::Usual:
    return PIECES_AT_ONCE;
  case Urgency::Haste:
    break;
  }
  return PIECES_AT_ONCE_IN_HASTE;
}

Duration Sidecar::PieceTime() const
{
  if (m_options.link_bytes_per_second == 0)
    return PIECE_TIME_LEAST;
  const std::chrono::duration<double> time(m_plan.piece_bytes /
                                           static_cast<double>(m_options.link_bytes_per_second));
  return std::max<Duration>(std::chrono::duration_cast<Duration>(time), PIECE_TIME_LEAST);
}

Duration Sidecar::OriginPieceTime() const
{
  const std::uint64_t rate = m_plan.origin_bytes_per_second;
  if (rate == 0)
    return PieceTime();
  const std::chrono::duration<double> time(m_plan.piece_bytes / static_cast<double>(rate));
  return std::max<Duration>(std::chrono::duration_cast<Duration>(time), ORIGIN_PIECE_TIME_LEAST);
}

std::uint32_t Sidecar::DownloadsWhileLacking() const
{
  const auto members = std::ranges::count(m_peers, m_options.hall, &Mesh::Peer::hall);
  return std::max(DOWNLOADS_WHILE_LACKING_LEAST,
                  static_cast<std::uint32_t>(members) / MEMBERS_FOR_EACH_DOWNLOAD);
}

// All members of the hall may fetch a piece over the origin's one link at the same time, so a piece
// takes the transfer time of one piece once for each member, and some pieces may have to be fetched
// twice.
Duration Sidecar::ClaimLifetime() const
{
  static constexpr int MORE_TIMES = 8;
  const auto members = std::ranges::count(m_peers, m_options.hall, &Mesh::Peer::hall);
  return std::clamp<Duration>((2 * members + MORE_TIMES) * PieceTime(), CLAIM_LEAST, CLAIM_MOST);
}

const Distribution::Swarm* Sidecar::WantedSwarm() const
{
  return m_wanted == 0 ? nullptr : m_exchange.Find(VersionDigest(m_plan.model, m_wanted));
}

std::uint32_t Sidecar::PiecesHeld(std::uint64_t version) const
{
  const Distribution::Swarm* swarm = m_exchange.Find(VersionDigest(m_plan.model, version));
  return swarm ? swarm->PiecesHeld() : 0;
}

// --- received messages ---

void Sidecar::OnMessage(const Mesh::Sender& from, const Mesh::Message& message, TimePoint now,
                        Actions* actions)
{
  Distribution::Actions made;
  std::visit(
      Common::Overloaded{
          [&](const Mesh::Hello& hello) { OnHello(from, hello, now, actions); },
          [&](const Mesh::TellWork& tell) { OnWork(from, tell.work, now, actions); },
          [&](const Mesh::TellGateways& tell) { AskForBriefing(tell.gateways, actions); },
          [&](const Mesh::Announce& announce) {
            m_exchange.OnAnnouncement(from.address.ToString(), announce.announcement, now, &made);
          },
          [&](const Mesh::AskPiece& ask)
          {
            const std::uint64_t tag = m_next_tag++;
            m_asked[tag] = {from.address, ask.id};
            if (m_asked.size() > ASKED_MOST)
              m_asked.erase(m_asked.begin());
            const bool is_for_other_hall = from.hall != m_options.hall;
            m_exchange.OnPieceRequest(tag, ask.version, ask.piece, is_for_other_hall, now, &made);
          },
          [&](const Mesh::CancelPiece& cancel)
          {
            const auto asked = std::ranges::find_if(
                m_asked, [&](const auto& entry)
                { return entry.second.from == from.address && entry.second.id == cancel.id; });
            if (asked == m_asked.end())
              return;
            const Distribution::RequestTag tag = asked->first;
            m_asked.erase(asked);
            m_exchange.OnRequestAbandoned(tag, now, &made);
          },
          [&](const Mesh::TellPiece& tell)
          {
            // The cancellation also confirms that this sidecar has received the piece.
            if (const auto peer = m_at_peers.extract(tell.id))
              actions->push_back(Tell{peer.mapped(), Mesh::CancelPiece{tell.id}, false});
            m_exchange.OnFetched(tell.id, tell.result, now, &made);
          },
          [](const auto&) {}},
      message);
  Translate(std::move(made), now, actions);
}

void Sidecar::OnPlan(const Mesh::WeightsPlan& plan, TimePoint now)
{
  if (plan == m_plan || (!m_options.service.empty() && plan.service != m_options.service))
    return;
  LogEvent(Weight::Important, now, "plan.known", "service", plan.service, "model", plan.model,
           "pieces", plan.pieces, "origin", plan.origin.ToString(), "origin_hall", plan.origin_hall,
           "origin_bytes_per_second", plan.origin_bytes_per_second);
  m_plan = plan;
  m_exchange.SetOptions(MakeExchangeOptions());
}

void Sidecar::OnWeights(const Control::NamedWeights& named, const Control::KnownSince& since)
{
  if (named.model != m_plan.model)
    return;
  const auto [found, is_new] = m_named.try_emplace(named.version, since);
  if (!is_new && since.Replaces(found->second))
    found->second = since;
}

void Sidecar::OnPeers(const std::vector<Mesh::Peer>& peers, TimePoint now, Actions* actions)
{
  const bool is_new = peers != m_peers;
  m_peers = peers;
  if (is_new)
    m_exchange.SetOptions(MakeExchangeOptions());
  m_is_view_confirmed = true;
  m_peers_due = std::min(m_peers_due, now);
  (void)actions;
}

void Sidecar::OnPeerBroken(const Address& peer, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnPeerLost(peer.ToString(), now, &made);
  Translate(std::move(made), now, actions);
}

void Sidecar::Translate(Distribution::Actions made, TimePoint now, Actions* actions)
{
  for (Distribution::Action& action : made)
  {
    std::visit(
        Common::Overloaded{
            [&](Distribution::FetchPiece& fetch)
            {
              if (fetch.peer.empty())
              {
                actions->push_back(FetchFromOrigin{fetch.id, m_plan.origin, m_plan.model,
                                                   m_versions[fetch.version], fetch.piece});
                m_at_origin.insert(fetch.id);
                return;
              }
              const auto address = Common::ParseAddress(fetch.peer);
              m_at_peers[fetch.id] = *address;
              actions->push_back(
                  Tell{*address, Mesh::AskPiece{fetch.id, fetch.version, fetch.piece}, false});
            },
            [&](Distribution::CancelFetch& cancel)
            {
              if (m_at_origin.erase(cancel.id) > 0)
                actions->push_back(CancelOriginFetch{cancel.id});
              else if (const auto peer = m_at_peers.extract(cancel.id))
                actions->push_back(Tell{peer.mapped(), Mesh::CancelPiece{cancel.id}, false});
            },
            [&](Distribution::SendAnnouncement& send)
            {
              if (const auto address = Common::ParseAddress(send.peer))
                actions->push_back(
                    Tell{*address, Mesh::Announce{std::move(send.announcement)}, false});
            },
            [&](Distribution::AnswerPiece& answer)
            {
              const auto asked = m_asked.find(answer.tag);
              if (asked == m_asked.end())
                return;
              const bool is_refused = !Common::Succeeded(answer.result);
              actions->push_back(Tell{asked->second.from,
                                      Mesh::TellPiece{asked->second.id, std::move(answer.result)},
                                      false});
              if (is_refused)
                m_asked.erase(asked);
            },
            [](Distribution::PieceHeld&) {},
            [&](Distribution::VersionHeld& held) { LogHeld(m_versions[held.version], now); },
            [&](Distribution::CountTransfer& count)
            {
              const std::string label =
                  fmt::format("event=\"{}\"", Distribution::TransferEventName(count.event));
              m_metrics.Add("holdpost_transfers_total", label);
              if (count.bytes > 0)
                m_metrics.Add("holdpost_transfer_bytes_total", label, count.bytes);
            }},
        action);
  }
}

// --- time ---

void Sidecar::OnTick(TimePoint now, Actions* actions)
{
  if (!m_began)
    m_began = now;
  if (!m_is_reading_report && now >= m_report_due)
  {
    m_is_reading_report = true;
    m_report_due = now + (m_loader.IsUnderWay() ? REPORT_PERIOD_LOADING : REPORT_PERIOD);
    actions->push_back(ReadReport{});
  }
  if (m_tell_due && now >= *m_tell_due)
    TellLoad(now, actions);
  TickIdentity(now, actions);
  SearchGateways(now, actions);
  if (now >= m_peers_due)
    TellExchangeOfPeers(now, actions);
  if (const Urgency urgency = UrgencyAt(now); urgency != m_urgency)
  {
    m_urgency = urgency;
    m_exchange.SetOptions(MakeExchangeOptions());
  }
  Distribution::Actions made;
  m_exchange.OnTick(now, &made);
  Translate(std::move(made), now, actions);
  TickStage(now, actions);
  TickLoader(now, actions);
  LogProgress(now);
}

void Sidecar::TellExchangeOfPeers(TimePoint now, Actions* actions)
{
  if (m_wanted > 0 && m_is_view_confirmed)
  {
    m_peers_due = now + PEERS_PERIOD;
    Distribution::Actions made;
    std::vector<Distribution::NeighbourCandidate> candidates;
    for (const std::uint64_t version : std::set<std::uint64_t>{m_wanted, m_ahead})
    {
      const Digest digest = VersionDigest(m_plan.model, version);
      for (const Mesh::Peer& peer : m_peers)
      {
        if (peer.address != m_options.address)
          candidates.push_back({peer.address.ToString(), peer.hall, digest});
      }
    }
    m_exchange.SetCandidates(std::move(candidates), now, &made);
    m_exchange.OnViewConfirmed(now, &made);
    Translate(std::move(made), now, actions);
  }
}

TimePoint Sidecar::NextWakeup(TimePoint now) const
{
  TimePoint next = m_is_reading_report ? now + REPORT_PERIOD : m_report_due;
  if (m_tell_due)
    next = std::min(next, *m_tell_due);
  next = std::min(next, m_search.NextWakeup());
  if (const auto exchange = m_exchange.NextWakeup(now))
    next = std::min(next, *exchange);
  if (m_loader.State() == LoaderState::Announced)
    next = std::min(next, now + Milliseconds(10));
  return next;
}
} // namespace Holdpost::Sidecar
