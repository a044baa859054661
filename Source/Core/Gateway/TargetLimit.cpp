// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetLimit.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::Milliseconds;
using Common::TimePoint;

// An unused permit is worth nothing after this time. It is longer than the pause between two
// reports of an agent, and so short that few permits can be used together.
static constexpr Milliseconds PERMIT_LIFETIME = Milliseconds(300);
// The agent has learned by then what a gateway has read in an answer.
static constexpr Milliseconds AGENT_DELAY = Milliseconds(500);
// An agent that has not reported for this time issues no permits.
static constexpr Milliseconds AGENT_SILENCE = Milliseconds(1000);

void TargetLimit::OnAnswer(std::optional<double> per_second, TimePoint now)
{
  if (per_second.has_value() != m_per_second.has_value())
  {
    m_answered_at = now;
    m_permits = 0;
    m_own_share = 0;
    m_counted_until = now;
  }
  m_per_second = per_second;
}

void TargetLimit::OnReport(std::optional<double> per_second, std::uint32_t permits, TimePoint now)
{
  m_reported_at = now;
  if (per_second.has_value() != m_per_second.has_value())
  {
    if (now - m_answered_at < AGENT_DELAY)
      return;
    m_permits = 0;
    m_own_share = 0;
    m_counted_until = now;
  }
  m_per_second = per_second;
  if (permits == 0)
    return;
  m_permits = (now < m_permits_until ? m_permits : 0) + permits;
  m_permits_until = now + PERMIT_LIFETIME;
}

bool TargetLimit::HasAgent(TimePoint now) const
{
  return m_reported_at && now - *m_reported_at < AGENT_SILENCE;
}

double TargetLimit::OwnShareAt(std::size_t gateways, TimePoint now) const
{
  const double seconds = std::chrono::duration<double>(now - m_counted_until).count();
  const double share = *m_per_second / static_cast<double>(std::max<std::size_t>(gateways, 1));
  return std::min(m_own_share + seconds * share, 1.0);
}

bool TargetLimit::MaySend(std::size_t gateways, TimePoint now) const
{
  if (!m_per_second)
    return true;
  if (HasAgent(now))
    return m_permits > 0 && now < m_permits_until;
  return OwnShareAt(gateways, now) >= 1;
}

void TargetLimit::OnSent(std::size_t gateways, TimePoint now)
{
  if (!m_per_second)
    return;
  m_permits -= std::min(m_permits, 1U);
  m_own_share = std::max(OwnShareAt(gateways, now) - 1, 0.0);
  m_counted_until = now;
}
} // namespace Holdpost::Gateway
