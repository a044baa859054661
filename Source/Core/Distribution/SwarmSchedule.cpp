// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>

// What a swarm asks for next, and of whom.
namespace Holdpost::Distribution
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// Nothing is fetched from the origin before the neighbours said what they hold, or for so long.
static constexpr Duration ANSWER_TIME = Milliseconds(300);
static constexpr Duration MANIFEST_ANSWER_TIME = Milliseconds(20);
// Members of a hall ask another hall for the manifest one after the other.
static constexpr Duration MANIFEST_TURN = Milliseconds(60);
// Only the last pieces are asked of two peers, so that hedging costs little.
static constexpr std::uint32_t HEDGED_PIECES = 4;

void Swarm::Pump(TimePoint now, Actions* actions)
{
  if (!m_last_new_sight)
    m_last_new_sight = now;
  m_next_turn = TimePoint::max();
  if (IsLacking(now))
    m_shared->lacking.insert(m_version);
  else
    m_shared->lacking.erase(m_version);
  if (!m_manifest)
  {
    PumpManifest(now, actions);
    return;
  }
  if (m_held.IsFull() || !m_options.fetches_pieces)
    return;
  if (m_options.shares_crossings)
  {
    PumpOutside(now, actions);
    PumpPeers(now, actions);
    return PumpSlow(now, actions);
  }
  PumpOrigin(now, actions);
  PumpPeers(now, actions);
  if (m_options.may_hedge)
    PumpHedges(now, actions);
}

void Swarm::PumpManifest(TimePoint now, Actions* actions)
{
  for (auto& [name, neighbour] : m_neighbours)
  {
    if (m_is_manifest_doubted || m_manifest_in_flight > 0)
      break; // they may have it from the same source
    // One of the hall brings the manifest in, others when that takes too long.
    const bool may_ask =
        !neighbour.is_remote || now - *m_last_new_sight >= m_manifest_rank_in_hall * MANIFEST_TURN;
    if (neighbour.has_manifest && may_ask && MayAsk(neighbour, now))
    {
      StartFetch(MANIFEST_PIECE, name, now, actions);
      return;
    }
  }
  const bool has_waited = now - *m_last_new_sight >= m_manifest_rank * m_options.patience;
  // A manifest is small, so the neighbours' answers are not awaited for long.
  const bool is_view_good = m_options.is_named_by_content
                                ? MayUseOrigin(now)
                                : m_is_view_confirmed && OpenSource(now) &&
                                      now - m_view_confirmed_at >= MANIFEST_ANSWER_TIME;
  const std::uint32_t copies = m_options.is_named_by_content ? 1 : 2;
  while (has_waited && is_view_good && m_manifest_in_flight < copies)
    StartFetch(MANIFEST_PIECE, "", now, actions);
  const TimePoint answer_due = m_view_confirmed_at + MANIFEST_ANSWER_TIME;
  if (m_is_view_confirmed && now < answer_due)
    m_next_turn = answer_due;
}

std::optional<std::uint32_t> Swarm::NextForOrigin(TimePoint now, bool* is_takeover) const
{
  const Duration waited = now - *m_last_new_sight;
  std::optional<std::uint32_t> takeover;
  for (const std::uint32_t piece : m_origin_order)
  {
    if (m_held.Contains(piece) || m_in_flight[piece] > 0 || IsWithinReach(piece))
      continue;
    if (m_ranks[piece] == 0)
      return piece;
    if (!takeover && waited >= m_ranks[piece] * m_options.patience)
      takeover = piece;
  }
  *is_takeover = takeover.has_value();
  return takeover;
}

void Swarm::PumpOrigin(TimePoint now, Actions* actions)
{
  while (m_platform_outstanding < m_options.window_of_platform && MayUseOrigin(now))
  {
    bool is_takeover = false;
    const auto piece = NextForOrigin(now, &is_takeover);
    if (!piece)
      return;
    if (is_takeover)
      actions->push_back(CountTransfer{TransferEvent::Takeover});
    StartFetch(*piece, "", now, actions);
  }
}

bool Swarm::MayAsk(const Neighbour& neighbour, TimePoint now) const
{
  return neighbour.outstanding < m_options.window_per_peer && now >= neighbour.blocked_until;
}

bool Swarm::MayAskFor(const Neighbour& neighbour, std::uint32_t piece, TimePoint now) const
{
  return !neighbour.is_remote && neighbour.held.Contains(piece) && MayAsk(neighbour, now);
}

std::optional<std::uint32_t> Swarm::RarestPiece(TimePoint now)
{
  // Reservoir choice among the rarest, so that peers don't all ask for the same piece.
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
    const bool can_be_asked = std::ranges::any_of(m_neighbours, [&](const auto& entry)
                                                  { return MayAskFor(entry.second, piece, now); });
    if (!can_be_asked)
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

std::string Swarm::BestSource(std::uint32_t piece, TimePoint now, const std::string& except)
{
  std::string best;
  std::uint32_t least = 0;
  std::uint64_t ties = 0;
  for (const auto& [name, neighbour] : m_neighbours)
  {
    if (name == except || !MayAskFor(neighbour, piece, now))
      continue;
    if (!best.empty() && neighbour.outstanding > least)
      continue;
    if (best.empty() || neighbour.outstanding < least)
      ties = 0;
    ++ties;
    if (ties == 1 || m_random() % ties == 0)
      best = name;
    least = neighbour.outstanding;
  }
  return best;
}

void Swarm::PumpPeers(TimePoint now, Actions* actions)
{
  while (m_fetches.size() - m_platform_outstanding < WindowInAll(now))
  {
    const auto piece = RarestPiece(now);
    if (!piece)
      return;
    StartFetch(*piece, BestSource(*piece, now, ""), now, actions);
  }
}

void Swarm::PumpHedges(TimePoint now, Actions* actions)
{
  if (m_held.Size() - m_held.Count() > HEDGED_PIECES)
    return;
  std::vector<Fetch> single;
  for (const auto& [id, fetch] : m_fetches)
  {
    if (fetch.piece != MANIFEST_PIECE && m_in_flight[fetch.piece] == 1 &&
        now - fetch.started >= m_options.stall / 4)
      single.push_back(fetch);
  }
  for (const Fetch& fetch : single)
  {
    const std::string source = BestSource(fetch.piece, now, fetch.peer);
    if (source.empty())
      continue;
    actions->push_back(CountTransfer{TransferEvent::Hedge});
    StartFetch(fetch.piece, source, now, actions);
  }
}

bool Swarm::MayUseOrigin(TimePoint now) const
{
  // Neighbours may hold it all already: their answers are awaited for a moment.
  const bool has_word =
      now - m_view_confirmed_at >= ANSWER_TIME ||
      std::ranges::all_of(m_neighbours, [](const auto& entry)
                          { return entry.second.has_answered || entry.second.is_remote; });
  const bool is_view_good =
      (m_is_view_confirmed && has_word) || now - *m_last_new_sight >= m_options.patience;
  return is_view_good && OpenSource(now).has_value();
}

std::optional<PlatformSource> Swarm::OpenSource(TimePoint now) const
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

bool Swarm::IsWithinReach(std::uint32_t piece) const
{
  return m_availability[piece] > 0 &&
         std::ranges::any_of(m_neighbours,
                             [&](const auto& entry)
                             {
                               const Neighbour& neighbour = entry.second;
                               return !neighbour.is_remote && neighbour.held.Contains(piece) &&
                                      neighbour.stalls == 0 &&
                                      neighbour.corrupt_pieces < SHUN_AFTER;
                             });
}

void Swarm::StartFetch(std::uint32_t piece, const std::string& peer, TimePoint now,
                       Actions* actions)
{
  const FetchId id = m_shared->next_fetch_id++;
  const PlatformSource source = OpenSource(now).value_or(PlatformSource::Origin);
  const std::size_t at_once = m_fetches.size() + 1;
  m_fetches[id] = {piece, peer, source, now, false, at_once};
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
