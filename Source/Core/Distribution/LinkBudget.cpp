// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/LinkBudget.h"

#include <algorithm>

namespace Holdpost::Distribution
{
using Common::Duration;
using Common::TimePoint;

Duration LinkBudget::TimeFor(std::uint64_t bytes) const
{
  if (m_rate == 0)
    return Duration::zero();
  const std::chrono::duration<double> seconds(static_cast<double>(bytes) /
                                              static_cast<double>(m_rate));
  return std::chrono::duration_cast<Duration>(seconds);
}

TimePoint LinkBudget::BookSend(std::uint64_t bytes, TimePoint now)
{
  m_free_at = std::max(m_free_at, now) + TimeFor(bytes);
  return m_free_at;
}

TimePoint LinkBudget::BookReceive(std::uint64_t bytes, TimePoint now)
{
  const Duration time = TimeFor(bytes);
  m_free_at = std::max(m_free_at, now - time) + time;
  return m_free_at;
}
} // namespace Holdpost::Distribution
