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
    slice = {index, 0, 0};
  return slice;
}

void RetryAllowance::OnRequest(TimePoint now)
{
  ++SliceAt(now).requests;
}

bool RetryAllowance::Permits(TimePoint now) const
{
  const std::uint64_t index = IndexAt(now);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : m_slices)
  {
    const std::uint64_t age = index - slice.index;
    // Retries are summed over one slice more than requests, so that the limits hold in any window.
    if (age <= SLICES)
      retries += slice.retries;
    if (age < SLICES)
      requests += slice.requests;
  }
  const double fixed = SAFETY_FACTOR * m_limits.extra / static_cast<double>(m_gateways);
  return retries + 1 <= m_limits.ratio * SAFETY_FACTOR * requests + fixed;
}

bool RetryAllowance::Take(TimePoint now)
{
  if (!Permits(now))
    return false;
  ++SliceAt(now).retries;
  return true;
}
} // namespace Holdpost::Gateway
