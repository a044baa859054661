// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include "Core/Distribution/Ranking.h"

// Coordinates how the instances of a hall divide the fetches from outside the hall, that is, from
// the origin or from another hall.
namespace Holdpost::Distribution
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// Period of the full announcements that replace lost announcements (anti-entropy).
static constexpr Milliseconds RESYNC_PERIOD = Milliseconds(700);
static constexpr std::size_t RESYNC_PEERS_PER_HALL = 2;
// Multiples of the patience for which other halls wait for the origin's hall before they take over:
// while its members answer, and while they are silent. A hall that answers delivers pieces as soon
// as the origin does. Halls that took over from it during a 6 s outage fetched the same pieces
// again after the outage, three times each.
static constexpr int REACHABLE_HALL_PATIENCE_FACTOR = 20;
static constexpr int SILENT_HALL_PATIENCE_FACTOR = 2;
// Additional manifest ranks of the instances in other halls, so that the origin's hall has this
// number of turns to fetch the manifest first.
static constexpr std::uint32_t MANIFEST_EXTRA_TURNS = 2;
static constexpr Milliseconds HALL_SILENT_AFTER = Milliseconds(1500);
// Number of members of the next hall to which a piece is announced: the assigned fetcher and the
// members that take over from it.
static constexpr std::size_t ANNOUNCED_MEMBERS = 3;
// Length of a turn, after which the next member may fetch a piece: this multiple of the piece time,
// and MIN_TURN at least.
static constexpr int TURN_PIECE_TIMES = 16;
static constexpr Duration MIN_TURN = Milliseconds(150);
// The origin counts as down if no piece arrives in the hall for this multiple of the piece time,
// and for MIN_OUTAGE at least.
static constexpr int OUTAGE_PIECE_TIMES = 16;
static constexpr Duration MIN_OUTAGE = Milliseconds(1000);
// Limits the doublings of MIN_OUTAGE, which would overflow for large ranks.
static constexpr std::uint32_t MAX_PROBE_RANK = 12;

void Swarm::ComputeRanks()
{
  std::vector<std::string> all_instances;
  for (const Fetcher& fetcher : m_fetchers)
    all_instances.push_back(fetcher.instance);
  const std::uint32_t count = m_manifest ? m_manifest->PieceCount() : 1;
  m_ranks = RankPieces(m_version, count, m_self.instance, all_instances);
  m_manifest_rank = m_ranks.front();
  if (!m_options.shares_cross_hall_fetches)
    return;
  m_assignments.clear();
  for (const auto& [hall, others] : m_halls)
  {
    std::vector<std::string> members = others;
    if (hall == m_self.hall && std::ranges::find(members, m_self.instance) == members.end())
      members.push_back(m_self.instance);
    m_assignments[hall] = PieceAssignment(m_version, members);
  }
  m_hall_ranks.clear();
  for (std::uint32_t piece = 0; piece < count; ++piece)
    m_hall_ranks.push_back(m_assignments[m_self.hall].RankOf(m_self.instance, piece));
  // The instances in the origin's hall fetch the manifest first.
  m_manifest_rank_in_hall = m_hall_ranks.front();
  m_manifest_rank = m_hall_ranks.front();
  if (!IsInOriginHall())
    m_manifest_rank += MANIFEST_EXTRA_TURNS;
  m_outside_order.resize(count);
  std::iota(m_outside_order.begin(), m_outside_order.end(), 0U);
  std::ranges::stable_sort(m_outside_order, {},
                           [&](std::uint32_t piece) { return m_hall_ranks[piece]; });
}

bool Swarm::IsInOtherHall(const std::string& peer) const
{
  const auto found = m_hall_by_instance.find(peer);
  return found != m_hall_by_instance.end() && found->second != m_self.hall;
}

bool Swarm::IsInOriginHall() const
{
  return m_options.origin_hall.empty() || m_options.origin_hall == m_self.hall;
}

void Swarm::ResyncHoldings(TimePoint now, Actions* actions)
{
  m_resync_due = now + RESYNC_PERIOD;
  for (auto& [hall, names] : m_halls)
  {
    if (hall == m_self.hall)
      continue;
    // Selects different instances in each round because some may be unreachable.
    const auto seed = static_cast<std::uint32_t>(m_random());
    for (const std::string& name : TopRankedForPiece(m_version, seed, names, RESYNC_PEERS_PER_HALL))
      SendFullAnnouncement(name, true, actions);
  }
  if (m_neighbours.empty())
    return;
  const auto random_neighbour = std::next(
      m_neighbours.begin(), static_cast<std::ptrdiff_t>(m_random() % m_neighbours.size()));
  if (!random_neighbour->second.is_remote)
    SendFullAnnouncement(random_neighbour->first, true, actions);
}

void Swarm::AnnounceToNextHall(std::uint32_t piece, bool is_from_origin, Actions* actions)
{
  if (m_halls.empty())
    return;
  // Pieces pass from hall to hall in a ring, so that no hall sends more than one copy to other
  // halls.
  auto next = m_halls.upper_bound(m_self.hall);
  if (next == m_halls.end())
    next = m_halls.begin();
  const bool closes_ring = next->first == m_options.origin_hall && !is_from_origin;
  if (next->first == m_self.hall || closes_ring)
    return;
  for (const std::string& name : m_assignments[next->first].FirstMembers(piece, ANNOUNCED_MEMBERS))
  {
    actions->push_back(
        SendAnnouncement{name, {m_version, m_held.Size(), false, false, "", {piece}, {}}});
  }
}

bool Swarm::IsClaimed(std::uint32_t piece, TimePoint now) const
{
  const TimePoint claimed = m_claimed_at[piece];
  return claimed != TimePoint::min() && now - claimed < m_options.claim_lifetime;
}

void Swarm::Claim(std::uint32_t piece, Actions* actions)
{
  for (const auto& [name, neighbour] : m_neighbours)
  {
    if (neighbour.knows_local_holdings && !neighbour.is_remote)
    {
      actions->push_back(
          SendAnnouncement{name, {m_version, m_held.Size(), false, false, "", {}, {piece}}});
    }
  }
}

std::uint32_t Swarm::OpenOutsideFetches() const
{
  return static_cast<std::uint32_t>(std::ranges::count_if(
      m_fetches,
      [&](const auto& entry)
      {
        const Fetch& fetch = entry.second;
        return fetch.piece != MANIFEST_PIECE && (fetch.peer.empty() || IsInOtherHall(fetch.peer));
      }));
}

bool Swarm::IsOriginHallIdle(TimePoint now)
{
  // The members of the origin's hall fetch its pieces. Other halls wait longer while these members
  // answer.
  const bool is_answering = now - m_origin_hall_contact_at < HALL_SILENT_AFTER;
  // An announcement from another hall of a piece that this instance lacks restarts this wait. A
  // piece that the local hall fetches itself does not, except that the first one after an outage of
  // the origin may (see OnPieceInHall).
  const Duration waited = now - std::max(m_last_new_piece_outside_at, m_view_confirmed_at);
  const bool is_idle =
      waited >= (is_answering ? REACHABLE_HALL_PATIENCE_FACTOR : SILENT_HALL_PATIENCE_FACTOR) *
                    m_options.patience;
  // A takeover lasts until the origin's hall answers again.
  m_has_taken_over = is_idle || (m_has_taken_over && !is_answering);
  return m_has_taken_over;
}

TimePoint Swarm::TurnStart(std::uint32_t piece) const
{
  const Duration turn = std::max<Duration>(TURN_PIECE_TIMES * m_options.piece_time, MIN_TURN);
  const Duration wait = m_hall_ranks[piece] * turn;
  const bool is_in_other_hall = m_available_outside_at[piece] != TimePoint();
  if (!IsInOriginHall() && is_in_other_hall)
    return m_available_outside_at[piece] + wait;
  // The origin sends the pieces one after another, so that the first pieces can be distributed
  // early. If the origin is slower than planned, the later ranks wait for its delay as well,
  // because the member whose turn it was has not failed.
  const Duration origin_delay = m_hall_ranks[piece] > 0 ? m_origin_delay : Duration::zero();
  return PlannedFetchAt(piece) + origin_delay + wait;
}

TimePoint Swarm::PlannedFetchAt(std::uint32_t piece) const
{
  return m_plan_start + m_plan_position[piece] * m_options.origin_piece_time;
}

void Swarm::PlanFetches(TimePoint now)
{
  m_plan_start = now;
  m_plan_fetched_end = 0;
  m_origin_delay = Duration::zero();
  m_plan_position.assign(m_held.Size(), 0);
  std::uint32_t next = 0;
  for (std::uint32_t piece = 0; piece < m_held.Size(); ++piece)
  {
    if (IsUnavailable(piece))
      m_plan_position[piece] = next++;
  }
}

Duration Swarm::OriginOutage(TimePoint now) const
{
  const Duration down_after =
      std::max<Duration>(OUTAGE_PIECE_TIMES * m_options.piece_time, MIN_OUTAGE);
  return now - std::max(m_last_piece_in_hall_at, m_plan_start) - down_after;
}

bool Swarm::MayProbeOrigin(TimePoint now) const
{
  const Duration outage = OriginOutage(now);
  if (outage < Duration::zero())
    return true;
  for (std::uint32_t piece = 0; piece < m_held.Size(); ++piece)
  {
    if (!IsUnavailable(piece))
      continue;
    const std::uint32_t rank = std::min(m_hall_ranks[piece], MAX_PROBE_RANK);
    return outage >= ((1U << rank) - 1) * MIN_OUTAGE;
  }
  return true;
}

bool Swarm::OnPieceInHall(std::uint32_t piece, TimePoint now)
{
  const bool was_down = OriginOutage(now) >= Duration::zero();
  m_last_piece_in_hall_at = now;
  SourceState& origin = StateOf(PlatformSource::Origin);
  if (was_down)
  {
    PlanFetches(now);
    // The piece is announced to the origin's hall too, and that hall takes precedence.
    if (!std::exchange(m_has_yielded_to_origin_hall, true))
      m_last_new_piece_outside_at = now;
  }
  else if (m_plan_position[piece] < m_plan_fetched_end)
  {
    return false;
  }
  // The origin serves other instances again, so the local backoff ends.
  origin.backoff = Duration::zero();
  origin.blocked_until = std::min(origin.blocked_until, now);
  if (was_down)
    return true;
  m_plan_fetched_end = m_plan_position[piece] + 1;
  m_origin_delay = std::max(m_origin_delay, now - PlannedFetchAt(piece));
  return false;
}

void Swarm::AnnounceToHall(std::uint32_t piece, Actions* actions)
{
  for (const std::string& name : m_halls[m_self.hall])
  {
    if (!m_neighbours.contains(name))
      actions->push_back(
          SendAnnouncement{name, {m_version, m_held.Size(), false, false, "", {piece}, {}}});
  }
}

std::optional<std::string> Swarm::SelectOutsideSource(std::uint32_t piece, bool may_use_origin,
                                                      TimePoint now)
{
  if (const TimePoint turn = TurnStart(piece); now < turn)
  {
    m_next_waiting_fetch_at = std::min(m_next_waiting_fetch_at, turn);
    return std::nullopt;
  }
  if (IsInOriginHall() && may_use_origin)
    return "";
  std::string best;
  std::uint32_t min_outstanding = 0;
  for (const auto& [name, neighbour] : m_neighbours)
  {
    if (!neighbour.is_remote || !neighbour.held.Contains(piece) || !MayRequestFrom(neighbour, now))
      continue;
    if (best.empty() || neighbour.outstanding < min_outstanding)
    {
      best = name;
      min_outstanding = neighbour.outstanding;
    }
  }
  if (!best.empty())
    return best;
  if (may_use_origin)
    return "";
  return std::nullopt;
}

void Swarm::ScheduleOutsideFetches(TimePoint now, Actions* actions)
{
  std::uint32_t open = OpenOutsideFetches();
  const std::uint32_t window = IsLinkNarrow(now) ? 1 : m_options.outside_window;
  // The value is the same for all pieces and is computed only when a piece needs it.
  std::optional<bool> may_use_origin;
  for (const std::uint32_t piece : m_outside_order)
  {
    if (open >= window)
      return;
    if (m_held.Contains(piece) || m_in_flight[piece] > 0 || IsHeldByUsableNeighbour(piece) ||
        IsClaimed(piece, now))
      continue;
    if (!may_use_origin)
      may_use_origin =
          MayUseOrigin(now) && (IsInOriginHall() || IsOriginHallIdle(now)) && MayProbeOrigin(now);
    const auto source = SelectOutsideSource(piece, *may_use_origin, now);
    if (!source)
      continue;
    // A member with a rank above 0 announces its claim. The members with later ranks wait for their
    // turn.
    if (m_hall_ranks[piece] > 0)
      Claim(piece, actions);
    StartFetch(piece, *source, now, actions);
    ++open;
  }
}

std::uint32_t Swarm::TotalWindow(TimePoint now) const
{
  if (!m_options.adapts_window)
    return m_options.total_window;
  const std::uint32_t configured =
      m_shared->incomplete_in_hall.empty()
          ? m_options.total_window
          : std::min(m_options.total_window_while_incomplete, m_options.total_window);
  const std::uint32_t window = IsLinkNarrow(now) ? 1 : configured;
  // Fetches from the platform's sources use the local link too.
  const std::uint32_t platform_fetches = m_platform_outstanding;
  return window > platform_fetches ? window - platform_fetches : 1;
}

bool Swarm::IsHallIncomplete(TimePoint now) const
{
  if (!m_options.shares_cross_hall_fetches || IsHeld())
    return false;
  if (!m_manifest)
    return now - m_view_confirmed_at < MIN_OUTAGE;
  return UnavailablePieces() > 0 && OriginOutage(now) < Duration::zero();
}

bool Swarm::IsLinkNarrow(TimePoint now) const
{
  return m_options.adapts_window && m_shared->downloads.IsNarrow(now);
}

bool Swarm::IsLocalLinkSilent(TimePoint now) const
{
  std::set<std::string> pending_sources;
  TimePoint first_start = now;
  for (const auto& [id, fetch] : m_fetches)
  {
    pending_sources.insert(fetch.peer);
    first_start = std::min(first_start, fetch.started);
  }
  return pending_sources.size() > 1 &&
         now - std::max(first_start, m_last_arrival) >= m_options.stall;
}

Duration Swarm::StallTime(TimePoint now) const
{
  // On a narrow local link, concurrent transfers are slow although the senders are not.
  static constexpr int NARROW_LINK_FACTOR = 3;
  const bool is_slow = m_options.adapts_window && (IsLinkNarrow(now) || IsLocalLinkSilent(now));
  return is_slow ? NARROW_LINK_FACTOR * m_options.stall : m_options.stall;
}

void Swarm::ScheduleSlowHedges(TimePoint now, Actions* actions)
{
  // A second copy would slow a narrow link further.
  if (IsLinkNarrow(now))
    return;
  // No further piece can be requested, so slow fetches are repeated at a second neighbour.
  std::vector<Fetch> slow;
  for (const auto& [id, fetch] : m_fetches)
  {
    if (fetch.piece != MANIFEST_PIECE && m_in_flight[fetch.piece] == 1 &&
        now - fetch.started >= m_options.claim_lifetime)
      slow.push_back(fetch);
  }
  for (const Fetch& fetch : slow)
  {
    if (m_fetches.size() > TotalWindow(now))
      return;
    const std::string source = SelectPeer(fetch.piece, now, fetch.peer);
    if (source.empty())
      continue;
    actions->push_back(CountTransfer{TransferEvent::Hedge});
    StartFetch(fetch.piece, source, now, actions);
  }
}
} // namespace Holdpost::Distribution
