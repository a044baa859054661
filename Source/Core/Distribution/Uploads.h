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
  void SetLimits(std::uint64_t bytes_per_second, std::size_t waiting_most);
  // Queues the piece, or refuses at once with the time when there will be room.
  void Add(RequestTag tag, Common::Bytes data, Common::TimePoint now, Actions* actions);
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
  std::deque<Waiting> m_waiting;
};
} // namespace Holdpost::Distribution
