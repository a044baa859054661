// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/StageKeeper.h"

#include <algorithm>

namespace Holdpost::Sidecar
{
using Common::Milliseconds;
using Common::TimePoint;

// The maximum number of calls to the engine at once.
static constexpr std::uint32_t CALLS_MOST = 2;
static constexpr Milliseconds PAUSE_AFTER_FAILURE = Milliseconds(100);

void StageKeeper::Want(const std::string& model, std::uint64_t version, std::uint32_t pieces)
{
  if (model == m_model && version == m_version && pieces == m_pieces.size())
    return;
  m_model = model;
  m_version = version;
  m_pieces.assign(pieces, State::Missing);
  m_staged = 0;
  m_proven = 0;
  m_in_flight = 0;
  m_proof_begun.reset();
}

void StageKeeper::SetState(std::uint32_t piece, State state)
{
  const auto is_staged = [](State s) { return s >= State::Staged; };
  State& present = m_pieces[piece];
  m_staged += is_staged(state) - is_staged(present);
  m_proven += (state == State::Proven) - (present == State::Proven);
  present = state;
}

void StageKeeper::OnTick(const Distribution::Swarm& swarm, TimePoint now, StageActions* actions)
{
  if (now < m_not_before)
    return;
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_in_flight < CALLS_MOST; ++piece)
  {
    if (m_pieces[piece] != State::Missing)
      continue;
    const Common::Bytes data = swarm.Piece(piece);
    if (!data)
      continue;
    SetState(piece, State::Staging);
    ++m_in_flight;
    actions->push_back(StagePiece{m_model, piece, data});
  }
  if (!IsStaged())
    return;
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_in_flight < CALLS_MOST; ++piece)
  {
    if (m_pieces[piece] != State::Staged)
      continue;
    if (!m_proof_begun)
      m_proof_begun = now;
    SetState(piece, State::Reading);
    ++m_in_flight;
    actions->push_back(ReadStaged{m_model, piece});
  }
}

void StageKeeper::OnStaged(const PieceStaged& staged, TimePoint now)
{
  m_in_flight -= std::min(m_in_flight, 1U);
  if (staged.piece >= m_pieces.size() || m_pieces[staged.piece] != State::Staging)
    return;
  const bool is_good = Common::Succeeded(staged.result);
  SetState(staged.piece, is_good ? State::Staged : State::Missing);
  if (!is_good)
    m_not_before = now + PAUSE_AFTER_FAILURE;
}

void StageKeeper::OnRead(const StagedRead& read, const Distribution::Swarm& swarm, TimePoint now)
{
  m_in_flight -= std::min(m_in_flight, 1U);
  if (read.piece >= m_pieces.size() || m_pieces[read.piece] != State::Reading)
    return;
  const auto* data = std::get_if<Common::Bytes>(&read.result);
  if (data && swarm.IsRight(read.piece, **data))
    return SetState(read.piece, State::Proven);
  // The piece was lost or is corrupt: it is staged again.
  SetState(read.piece, State::Missing);
  if (!data)
    m_not_before = now + PAUSE_AFTER_FAILURE;
}

void StageKeeper::OnFound(std::uint32_t piece)
{
  if (piece < m_pieces.size() && m_pieces[piece] == State::Missing)
    SetState(piece, State::Staged);
}

void StageKeeper::ProveAgain()
{
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (m_pieces[piece] == State::Proven)
      SetState(piece, State::Staged);
  }
  m_proof_begun.reset();
}

std::optional<TimePoint> StageKeeper::ProvenSince() const
{
  if (m_pieces.empty() || m_proven != m_pieces.size())
    return std::nullopt;
  return m_proof_begun;
}
} // namespace Holdpost::Sidecar
