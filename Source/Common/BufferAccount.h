// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

// Counts the bytes that the connections of one loop, and what reads from them, hold in buffers.
namespace Holdpost::Common
{
class BufferAccount
{
public:
  // In bytes.
  std::size_t Held() const { return m_held; }
  std::size_t Peak() const { return m_peak; }

private:
  friend class HeldBytes;
  void Change(std::size_t before, std::size_t now)
  {
    m_held += now - before;
    if (m_held > m_peak)
      m_peak = m_held;
  }

  std::size_t m_held = 0;
  std::size_t m_peak = 0;
};

// One holder's part of an account. The account must outlive it.
class HeldBytes
{
public:
  explicit HeldBytes(BufferAccount& account) : m_account(account) {}
  ~HeldBytes() { Set(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  // The holder holds so many bytes now.
  void Set(std::size_t bytes)
  {
    if (bytes == m_bytes)
      return;
    m_account.Change(m_bytes, bytes);
    m_bytes = bytes;
  }

private:
  BufferAccount& m_account;
  std::size_t m_bytes = 0;
};
} // namespace Holdpost::Common
