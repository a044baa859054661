// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <memory>
#include <string>

#include "Common/Error.h"
#include "Core/Control/ControlFollower.h"

namespace Holdpost::Testing
{
inline constexpr Common::TimePoint FOLLOWER_START{std::chrono::hours(1)};

inline Control::OperatorChanges MakeRead(Settings::DocumentVersion version, Control::Position next)
{
  auto document = std::make_shared<Settings::Document>();
  document->version = version;
  return {document, Common::MakeBytes("text"), {}, next};
}

inline Gateway::ListedTarget MakeTarget(const std::string& id)
{
  Gateway::ListedTarget target;
  target.id = id;
  return target;
}

// A follower with a simulated clock, which advances only through Run, Tick or by assignment. Its
// process runs while Run or Tick advances the clock, and is suspended while a test sets it forward.
struct FollowerFixture
{
  Control::ControlFollower follower{{Common::Milliseconds(600), Common::Milliseconds(2500)}, 1};
  Common::TimePoint now = FOLLOWER_START;
  Control::Actions actions;

  void Run(Common::Duration time)
  {
    static constexpr Common::Duration MAX_STEP = Common::Milliseconds(250);
    for (; time > MAX_STEP; time -= MAX_STEP)
      follower.OnRunning(now += MAX_STEP);
    follower.OnRunning(now += time);
  }
  void Tick(Common::Duration time = Common::Milliseconds(0))
  {
    Run(time);
    follower.OnTick(now, &actions);
  }
};
} // namespace Holdpost::Testing
