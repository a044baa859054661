// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/LedgerCatchUp.h"

#include <algorithm>

namespace Holdpost::Crashes
{
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

// Questions and answers may be lost.
static constexpr Milliseconds ASK_PERIOD = Milliseconds(100);
// One replica may have stood still, too.
static constexpr std::size_t ENOUGH_ANSWERS = 2;

void LedgerCatchUp::Begin(const std::vector<Address>& replicas, TimePoint now)
{
  const auto asked = static_cast<std::ptrdiff_t>(std::min(replicas.size(), MAX_ASKED));
  m_unanswered = {replicas.begin(), replicas.begin() + asked};
  m_missing_answers = std::min(m_unanswered.size(), ENOUGH_ANSWERS);
  m_ask_due = now;
  m_ends_at = now + MAX_TIME;
}

std::vector<Address> LedgerCatchUp::OnTick(TimePoint now)
{
  if (!IsUnderWay(now))
    m_missing_answers = 0;
  if (m_missing_answers == 0 || now < m_ask_due)
    return {};
  m_ask_due = now + ASK_PERIOD;
  return {m_unanswered.begin(), m_unanswered.end()};
}

bool LedgerCatchUp::OnAnswer(const Address& replica)
{
  if (m_missing_answers == 0 || m_unanswered.erase(replica) == 0)
    return false;
  return --m_missing_answers == 0;
}

bool LedgerCatchUp::IsUnderWay(TimePoint now) const
{
  return m_missing_answers > 0 && now < m_ends_at;
}

std::optional<TimePoint> LedgerCatchUp::NextWakeup() const
{
  if (m_missing_answers == 0)
    return std::nullopt;
  return std::min(m_ask_due, m_ends_at);
}
} // namespace Holdpost::Crashes
