// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <optional>

#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Distribution/LinkBudget.h"

// The queue of pieces that peers have asked for, sent in order within the link's budget.
namespace Holdpost::Distribution
{
class Uploads
{
public:
  // `wait_most`: a piece that could not be sent within so long is refused, so that the receiver
  // asks elsewhere instead of taking us for stalled.
  void SetLimits(std::uint64_t bytes_per_second, std::size_t waiting_most,
                 Common::Duration wait_most);
  // Queues the piece, or refuses at once with the time when there will be room.
  void Add(RequestTag tag, Common::Bytes data, Common::TimePoint now, Actions* actions);
  // The receiver does not wait for it any more.
  void Remove(RequestTag tag, Common::TimePoint now);
  // Sends what is due.
  void Advance(Common::TimePoint now, Actions* actions);
  std::optional<Common::TimePoint> NextWakeup() const;

private:
  struct Waiting
  {
    RequestTag tag;
    Common::Bytes data;
    Common::TimePoint due;
  };

  LinkBudget m_link;
  std::size_t m_waiting_most = 64;
  Common::Duration m_wait_most = Common::Milliseconds(1000);
  std::deque<Waiting> m_waiting;
};
} // namespace Holdpost::Distribution
