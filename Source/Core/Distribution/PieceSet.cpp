// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/PieceSet.h"

namespace Holdpost::Distribution
{
PieceSet PieceSet::FromBitmap(const std::string& bitmap, std::uint32_t size)
{
  PieceSet set(size);
  for (std::uint32_t piece = 0; piece < size && piece / 8 < bitmap.size(); ++piece)
  {
    if (static_cast<std::uint8_t>(bitmap[piece / 8]) & (1U << (piece % 8)))
      set.Insert(piece);
  }
  return set;
}

bool PieceSet::Insert(std::uint32_t piece)
{
  if (piece >= m_bits.size() || m_bits[piece])
    return false;
  m_bits[piece] = true;
  ++m_count;
  return true;
}

std::string PieceSet::ToBitmap() const
{
  std::string bitmap((m_bits.size() + 7) / 8, '\0');
  for (std::size_t piece = 0; piece < m_bits.size(); ++piece)
  {
    if (m_bits[piece])
      bitmap[piece / 8] = static_cast<char>(bitmap[piece / 8] | (1U << (piece % 8)));
  }
  return bitmap;
}
} // namespace Holdpost::Distribution
