// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/PeerQuery.h"

namespace Holdpost::Control
{
using Common::Address;
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// After the start of this process, and whenever the platform stops answering, the platform gets
// this much time to answer before peers are asked.
static constexpr Duration PLATFORM_HEAD_START = Milliseconds(300);
static constexpr Duration PARTIAL_KNOWLEDGE_PERIOD = Milliseconds(400);
static constexpr Duration WHOLE_KNOWLEDGE_PERIOD = Milliseconds(2000);

std::optional<Address> PeerQuery::OnTick(bool is_platform_reachable, Knowledge knowledge,
                                         TimePoint now)
{
  if (is_platform_reachable || m_peers.empty())
  {
    m_due.reset();
    return std::nullopt;
  }
  if (!m_due)
    m_due = now + PLATFORM_HEAD_START;
  if (now < *m_due)
    return std::nullopt;
  m_due =
      now + (knowledge == Knowledge::Partial ? PARTIAL_KNOWLEDGE_PERIOD : WHOLE_KNOWLEDGE_PERIOD);
  const Address peer = m_peers[m_next];
  m_next = (m_next + 1) % m_peers.size();
  return peer;
}

TimePoint PeerQuery::NextWakeup() const
{
  return m_due.value_or(TimePoint::max());
}
} // namespace Holdpost::Control
