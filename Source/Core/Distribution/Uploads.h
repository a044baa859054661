// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Distribution/LinkBudget.h"
#include "Core/Distribution/LinkTracker.h"

// The queue of pieces that peers have requested. Pieces are sent in order within the link's budget.
namespace Holdpost::Distribution
{
class Uploads
{
public:
  // A request is refused if its piece could not be sent within `max_wait`, so that the receiver
  // asks another peer and does not treat this instance as stalled.
  void SetLimits(std::uint64_t bytes_per_second, LinkPacing pacing, std::size_t max_waiting,
                 Common::Duration max_wait);
  // Queues the piece, or refuses the request immediately with the delay after which the queue will
  // have capacity. Urgent pieces precede the others and are never refused.
  void Add(RequestTag tag, Common::Bytes data, bool is_urgent, Common::TimePoint now,
           Actions* actions);
  // The receiver has the piece or no longer waits for it.
  void Remove(RequestTag tag, Common::TimePoint now);
  // Limits the number of sent pieces that their receivers have not confirmed yet; 0 means that
  // receivers send no confirmations. On a link that is narrower than expected the limit is 1, so
  // that other traffic waits for one piece at most. `piece_time` is the expected duration of the
  // transfer of one piece on an otherwise idle link.
  void SetMaxUnconfirmed(std::size_t max_unconfirmed, Common::Duration piece_time)
  {
    m_max_unconfirmed = max_unconfirmed;
    m_tracker.SetPieceTime(piece_time);
  }
  // Sends the pieces that are due.
  void Advance(Common::TimePoint now, Actions* actions);
  std::optional<Common::TimePoint> NextWakeup() const;

private:
  struct QueuedUpload
  {
    RequestTag tag;
    Common::Bytes data;
    // Booked start and end of the transfer on the link.
    Common::TimePoint starts;
    Common::TimePoint ends;
    bool is_urgent = false;
  };

  // A sent piece that its receiver has not confirmed yet.
  struct UnconfirmedUpload
  {
    Common::TimePoint sent_at;
    // Number of unconfirmed pieces at the time of sending, including this one.
    std::size_t concurrent = 1;
  };

  LinkBudget m_link;
  LinkPacing m_pacing = LinkPacing::Budget;
  std::size_t m_max_waiting = 64;
  Common::Duration m_max_wait = Common::Milliseconds(1000);
  // Books the link again for the queued pieces from index `first` on.
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
