// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <optional>

#include "Common/Types.h"

// The phases of a planned stop. First the ready check fails, so that callers learn of the stop;
// then new requests are refused; the process ends when the last answer is sent or its time is over.
namespace Holdpost::Gateway
{
enum class StopPhase
{
  Serving,
  // The ready check fails, but requests that still arrive are served.
  Leaving,
  // New requests are refused, and idle connections are closed.
  Draining,
  Ended,
};

class StopPlan
{
public:
  // `within` is the time between the request to stop and the forced kill of the process.
  explicit StopPlan(Common::Duration within) : m_stop_within(within) {}

  void SetStopWithin(Common::Duration within) { m_stop_within = within; }
  // Records the request to stop; a second request changes nothing.
  void RequestStop(Common::TimePoint now)
  {
    if (!m_stop_requested_at)
      m_stop_requested_at = now;
  }
  bool IsStopRequested() const { return m_stop_requested_at.has_value(); }
  // Whether requests that arrive now are served.
  bool Accepts(Common::TimePoint now) const
  {
    return !m_stop_requested_at || now - *m_stop_requested_at < AcceptPeriod();
  }
  // By when each request has to have its final answer, so that it leaves before the process ends;
  // empty without a request to stop.
  std::optional<Common::TimePoint> AnswersDue() const
  {
    if (!m_stop_requested_at)
      return std::nullopt;
    return *m_stop_requested_at + m_stop_within - END_MARGIN - SEND_MARGIN;
  }
  // `open_answers` counts requests without a whole answer, and answers of which callers have yet to
  // take bytes.
  StopPhase PhaseAt(Common::TimePoint now, std::size_t open_answers) const
  {
    if (!m_stop_requested_at)
      return StopPhase::Serving;
    const Common::Duration elapsed = now - *m_stop_requested_at;
    if (elapsed >= m_stop_within - END_MARGIN)
      return StopPhase::Ended;
    if (Accepts(now))
      return StopPhase::Leaving;
    return open_answers == 0 ? StopPhase::Ended : StopPhase::Draining;
  }

private:
  // Time in which new requests are still accepted: callers need it to see that the ready check
  // fails, and a request that is accepted in it still has most of the stop time to end.
  Common::Duration AcceptPeriod() const
  {
    return std::min<Common::Duration>(MAX_ACCEPT_PERIOD, m_stop_within * MAX_ACCEPT_PERCENT / 100);
  }

  static constexpr Common::Milliseconds MAX_ACCEPT_PERIOD = Common::Milliseconds(2800);
  static constexpr int MAX_ACCEPT_PERCENT = 35;
  static constexpr Common::Milliseconds END_MARGIN = Common::Milliseconds(300);
  // Time in which callers take the answers that were due.
  static constexpr Common::Milliseconds SEND_MARGIN = Common::Milliseconds(200);

  Common::Duration m_stop_within;
  std::optional<Common::TimePoint> m_stop_requested_at;
};
} // namespace Holdpost::Gateway
