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

// Brings the pieces of one version of weights to the engine's stage, and proves what lies there
// before the engine loads it. The stage may lose pieces or hold spoilt ones.
namespace Holdpost::Sidecar
{
using StageAction = std::variant<ListStaged, ReadStaged, StagePiece>;
using StageActions = std::vector<StageAction>;

class StageKeeper
{
public:
  // From now on the stage is to hold this version. What lies there of another one is overwritten.
  void Want(const std::string& model, std::uint64_t version, std::uint32_t pieces);
  // Asks for what is needed next. `swarm` holds the verified pieces of the wanted version.
  void OnTick(const Distribution::Swarm& swarm, Common::TimePoint now, StageActions* actions);

  void OnStaged(const PieceStaged& staged, Common::TimePoint now);
  // Returns the bytes if the piece was right.
  void OnRead(const StagedRead& read, const Distribution::Swarm& swarm, Common::TimePoint now);
  // The piece lay on the stage already.
  void OnFound(std::uint32_t piece);

  // Every piece was read back and found right, the first of them at this time; empty if not.
  std::optional<Common::TimePoint> ProvenSince() const;
  // Reads everything back once more.
  void ProveAgain();
  std::size_t StagedCount() const { return m_staged; }
  std::size_t ProvenCount() const { return m_proven; }
  bool IsStaged() const { return m_staged == m_pieces.size() && !m_pieces.empty(); }

private:
  enum class State
  {
    Missing,
    Staging,
    Staged,
    Reading,
    Proven,
  };

  void SetState(std::uint32_t piece, State state);

  std::string m_model;
  std::uint64_t m_version = 0;
  std::vector<State> m_pieces;
  std::size_t m_staged = 0; // Staged, Reading or Proven
  std::size_t m_proven = 0;
  std::uint32_t m_in_flight = 0;
  std::uint64_t m_epoch = 0;
  std::optional<Common::TimePoint> m_proof_begun;
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
