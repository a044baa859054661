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

class StageManager
{
public:
  // Sets the version that the stage should hold. Staged pieces of another version are overwritten.
  void SetVersion(const std::string& model, std::uint64_t version, std::uint32_t pieces);
  // Requests the next calls to the engine. `swarm` holds the verified pieces of the wanted version.
  void OnTick(const Distribution::Swarm& swarm, Common::TimePoint now, StageActions* actions);

  void OnStaged(const PieceStaged& staged, Common::TimePoint now);
  // Processes the content of a piece that was read back: a correct piece is marked as verified, any
  // other one is staged again.
  void OnRead(const StagedRead& read, const Distribution::Swarm& swarm, Common::TimePoint now);
  // Marks a piece that was on the stage already as staged.
  void OnFound(std::uint32_t piece);

  // The time at which the current verification began, if every piece has been read back and found
  // correct since then; otherwise empty.
  std::optional<Common::TimePoint> VerifiedSince() const;
  // Discards the verification, so that all pieces are read back once more.
  void VerifyAgain();
  // Number of pieces that were read back and were missing or not correct, since the start.
  std::uint64_t BadReads() const { return m_bad_reads; }
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

  void SetState(std::uint32_t piece, State state);
  void LogVerified(Common::TimePoint now) const;

  std::string m_model;
  std::uint64_t m_version = 0;
  std::vector<State> m_pieces;
  std::size_t m_staged = 0; // pieces that are Staged, Reading or Verified
  std::size_t m_verified = 0;
  std::uint32_t m_in_flight = 0;
  std::uint64_t m_bad_reads = 0;
  std::optional<Common::TimePoint> m_verification_started_at;
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
