// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Ranking.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Distribution
{
std::vector<std::uint32_t> RankPieces(const Common::Digest& version, std::uint32_t piece_count,
                                      const std::string& self,
                                      const std::vector<std::string>& others)
{
  const std::uint64_t seed = Common::StableHash(version.ToHex());
  const std::uint64_t self_hash = Common::StableHash(self, seed);
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
    const std::uint64_t self_score = Common::MixHash(self_hash, piece);
    for (const std::uint64_t hash : hashes)
    {
      if (Common::MixHash(hash, piece) > self_score)
        ++ranks[piece];
    }
  }
  return ranks;
}

std::vector<std::string> TopRankedForPiece(const Common::Digest& version, std::uint32_t piece,
                                           const std::vector<std::string>& names, std::size_t count)
{
  const std::uint64_t seed = Common::StableHash(version.ToHex());
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (const std::string& name : names)
    scored.emplace_back(Common::MixHash(Common::StableHash(name, seed), piece), name);
  std::ranges::sort(scored, std::greater<>());
  scored.resize(std::min(count, scored.size()));
  std::vector<std::string> first;
  first.reserve(scored.size());
  for (auto& [score, name] : scored)
    first.push_back(std::move(name));
  return first;
}

PieceAssignment::PieceAssignment(const Common::Digest& version,
                                 const std::vector<std::string>& members)
    : m_members(TopRankedForPiece(version, 0, members, members.size()))
{
}

std::uint32_t PieceAssignment::RankOf(const std::string& member, std::uint32_t piece) const
{
  const auto position = std::ranges::find(m_members, member) - m_members.begin();
  const auto count = static_cast<std::ptrdiff_t>(m_members.size());
  if (position == count)
    return static_cast<std::uint32_t>(count);
  return static_cast<std::uint32_t>((position - piece % count + count) % count);
}

std::vector<std::string> PieceAssignment::FirstMembers(std::uint32_t piece, std::size_t count) const
{
  std::vector<std::string> first;
  const std::size_t limit = std::min(count, m_members.size());
  first.reserve(limit);
  for (std::size_t i = 0; i < limit; ++i)
    first.push_back(m_members[(piece + i) % m_members.size()]);
  return first;
}
} // namespace Holdpost::Distribution
