// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Hash.h"

// Who fetches which piece from the origin. Everyone computes it alone; differing views cost a piece
// fetched twice, never a wrong one.
namespace Holdpost::Distribution
{
// For each piece, how many of `others` come before `self` in the rendezvous order of the piece.
// Rank 0 fetches the piece from the origin.
std::vector<std::uint32_t> RankPieces(const Common::Digest& version, std::uint32_t piece_count,
                                      const std::string& self,
                                      const std::vector<std::string>& others);
// Of `names`, the `count` that come first in the rendezvous order of the piece.
std::vector<std::string> TopRankedForPiece(const Common::Digest& version, std::uint32_t piece,
                                           const std::vector<std::string>& names,
                                           std::size_t count);

// The pieces of a version, dealt out evenly to the members of a hall: who brings in which piece
// from outside, and who comes after it if that fails.
class PieceAssignment
{
public:
  PieceAssignment() = default;
  PieceAssignment(const Common::Digest& version, const std::vector<std::string>& members);

  // The places in the order of the piece, the one that brings it in first.
  std::uint32_t RankOf(const std::string& member, std::uint32_t piece) const;
  std::vector<std::string> FirstMembers(std::uint32_t piece, std::size_t count) const;

private:
  std::vector<std::string> m_members;
};
} // namespace Holdpost::Distribution
