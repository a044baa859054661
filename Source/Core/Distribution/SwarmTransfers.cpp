// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Swarm.h"

#include <algorithm>
#include <numeric>
#include <utility>

// What a swarm makes of what its fetches brought: manifests, pieces, and failures.
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
static constexpr Duration ABSENT_PAUSE = std::chrono::seconds(30);
static constexpr Duration BACKOFF_LEAST = Milliseconds(100);

void Swarm::AcceptManifest(const Fetch& fetch, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_manifest)
    return;
  const Result<Manifest> decoded = DecodeManifest(*data);
  const bool is_named = !m_options.is_named_by_content || Common::Sha256(*data) == m_version;
  if (!is_named || !Common::Succeeded(decoded))
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
  m_seen_outside_at.assign(count, TimePoint());
  m_origin_order.resize(count);
  std::iota(m_origin_order.begin(), m_origin_order.end(), 0U);
  std::ranges::shuffle(m_origin_order, m_random);
  m_last_new_sight = now;
  m_view_confirmed_at = now;
  PlanFetches(now);
  ComputeRanks();
  CancelOthers(MANIFEST_PIECE, actions);
  for (std::uint32_t piece = 0; piece < m_doubted_pieces.size(); ++piece)
  {
    if (m_doubted_pieces[piece] && IsRight(piece, *m_doubted_pieces[piece]))
      Hold(piece, m_doubted_pieces[piece], now, actions);
  }
  m_doubted_pieces.clear();
  m_is_manifest_doubted = false;
  // Now that pieces have numbers, tell the neighbours and ask what they hold.
  for (auto& [name, neighbour] : m_neighbours)
  {
    neighbour.held = PieceSet(count);
    neighbour.has_answered = false;
    TellWhole(name, true, actions);
    neighbour.is_told = true;
  }
}

bool Swarm::IsConfirmed(const Fetch& fetch, const Bytes& data)
{
  // Peers pass on what was confirmed; what the origin sends may be corrupt and still be readable.
  if (m_options.is_named_by_content || !fetch.peer.empty())
    return true;
  const Bytes before = std::exchange(m_manifest_copy, data);
  return before && *before == *data;
}

void Swarm::AcceptPiece(const Fetch& fetch, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_held.Contains(fetch.piece))
  {
    actions->push_back(CountTransfer{TransferEvent::PieceTwice, data->size()});
    return;
  }
  if (!IsRight(fetch.piece, *data))
  {
    OnCorrupt(fetch, now, actions);
    return;
  }
  if (fetch.peer.empty())
  {
    m_last_new_sight = now;
    if (OnFetchedFromOrigin(fetch.piece, now) && m_options.shares_crossings)
      TellWholeHall(fetch.piece, actions);
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
  Hold(fetch.piece, data, now, actions);
  if (m_options.shares_crossings && is_from_outside)
    TellNextHall(fetch.piece, fetch.peer.empty(), actions);
}

void Swarm::Hold(std::uint32_t piece, const Bytes& data, TimePoint now, Actions* actions)
{
  m_pieces[piece] = data;
  m_held.Insert(piece);
  CancelOthers(piece, actions);
  TellNewPiece(piece, actions);
  actions->push_back(PieceHeld{m_version, piece, data});
  if (m_held.IsFull())
  {
    m_held_at = now;
    actions->push_back(VersionHeld{m_version});
  }
}

std::uint32_t Swarm::PiecesUnseen() const
{
  std::uint32_t unseen = 0;
  for (std::uint32_t piece = 0; piece < m_availability.size(); ++piece)
    unseen += IsUnseen(piece);
  return unseen;
}

bool Swarm::IsRight(std::uint32_t piece, const std::string& data) const
{
  return m_manifest && piece < m_manifest->PieceCount() &&
         data.size() == m_manifest->BytesOf(piece) &&
         Common::Sha256(data) == m_manifest->pieces[piece];
}

void Swarm::OfferPiece(std::uint32_t piece, const Bytes& data, TimePoint now, Actions* actions)
{
  if (m_held.Contains(piece) || !IsRight(piece, *data))
    return;
  Hold(piece, data, now, actions);
  Pump(now, actions);
}

void Swarm::DoubtManifest(std::uint32_t piece, TimePoint now, Actions* actions)
{
  // So many corrupt copies of one piece: the manifest may be what is corrupt.
  static constexpr std::uint32_t COPIES = 4;
  if (m_options.is_named_by_content || ++m_corrupt_from_origin[piece] < COPIES)
    return;
  actions->push_back(CountTransfer{TransferEvent::ManifestDoubted});
  const std::vector<Bytes> pieces = std::exchange(m_pieces, {});
  CancelWhere([](const Fetch&) { return true; }, actions);
  m_manifest.reset();
  m_manifest_text.reset();
  m_manifest_copy.reset();
  m_held = PieceSet();
  m_corrupt_from_origin.clear();
  m_is_manifest_doubted = true;
  m_doubted_pieces = pieces;
  for (auto& [name, neighbour] : m_neighbours)
    neighbour.has_manifest = false;
  m_last_new_sight = now;
}

void Swarm::OnCorrupt(const Fetch& fetch, TimePoint now, Actions* actions)
{
  const auto neighbour = m_neighbours.find(fetch.peer);
  if (neighbour == m_neighbours.end())
  {
    actions->push_back(CountTransfer{TransferEvent::PieceCorruptFromOrigin});
    StateOf(fetch.source).blocked_until = now + BACKOFF_LEAST;
    if (fetch.piece != MANIFEST_PIECE)
      DoubtManifest(fetch.piece, now, actions);
    return;
  }
  actions->push_back(CountTransfer{TransferEvent::PieceCorruptFromPeer});
  neighbour->second.blocked_until = now + BUSY_PAUSE;
  if (++neighbour->second.corrupt_pieces < SHUN_AFTER)
    return;
  if (neighbour->second.corrupt_pieces == SHUN_AFTER)
    actions->push_back(CountTransfer{TransferEvent::PeerShunned});
  neighbour->second.blocked_until = now + SHUN_TIME;
  ForgetHoldings(neighbour->second);
}

void Swarm::OnPlatformFailed(const Fetch& fetch, const Error& error, TimePoint now,
                             Actions* actions)
{
  SourceState& state = StateOf(fetch.source);
  const bool is_absent = fetch.source == PlatformSource::Store && error.kind == ErrorKind::NotFound;
  if (is_absent)
  {
    // Not every version is in the weight store; the origin has them all.
    state.blocked_until = now + ABSENT_PAUSE;
    return;
  }
  const bool is_busy = error.kind == ErrorKind::SourceBusy;
  actions->push_back(
      CountTransfer{is_busy ? TransferEvent::OriginBusy : TransferEvent::OriginFailed});
  state.backoff = std::clamp(state.backoff * 2, BACKOFF_LEAST, m_options.backoff_most);
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
      now + (is_busy ? Duration(error.retry_after.value_or(Milliseconds(50))) : BACKOFF_LEAST);
  if (error.kind == ErrorKind::PieceNotHeld)
  {
    // Its holdings were believed wrongly, as after a restart: ask anew.
    ForgetHoldings(found->second);
    TellWhole(fetch.peer, true, actions);
  }
}
} // namespace Holdpost::Distribution
