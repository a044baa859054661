// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Hash.h"

// Who draws which piece from the origin. Everyone computes it alone; differing views cost a piece
// drawn twice, never a wrong one.
namespace Holdpost::Distribution
{
// For each piece, how many of `others` come before `self` in the rendezvous order of the piece.
// Rank 0 draws the piece from the origin.
std::vector<std::uint32_t> RankPieces(const Common::Digest& version, std::uint32_t piece_count,
                                      const std::string& self,
                                      const std::vector<std::string>& others);
} // namespace Holdpost::Distribution
