// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RetryAllowance.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::TimePoint;

// The part of the limits for processes that have run for a window. Of those that follow one another
// in the same place, at most one in any window has.
static constexpr double ESTABLISHED_PART = 0.8;
// The part for processes that have not. Any number of them may follow one another in a window, so
// each earns it by the requests and the time of its own life. The rest of the limits is for retries
// that arrive in another slice than they were counted in.
static constexpr double RESTARTED_PART = 0.15;

void RetryAllowance::SetLimits(const RetryLimits& limits, TimePoint now)
{
  if (limits.window > m_limits.window)
    m_known_from = std::max(m_known_from, now - m_limits.window);
  m_limits = limits;
}

RetryAllowance::Slice& RetryAllowance::SliceAt(TimePoint now)
{
  const std::int64_t oldest = IndexAt(now - m_limits.window);
  while (!m_slices.empty() && m_slices.front().index < oldest)
    m_slices.pop_front();
  const std::int64_t index = IndexAt(now);
  if (m_slices.empty() || m_slices.back().index < index)
    m_slices.push_back({.index = index});
  return m_slices.back();
}

void RetryAllowance::OnRequest(TimePoint now)
{
  ++SliceAt(now).requests;
}

RetryUsage RetryAllowance::UsageAt(TimePoint now) const
{
  const std::int64_t oldest = IndexAt(now - m_limits.window);
  RetryUsage usage;
  for (const Slice& slice : m_slices)
  {
    // The slice in which the window begins counts for retries only, so that the limits hold in any
    // window.
    if (slice.index >= oldest)
    {
      usage.retries += slice.retries;
      usage.denied += slice.denied;
    }
    if (slice.index > oldest)
      usage.requests += slice.requests;
  }
  usage.gateways = m_gateways;
  const double fixed = m_gateways == 0 ? 0 : m_limits.extra / static_cast<double>(m_gateways);
  const double known = KnownPartOfWindow(now);
  const double part = known < 1 ? RESTARTED_PART : ESTABLISHED_PART;
  usage.allowed = part * (m_limits.ratio * usage.requests + known * fixed);
  return usage;
}

double RetryAllowance::KnownPartOfWindow(TimePoint now) const
{
  const std::chrono::duration<double> known = now - m_known_from;
  return std::min(1.0, known / m_limits.window);
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
