// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RetryAllowance.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::TimePoint;

// The part of the limits for processes that have run for a window. It is as large for one that ends
// at any time after that.
static constexpr double ESTABLISHED_PART = 0.8;
// The part for processes that have not. Any number of them may follow one another within a window,
// so that this part is earned by the requests and the time of each life. What is left of the limits
// is for retries that arrive in another slice than they were counted in.
static constexpr double RESTARTED_PART = 0.15;

std::uint64_t RetryAllowance::IndexAt(TimePoint now) const
{
  const auto slice = std::max<Common::Duration>(m_limits.window / SLICES, Common::Milliseconds(1));
  return static_cast<std::uint64_t>(now.time_since_epoch() / slice);
}

RetryAllowance::Slice& RetryAllowance::SliceAt(TimePoint now)
{
  const std::uint64_t index = IndexAt(now);
  Slice& slice = m_slices[index % m_slices.size()];
  if (slice.index != index)
    slice = {.index = index};
  return slice;
}

void RetryAllowance::OnRequest(TimePoint now)
{
  ++SliceAt(now).requests;
}

RetryUsage RetryAllowance::UsageAt(TimePoint now) const
{
  const std::uint64_t index = IndexAt(now);
  RetryUsage usage;
  for (const Slice& slice : m_slices)
  {
    const std::uint64_t age = index - slice.index;
    // Retries are summed over one slice more than requests, so that the limits hold in any window.
    if (age <= SLICES)
    {
      usage.retries += slice.retries;
      usage.denied += slice.denied;
    }
    if (age < SLICES)
      usage.requests += slice.requests;
  }
  usage.gateways = m_gateways;
  const double fixed = m_gateways == 0 ? 0 : m_limits.extra / static_cast<double>(m_gateways);
  const double lived = LivedPartOfWindow(now);
  const double part = lived < 1 ? RESTARTED_PART : ESTABLISHED_PART;
  usage.allowed = part * (m_limits.ratio * usage.requests + lived * fixed);
  return usage;
}

double RetryAllowance::LivedPartOfWindow(TimePoint now) const
{
  const std::chrono::duration<double> lived = now - m_started;
  return std::min(1.0, lived / m_limits.window);
}

bool RetryAllowance::Permits(TimePoint now) const
{
  const RetryUsage usage = UsageAt(now);
  return usage.retries + 1 <= usage.allowed;
}

bool RetryAllowance::Take(TimePoint now)
{
  const bool is_permitted = Permits(now);
  Slice& slice = SliceAt(now);
  ++(is_permitted ? slice.retries : slice.denied);
  return is_permitted;
}
} // namespace Holdpost::Gateway
