// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Uploads.h"

namespace Holdpost::Distribution
{
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

void Uploads::SetLimits(std::uint64_t bytes_per_second, std::size_t waiting_most)
{
  m_link.SetRate(bytes_per_second);
  m_waiting_most = waiting_most;
}

void Uploads::Add(RequestTag tag, Common::Bytes data, TimePoint now, Actions* actions)
{
  if (m_waiting.size() >= m_waiting_most)
  {
    const auto wait = std::chrono::ceil<Milliseconds>(m_waiting.front().due - now);
    actions->push_back(CountTransfer{TransferEvent::RequestRefused});
    actions->push_back(AnswerPiece{tag, Error{ErrorKind::SourceBusy, "the upload queue is full",
                                              std::max(wait, Milliseconds(1))}});
    return;
  }
  const TimePoint due = m_link.BookSend(data->size(), now);
  m_waiting.push_back({tag, std::move(data), due});
  Advance(now, actions);
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
