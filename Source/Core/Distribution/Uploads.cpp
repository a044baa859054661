// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Uploads.h"

#include <algorithm>

namespace Holdpost::Distribution
{
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Common::Duration MAX_PAUSE = Milliseconds(500);
// A piece that is not confirmed within this time no longer counts as unconfirmed.
static constexpr Common::Duration UNCONFIRMED_LIFETIME = Milliseconds(1500);

void Uploads::SetLimits(std::uint64_t bytes_per_second, LinkPacing pacing, std::size_t max_waiting,
                        Common::Duration max_wait)
{
  m_link.SetRate(bytes_per_second);
  m_pacing = pacing;
  m_max_waiting = max_waiting;
  m_max_wait = max_wait;
}

void Uploads::Add(RequestTag tag, Common::Bytes data, bool is_urgent, TimePoint now,
                  Actions* actions)
{
  const Common::Duration backlog = m_link.FreeAt() - now;
  const bool is_full =
      m_waiting.size() >= m_max_waiting || (m_waiting.size() > 1 && backlog > m_max_wait);
  if (is_full && !is_urgent)
  {
    // The queue has capacity when the backlog is below the limit again, and after each piece that
    // is sent.
    const Common::Duration excess = std::max(backlog - m_max_wait, m_waiting.front().ends - now);
    const auto wait = std::chrono::ceil<Milliseconds>(excess);
    actions->push_back(CountTransfer{TransferEvent::RequestRefused});
    actions->push_back(AnswerPiece{tag, Error{ErrorKind::SourceBusy, "the upload queue is full",
                                              std::max(wait, Milliseconds(1))}});
    return;
  }
  const TimePoint starts = std::max(now, m_link.FreeAt());
  const TimePoint ends = m_link.BookSend(data->size(), now);
  const auto position =
      is_urgent ? std::ranges::find(m_waiting, false, &QueuedUpload::is_urgent) : m_waiting.end();
  const auto added = m_waiting.insert(position, {tag, std::move(data), starts, ends, is_urgent});
  if (is_urgent)
  {
    // The urgent piece follows the other urgent pieces, and the pieces behind it are delayed.
    const auto index = static_cast<std::size_t>(added - m_waiting.begin());
    if (index + 1 < m_waiting.size())
      added->starts = m_waiting[index + 1].starts;
    Rebook(index);
  }
  Advance(now, actions);
}

void Uploads::Rebook(std::size_t first)
{
  TimePoint free_at = m_waiting[first].starts;
  m_link.Rewind(free_at);
  for (std::size_t i = first; i < m_waiting.size(); ++i)
  {
    m_waiting[i].starts = free_at;
    free_at = m_link.BookSend(m_waiting[i].data->size(), free_at);
    m_waiting[i].ends = free_at;
  }
}

TimePoint Uploads::DueAt(const QueuedUpload& waiting) const
{
  return m_pacing == LinkPacing::Wire ? waiting.starts : waiting.ends;
}

bool Uploads::MustWait(TimePoint now) const
{
  if (m_max_unconfirmed == 0)
    return false;
  const std::size_t max_unconfirmed = m_tracker.IsNarrow(now) ? 1 : m_max_unconfirmed;
  return m_unconfirmed.size() >= max_unconfirmed || now < m_pause_until;
}

void Uploads::OnConfirmed(RequestTag tag, TimePoint now)
{
  const std::size_t in_flight = m_unconfirmed.size();
  const auto sent = m_unconfirmed.extract(tag);
  if (!sent)
    return;
  m_tracker.OnTransfer(now - sent.mapped().sent_at, std::max(sent.mapped().concurrent, in_flight),
                       now);
  // On a link that is narrower than expected, other traffic gets a pause as long as the transfer of
  // one piece.
  if (m_tracker.IsNarrow(now))
    m_pause_until = now + std::min(m_tracker.NarrowLinkPieceTime(now), MAX_PAUSE);
}

void Uploads::Remove(RequestTag tag, TimePoint now)
{
  OnConfirmed(tag, now);
  const auto found = std::ranges::find(m_waiting, tag, &QueuedUpload::tag);
  if (found == m_waiting.end())
    return;
  const auto index_removed = static_cast<std::size_t>(found - m_waiting.begin());
  // With a budget, the first queued piece is already in transfer. With a physical link, no queued
  // piece is, and sending an abandoned piece would block the others until its confirmation times
  // out.
  const bool is_in_transfer =
      m_pacing == LinkPacing::Budget && (index_removed == 0 || DueAt(*found) <= now);
  if (is_in_transfer)
    return;
  // The pieces behind the removed piece are booked again, from its booked start on.
  const TimePoint booked_start = found->starts;
  m_waiting.erase(found);
  if (index_removed == m_waiting.size())
    return m_link.Rewind(booked_start);
  m_waiting[index_removed].starts = booked_start;
  Rebook(index_removed);
}

void Uploads::Advance(TimePoint now, Actions* actions)
{
  std::erase_if(m_unconfirmed, [now](const auto& entry)
                { return now - entry.second.sent_at > UNCONFIRMED_LIFETIME; });
  while (!m_waiting.empty() && DueAt(m_waiting.front()) <= now)
  {
    if (MustWait(now))
      return;
    QueuedUpload& next = m_waiting.front();
    if (m_max_unconfirmed > 0)
    {
      const std::size_t concurrent = m_unconfirmed.size() + 1;
      m_unconfirmed[next.tag] = {now, concurrent};
    }
    actions->push_back(CountTransfer{TransferEvent::PieceSent, next.data->size()});
    actions->push_back(AnswerPiece{next.tag, std::move(next.data)});
    m_waiting.pop_front();
  }
}

std::optional<TimePoint> Uploads::NextWakeup() const
{
  if (m_waiting.empty())
    return std::nullopt;
  TimePoint next = std::max(DueAt(m_waiting.front()), m_pause_until);
  if (MustWait(next))
  {
    // A confirmation usually arrives earlier and calls Advance.
    const auto oldest = std::ranges::min_element(
        m_unconfirmed, {}, [](const auto& entry) { return entry.second.sent_at; });
    next = std::max(next, oldest->second.sent_at + UNCONFIRMED_LIFETIME);
  }
  return next;
}
} // namespace Holdpost::Distribution
