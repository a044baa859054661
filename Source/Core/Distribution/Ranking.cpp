// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Ranking.h"

namespace Holdpost::Distribution
{
std::vector<std::uint32_t> RankPieces(const Common::Digest& version, std::uint32_t piece_count,
                                      const std::string& self,
                                      const std::vector<std::string>& others)
{
  const std::uint64_t seed = Common::StableHash(version.ToHex());
  const std::uint64_t own = Common::StableHash(self, seed);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(others.size());
  for (const std::string& other : others)
  {
    if (other != self)
      hashes.push_back(Common::StableHash(other, seed));
  }
  std::vector<std::uint32_t> ranks(piece_count, 0);
  for (std::uint32_t piece = 0; piece < piece_count; ++piece)
  {
    const std::uint64_t own_score = Common::MixHash(own, piece);
    for (const std::uint64_t hash : hashes)
    {
      if (Common::MixHash(hash, piece) > own_score)
        ++ranks[piece];
    }
  }
  return ranks;
}
} // namespace Holdpost::Distribution
