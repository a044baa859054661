// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Types.h"
#include "Core/Distribution/Swarm.h"
#include "Core/Sidecar/EngineMessages.h"

// Copies the pieces of one version of weights to the engine's stage, and verifies the content of
// the stage before the engine loads it. The stage may lose pieces or hold corrupt ones.
namespace Holdpost::Sidecar
{
using StageAction = std::variant<ListStaged, ReadStaged, StagePiece>;
using StageActions = std::vector<StageAction>;

// What may be done with the stage.
enum class StageAccess
{
  None,
  // Pieces are read back, but none is written.
  Read,
  ReadAndWrite,
};

// When the pieces on the stage were read back. All of them were correct.
struct Verification
{
  // The first of the readings that still count began at this time, and the last one ended.
  Common::TimePoint began{};
  Common::TimePoint ended{};

  Common::Duration Took() const { return ended - began; }
};

class StageManager
{
public:
  // Sets the version that the stage should hold. Staged pieces of another version are overwritten.
  void SetVersion(const std::string& model, std::uint64_t version, std::uint32_t pieces);
  // Requests the next calls to the engine. `swarm` holds the verified pieces of the wanted version.
  void OnTick(const Distribution::Swarm& swarm, StageAccess access, Common::TimePoint now,
              StageActions* actions);

  void OnStaged(const PieceStaged& staged, Common::TimePoint now);
  // Processes the content of a piece that was read back: a correct piece is marked as verified, any
  // other one is staged again. A reading that brought no content is repeated.
  void OnRead(const StagedRead& read, const Distribution::Swarm& swarm, Common::TimePoint now);
  // Marks a piece that was on the stage already as staged.
  void OnFound(std::uint32_t piece);

  // The readings of the pieces; empty until every piece has been read back and found correct.
  std::optional<Verification> Verified() const;
  // Discards the verification, so that all pieces are read back once more. Answers to calls that
  // are still under way no longer count.
  void VerifyAgain();
  // Whether no reading is under way or due.
  bool IsReadCompletely() const;
  // Whether a write of another version got no answer, so that the engine may still carry it out.
  bool MayBeOverwritten() const { return m_may_be_overwritten; }
  // Discards what is known of the stage, as at the start.
  void Forget();
  // The engine has restarted: it carries out no earlier call.
  void OnEngineRestarted();
  // A ticket for a call of the stage that somebody else makes.
  CallTicket IssueTicket() { return ++m_last_ticket; }
  // Number of pieces that were read back and were missing or not correct, since the start.
  std::uint64_t BadReads() const { return m_bad_reads; }
  // Number of pieces that were written to the stage, since the start.
  std::uint64_t Writes() const { return m_writes; }
  std::size_t StagedCount() const { return m_staged; }
  std::size_t VerifiedCount() const { return m_verified; }
  bool IsStaged() const { return m_staged == m_pieces.size() && !m_pieces.empty(); }

private:
  enum class State
  {
    Missing,
    Staging,
    Staged,
    Reading,
    Verified,
  };

  struct Piece
  {
    State state = State::Missing;
    // The call under way that decides on the state; 0 if there is none.
    CallTicket ticket = 0;
    Common::TimePoint reading_began{};
  };

  void SetState(std::uint32_t piece, State state);
  void WriteMissing(const Distribution::Swarm& swarm, StageActions* actions);
  void ReadUnverified(Common::TimePoint now, StageActions* actions);
  // Ends the call. Returns the piece if the answer still counts for it, otherwise null.
  Piece* EndCall(CallTicket ticket, std::uint32_t piece, State expected);
  // A write without an answer may still be carried out.
  void NoteUnanswered(const PieceStaged& staged);
  void OnBadPiece(std::uint32_t piece, std::string_view reason, Common::TimePoint now);
  void LogVerified(Common::TimePoint now) const;

  std::string m_model;
  std::uint64_t m_version = 0;
  std::vector<Piece> m_pieces;
  std::size_t m_staged = 0; // pieces that are Staged, Reading or Verified
  std::size_t m_verified = 0;
  CallTicket m_last_ticket = 0;
  struct Call
  {
    std::uint32_t piece = 0;
    std::uint64_t version = 0;
    // The engine has restarted since.
    bool is_lost = false;
  };
  // The calls under way, including those whose answers no longer count.
  std::map<CallTicket, Call> m_calls;
  // A write of the current version got no answer.
  bool m_has_unanswered_writes = false;
  bool m_may_be_overwritten = false;
  std::uint64_t m_bad_reads = 0;
  std::uint64_t m_writes = 0;
  Common::TimePoint m_last_read_at{};
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
