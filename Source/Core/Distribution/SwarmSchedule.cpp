// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>

// Selects the next fetches of a swarm and their sources.
namespace Holdpost::Distribution
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// Maximum time for which the first fetch from the origin waits for the neighbours' announcements.
static constexpr Duration NEIGHBOUR_REPLY_TIME = Milliseconds(300);
// Delay between the confirmation of the view and the first request of the manifest from the origin,
// if versions are not named by content.
static constexpr Duration MANIFEST_REPLY_TIME = Milliseconds(20);
// Interval at which the members of a hall request the manifest from another hall, in the order of
// their ranks.
static constexpr Duration MANIFEST_TURN = Milliseconds(60);
// Only the last pieces are requested from two peers, which limits the cost of hedging.
static constexpr std::uint32_t HEDGED_PIECES = 4;

void Swarm::ScheduleFetches(TimePoint now, Actions* actions)
{
  if (!m_last_availability_at)
    m_last_availability_at = now;
  m_next_waiting_fetch_at = TimePoint::max();
  if (IsHallIncomplete(now))
    m_shared->incomplete_in_hall.insert(m_version);
  else
    m_shared->incomplete_in_hall.erase(m_version);
  if (!m_manifest)
  {
    ScheduleManifest(now, actions);
    return;
  }
  if (m_held.IsFull() || !m_options.fetches_pieces)
    return;
  if (m_options.shares_cross_hall_fetches)
  {
    ScheduleOutsideFetches(now, actions);
    SchedulePeerFetches(now, actions);
    return ScheduleSlowHedges(now, actions);
  }
  ScheduleOriginFetches(now, actions);
  SchedulePeerFetches(now, actions);
  if (m_options.may_hedge)
    ScheduleHedges(now, actions);
}

void Swarm::ScheduleManifest(TimePoint now, Actions* actions)
{
  for (auto& [name, neighbour] : m_neighbours)
  {
    if (m_is_manifest_doubted || m_manifest_in_flight > 0)
      break; // the neighbours may hold a manifest from the same source
    // One member of the hall fetches the manifest from another hall; the others follow if that
    // takes too long.
    const bool may_request = !neighbour.is_remote || now - *m_last_availability_at >=
                                                         m_manifest_rank_in_hall * MANIFEST_TURN;
    if (neighbour.has_manifest && may_request && MayRequestFrom(neighbour, now))
    {
      StartFetch(MANIFEST_PIECE, name, now, actions);
      return;
    }
  }
  const bool has_waited = now - *m_last_availability_at >= m_manifest_rank * m_options.patience;
  // A manifest is small, so the wait for the neighbours' announcements is short.
  const bool is_view_usable = m_options.is_named_by_content
                                  ? MayUseOrigin(now)
                                  : m_is_view_confirmed && UsableSource(now) &&
                                        now - m_view_confirmed_at >= MANIFEST_REPLY_TIME;
  const std::uint32_t copies = m_options.is_named_by_content ? 1 : 2;
  while (has_waited && is_view_usable && m_manifest_in_flight < copies)
    StartFetch(MANIFEST_PIECE, "", now, actions);
  const TimePoint answer_due = m_view_confirmed_at + MANIFEST_REPLY_TIME;
  if (m_is_view_confirmed && now < answer_due)
    m_next_waiting_fetch_at = answer_due;
}

std::optional<std::uint32_t> Swarm::NextOriginPiece(TimePoint now, bool* is_takeover) const
{
  const Duration waited = now - *m_last_availability_at;
  std::optional<std::uint32_t> takeover;
  for (const std::uint32_t piece : m_origin_order)
  {
    if (m_held.Contains(piece) || m_in_flight[piece] > 0 || IsHeldByUsableNeighbour(piece))
      continue;
    if (m_ranks[piece] == 0)
      return piece;
    if (!takeover && waited >= m_ranks[piece] * m_options.patience)
      takeover = piece;
  }
  *is_takeover = takeover.has_value();
  return takeover;
}

void Swarm::ScheduleOriginFetches(TimePoint now, Actions* actions)
{
  while (m_platform_outstanding < m_options.platform_window && MayUseOrigin(now))
  {
    bool is_takeover = false;
    const auto piece = NextOriginPiece(now, &is_takeover);
    if (!piece)
      return;
    if (is_takeover)
      actions->push_back(CountTransfer{TransferEvent::Takeover});
    StartFetch(*piece, "", now, actions);
  }
}

bool Swarm::MayRequestFrom(const Neighbour& neighbour, TimePoint now) const
{
  return neighbour.outstanding < m_options.window_per_peer && now >= neighbour.blocked_until;
}

bool Swarm::MayRequestPiece(const Neighbour& neighbour, std::uint32_t piece, TimePoint now) const
{
  return !neighbour.is_remote && neighbour.held.Contains(piece) && MayRequestFrom(neighbour, now);
}

std::optional<std::uint32_t> Swarm::RarestPiece(TimePoint now)
{
  // Reservoir sampling among the rarest pieces, so that peers request different pieces.
  std::optional<std::uint32_t> best;
  std::uint32_t best_availability = 0;
  std::uint64_t ties = 0;
  for (std::uint32_t piece = 0; piece < m_held.Size(); ++piece)
  {
    const std::uint32_t availability = m_availability[piece];
    if (availability == 0 || m_held.Contains(piece) || m_in_flight[piece] > 0)
      continue;
    if (best && availability > best_availability)
      continue;
    const bool has_source = std::ranges::any_of(
        m_neighbours, [&](const auto& entry) { return MayRequestPiece(entry.second, piece, now); });
    if (!has_source)
      continue;
    if (!best || availability < best_availability)
      ties = 0;
    ++ties;
    if (ties == 1 || m_random() % ties == 0)
      best = piece;
    best_availability = availability;
  }
  return best;
}

std::string Swarm::SelectPeer(std::uint32_t piece, TimePoint now, const std::string& except)
{
  std::string best;
  std::uint32_t min_outstanding = 0;
  std::uint64_t ties = 0;
  for (const auto& [name, neighbour] : m_neighbours)
  {
    if (name == except || !MayRequestPiece(neighbour, piece, now))
      continue;
    if (!best.empty() && neighbour.outstanding > min_outstanding)
      continue;
    if (best.empty() || neighbour.outstanding < min_outstanding)
      ties = 0;
    ++ties;
    if (ties == 1 || m_random() % ties == 0)
      best = name;
    min_outstanding = neighbour.outstanding;
  }
  return best;
}

void Swarm::SchedulePeerFetches(TimePoint now, Actions* actions)
{
  while (m_fetches.size() - m_platform_outstanding < TotalWindow(now))
  {
    const auto piece = RarestPiece(now);
    if (!piece)
      return;
    StartFetch(*piece, SelectPeer(*piece, now, ""), now, actions);
  }
}

void Swarm::ScheduleHedges(TimePoint now, Actions* actions)
{
  if (m_held.Size() - m_held.Count() > HEDGED_PIECES)
    return;
  std::vector<Fetch> unhedged;
  for (const auto& [id, fetch] : m_fetches)
  {
    if (fetch.piece != MANIFEST_PIECE && m_in_flight[fetch.piece] == 1 &&
        now - fetch.started >= m_options.stall / 4)
      unhedged.push_back(fetch);
  }
  for (const Fetch& fetch : unhedged)
  {
    const std::string source = SelectPeer(fetch.piece, now, fetch.peer);
    if (source.empty())
      continue;
    actions->push_back(CountTransfer{TransferEvent::Hedge});
    StartFetch(fetch.piece, source, now, actions);
  }
}

bool Swarm::MayUseOrigin(TimePoint now) const
{
  // The neighbours may hold all pieces already, so the swarm waits briefly for their announcements.
  const bool has_replies =
      now - m_view_confirmed_at >= NEIGHBOUR_REPLY_TIME ||
      std::ranges::all_of(m_neighbours, [](const auto& entry)
                          { return entry.second.has_answered || entry.second.is_remote; });
  const bool is_view_usable =
      (m_is_view_confirmed && has_replies) || now - *m_last_availability_at >= m_options.patience;
  return is_view_usable && UsableSource(now).has_value();
}

std::optional<PlatformSource> Swarm::UsableSource(TimePoint now) const
{
  for (const PlatformSource source : {PlatformSource::Store, PlatformSource::Origin})
  {
    if (source == PlatformSource::Store && !m_options.has_weight_store)
      continue;
    if (now >= m_sources[static_cast<std::size_t>(source)].blocked_until)
      return source;
  }
  return std::nullopt;
}

bool Swarm::IsHeldByUsableNeighbour(std::uint32_t piece) const
{
  return m_availability[piece] > 0 &&
         std::ranges::any_of(m_neighbours,
                             [&](const auto& entry)
                             {
                               const Neighbour& neighbour = entry.second;
                               return !neighbour.is_remote && neighbour.held.Contains(piece) &&
                                      neighbour.stalls == 0 &&
                                      neighbour.corrupt_pieces < SHUN_AFTER_CORRUPT_PIECES;
                             });
}

void Swarm::StartFetch(std::uint32_t piece, const std::string& peer, TimePoint now,
                       Actions* actions)
{
  const FetchId id = m_shared->NextFetchId(now);
  const PlatformSource source = UsableSource(now).value_or(PlatformSource::Origin);
  const std::size_t concurrent = m_fetches.size() + 1;
  m_fetches[id] = {piece, peer, source, now, false, concurrent};
  if (piece == MANIFEST_PIECE)
    ++m_manifest_in_flight;
  else
    ++m_in_flight[piece];
  if (peer.empty())
    ++m_platform_outstanding;
  else
    ++m_neighbours[peer].outstanding;
  actions->push_back(FetchPiece{id, peer, source, m_version, piece});
}
} // namespace Holdpost::Distribution
