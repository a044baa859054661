// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Hash.h"

// Determines which instance fetches which piece from the origin. Each instance computes the ranking
// without communication. If membership views differ, a piece may be fetched twice, but never a
// wrong piece.
namespace Holdpost::Distribution
{
// Returns, for each piece, the number of `others` that precede `self` in the rendezvous order of
// the piece. The instance with rank 0 fetches the piece from the origin.
std::vector<std::uint32_t> RankPieces(const Common::Digest& version, std::uint32_t piece_count,
                                      const std::string& self,
                                      const std::vector<std::string>& others);
// Returns the first `count` of `names` in the rendezvous order of the piece.
std::vector<std::string> TopRankedForPiece(const Common::Digest& version, std::uint32_t piece,
                                           const std::vector<std::string>& names,
                                           std::size_t count);

// Assigns the pieces of a version evenly to the members of a hall. For each piece it orders the
// members: the first member fetches the piece from outside the hall, and the next ones take over if
// that fails.
class PieceAssignment
{
public:
  PieceAssignment() = default;
  PieceAssignment(const Common::Digest& version, const std::vector<std::string>& members);

  // Returns the member's position in the order of the piece; the assigned fetcher has rank 0, and
  // an unknown member has the number of members as its rank.
  std::uint32_t RankOf(const std::string& member, std::uint32_t piece) const;
  // Returns the first `count` members in the order of the piece.
  std::vector<std::string> FirstMembers(std::uint32_t piece, std::size_t count) const;

private:
  std::vector<std::string> m_members;
};
} // namespace Holdpost::Distribution
