// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/DeadlineTracker.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

TEST_CASE("A deadline shorter than the usual one of its route shows how long the caller has tried")
{
  DeadlineTracker tracker;
  SUBCASE("nothing is estimated before the usual deadline is known")
  {
    CHECK(tracker.OnRequest("chat", Milliseconds(6000)) == Milliseconds(0));
    CHECK(tracker.OnRequest("chat", Milliseconds(4000)) == Milliseconds(0));
  }
  SUBCASE("the time is the difference once the usual deadline is known")
  {
    for (int i = 0; i < 10; ++i)
      CHECK(tracker.OnRequest("chat", Milliseconds(6000)) == Milliseconds(0));
    CHECK(tracker.OnRequest("chat", Milliseconds(4200)) == Milliseconds(1800));
    CHECK(tracker.OnRequest("chat", Milliseconds(5990)) == Milliseconds(0));
    CHECK(tracker.OnRequest("chat", Milliseconds(9000)) == Milliseconds(0));

    SUBCASE("each route has a usual deadline of its own")
    {
      CHECK(tracker.OnRequest("desk", Milliseconds(1000)) == Milliseconds(0));
    }
    SUBCASE("the deadlines of many callers that retry do not become the usual one")
    {
      for (int i = 0; i < 200; ++i)
      {
        tracker.OnRequest("chat", Milliseconds(3800 + 7 * (i % 100)));
        tracker.OnRequest("chat", Milliseconds(6000));
      }
      CHECK(tracker.OnRequest("chat", Milliseconds(4000)) == Milliseconds(2000));
    }
    SUBCASE("a new deadline of all callers soon becomes the usual one")
    {
      for (int i = 0; i < 200; ++i)
        tracker.OnRequest("chat", Milliseconds(3000));
      CHECK(tracker.OnRequest("chat", Milliseconds(3000)) == Milliseconds(0));
    }
  }
}
