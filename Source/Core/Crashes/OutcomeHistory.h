// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "Common/Types.h"

// How the requests of this process ended lately: answered whole, or lost with an engine that ended.
// Tells how probable it is that a request is lost with an engine by coincidence.
namespace Holdpost::Crashes
{
// Identifies one start of one engine, the same in all processes.
using EngineRun = std::uint64_t;

class OutcomeHistory
{
public:
  void OnAnswered(Common::TimePoint at);
  void OnLost(EngineRun engine, Common::TimePoint at);
  // The estimated probability that a request was lost since the time with an engine for which
  // `is_counted` holds. Empty if too few requests have ended since to tell.
  std::optional<double> LossShare(Common::TimePoint since,
                                  const std::function<bool(EngineRun)>& is_counted) const;

private:
  struct Lost
  {
    EngineRun engine;
    Common::TimePoint at;
  };
  // Whole answers within one period.
  struct Answers
  {
    Common::TimePoint begin;
    std::size_t count = 0;
  };

  void Forget(Common::TimePoint now);

  std::deque<Lost> m_lost;
  std::deque<Answers> m_answers;
};
} // namespace Holdpost::Crashes
