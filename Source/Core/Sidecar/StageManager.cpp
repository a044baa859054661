// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/StageManager.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace Holdpost::Sidecar
{
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The maximum number of calls to the engine at once.
static constexpr std::size_t MAX_CONCURRENT_CALLS = 2;
static constexpr Milliseconds RETRY_DELAY = Milliseconds(100);
// If an answer took longer than this, the process or the engine stood still meanwhile: it does not
// show what is on the stage now.
static constexpr Milliseconds MAX_READING_TIME = Milliseconds(2000);

void StageManager::SetVersion(const std::string& model, std::uint64_t version, std::uint32_t pieces)
{
  if (model == m_model && version == m_version && pieces == m_pieces.size())
    return;
  m_model = model;
  m_version = version;
  m_may_be_overwritten = std::exchange(m_has_unanswered_writes, false) || m_may_be_overwritten;
  m_pieces.assign(pieces, Piece());
  m_staged = 0;
  m_verified = 0;
}

void StageManager::SetState(std::uint32_t piece, State state)
{
  const auto is_staged = [](State s) { return s >= State::Staged; };
  State& current = m_pieces[piece].state;
  m_staged += is_staged(state) - is_staged(current);
  m_verified += (state == State::Verified) - (current == State::Verified);
  current = state;
}

void StageManager::OnTick(const Distribution::Swarm& swarm, StageAccess access, TimePoint now,
                          StageActions* actions)
{
  if (now < m_not_before || access == StageAccess::None)
    return;
  if (access == StageAccess::ReadAndWrite)
    WriteMissing(swarm, actions);
  if (IsStaged() || access == StageAccess::Read)
    ReadUnverified(now, actions);
}

void StageManager::WriteMissing(const Distribution::Swarm& swarm, StageActions* actions)
{
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_calls.size() < MAX_CONCURRENT_CALLS;
       ++piece)
  {
    if (m_pieces[piece].state != State::Missing)
      continue;
    // A write of another version that is still under way could overwrite this one.
    const bool is_busy = std::ranges::any_of(m_calls, [piece](const auto& call)
                                             { return call.second.piece == piece; });
    const Common::Bytes data = is_busy ? nullptr : swarm.Piece(piece);
    if (!data)
      continue;
    SetState(piece, State::Staging);
    m_pieces[piece].ticket = IssueTicket();
    m_calls[m_last_ticket] = {piece, m_version};
    ++m_writes;
    actions->push_back(StagePiece{m_last_ticket, m_model, piece, data});
  }
}

void StageManager::ReadUnverified(TimePoint now, StageActions* actions)
{
  for (std::uint32_t piece = 0; piece < m_pieces.size() && m_calls.size() < MAX_CONCURRENT_CALLS;
       ++piece)
  {
    if (m_pieces[piece].state != State::Staged)
      continue;
    SetState(piece, State::Reading);
    m_pieces[piece].ticket = IssueTicket();
    m_pieces[piece].reading_began = now;
    m_calls[m_last_ticket] = {piece, m_version};
    actions->push_back(ReadStaged{m_last_ticket, m_model, piece});
  }
}

StageManager::Piece* StageManager::EndCall(CallTicket ticket, std::uint32_t piece, State expected)
{
  m_calls.erase(ticket);
  if (piece >= m_pieces.size())
    return nullptr;
  Piece& called = m_pieces[piece];
  return called.ticket == ticket && called.state == expected ? &called : nullptr;
}

void StageManager::Forget()
{
  m_pieces.assign(m_pieces.size(), Piece());
  m_staged = 0;
  m_verified = 0;
}

void StageManager::OnEngineRestarted()
{
  for (auto& [ticket, call] : m_calls)
    call.is_lost = true;
  m_has_unanswered_writes = false;
  m_may_be_overwritten = false;
}

void StageManager::NoteUnanswered(const PieceStaged& staged)
{
  const auto* error = std::get_if<Common::Error>(&staged.result);
  if (!error || Common::AnswerFor(error->kind).outcome != Common::Outcome::Unknown)
    return;
  const auto call = m_calls.find(staged.ticket);
  if (call == m_calls.end() || call->second.is_lost)
    return;
  const bool is_current = call->second.version == m_version;
  (is_current ? m_has_unanswered_writes : m_may_be_overwritten) = true;
}

void StageManager::OnStaged(const PieceStaged& staged, TimePoint now)
{
  NoteUnanswered(staged);
  if (!EndCall(staged.ticket, staged.piece, State::Staging))
    return;
  const bool is_accepted = Common::Succeeded(staged.result);
  SetState(staged.piece, is_accepted ? State::Staged : State::Missing);
  if (!is_accepted)
    m_not_before = now + RETRY_DELAY;
}

void StageManager::OnRead(const StagedRead& read, const Distribution::Swarm& swarm, TimePoint now)
{
  if (!EndCall(read.ticket, read.piece, State::Reading))
    return;
  if (const auto* error = std::get_if<Common::Error>(&read.result))
  {
    m_not_before = now + RETRY_DELAY;
    if (error->kind == Common::ErrorKind::NotFound)
      return OnBadPiece(read.piece, error->message, now);
    // The engine was not reached: this says nothing about the piece.
    return SetState(read.piece, State::Staged);
  }
  if (now - m_pieces[read.piece].reading_began > MAX_READING_TIME)
    return SetState(read.piece, State::Staged);
  if (!swarm.IsValidPiece(read.piece, *std::get<Common::Bytes>(read.result)))
    return OnBadPiece(read.piece, "corrupt", now);
  m_last_read_at = now;
  SetState(read.piece, State::Verified);
  if (Verified())
    LogVerified(now);
}

// The piece was lost or is corrupt: it is staged again.
void StageManager::OnBadPiece(std::uint32_t piece, std::string_view reason, TimePoint now)
{
  ++m_bad_reads;
  LogEvent(Weight::Important, now, "stage.piece_bad", "version", m_version, "piece", piece,
           "reason", reason);
  SetState(piece, State::Missing);
}

void StageManager::LogVerified(TimePoint now) const
{
  LogEvent(Weight::Important, now, "stage.verified", "version", m_version, "pieces",
           m_pieces.size(), "took_ms", Verified()->Took());
}

void StageManager::OnFound(std::uint32_t piece)
{
  if (piece < m_pieces.size() && m_pieces[piece].state == State::Missing)
    SetState(piece, State::Staged);
}

void StageManager::VerifyAgain()
{
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (m_pieces[piece].state == State::Verified || m_pieces[piece].state == State::Reading)
      SetState(piece, State::Staged);
  }
}

bool StageManager::IsReadCompletely() const
{
  return std::ranges::none_of(m_pieces,
                              [](const Piece& piece)
                              {
                                return piece.state == State::Staged ||
                                       piece.state == State::Reading ||
                                       piece.state == State::Staging;
                              });
}

std::optional<Verification> StageManager::Verified() const
{
  if (m_pieces.empty() || m_verified != m_pieces.size())
    return std::nullopt;
  const auto first = std::ranges::min_element(m_pieces, {}, &Piece::reading_began);
  return Verification{first->reading_began, m_last_read_at};
}
} // namespace Holdpost::Sidecar
