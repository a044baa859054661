// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Common/Types.h"

// The calls that a simulation on a virtual clock still has to make.
namespace Holdpost::Testing
{
struct ScheduledCall
{
  Common::TimePoint at;
  // Calls of the same time are made in this order.
  std::uint64_t order;
  std::function<void()> run;

  bool operator>(const ScheduledCall& other) const
  {
    return at != other.at ? at > other.at : order > other.order;
  }
};

// The next call is at the top.
using ScheduledCalls =
    std::priority_queue<ScheduledCall, std::vector<ScheduledCall>, std::greater<>>;
} // namespace Holdpost::Testing
