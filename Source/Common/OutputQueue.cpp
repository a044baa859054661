// SPDX-License-Identifier: Apache-2.0
#include "Common/OutputQueue.h"

#include <utility>

namespace Holdpost::Common
{
// A segment takes no more bytes beyond this size, so that what is sent is freed in parts.
static constexpr std::size_t MAX_SEGMENT_BYTES = 64 << 10;

void OutputQueue::Append(std::string_view data)
{
  if (data.empty())
    return;
  if (!m_segments)
    m_segments = std::make_unique<std::deque<Segment>>();
  const bool fits = !m_segments->empty() && !m_segments->back().shared &&
                    m_segments->back().own.size() + data.size() <= MAX_SEGMENT_BYTES;
  if (!fits)
    m_segments->emplace_back();
  m_segments->back().own.append(data);
  m_size += data.size();
  m_own_bytes += data.size();
}

void OutputQueue::Append(Bytes data)
{
  if (data->empty())
    return;
  if (!m_segments)
    m_segments = std::make_unique<std::deque<Segment>>();
  m_size += data->size();
  m_segments->push_back({{}, std::move(data)});
}

std::string_view OutputQueue::Front() const
{
  if (m_size == 0)
    return {};
  return m_segments->front().Data().substr(m_sent_of_front);
}

void OutputQueue::Consume(std::size_t count)
{
  m_sent_of_front += count;
  m_size -= count;
  if (m_size == 0)
    return Clear();
  if (m_sent_of_front == m_segments->front().Data().size())
    RemoveFront();
}

void OutputQueue::RemoveFront()
{
  m_own_bytes -= m_segments->front().own.size();
  m_segments->pop_front();
  m_sent_of_front = 0;
}

void OutputQueue::Clear()
{
  m_segments.reset();
  m_sent_of_front = 0;
  m_size = 0;
  m_own_bytes = 0;
}
} // namespace Holdpost::Common
