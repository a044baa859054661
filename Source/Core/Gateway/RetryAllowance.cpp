// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RetryAllowance.h"

namespace Holdpost::Gateway
{
using Common::TimePoint;

// Reduces the allowance, because other gateways may count a request in another slice than this one,
// and because a gateway that has just started or ended is counted late.
static constexpr double SAFETY_FACTOR = 0.8;

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
  usage.allowed = SAFETY_FACTOR * (m_limits.ratio * usage.requests +
                                   m_limits.extra / static_cast<double>(m_gateways));
  return usage;
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
