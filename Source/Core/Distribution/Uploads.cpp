// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Uploads.h"

#include <algorithm>

namespace Holdpost::Distribution
{
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

void Uploads::SetLimits(std::uint64_t bytes_per_second, std::size_t waiting_most,
                        Common::Duration wait_most)
{
  m_link.SetRate(bytes_per_second);
  m_waiting_most = waiting_most;
  m_wait_most = wait_most;
}

void Uploads::Add(RequestTag tag, Common::Bytes data, TimePoint now, Actions* actions)
{
  const Common::Duration backlog = m_link.FreeAt() - now;
  if (m_waiting.size() >= m_waiting_most || (m_waiting.size() > 1 && backlog > m_wait_most))
  {
    // Room comes when the backlog is back under the limit, and with every piece that goes out.
    const Common::Duration over = std::max(backlog - m_wait_most, m_waiting.front().due - now);
    const auto wait = std::chrono::ceil<Milliseconds>(over);
    actions->push_back(CountTransfer{TransferEvent::RequestRefused});
    actions->push_back(AnswerPiece{tag, Error{ErrorKind::SourceBusy, "the upload queue is full",
                                              std::max(wait, Milliseconds(1))}});
    return;
  }
  const TimePoint due = m_link.BookSend(data->size(), now);
  m_waiting.push_back({tag, std::move(data), due});
  Advance(now, actions);
}

void Uploads::Remove(RequestTag tag, TimePoint now)
{
  const auto found = std::ranges::find(m_waiting, tag, &Waiting::tag);
  if (found == m_waiting.end() || found->due <= now)
    return;
  // The place on the link goes to those behind, but for the first, which is being sent.
  const auto gone = static_cast<std::size_t>(found - m_waiting.begin());
  if (gone == 0)
    return;
  m_waiting.erase(found);
  TimePoint free_at = m_waiting[gone - 1].due;
  m_link.Rewind(free_at);
  for (std::size_t i = gone; i < m_waiting.size(); ++i)
    m_waiting[i].due = m_link.BookSend(m_waiting[i].data->size(), free_at);
}

void Uploads::Advance(TimePoint now, Actions* actions)
{
  while (!m_waiting.empty() && m_waiting.front().due <= now)
  {
    Waiting& next = m_waiting.front();
    actions->push_back(CountTransfer{TransferEvent::PieceSent, next.data->size()});
    actions->push_back(AnswerPiece{next.tag, std::move(next.data)});
    m_waiting.pop_front();
  }
}

std::optional<TimePoint> Uploads::NextWakeup() const
{
  if (m_waiting.empty())
    return std::nullopt;
  return m_waiting.front().due;
}
} // namespace Holdpost::Distribution
