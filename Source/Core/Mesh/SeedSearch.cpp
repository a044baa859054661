// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/SeedSearch.h"

namespace Holdpost::Mesh
{
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

// A process that has just started has no state and waits for each answer.
static constexpr Milliseconds START_PERIOD = Milliseconds(60);
static constexpr Milliseconds START_PHASE = Milliseconds(300);
// Processes of a hall start within about 300 ms of each other, so the first answers may list none
// of them.
static constexpr Milliseconds EARLY_PERIOD = Milliseconds(200);
static constexpr Milliseconds EARLY_PHASE = Milliseconds(3000);
// After that, a process that reads the platform for its hall keeps asking at this interval, so that
// seeds continue to list it.
static constexpr Milliseconds LATER_PERIOD = Milliseconds(2000);

std::vector<Address> SeedSearch::OnTick(bool is_gateway_known, TimePoint now)
{
  if (is_gateway_known)
  {
    m_searching_since.reset();
    return {};
  }
  if (!m_searching_since)
  {
    m_searching_since = now;
    m_due = now;
  }
  if (now < m_due)
    return {};
  const Common::Duration search_duration = now - *m_searching_since;
  m_due = now + (search_duration < START_PHASE   ? START_PERIOD
                 : search_duration < EARLY_PHASE ? EARLY_PERIOD
                                                 : LATER_PERIOD);
  return m_seeds;
}

TimePoint SeedSearch::NextWakeup() const
{
  return m_searching_since ? m_due : TimePoint::max();
}
} // namespace Holdpost::Mesh
