// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include "Core/Distribution/Ranking.h"

namespace Holdpost::Distribution
{
using Common::Bytes;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;

// The pause after consecutive stalls of a peer doubles at most this number of times.
static constexpr std::uint32_t MAX_STALL_DOUBLINGS = 5;

std::string_view TransferEventName(TransferEvent event)
{
  static constexpr std::array<std::string_view, 18> NAMES = {"piece_from_origin",
                                                             "piece_from_store",
                                                             "piece_from_peer",
                                                             "piece_sent",
                                                             "piece_corrupt_from_origin",
                                                             "piece_corrupt_from_peer",
                                                             "piece_twice",
                                                             "origin_busy",
                                                             "origin_failed",
                                                             "peer_busy",
                                                             "peer_failed",
                                                             "peer_stalled",
                                                             "origin_stalled",
                                                             "peer_shunned",
                                                             "takeover",
                                                             "hedge",
                                                             "request_refused",
                                                             "manifest_doubted"};
  static_assert(NAMES.size() == static_cast<std::size_t>(TransferEvent::ManifestDoubted) + 1);
  return NAMES[static_cast<std::size_t>(event)];
}

Swarm::Swarm(Common::Digest version, Fetcher self, SwarmOptions options, std::uint64_t seed,
             SwarmShared* shared)
    : m_version(version), m_self(std::move(self)), m_options(std::move(options)), m_random(seed),
      m_shared(shared)
{
}

void Swarm::SetPeers(const std::vector<std::string>& neighbours,
                     const std::vector<Fetcher>& fetchers, TimePoint now, Actions* actions)
{
  if (fetchers != m_fetchers)
  {
    m_fetchers = fetchers;
    m_halls.clear();
    m_hall_by_instance.clear();
    for (const Fetcher& fetcher : fetchers)
    {
      m_halls[fetcher.hall].push_back(fetcher.instance);
      m_hall_by_instance[fetcher.instance] = fetcher.hall;
    }
    ComputeRanks();
  }
  // Links of an earlier membership view are dropped. An instance that kept more links than the
  // others would carry more than its share of the uploads.
  std::vector<std::string> dropped;
  for (const auto& [name, neighbour] : m_neighbours)
  {
    const bool is_kept =
        neighbour.is_remote && m_hall_by_instance.contains(name) && IsInOtherHall(name);
    if (!is_kept && std::ranges::find(neighbours, name) == neighbours.end())
      dropped.push_back(name);
  }
  for (const std::string& name : dropped)
    Unlink(name, actions);
  for (const std::string& name : neighbours)
  {
    auto [found, is_new] = m_neighbours.try_emplace(name);
    if (is_new)
    {
      found->second.held = PieceSet(m_held.Size());
      SendFullAnnouncement(name, true, actions);
      found->second.knows_local_holdings = true;
    }
  }
  ScheduleFetches(now, actions);
}

void Swarm::OnViewConfirmed(TimePoint now, Actions* actions)
{
  if (!std::exchange(m_is_view_confirmed, true))
    m_view_confirmed_at = now;
  ScheduleFetches(now, actions);
}

Announcement Swarm::FullAnnouncement(bool wants_reply) const
{
  return {m_version, m_held.Size(), true, wants_reply, m_held.ToBitmap(), {}, {}};
}

void Swarm::SendFullAnnouncement(const std::string& peer, bool wants_reply, Actions* actions)
{
  actions->push_back(SendAnnouncement{peer, FullAnnouncement(wants_reply)});
}

void Swarm::AnnouncePiece(std::uint32_t piece, Actions* actions)
{
  for (const auto& [name, neighbour] : m_neighbours)
  {
    // A neighbour that holds the piece does not need the announcement.
    if (!neighbour.knows_local_holdings || neighbour.held.Contains(piece))
      continue;
    if (neighbour.is_remote)
      continue;
    actions->push_back(
        SendAnnouncement{name, {m_version, m_held.Size(), false, false, "", {piece}, {}}});
  }
}

void Swarm::AddHolding(Neighbour& neighbour, std::uint32_t piece, TimePoint now)
{
  if (!neighbour.held.Insert(piece))
    return;
  if (neighbour.is_remote)
  {
    if (m_held.Contains(piece))
      return;
    m_last_availability_at = now;
    m_last_new_piece_outside_at = now;
    m_has_yielded_to_origin_hall = false;
    if (m_available_outside_at[piece] == TimePoint())
      m_available_outside_at[piece] = now;
  }
  else if (m_availability[piece]++ == 0 && !m_held.Contains(piece))
  {
    m_last_availability_at = now;
    OnPieceInHall(piece, now);
  }
}

void Swarm::ClearHoldings(Neighbour& neighbour)
{
  for (std::uint32_t piece = 0; piece < neighbour.held.Size(); ++piece)
  {
    if (neighbour.held.Contains(piece) && !neighbour.is_remote)
      --m_availability[piece];
  }
  neighbour.held = PieceSet(m_held.Size());
}

void Swarm::OnAnnouncement(const std::string& peer, const Announcement& announcement, TimePoint now,
                           Actions* actions)
{
  auto [found, is_new] = m_neighbours.try_emplace(peer);
  Neighbour& neighbour = found->second;
  if (is_new)
  {
    neighbour.held = PieceSet(m_held.Size());
    neighbour.is_remote = m_options.shares_cross_hall_fetches && IsInOtherHall(peer);
  }
  if (const auto hall = m_hall_by_instance.find(peer);
      hall != m_hall_by_instance.end() && hall->second == m_options.origin_hall)
    m_origin_hall_contact_at = now;
  if (announcement.wants_reply)
  {
    SendFullAnnouncement(peer, false, actions);
    neighbour.knows_local_holdings = true;
  }
  neighbour.has_answered = true;
  if (announcement.piece_count > 0)
    neighbour.has_manifest = true;
  if (!m_manifest)
  {
    // Without a manifest the announced pieces cannot be recorded. The peer is asked again when the
    // manifest is known.
    ScheduleFetches(now, actions);
    return;
  }
  if (announcement.piece_count == m_held.Size())
  {
    if (announcement.is_full_list)
    {
      ClearHoldings(neighbour);
      const PieceSet held = PieceSet::FromBitmap(announcement.bitmap, m_held.Size());
      for (std::uint32_t piece = 0; piece < held.Size(); ++piece)
      {
        if (held.Contains(piece))
          AddHolding(neighbour, piece, now);
      }
    }
    for (const std::uint32_t piece : announcement.pieces)
    {
      if (piece < m_held.Size())
        AddHolding(neighbour, piece, now);
    }
    for (const std::uint32_t piece : announcement.claimed)
    {
      if (piece < m_claimed_at.size())
        m_claimed_at[piece] = now;
    }
  }
  ScheduleFetches(now, actions);
}

void Swarm::OnPeerLost(const std::string& peer, TimePoint now, Actions* actions)
{
  if (!m_neighbours.contains(peer))
    return;
  Unlink(peer, actions);
  ScheduleFetches(now, actions);
}

void Swarm::Unlink(const std::string& peer, Actions* actions)
{
  const auto found = m_neighbours.find(peer);
  CancelMatching([&](const Fetch& fetch) { return fetch.peer == peer; }, actions);
  ClearHoldings(found->second);
  m_neighbours.erase(found);
}

void Swarm::OnTick(TimePoint now, Actions* actions)
{
  if (!m_last_availability_at)
    m_last_availability_at = now;
  CancelStalledFetches(now, actions);
  if (m_options.shares_cross_hall_fetches && !IsHeld() && now >= m_resync_due)
    ResyncHoldings(now, actions);
  ScheduleFetches(now, actions);
}

void Swarm::Stop(Actions* actions)
{
  for (const auto& [id, fetch] : m_fetches)
    actions->push_back(CancelFetch{id});
  m_fetches.clear();
  m_shared->incomplete_in_hall.erase(m_version);
}

Bytes Swarm::Piece(std::uint32_t piece) const
{
  if (piece == MANIFEST_PIECE)
    return m_manifest_text;
  return piece < m_pieces.size() ? m_pieces[piece] : nullptr;
}

void Swarm::EndFetch(std::map<FetchId, Fetch>::iterator fetch)
{
  const Fetch& ended = fetch->second;
  if (ended.piece == MANIFEST_PIECE)
    --m_manifest_in_flight;
  else
    --m_in_flight[ended.piece];
  const auto neighbour = m_neighbours.find(ended.peer);
  if (ended.peer.empty())
    --m_platform_outstanding;
  else if (neighbour != m_neighbours.end() && neighbour->second.outstanding > 0)
    --neighbour->second.outstanding;
  m_fetches.erase(fetch);
}

void Swarm::CancelMatching(const std::function<bool(const Fetch&)>& matches, Actions* actions)
{
  for (auto fetch = m_fetches.begin(); fetch != m_fetches.end();)
  {
    const auto next = std::next(fetch);
    if (matches(fetch->second))
    {
      actions->push_back(CancelFetch{fetch->first});
      EndFetch(fetch);
    }
    fetch = next;
  }
}

void Swarm::CancelFetchesOf(std::uint32_t piece, Actions* actions)
{
  CancelMatching([&](const Fetch& fetch) { return fetch.piece == piece; }, actions);
}

void Swarm::CancelStalledFetches(TimePoint now, Actions* actions)
{
  std::set<std::string> stalled;
  const Duration stall_time = StallTime(now);
  for (auto fetch = m_fetches.begin(); fetch != m_fetches.end();)
  {
    const auto next = std::next(fetch);
    const std::string peer = fetch->second.peer;
    const auto neighbour = m_neighbours.find(peer);
    const TimePoint progress = peer.empty() ? StateOf(fetch->second.source).progress
                               : neighbour == m_neighbours.end() ? TimePoint{}
                                                                 : neighbour->second.last_progress;
    // A source that keeps delivering pieces to this instance is slow, not stalled.
    if (!fetch->second.is_received && now - std::max(progress, fetch->second.started) >= stall_time)
    {
      m_shared->downloads.OnTransfer(now - fetch->second.started, fetch->second.concurrent, now);
      actions->push_back(CancelFetch{fetch->first});
      actions->push_back(
          CountTransfer{peer.empty() ? TransferEvent::OriginStalled : TransferEvent::PeerStalled});
      if (neighbour != m_neighbours.end())
        stalled.insert(peer);
      EndFetch(fetch);
    }
    fetch = next;
  }
  for (const std::string& peer : stalled)
  {
    // The pause doubles with each consecutive stall.
    Neighbour& neighbour = m_neighbours[peer];
    neighbour.stalls = std::min(neighbour.stalls + 1, MAX_STALL_DOUBLINGS);
    neighbour.blocked_until = now + m_options.stall * (1U << neighbour.stalls);
  }
}

void Swarm::OnBytesReceived(FetchId id, TimePoint now)
{
  const auto found = m_fetches.find(id);
  if (found == m_fetches.end())
    return;
  found->second.is_received = true;
  OnSourceProgress(found->second, now);
}

void Swarm::OnSourceProgress(const Fetch& fetch, TimePoint now)
{
  if (fetch.peer.empty())
  {
    StateOf(fetch.source).progress = now;
    StateOf(fetch.source).backoff = Duration::zero();
  }
  else if (const auto neighbour = m_neighbours.find(fetch.peer); neighbour != m_neighbours.end())
  {
    neighbour->second.last_progress = now;
    neighbour->second.stalls = 0;
  }
}

void Swarm::OnFetched(FetchId id, const Result<Bytes>& result, TimePoint now, Actions* actions)
{
  const auto found = m_fetches.find(id);
  if (found == m_fetches.end())
    return;
  const Fetch fetch = found->second;
  const std::size_t concurrent = std::max(fetch.concurrent, m_fetches.size());
  EndFetch(found);
  if (Common::Succeeded(result))
    m_last_arrival = now;
  if (fetch.piece != MANIFEST_PIECE && Common::Succeeded(result))
    m_shared->downloads.OnTransfer(now - fetch.started, concurrent, now);
  if (const auto* error = std::get_if<Error>(&result))
    OnFetchFailed(fetch, *error, now, actions);
  else if (fetch.piece == MANIFEST_PIECE)
    AcceptManifest(fetch, std::get<Bytes>(result), now, actions);
  else
    AcceptPiece(fetch, std::get<Bytes>(result), now, actions);
  ScheduleFetches(now, actions);
}

} // namespace Holdpost::Distribution
