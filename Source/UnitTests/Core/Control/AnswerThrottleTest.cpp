// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Control/AnswerThrottle.h"

using namespace Holdpost;
using Common::Milliseconds;

TEST_CASE("A peer that repeats its request does not receive the same answer again immediately")
{
  const Common::TimePoint start{std::chrono::hours(1)};
  const Common::Address peer{"10.1.0.4", 7700};
  Control::AnswerThrottle throttle;
  CHECK(throttle.TryAcquire(peer, 7, start));
  CHECK_FALSE(throttle.TryAcquire(peer, 7, start + Milliseconds(400)));
  CHECK(throttle.TryAcquire({"10.1.0.5", 7700}, 7, start + Milliseconds(400)));
  // A newer version is sent immediately.
  CHECK(throttle.TryAcquire(peer, 8, start + Milliseconds(500)));
  // The first answer may have been lost.
  CHECK(throttle.TryAcquire(peer, 8, start + Milliseconds(2100)));
}
