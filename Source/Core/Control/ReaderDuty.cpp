// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/ReaderDuty.h"

#include <algorithm>

namespace Holdpost::Control
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A reader that had no answer of the platform for so long may be cut off from it. Settings have to
// be in force, and leaving targets spared, within two seconds: the rest is for reading anew.
static constexpr Duration ANSWER_AGE_MOST = Milliseconds(1000);
// Those that wait don't all begin at once: the first one that does is heard by the others.
static constexpr std::uint64_t JITTER_MS = 200;
static constexpr Milliseconds LIST_PERIOD_LEAST = Milliseconds(100);
// An answer that is heard of one beat late must still be younger than ANSWER_AGE_MOST when the next
// one comes. With 1,200 ms all 30 gateways of a hall took over from a reader that was well, again
// and again, and each read the whole list.
static constexpr Milliseconds LIST_PERIOD_MOST = Milliseconds(600);

Milliseconds ListPeriod(Milliseconds drain_within)
{
  return std::clamp(drain_within * 3 / 10, LIST_PERIOD_LEAST, LIST_PERIOD_MOST);
}

bool ReaderDuty::IsFresh(Duration answer_age) const
{
  return answer_age < ANSWER_AGE_MOST;
}

void ReaderDuty::OnReaderHeard(ReaderRank rank, Duration answer_age, TimePoint now)
{
  if (!IsFresh(answer_age) || (m_reads && rank >= m_rank))
    return;
  m_reads = false;
  const TimePoint take_over_at =
      now - answer_age + ANSWER_AGE_MOST + Milliseconds(m_random() % JITTER_MS);
  m_take_over_at = std::max(m_take_over_at, take_over_at);
}

bool ReaderDuty::OnTick(TimePoint now)
{
  if (m_reads || now < m_take_over_at)
    return false;
  m_reads = true;
  return true;
}

TimePoint ReaderDuty::NextWakeup() const
{
  return m_reads ? TimePoint::max() : m_take_over_at;
}
} // namespace Holdpost::Control
