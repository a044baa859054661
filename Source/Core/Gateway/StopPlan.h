// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "Common/Types.h"

// The steps of a planned stop: callers are told by the ready check first, then new requests are
// refused, and the process ends when the last answer is out or its time is over.
namespace Holdpost::Gateway
{
enum class StopPhase
{
  Serving,
  // Not ready, but requests that still come are served.
  Leaving,
  // New requests are refused, and idle connections are closed.
  Draining,
  Ended,
};

class StopPlan
{
public:
  // `within`: the process is killed so long after it was asked to stop.
  explicit StopPlan(Common::Duration within) : m_within(within) {}

  void SetWithin(Common::Duration within) { m_within = within; }
  // A second demand changes nothing.
  void Ask(Common::TimePoint now)
  {
    if (!m_asked)
      m_asked = now;
  }
  bool IsAsked() const { return m_asked.has_value(); }
  StopPhase PhaseAt(Common::TimePoint now, std::size_t open_requests) const
  {
    if (!m_asked)
      return StopPhase::Serving;
    const Common::Duration elapsed = now - *m_asked;
    if (elapsed >= m_within - END_MARGIN)
      return StopPhase::Ended;
    if (elapsed < TAKES_FOR)
      return StopPhase::Leaving;
    return open_requests == 0 ? StopPhase::Ended : StopPhase::Draining;
  }

private:
  // Callers need this long to see that the process is not ready, and what is taken by then still
  // has most of the time to end.
  static constexpr Common::Milliseconds TAKES_FOR = Common::Milliseconds(2800);
  static constexpr Common::Milliseconds END_MARGIN = Common::Milliseconds(300);

  Common::Duration m_within;
  std::optional<Common::TimePoint> m_asked;
};
} // namespace Holdpost::Gateway
