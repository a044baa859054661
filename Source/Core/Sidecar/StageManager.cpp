// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/StageManager.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace Holdpost::Sidecar
{
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The maximum number of calls to the engine at once.
static constexpr std::uint32_t MAX_CONCURRENT_CALLS = 2;
static constexpr Milliseconds RETRY_DELAY = Milliseconds(100);

void StageManager::SetVersion(const std::string& model, std::uint64_t version, std::uint32_t pieces)
{
  if (model == m_model && version == m_version && pieces == m_pieces.size())
    return;
  m_model = model;
  m_version = version;
  m_pieces.assign(pieces, State::Missing);
  m_staged = 0;
  m_verified = 0;
  m_in_flight = 0;
  m_verification_started_at.reset();
}

void StageManager::SetState(std::uint32_t piece, State state)
{
  const auto is_staged = [](State s) { return s >= State::Staged; };
  State& current = m_pieces[piece];
  m_staged += is_staged(state) - is_staged(current);
  m_verified += (state == State::Verified) - (current == State::Verified);
  current = state;
}

void StageManager::OnTick(const Distribution::Swarm& swarm, TimePoint now, StageActions* actions)
{
  if (now < m_not_before)
    return;
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_in_flight < MAX_CONCURRENT_CALLS;
       ++piece)
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
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_in_flight < MAX_CONCURRENT_CALLS;
       ++piece)
  {
    if (m_pieces[piece] != State::Staged)
      continue;
    if (!m_verification_started_at)
      m_verification_started_at = now;
    SetState(piece, State::Reading);
    ++m_in_flight;
    actions->push_back(ReadStaged{m_model, piece});
  }
}

void StageManager::OnStaged(const PieceStaged& staged, TimePoint now)
{
  m_in_flight -= std::min(m_in_flight, 1U);
  if (staged.piece >= m_pieces.size() || m_pieces[staged.piece] != State::Staging)
    return;
  const bool is_accepted = Common::Succeeded(staged.result);
  SetState(staged.piece, is_accepted ? State::Staged : State::Missing);
  if (!is_accepted)
    m_not_before = now + RETRY_DELAY;
}

void StageManager::OnRead(const StagedRead& read, const Distribution::Swarm& swarm, TimePoint now)
{
  m_in_flight -= std::min(m_in_flight, 1U);
  if (read.piece >= m_pieces.size() || m_pieces[read.piece] != State::Reading)
    return;
  const auto* data = std::get_if<Common::Bytes>(&read.result);
  if (data && swarm.IsValidPiece(read.piece, **data))
  {
    SetState(read.piece, State::Verified);
    if (VerifiedSince())
      LogVerified(now);
    return;
  }
  ++m_bad_reads;
  LogEvent(Weight::Important, now, "stage.piece_bad", "version", m_version, "piece", read.piece,
           "reason", data ? "corrupt" : std::get<Common::Error>(read.result).message);
  // The piece was lost or is corrupt: it is staged again.
  SetState(read.piece, State::Missing);
  if (!data)
    m_not_before = now + RETRY_DELAY;
}

void StageManager::LogVerified(TimePoint now) const
{
  LogEvent(Weight::Important, now, "stage.verified", "version", m_version, "pieces",
           m_pieces.size(), "took_ms", now - *m_verification_started_at);
}

void StageManager::OnFound(std::uint32_t piece)
{
  if (piece < m_pieces.size() && m_pieces[piece] == State::Missing)
    SetState(piece, State::Staged);
}

void StageManager::VerifyAgain()
{
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (m_pieces[piece] == State::Verified)
      SetState(piece, State::Staged);
  }
  m_verification_started_at.reset();
}

std::optional<TimePoint> StageManager::VerifiedSince() const
{
  if (m_pieces.empty() || m_verified != m_pieces.size())
    return std::nullopt;
  return m_verification_started_at;
}
} // namespace Holdpost::Sidecar
