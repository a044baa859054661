// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Distribution/LinkBudget.h"
#include "Core/Distribution/LinkWatch.h"

// The queue of pieces that peers have asked for, sent in order within the link's budget.
namespace Holdpost::Distribution
{
class Uploads
{
public:
  // `wait_most`: a piece that could not be sent within so long is refused, so that the receiver
  // asks elsewhere instead of taking us for stalled.
  void SetLimits(std::uint64_t bytes_per_second, LinkPacing pacing, std::size_t max_waiting,
                 Common::Duration max_wait);
  // Queues the piece, or refuses at once with the time when there will be room. Urgent ones go
  // before the others and are not refused.
  void Add(RequestTag tag, Common::Bytes data, bool is_urgent, Common::TimePoint now,
           Actions* actions);
  // The receiver does not wait for it any more, or has it.
  void Remove(RequestTag tag, Common::TimePoint now);
  // With a limit, receivers say when they have a piece, and no more than so many are on the way: on
  // a link that is narrower than it should be, other traffic waits for one piece at most.
  // `piece_time` is what a piece takes on the link when nothing else is on it.
  void SetMaxUnconfirmed(std::size_t max_unconfirmed, Common::Duration piece_time)
  {
    m_max_unconfirmed = max_unconfirmed;
    m_tracker.SetPieceTime(piece_time);
  }
  // Sends what is due.
  void Advance(Common::TimePoint now, Actions* actions);
  std::optional<Common::TimePoint> NextWakeup() const;

private:
  struct QueuedUpload
  {
    RequestTag tag;
    Common::Bytes data;
    // When the link is free for it, and when it is through.
    Common::TimePoint starts;
    Common::TimePoint ends;
    bool is_urgent = false;
  };

  // A piece that its receiver has not confirmed yet.
  struct UnconfirmedUpload
  {
    Common::TimePoint at;
    // Pieces that were on the way then.
    std::size_t concurrent = 1;
  };

  LinkBudget m_link;
  LinkPacing m_pacing = LinkPacing::Budget;
  std::size_t m_max_waiting = 64;
  Common::Duration m_max_wait = Common::Milliseconds(1000);
  // Gives all that wait new places on the link, from `first` on.
  void Rebook(std::size_t first);
  Common::TimePoint DueAt(const QueuedUpload& waiting) const;
  bool MustWait(Common::TimePoint now) const;
  void OnConfirmed(RequestTag tag, Common::TimePoint now);

  std::deque<QueuedUpload> m_waiting;

  std::size_t m_max_unconfirmed = 0;
  std::map<RequestTag, UnconfirmedUpload> m_unconfirmed;
  Common::TimePoint m_pause_until{};
  LinkTracker m_tracker;
};
} // namespace Holdpost::Distribution
