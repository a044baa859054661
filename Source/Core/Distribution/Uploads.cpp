// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Uploads.h"

#include <algorithm>

namespace Holdpost::Distribution
{
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Common::Duration REST_MOST = Milliseconds(500);
// A receiver that has said nothing for so long is not waited for.
static constexpr Common::Duration UNCONFIRMED_LIFETIME = Milliseconds(1500);

void Uploads::SetLimits(std::uint64_t bytes_per_second, LinkPacing pacing, std::size_t waiting_most,
                        Common::Duration wait_most)
{
  m_link.SetRate(bytes_per_second);
  m_pacing = pacing;
  m_waiting_most = waiting_most;
  m_wait_most = wait_most;
}

void Uploads::Add(RequestTag tag, Common::Bytes data, bool is_urgent, TimePoint now,
                  Actions* actions)
{
  const Common::Duration backlog = m_link.FreeAt() - now;
  const bool is_full =
      m_waiting.size() >= m_waiting_most || (m_waiting.size() > 1 && backlog > m_wait_most);
  if (is_full && !is_urgent)
  {
    // Room comes when the backlog is back under the limit, and with every piece that goes out.
    const Common::Duration over = std::max(backlog - m_wait_most, m_waiting.front().ends - now);
    const auto wait = std::chrono::ceil<Milliseconds>(over);
    actions->push_back(CountTransfer{TransferEvent::RequestRefused});
    actions->push_back(AnswerPiece{tag, Error{ErrorKind::SourceBusy, "the upload queue is full",
                                              std::max(wait, Milliseconds(1))}});
    return;
  }
  const TimePoint starts = std::max(now, m_link.FreeAt());
  const TimePoint ends = m_link.BookSend(data->size(), now);
  const auto place =
      is_urgent ? std::ranges::find(m_waiting, false, &Waiting::is_urgent) : m_waiting.end();
  const auto added = m_waiting.insert(place, {tag, std::move(data), starts, ends, is_urgent});
  if (is_urgent)
  {
    // It takes the first place behind other urgent ones, and those behind it move back.
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

TimePoint Uploads::DueOf(const Waiting& waiting) const
{
  return m_pacing == LinkPacing::Wire ? waiting.starts : waiting.ends;
}

bool Uploads::MustWait(TimePoint now) const
{
  if (m_unconfirmed_most == 0)
    return false;
  const std::size_t most = m_watch.IsNarrow(now) ? 1 : m_unconfirmed_most;
  return m_unconfirmed.size() >= most || now < m_rest_until;
}

void Uploads::OnConfirmed(RequestTag tag, TimePoint now)
{
  const std::size_t on_the_way = m_unconfirmed.size();
  const auto sent = m_unconfirmed.extract(tag);
  if (!sent)
    return;
  m_watch.OnTransfer(now - sent.mapped().at, std::max(sent.mapped().at_once, on_the_way), now);
  // On a link that is narrower than it should be, other traffic gets as long as a piece took.
  if (m_watch.IsNarrow(now))
    m_rest_until = now + std::min(m_watch.NarrowPieceTime(now), REST_MOST);
}

void Uploads::Remove(RequestTag tag, TimePoint now)
{
  OnConfirmed(tag, now);
  const auto found = std::ranges::find(m_waiting, tag, &Waiting::tag);
  if (found == m_waiting.end())
    return;
  const auto gone = static_cast<std::size_t>(found - m_waiting.begin());
  // With a budget the first one is being sent while it waits. On the wire none is, and one that
  // nobody waits for any more would hold up the others until its confirmation is given up.
  const bool is_on_its_way = m_pacing == LinkPacing::Budget && (gone == 0 || DueOf(*found) <= now);
  if (is_on_its_way)
    return;
  // The place on the link goes to those behind.
  const TimePoint place = found->starts;
  m_waiting.erase(found);
  if (gone == m_waiting.size())
    return m_link.Rewind(place);
  m_waiting[gone].starts = place;
  Rebook(gone);
}

void Uploads::Advance(TimePoint now, Actions* actions)
{
  std::erase_if(m_unconfirmed,
                [now](const auto& entry) { return now - entry.second.at > UNCONFIRMED_LIFETIME; });
  while (!m_waiting.empty() && DueOf(m_waiting.front()) <= now)
  {
    if (MustWait(now))
      return;
    Waiting& next = m_waiting.front();
    if (m_unconfirmed_most > 0)
    {
      const std::size_t at_once = m_unconfirmed.size() + 1;
      m_unconfirmed[next.tag] = {now, at_once};
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
  TimePoint next = std::max(DueOf(m_waiting.front()), m_rest_until);
  if (MustWait(next))
  {
    // Usually a confirmation comes first and calls Advance.
    const auto oldest = std::ranges::min_element(m_unconfirmed, {},
                                                 [](const auto& entry) { return entry.second.at; });
    next = std::max(next, oldest->second.at + UNCONFIRMED_LIFETIME);
  }
  return next;
}
} // namespace Holdpost::Distribution
