// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/ReaderDuty.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace Holdpost::Control
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A reader that had no answer of the platform for so long may be cut off from it. Settings have to
// be in force, and leaving targets spared, within two seconds: the rest is for reading anew.
static constexpr Duration ANSWER_AGE_MOST = Milliseconds(1000);
// Those that wait don't all begin at once: the others receive the beat of the first one that does.
static constexpr std::uint64_t JITTER_MS = 200;
// A process that has just started is told by others within so long, if any can.
static constexpr Milliseconds TOLD_WITHIN = Milliseconds(20);
// When all processes start together, none can. If they all asked the platform at once, its link
// would be full: so they come one after the other.
static constexpr std::uint64_t TOLD_JITTER_MS = 230;
static constexpr Milliseconds LIST_PERIOD_LEAST = Milliseconds(100);
// An answer whose beat comes one period late must still be younger than ANSWER_AGE_MOST when the
// next one comes, or other gateways take over from a reader that is well.
static constexpr Milliseconds LIST_PERIOD_MOST = Milliseconds(600);
// So many go on asking a platform that answers none of them. The platform may refuse some machines
// only, so each of the others takes a turn from time to time, one about each TURN_OF_EACH.
static constexpr std::size_t FAILING_READERS_MOST = 5;
static constexpr Milliseconds TURN_OF_EACH = Milliseconds(2000);
// Readers send a beat each 300 ms, and one of these may be lost.
static constexpr Duration FAILING_LIFETIME = Milliseconds(700);

ReaderRank RankOf(const Common::Address& process)
{
  return Common::StableHash(process.ToString());
}

Milliseconds ListPeriod(Milliseconds drain_within)
{
  return std::clamp(drain_within * 3 / 10, LIST_PERIOD_LEAST, LIST_PERIOD_MOST);
}

bool ReaderDuty::IsFresh(Duration answer_age) const
{
  return answer_age < ANSWER_AGE_MOST;
}

void ReaderDuty::WaitToBeTold(TimePoint now)
{
  m_reads = false;
  m_take_over_at = now + TOLD_WITHIN + Milliseconds(m_random() % TOLD_JITTER_MS);
}

void ReaderDuty::OnAlone(TimePoint now)
{
  if (!m_reads && !m_has_reader)
    m_take_over_at = std::min(m_take_over_at, now);
}

void ReaderDuty::OnReaderBeat(ReaderRank rank, Duration answer_age, TimePoint now)
{
  if (!IsFresh(answer_age))
  {
    m_failing[rank] = now;
    return;
  }
  m_failing.erase(rank);
  m_has_reader = true;
  if (m_reads && rank >= m_rank)
    return;
  m_reads = false;
  const TimePoint take_over_at =
      now - answer_age + ANSWER_AGE_MOST + Milliseconds(m_random() % JITTER_MS);
  m_take_over_at =
      std::exchange(m_has_turn, false) ? take_over_at : std::max(m_take_over_at, take_over_at);
}

bool ReaderDuty::AreOthersFailing(TimePoint now)
{
  std::erase_if(m_failing,
                [now](const auto& entry) { return now - entry.second > FAILING_LIFETIME; });
  // The least ranks go on, and the others leave it to them.
  const auto before = std::distance(m_failing.begin(), m_failing.lower_bound(m_rank));
  return static_cast<std::size_t>(m_reads ? before : m_failing.size()) >= FAILING_READERS_MOST;
}

TimePoint ReaderDuty::NextTurn(TimePoint now)
{
  const auto pause = static_cast<Milliseconds::rep>(m_members) * TURN_OF_EACH;
  const auto jitter = static_cast<Milliseconds::rep>(
      m_random() % static_cast<std::uint64_t>(std::max<Milliseconds::rep>(pause.count(), 1)));
  return now + pause / 2 + Milliseconds(jitter);
}

DutyChange ReaderDuty::OnTick(TimePoint answered, TimePoint now)
{
  if (m_reads)
  {
    const bool is_failing = !IsFresh(now - std::max(answered, m_began));
    if (!is_failing || !AreOthersFailing(now))
      return DutyChange::None;
    m_reads = false;
    m_has_turn = true;
    m_take_over_at = NextTurn(now);
    return DutyChange::Ends;
  }
  if (now < m_take_over_at)
    return DutyChange::None;
  if (!m_has_turn && AreOthersFailing(now))
  {
    m_has_turn = true;
    m_take_over_at = NextTurn(now);
    return DutyChange::None;
  }
  m_reads = true;
  m_has_turn = false;
  m_began = now;
  return DutyChange::Begins;
}

TimePoint ReaderDuty::NextWakeup() const
{
  return m_reads ? TimePoint::max() : m_take_over_at;
}
} // namespace Holdpost::Control
