// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Types.h"

// Bytes that wait to be sent, in order. Large bodies are shared with their owner instead of copied,
// and memory is freed as soon as its bytes are sent.
namespace Holdpost::Common
{
class OutputQueue
{
public:
  // Copies the bytes.
  void Append(std::string_view data);
  // Keeps a reference to the bytes.
  void Append(Bytes data);

  bool IsEmpty() const { return m_size == 0; }
  // Bytes that wait.
  std::size_t Size() const { return m_size; }
  // Bytes of memory that the queue alone holds.
  std::size_t OwnBytes() const { return m_own_bytes; }

  // The next bytes to send; empty if none wait.
  std::string_view Front() const;
  // Removes so many bytes of Front, which have been sent.
  void Consume(std::size_t count);
  void Clear();

private:
  struct Segment
  {
    std::string own;
    Bytes shared; // null: the bytes are `own`

    std::string_view Data() const { return shared ? std::string_view(*shared) : own; }
  };

  void RemoveFront();

  // Null while nothing waits, as on most connections most of the time.
  std::unique_ptr<std::deque<Segment>> m_segments;
  std::size_t m_sent_of_front = 0;
  std::size_t m_size = 0;
  std::size_t m_own_bytes = 0;
};
} // namespace Holdpost::Common
