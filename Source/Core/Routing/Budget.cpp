// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/Budget.h"

#include <algorithm>

namespace Holdpost::Routing
{
using Common::Duration;
using Common::TimePoint;

static constexpr std::int64_t RETRY_COST = 100;
static constexpr std::int64_t RETRY_LEVEL_MOST = 100 * RETRY_COST;

void TokenQuota::SetLimits(std::int64_t tokens_per_second, std::int64_t burst)
{
  m_rate = tokens_per_second;
  m_burst = burst;
}

Duration TokenQuota::Take(std::int64_t tokens, TimePoint now)
{
  if (m_rate == 0)
    return Duration::zero();
  if (!m_is_filled)
  {
    m_level = static_cast<double>(m_burst);
    m_is_filled = true;
    m_updated = now;
  }
  const double seconds = std::chrono::duration<double>(now - m_updated).count();
  m_level = std::min(m_level + seconds * static_cast<double>(m_rate), static_cast<double>(m_burst));
  m_updated = now;
  // A request larger than the whole burst goes through when the quota is full.
  const double needed = static_cast<double>(std::min(tokens, m_burst));
  if (m_level >= needed)
  {
    m_level -= static_cast<double>(tokens);
    return Duration::zero();
  }
  const std::chrono::duration<double> wait((needed - m_level) / static_cast<double>(m_rate));
  return std::max(std::chrono::duration_cast<Duration>(wait), Duration(1));
}

void RetryBudget::OnRequest()
{
  m_level = std::min(m_level + m_percent, RETRY_LEVEL_MOST);
}

bool RetryBudget::TakeRetry()
{
  if (m_level < RETRY_COST)
    return false;
  m_level -= RETRY_COST;
  return true;
}
} // namespace Holdpost::Routing
