// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/ReaderElection.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace Holdpost::Control
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A reader that has received no answer from the platform for this time may be cut off from it.
// Settings have to be in force, and leaving targets avoided, within two seconds; the remaining time
// is for another process to take over and read.
static constexpr Duration MAX_ANSWER_AGE = Milliseconds(1000);
// Spreads the takeover by waiting processes: they do not all start to read at once, and the others
// receive the heartbeat of the first one that does.
static constexpr std::uint64_t TAKEOVER_JITTER_MS = 200;
// The time within which other processes, if there are any, send their state to a process that has
// just started.
static constexpr Milliseconds MAX_PEER_STATE_DELAY = Milliseconds(20);
// When all processes start together, none has any state to send. If they all queried the platform
// at once, they would saturate its link, so this jitter spreads their first reads.
static constexpr std::uint64_t START_JITTER_MS = 230;
static constexpr Milliseconds MIN_LIST_PERIOD = Milliseconds(100);
// If the heartbeat after an answer is lost or one period late, the age of the answer must still be
// below the maximum when the next heartbeat arrives; otherwise other gateways would take over from
// a healthy reader.
static constexpr Milliseconds MAX_LIST_PERIOD = Milliseconds(600);
// The number of processes that keep querying a platform that answers none of them. The platform may
// refuse only some instances, so each of the others takes a turn from time to time: about one
// process per turn period.
static constexpr std::size_t MAX_FAILING_READERS = 5;
static constexpr Milliseconds TURN_PERIOD = Milliseconds(2000);
// Readers send a heartbeat every 300 ms, and one heartbeat may be lost.
static constexpr Duration FAILING_READER_LIFETIME = Milliseconds(700);

ReaderRank ReaderRankOf(const Common::Address& process)
{
  return Common::StableHash(process.ToString());
}

Milliseconds ListPeriod(Milliseconds drain_within)
{
  return std::clamp(drain_within * 3 / 10, MIN_LIST_PERIOD, MAX_LIST_PERIOD);
}

bool ReaderElection::IsFresh(Duration answer_age) const
{
  return answer_age < MAX_ANSWER_AGE;
}

void ReaderElection::WaitForPeerState(TimePoint now)
{
  m_is_reader = false;
  m_take_over_at = now + MAX_PEER_STATE_DELAY + Milliseconds(m_random() % START_JITTER_MS);
}

void ReaderElection::OnNoPeers(TimePoint now)
{
  if (!m_is_reader && !m_has_reader)
    m_take_over_at = std::min(m_take_over_at, now);
}

void ReaderElection::OnReaderHeartbeat(ReaderRank rank, Duration answer_age, TimePoint now)
{
  if (!IsFresh(answer_age))
  {
    m_failing[rank] = now;
    return;
  }
  m_failing.erase(rank);
  m_has_reader = true;
  if (m_is_reader && rank >= m_rank)
    return;
  m_is_reader = false;
  const TimePoint take_over_at =
      now - answer_age + MAX_ANSWER_AGE + Milliseconds(m_random() % TAKEOVER_JITTER_MS);
  m_take_over_at =
      std::exchange(m_has_turn, false) ? take_over_at : std::max(m_take_over_at, take_over_at);
}

bool ReaderElection::AreOthersFailing(TimePoint now)
{
  std::erase_if(m_failing,
                [now](const auto& entry) { return now - entry.second > FAILING_READER_LIFETIME; });
  // The processes with the lowest ranks keep reading, and the others stop.
  const auto before = std::distance(m_failing.begin(), m_failing.lower_bound(m_rank));
  return static_cast<std::size_t>(m_is_reader ? before : m_failing.size()) >= MAX_FAILING_READERS;
}

TimePoint ReaderElection::NextTurn(TimePoint now)
{
  const auto pause = static_cast<Milliseconds::rep>(m_process_count) * TURN_PERIOD;
  const auto jitter = static_cast<Milliseconds::rep>(
      m_random() % static_cast<std::uint64_t>(std::max<Milliseconds::rep>(pause.count(), 1)));
  return now + pause / 2 + Milliseconds(jitter);
}

ReadingChange ReaderElection::OnTick(TimePoint last_answer_at, TimePoint now)
{
  if (m_is_reader)
  {
    const bool is_failing = !IsFresh(now - std::max(last_answer_at, m_reading_since));
    if (!is_failing || !AreOthersFailing(now))
      return ReadingChange::None;
    m_is_reader = false;
    m_has_turn = true;
    m_take_over_at = NextTurn(now);
    return ReadingChange::Ends;
  }
  if (now < m_take_over_at)
    return ReadingChange::None;
  if (!m_has_turn && AreOthersFailing(now))
  {
    m_has_turn = true;
    m_take_over_at = NextTurn(now);
    return ReadingChange::None;
  }
  m_is_reader = true;
  m_has_turn = false;
  m_reading_since = now;
  return ReadingChange::Begins;
}

TimePoint ReaderElection::NextWakeup() const
{
  return m_is_reader ? TimePoint::max() : m_take_over_at;
}
} // namespace Holdpost::Control
