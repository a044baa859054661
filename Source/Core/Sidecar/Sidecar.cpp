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

static constexpr Milliseconds ENGINE_REPORT_PERIOD = Milliseconds(100);
// A shorter period while weights are being loaded, so that the end of the load is noticed soon.
static constexpr Milliseconds ENGINE_REPORT_PERIOD_LOADING = Milliseconds(25);
static constexpr Milliseconds PEER_UPDATE_PERIOD = Milliseconds(1000);
static constexpr Milliseconds TAKEOVER_DELAY = Milliseconds(500);
static constexpr Milliseconds STALL_TIMEOUT = Milliseconds(900);
// The maximum backoff after a failed fetch from the origin. It is short because only a few sidecars
// fetch from the origin, and all of them wait for it after a failure.
static constexpr Milliseconds MAX_ORIGIN_BACKOFF = Milliseconds(100);
// The number of members of the hall with which a sidecar exchanges pieces. A piece enters a hall at
// one member; if more neighbours request the piece from that member at once, most requests are
// refused and the links of these neighbours are idle.
static constexpr std::size_t MAX_NEIGHBOURS = 8;
// The number of pieces that are transferred over the link at once in each direction. Requests to
// the target and its answers queue behind all of them.
static constexpr std::uint32_t MAX_CONCURRENT_PIECES = 3;
// The same limit while a copy is needed soon.
static constexpr std::uint32_t MAX_CONCURRENT_PIECES_URGENT = 6;
// The same limit for a copy that this sidecar only keeps for its peers.
static constexpr std::uint32_t MAX_CONCURRENT_PIECES_FOR_PEERS = 1;
// The maximum number of uploads that wait for the link. A peer whose request would exceed it is
// refused and asks another peer.
static constexpr std::size_t MAX_QUEUED_UPLOADS = 1;
static constexpr std::size_t MAX_QUEUED_UPLOADS_URGENT = 3;
// The maximum number of piece requests of peers that the sidecar remembers. A request is remembered
// until the peer confirms that it has the piece.
static constexpr std::size_t MAX_PIECE_REQUESTS = 256;
static constexpr Milliseconds MIN_PIECE_TIME = Milliseconds(5);
static constexpr Milliseconds MIN_ORIGIN_PIECE_TIME = Milliseconds(2);
// The lowest limit on the pieces that a member downloads from other members at once while the hall
// lacks pieces. More downloads would slow down the piece that the member fetches from the origin
// over the same link: it would take as long as all of them together, and the origin's link would be
// idle. The limit grows with the hall: the larger the hall, the less often a member fetches from
// the origin.
static constexpr std::uint32_t LOWEST_DOWNLOAD_LIMIT_WHILE_INCOMPLETE = 3;
static constexpr std::uint32_t MEMBERS_PER_DOWNLOAD = 3;
static constexpr Milliseconds MIN_CLAIM_LIFETIME = Milliseconds(300);
static constexpr Milliseconds MAX_CLAIM_LIFETIME = Milliseconds(5000);

Digest Sidecar::VersionDigest(const std::string& model, std::uint64_t version)
{
  return Common::Sha256(fmt::format("{}@{}", model, version));
}

std::uint64_t Sidecar::VersionOf(const Digest& digest) const
{
  for (const std::uint64_t version : {m_wanted, m_prefetched})
  {
    if (VersionDigest(m_plan.model, version) == digest)
      return version;
  }
  return m_previous;
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
  options.neighbours = MAX_NEIGHBOURS;
  options.swarm.patience = TAKEOVER_DELAY;
  options.swarm.stall = STALL_TIMEOUT;
  options.swarm.max_backoff = MAX_ORIGIN_BACKOFF;
  const bool is_urgent = m_urgency == Urgency::Urgent;
  options.upload_queue_most = is_urgent ? MAX_QUEUED_UPLOADS_URGENT : MAX_QUEUED_UPLOADS;
  options.max_unconfirmed_uploads =
      is_urgent ? MAX_CONCURRENT_PIECES_URGENT : MAX_CONCURRENT_PIECES;
  options.swarm.fetches_pieces = m_urgency != Urgency::ChecksStage;
  options.swarm.adapts_window = true;
  options.swarm.total_window = MaxConcurrentPieces();
  options.swarm.piece_time = PieceTime();
  options.swarm.origin_piece_time = OriginPieceTime();
  options.swarm.total_window_while_incomplete = MaxDownloadsWhileIncomplete();
  options.swarm.is_named_by_content = false;
  options.swarm.has_weight_store = false;
  options.swarm.shares_cross_hall_fetches = true;
  options.swarm.origin_hall = m_plan.origin_hall;
  options.swarm.claim_lifetime = ClaimLifetime();
  return options;
}

std::uint32_t Sidecar::MaxConcurrentPieces() const
{
  switch (m_urgency)
  {
  case Urgency::ChecksStage:
  case Urgency::ForPeers:
    return MAX_CONCURRENT_PIECES_FOR_PEERS;
  case Urgency::Normal:
    return MAX_CONCURRENT_PIECES;
  case Urgency::Urgent:
    break;
  }
  return MAX_CONCURRENT_PIECES_URGENT;
}

Duration Sidecar::PieceTime() const
{
  if (m_options.link_bytes_per_second == 0)
    return MIN_PIECE_TIME;
  const std::chrono::duration<double> time(m_plan.piece_bytes /
                                           static_cast<double>(m_options.link_bytes_per_second));
  return std::max<Duration>(std::chrono::duration_cast<Duration>(time), MIN_PIECE_TIME);
}

Duration Sidecar::OriginPieceTime() const
{
  const std::uint64_t rate = m_plan.origin_bytes_per_second;
  if (rate == 0)
    return PieceTime();
  const std::chrono::duration<double> time(m_plan.piece_bytes / static_cast<double>(rate));
  return std::max<Duration>(std::chrono::duration_cast<Duration>(time), MIN_ORIGIN_PIECE_TIME);
}

std::uint32_t Sidecar::MaxDownloadsWhileIncomplete() const
{
  const auto members = std::ranges::count(m_peers, m_options.hall, &Mesh::Peer::hall);
  return std::max(LOWEST_DOWNLOAD_LIMIT_WHILE_INCOMPLETE,
                  static_cast<std::uint32_t>(members) / MEMBERS_PER_DOWNLOAD);
}

// All members of the hall may fetch a piece over the origin's one link at the same time. The
// transfer of a piece then takes one piece time for each member, and some pieces may have to be
// fetched twice.
Duration Sidecar::ClaimLifetime() const
{
  static constexpr int EXTRA_PIECE_TIMES = 8;
  const auto members = std::ranges::count(m_peers, m_options.hall, &Mesh::Peer::hall);
  return std::clamp<Duration>((2 * members + EXTRA_PIECE_TIMES) * PieceTime(), MIN_CLAIM_LIFETIME,
                              MAX_CLAIM_LIFETIME);
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
  Distribution::Actions new_actions;
  std::visit(
      Common::Overloaded{
          [&](const Mesh::Hello& hello) { OnHello(from, hello, now, actions); },
          [&](const Mesh::WorkUpdate& received)
          { OnWorkAnnounced(from, received.work, now, actions); },
          [&](const Mesh::GatewaysReply& received)
          { RequestBriefings(received.gateways, actions); },
          [&](const Mesh::LimitUpdate& told) { OnLimitUpdate(told.per_second, now, actions); },
          [&](const Mesh::CrashRecords& told) { m_crashes.Merge(told.records, now); },
          [&](const Mesh::CrashRecordsRequest&)
          {
            actions->push_back(
                SendMessage{from.address, Mesh::CrashRecordsAnswer{m_crashes.All(now)}, true});
          },
          [&](const Mesh::Announce& announce) {
            m_exchange.OnAnnouncement(from.address.ToString(), announce.announcement, now,
                                      &new_actions);
          },
          [&](const Mesh::PieceRequest& request)
          {
            const std::uint64_t tag = m_next_tag++;
            m_piece_requests[tag] = {from.address, request.id};
            if (m_piece_requests.size() > MAX_PIECE_REQUESTS)
              m_piece_requests.erase(m_piece_requests.begin());
            const bool is_for_other_hall = from.hall != m_options.hall;
            m_exchange.OnPieceRequest(tag, request.version, request.piece, is_for_other_hall, now,
                                      &new_actions);
          },
          [&](const Mesh::PieceCancel& cancel)
          {
            const auto found_request = std::ranges::find_if(
                m_piece_requests, [&](const auto& entry)
                { return entry.second.from == from.address && entry.second.id == cancel.id; });
            if (found_request == m_piece_requests.end())
              return;
            const Distribution::RequestTag tag = found_request->first;
            m_piece_requests.erase(found_request);
            m_exchange.OnRequestAbandoned(tag, now, &new_actions);
          },
          [&](const Mesh::PieceReply& received)
          {
            // The cancellation also confirms that this sidecar has received the piece.
            if (const auto peer = m_peer_fetches.extract(received.id))
              actions->push_back(SendMessage{peer.mapped(), Mesh::PieceCancel{received.id}, false});
            m_exchange.OnFetched(received.id, received.result, now, &new_actions);
          },
          [](const auto&) {}},
      message);
  Translate(std::move(new_actions), now, actions);
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
  if (named.model == m_plan.model)
    m_named.Offer({named.version, since}, m_options.switch_within);
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

void Sidecar::OnPeerDisconnected(const Address& peer, TimePoint now, Actions* actions)
{
  Distribution::Actions new_actions;
  m_exchange.OnPeerLost(peer.ToString(), now, &new_actions);
  Translate(std::move(new_actions), now, actions);
}

void Sidecar::Translate(Distribution::Actions new_actions, TimePoint now, Actions* actions)
{
  for (Distribution::Action& action : new_actions)
  {
    std::visit(
        Common::Overloaded{
            [&](Distribution::FetchPiece& fetch)
            {
              if (fetch.peer.empty())
              {
                actions->push_back(FetchFromOrigin{fetch.id, m_plan.origin, m_plan.model,
                                                   VersionOf(fetch.version), fetch.piece});
                m_origin_fetches.insert(fetch.id);
                return;
              }
              const auto address = Common::ParseAddress(fetch.peer);
              m_peer_fetches[fetch.id] = *address;
              actions->push_back(SendMessage{
                  *address, Mesh::PieceRequest{fetch.id, fetch.version, fetch.piece}, false});
            },
            [&](Distribution::CancelFetch& cancel)
            {
              if (m_origin_fetches.erase(cancel.id) > 0)
                actions->push_back(CancelOriginFetch{cancel.id});
              else if (const auto peer = m_peer_fetches.extract(cancel.id))
                actions->push_back(SendMessage{peer.mapped(), Mesh::PieceCancel{cancel.id}, false});
            },
            [&](Distribution::SendAnnouncement& send)
            {
              if (const auto address = Common::ParseAddress(send.peer))
                actions->push_back(
                    SendMessage{*address, Mesh::Announce{std::move(send.announcement)}, false});
            },
            [&](Distribution::AnswerPiece& answer)
            {
              const auto found_request = m_piece_requests.find(answer.tag);
              if (found_request == m_piece_requests.end())
                return;
              const bool is_refused = !Common::Succeeded(answer.result);
              actions->push_back(SendMessage{
                  found_request->second.from,
                  Mesh::PieceReply{found_request->second.id, std::move(answer.result)}, false});
              if (is_refused)
                m_piece_requests.erase(found_request);
            },
            [](Distribution::PieceHeld&) {},
            [&](Distribution::VersionHeld& held) { LogHeld(VersionOf(held.version), now); },
            [&](Distribution::CountTransfer& count)
            {
              const std::string label =
                  fmt::format("event=\"{}\"", Distribution::TransferEventName(count.event));
              m_metrics.Add("holdpost_transfers_total", label);
              if (count.event == Distribution::TransferEvent::PieceFromOrigin ||
                  count.event == Distribution::TransferEvent::PieceFromPeer)
                OnPieceArrived(now, actions);
              if (count.bytes > 0)
                m_metrics.Add("holdpost_transfer_bytes_total", label, count.bytes);
            }},
        action);
  }
}

// --- time ---

void Sidecar::OnTick(TimePoint now, Actions* actions)
{
  if (!m_started_at)
    m_started_at = now;
  if (!m_is_reading_report && now >= m_report_due)
  {
    m_is_reading_report = true;
    m_report_asked_at = now;
    const bool is_loading = m_loader.IsUnderWay() && m_reports_failed == 0;
    m_report_due = now + (is_loading ? ENGINE_REPORT_PERIOD_LOADING : ENGINE_REPORT_PERIOD);
    actions->push_back(ReadReport{});
  }
  if (m_load_due && now >= *m_load_due)
    SendLoadReports(now, actions);
  TickIdentity(now, actions);
  SendCrashChanges(now, actions);
  SearchGateways(now, actions);
  if (now >= m_peers_due)
    UpdateExchangePeers(now, actions);
  if (const Urgency urgency = UrgencyAt(now); urgency != m_urgency)
  {
    m_urgency = urgency;
    m_exchange.SetOptions(MakeExchangeOptions());
  }
  Distribution::Actions new_actions;
  m_exchange.OnTick(now, &new_actions);
  Translate(std::move(new_actions), now, actions);
  TickStage(now, actions);
  TickLoader(now, actions);
  LogProgress(now);
}

void Sidecar::UpdateExchangePeers(TimePoint now, Actions* actions)
{
  if (m_wanted > 0 && m_is_view_confirmed)
  {
    m_peers_due = now + PEER_UPDATE_PERIOD;
    Distribution::Actions new_actions;
    std::vector<Distribution::NeighbourCandidate> candidates;
    for (const std::uint64_t version : std::set<std::uint64_t>{m_wanted, m_prefetched})
    {
      const Digest digest = VersionDigest(m_plan.model, version);
      for (const Mesh::Peer& peer : m_peers)
      {
        if (peer.address != m_options.address)
          candidates.push_back({peer.address.ToString(), peer.hall, digest});
      }
    }
    m_exchange.SetCandidates(std::move(candidates), now, &new_actions);
    if (MayUseOrigin(now))
      m_exchange.OnViewConfirmed(now, &new_actions);
    Translate(std::move(new_actions), now, actions);
  }
}

TimePoint Sidecar::NextWakeup(TimePoint now) const
{
  TimePoint next = m_is_reading_report ? now + ENGINE_REPORT_PERIOD : m_report_due;
  if (m_load_due)
    next = std::min(next, *m_load_due);
  next = std::min(next, m_search.NextWakeup());
  if (const auto crashes = Crashes::CrashExchange::NextWakeup(m_crashes))
    next = std::min(next, *crashes);
  if (const auto exchange = m_exchange.NextWakeup(now))
    next = std::min(next, *exchange);
  if (m_loader.State() == LoaderState::Announced)
    next = std::min(next, now + Milliseconds(10));
  return next;
}
} // namespace Holdpost::Sidecar
