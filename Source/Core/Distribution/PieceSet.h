// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <vector>

// A set of piece numbers below a fixed count, encoded as a bitmap on the wire.
namespace Holdpost::Distribution
{
class PieceSet
{
public:
  explicit PieceSet(std::uint32_t size = 0) : m_bits(size, false) {}
  // Ignores the bits from `size` on.
  static PieceSet FromBitmap(const std::string& bitmap, std::uint32_t size);

  // Returns false if the set contains the piece already or if the number is out of range.
  bool Insert(std::uint32_t piece);
  bool Contains(std::uint32_t piece) const { return piece < m_bits.size() && m_bits[piece]; }
  std::uint32_t Count() const { return m_count; }
  std::uint32_t Size() const { return static_cast<std::uint32_t>(m_bits.size()); }
  bool IsFull() const { return m_count == m_bits.size(); }
  std::string ToBitmap() const;

private:
  std::vector<bool> m_bits;
  std::uint32_t m_count = 0;
};
} // namespace Holdpost::Distribution
