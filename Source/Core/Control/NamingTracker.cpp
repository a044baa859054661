// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/NamingTracker.h"

#include <algorithm>

namespace Holdpost::Control
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A silent reader is replaced within this time.
static constexpr Duration MAX_TAKEOVER_TIME = Milliseconds(2000);
// A read that receives no byte for this time is aborted. A longer delay means that this process was
// suspended.
static constexpr Duration MAX_ANSWER_DELAY = Milliseconds(1000);
// Processes run at least every 250 ms. One that does not run for a longer time than this was
// suspended, or its machine was overloaded.
static constexpr Duration MAX_IDLE_TIME = Milliseconds(300);
// The time in which a process reads what has waited in its sockets while it was suspended.
static constexpr Duration CATCH_UP_TIME = Milliseconds(100);
// The same if the suspension was short, including the next read of the platform.
static constexpr Duration CATCH_UP_TIME_SHORT = Milliseconds(250);

Milliseconds AssumedAge(Milliseconds switch_within, Milliseconds start_grace)
{
  return std::max(switch_within - start_grace, Milliseconds(0));
}

void NamingTracker::OnRunning(TimePoint now)
{
  if (!m_started_at)
    m_started_at = now;
  else if (now - m_ran_at > MAX_IDLE_TIME)
  {
    m_suspended_at = m_ran_at;
    m_resumed_at = now;
    m_may_have_missed = m_may_have_missed || now - m_ran_at > MAX_ANSWER_DELAY;
  }
  m_ran_at = now;
}

bool NamingTracker::IsCatchingUp(TimePoint now) const
{
  const Duration catch_up_time = m_may_have_missed ? CATCH_UP_TIME : CATCH_UP_TIME_SHORT;
  return m_suspended_at && now - m_resumed_at < catch_up_time;
}

void NamingTracker::OnListRequested(TimePoint now)
{
  m_list_requested_at = now;
}

void NamingTracker::OnListAnswered(TimePoint now)
{
  m_list_read_duration = now - m_list_requested_at.value_or(now);
  m_list_requested_at.reset();
}

void NamingTracker::OnOperatorRequested(bool is_newest, TimePoint now)
{
  m_operator_requested_at = now;
  m_may_return_old_namings =
      is_newest || m_has_failed || m_may_have_missed || m_announced_until > m_read_until;
}

void NamingTracker::OnOperatorFailed(TimePoint now)
{
  m_has_failed = true;
  // A platform that refuses requests immediately is down, and no version is named meanwhile. A
  // platform that does not respond may be behind a saturated link. What was named before the
  // refusal while the process was suspended is still not known.
  if (m_announced_until && !m_may_have_missed && now - m_operator_requested_at < MAX_ANSWER_DELAY)
    OnAllVersionsAnnounced(m_operator_requested_at);
}

void NamingTracker::OnOperatorAnswered(TimePoint now)
{
  m_has_failed = false;
  // The answer to a read that was sent before the suspension says nothing of the time since.
  const bool is_sent_since = m_operator_requested_at >= m_resumed_at;
  if (m_may_have_missed && !is_sent_since)
    return;
  m_may_have_missed = false;
  OnAllVersionsAnnounced(now - AnswerDelay(now));
  m_read_until = m_announced_until;
}

void NamingTracker::OnAllVersionsAnnounced(TimePoint until)
{
  // A process that has received no announcement since this process began has no information about
  // namings that this process may have missed.
  if (m_started_at && until < *m_started_at)
    return;
  // An announcement that has waited while the process was suspended was made earlier than it seems.
  if (m_suspended_at && until > *m_suspended_at && IsCatchingUp(until))
    return;
  m_announced_until = std::max(m_announced_until.value_or(until), until);
}

Duration NamingTracker::AnswerDelay(TimePoint now) const
{
  const Duration open_duration = now - m_list_requested_at.value_or(now);
  return std::min(std::max(m_list_read_duration, open_duration), MAX_ANSWER_DELAY);
}

KnownSince NamingTracker::KnownSinceOfRead(TimePoint now) const
{
  const TimePoint written = now - AnswerDelay(now);
  if (!m_may_return_old_namings && IsCatchingUp(now))
    return {std::min(*m_suspended_at, written), m_may_have_missed};
  if (!m_may_return_old_namings)
    return {written};
  if (!m_announced_until)
    return {m_started_at.value_or(now) - m_assumed_age, true};
  if (now - *m_announced_until <= MAX_TAKEOVER_TIME)
    return {std::min(*m_announced_until, written)};
  return {std::max(*m_announced_until, now - m_assumed_age), true};
}
} // namespace Holdpost::Control
