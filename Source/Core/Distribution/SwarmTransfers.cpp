// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>
#include <numeric>
#include <utility>

// Handles the results of a swarm's fetches: manifests, pieces and failures.
namespace Holdpost::Distribution
{
using Common::Bytes;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;

static constexpr Duration SHUN_TIME = std::chrono::minutes(10);
static constexpr Duration BUSY_PAUSE = Milliseconds(50);
static constexpr Duration STORE_MISS_PAUSE = std::chrono::seconds(30);
static constexpr Duration MIN_BACKOFF = Milliseconds(100);

void Swarm::AcceptManifest(const Fetch& fetch, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_manifest)
    return;
  const Result<Manifest> decoded = DecodeManifest(*data);
  const bool matches_version = !m_options.is_named_by_content || Common::Sha256(*data) == m_version;
  if (!matches_version || !Common::Succeeded(decoded))
  {
    OnCorrupt(fetch, now, actions);
    return;
  }
  if (!IsConfirmed(fetch, data))
    return;
  m_manifest = std::get<Manifest>(decoded);
  m_manifest_text = data;
  const std::uint32_t count = m_manifest->PieceCount();
  m_held = PieceSet(count);
  m_pieces.assign(count, nullptr);
  m_availability.assign(count, 0);
  m_in_flight.assign(count, 0);
  m_claimed_at.assign(count, TimePoint::min());
  m_available_outside_at.assign(count, TimePoint());
  m_origin_order.resize(count);
  std::iota(m_origin_order.begin(), m_origin_order.end(), 0U);
  std::ranges::shuffle(m_origin_order, m_random);
  m_last_availability_at = now;
  m_view_confirmed_at = now;
  PlanFetches(now);
  ComputeRanks();
  CancelFetchesOf(MANIFEST_PIECE, actions);
  for (std::uint32_t piece = 0; piece < m_pieces_to_reverify.size(); ++piece)
  {
    if (m_pieces_to_reverify[piece] && IsValidPiece(piece, *m_pieces_to_reverify[piece]))
      AddVerifiedPiece(piece, m_pieces_to_reverify[piece], now, actions);
  }
  m_pieces_to_reverify.clear();
  m_is_manifest_doubted = false;
  // The piece numbers are known now, so each neighbour gets a full announcement and is asked for
  // its pieces.
  for (auto& [name, neighbour] : m_neighbours)
  {
    neighbour.held = PieceSet(count);
    neighbour.has_answered = false;
    SendFullAnnouncement(name, true, actions);
    neighbour.knows_local_holdings = true;
  }
}

bool Swarm::IsConfirmed(const Fetch& fetch, const Bytes& data)
{
  // Peers send only confirmed manifests. A manifest from the origin may be corrupt although it can
  // be decoded.
  if (m_options.is_named_by_content || !fetch.peer.empty())
    return true;
  const Bytes previous = std::exchange(m_manifest_copy, data);
  return previous && *previous == *data;
}

void Swarm::AcceptPiece(const Fetch& fetch, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_held.Contains(fetch.piece))
  {
    actions->push_back(CountTransfer{TransferEvent::PieceTwice, data->size()});
    return;
  }
  if (!IsValidPiece(fetch.piece, *data))
  {
    OnCorrupt(fetch, now, actions);
    return;
  }
  if (fetch.peer.empty())
  {
    m_last_availability_at = now;
    if (OnPieceInHall(fetch.piece, now) && m_options.shares_cross_hall_fetches)
      AnnounceToHall(fetch.piece, actions);
    actions->push_back(CountTransfer{fetch.source == PlatformSource::Store
                                         ? TransferEvent::PieceFromStore
                                         : TransferEvent::PieceFromOrigin,
                                     data->size()});
  }
  else
  {
    actions->push_back(CountTransfer{TransferEvent::PieceFromPeer, data->size()});
  }
  OnSourceProgress(fetch, now);
  const bool is_from_outside = fetch.peer.empty() || IsInOtherHall(fetch.peer);
  AddVerifiedPiece(fetch.piece, data, now, actions);
  if (m_options.shares_cross_hall_fetches && is_from_outside)
    AnnounceToNextHall(fetch.piece, fetch.peer.empty(), actions);
}

void Swarm::AddVerifiedPiece(std::uint32_t piece, const Bytes& data, TimePoint now,
                             Actions* actions)
{
  m_pieces[piece] = data;
  m_held.Insert(piece);
  CancelFetchesOf(piece, actions);
  AnnouncePiece(piece, actions);
  actions->push_back(PieceHeld{m_version, piece, data});
  if (m_held.IsFull())
  {
    m_held_at = now;
    actions->push_back(VersionHeld{m_version});
  }
}

std::uint32_t Swarm::UnavailablePieces() const
{
  std::uint32_t unavailable = 0;
  for (std::uint32_t piece = 0; piece < m_availability.size(); ++piece)
    unavailable += IsUnavailable(piece);
  return unavailable;
}

bool Swarm::IsValidPiece(std::uint32_t piece, const std::string& data) const
{
  return m_manifest && piece < m_manifest->PieceCount() &&
         data.size() == m_manifest->BytesOf(piece) &&
         Common::Sha256(data) == m_manifest->pieces[piece];
}

void Swarm::RestorePiece(std::uint32_t piece, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_held.Contains(piece) || !IsValidPiece(piece, *data))
    return;
  AddVerifiedPiece(piece, data, now, actions);
  ScheduleFetches(now, actions);
}

void Swarm::DoubtManifest(std::uint32_t piece, TimePoint now, Actions* actions)
{
  // After this number of corrupt copies of one piece, the manifest itself may be corrupt.
  static constexpr std::uint32_t MAX_CORRUPT_COPIES = 4;
  if (m_options.is_named_by_content || ++m_corrupt_from_origin[piece] < MAX_CORRUPT_COPIES)
    return;
  actions->push_back(CountTransfer{TransferEvent::ManifestDoubted});
  const std::vector<Bytes> pieces = std::exchange(m_pieces, {});
  CancelMatching([](const Fetch&) { return true; }, actions);
  m_manifest.reset();
  m_manifest_text.reset();
  m_manifest_copy.reset();
  m_held = PieceSet();
  m_corrupt_from_origin.clear();
  m_is_manifest_doubted = true;
  m_pieces_to_reverify = pieces;
  for (auto& [name, neighbour] : m_neighbours)
    neighbour.has_manifest = false;
  m_last_availability_at = now;
}

void Swarm::OnCorrupt(const Fetch& fetch, TimePoint now, Actions* actions)
{
  const auto neighbour = m_neighbours.find(fetch.peer);
  if (neighbour == m_neighbours.end())
  {
    actions->push_back(CountTransfer{TransferEvent::PieceCorruptFromOrigin});
    StateOf(fetch.source).blocked_until = now + MIN_BACKOFF;
    if (fetch.piece != MANIFEST_PIECE)
      DoubtManifest(fetch.piece, now, actions);
    return;
  }
  actions->push_back(CountTransfer{TransferEvent::PieceCorruptFromPeer});
  neighbour->second.blocked_until = now + BUSY_PAUSE;
  if (++neighbour->second.corrupt_pieces < SHUN_AFTER_CORRUPT_PIECES)
    return;
  if (neighbour->second.corrupt_pieces == SHUN_AFTER_CORRUPT_PIECES)
    actions->push_back(CountTransfer{TransferEvent::PeerShunned});
  neighbour->second.blocked_until = now + SHUN_TIME;
  ClearHoldings(neighbour->second);
}

void Swarm::OnPlatformFailed(const Fetch& fetch, const Error& error, TimePoint now,
                             Actions* actions)
{
  SourceState& state = StateOf(fetch.source);
  const bool is_absent = fetch.source == PlatformSource::Store && error.kind == ErrorKind::NotFound;
  if (is_absent)
  {
    // The weight store need not hold every version; the origin holds all versions.
    state.blocked_until = now + STORE_MISS_PAUSE;
    return;
  }
  const bool is_busy = error.kind == ErrorKind::SourceBusy;
  actions->push_back(
      CountTransfer{is_busy ? TransferEvent::OriginBusy : TransferEvent::OriginFailed});
  state.backoff = std::clamp(state.backoff * 2, MIN_BACKOFF, m_options.max_backoff);
  state.blocked_until = now + (error.retry_after ? Duration(*error.retry_after) : state.backoff);
}

void Swarm::OnFetchFailed(const Fetch& fetch, const Error& error, TimePoint now, Actions* actions)
{
  const bool is_busy = error.kind == ErrorKind::SourceBusy;
  if (fetch.peer.empty())
  {
    OnPlatformFailed(fetch, error, now, actions);
    return;
  }
  const auto found = m_neighbours.find(fetch.peer);
  if (found == m_neighbours.end())
    return;
  actions->push_back(CountTransfer{is_busy ? TransferEvent::PeerBusy : TransferEvent::PeerFailed});
  found->second.blocked_until =
      now + (is_busy ? Duration(error.retry_after.value_or(Milliseconds(50))) : MIN_BACKOFF);
  if (error.kind == ErrorKind::PieceNotHeld)
  {
    // The recorded holdings of the peer are out of date, for example after its restart, so they are
    // requested again.
    ClearHoldings(found->second);
    SendFullAnnouncement(fetch.peer, true, actions);
  }
}
} // namespace Holdpost::Distribution
