// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/NamingWatch.h"

#include <algorithm>

namespace Holdpost::Control
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A silent reader is replaced within this time.
static constexpr Duration TAKE_OVER_MOST = Milliseconds(2000);
// A read that receives no byte for this time is aborted. A longer delay means that this process was
// suspended.
static constexpr Duration ANSWER_DELAY_MOST = Milliseconds(1000);

Milliseconds AssumedAge(Milliseconds switch_within, Milliseconds start_grace)
{
  return std::max(switch_within - start_grace, Milliseconds(0));
}

void NamingWatch::Begin(TimePoint now)
{
  if (!m_began)
    m_began = now;
}

void NamingWatch::OnListAsked(TimePoint now)
{
  m_list_asked = now;
}

void NamingWatch::OnListAnswered(TimePoint now)
{
  m_list_took = now - m_list_asked.value_or(now);
  m_list_asked.reset();
}

void NamingWatch::OnOperatorAsked(bool is_newest, TimePoint now)
{
  m_operator_asked = now;
  m_may_have_missed = is_newest || m_has_failed || m_told_until > m_read_until;
}

void NamingWatch::OnOperatorFailed(TimePoint now)
{
  m_has_failed = true;
  // A platform that refuses requests immediately is down, and nothing is named meanwhile. A
  // platform that does not respond may be behind a saturated link.
  if (m_told_until && now - m_operator_asked < ANSWER_DELAY_MOST)
    OnToldAll(m_operator_asked);
}

void NamingWatch::OnOperatorAnswered(TimePoint now)
{
  m_has_failed = false;
  OnToldAll(now - AnswerDelay(now));
  m_read_until = m_told_until;
}

void NamingWatch::OnToldAll(TimePoint until)
{
  // A process that has received no announcement since this process began has no information about
  // namings that this process may have missed.
  if (m_began && until < *m_began)
    return;
  m_told_until = std::max(m_told_until.value_or(until), until);
}

Duration NamingWatch::AnswerDelay(TimePoint now) const
{
  const Duration open = now - m_list_asked.value_or(now);
  return std::min(std::max(m_list_took, open), ANSWER_DELAY_MOST);
}

KnownSince NamingWatch::SinceOfRead(TimePoint now) const
{
  const TimePoint written = now - AnswerDelay(now);
  if (!m_may_have_missed)
    return {written};
  if (!m_told_until)
    return {m_began.value_or(now) - m_assumed_age, true};
  if (now - *m_told_until <= TAKE_OVER_MOST)
    return {std::min(*m_told_until, written)};
  return {std::max(*m_told_until, now - m_assumed_age), true};
}
} // namespace Holdpost::Control
