// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/WaitLimit.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

TEST_CASE("A request waits only for the time in which capacity may be expected to become free")
{
  static constexpr Milliseconds PASS = Milliseconds(46);
  static constexpr Milliseconds START_GOAL = Milliseconds(280);
  TargetSummary summary;
  summary.listed = 4;
  SUBCASE("it waits for one pass while targets are full or have failed recently")
  {
    summary.open = 1;
    summary.switching = 3;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == PASS);
    summary.open = 0;
    summary.avoided = 1;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == PASS);
  }
  SUBCASE("it waits longer while all targets load weights, but can still begin in time afterwards")
  {
    summary.switching = 4;
    summary.switching_capacity = 2;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) > PASS);
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) < START_GOAL);
  }
  SUBCASE("only as many requests wait as the targets that load weights can run afterwards")
  {
    summary.switching = 4;
    summary.switching_capacity = 2;
    CHECK(MaxWait(summary, 2, PASS, START_GOAL) > PASS);
    CHECK(MaxWait(summary, 3, PASS, START_GOAL) == Milliseconds(0));
  }
  // A delayed push: 150 gateways wait for 1 target with 8 slots, out of 200 targets.
  SUBCASE(
      "it does not wait for a single target that loads weights while all others have old weights")
  {
    summary.listed = 200;
    summary.old_weights = 199;
    summary.switching = 1;
    summary.switching_capacity = 8.0 / 150;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("it does not wait when nothing is about to change")
  {
    summary.old_weights = 3;
    summary.leaving = 1;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("it waits for one pass after a start, before any target or its load is known")
  {
    summary.listed = 0;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == PASS);
    summary.listed = 4;
    summary.unreported = 4;
    CHECK(MaxWait(summary, 1, PASS, START_GOAL) == PASS);
  }
}

TEST_CASE("A request waits for weights that are loaded in time for its caller")
{
  TargetSummary summary;
  summary.listed = 4;
  summary.old_weights = 4;
  CHECK_FALSE(MayAwaitWeights(summary, Milliseconds(6000)));
  // Nothing arrives.
  summary.weights.first_in = Milliseconds(2000);
  CHECK_FALSE(MayAwaitWeights(summary, Milliseconds(6000)));
  summary.weights.enough_in = Milliseconds(2000);
  CHECK(MayAwaitWeights(summary, Milliseconds(2500)));
  CHECK_FALSE(MayAwaitWeights(summary, Milliseconds(2100)));
  CHECK_FALSE(MayKeepAwaitingWeights(summary, Milliseconds(2100)));
  SUBCASE("but not if a target has usable weights")
  {
    summary.open = 1;
    CHECK_FALSE(MayAwaitWeights(summary, Milliseconds(2500)));
    SUBCASE("unless it has waited so far")
    {
      CHECK(MayKeepAwaitingWeights(summary, Milliseconds(500)));
      CHECK_FALSE(MayKeepAwaitingWeights(summary, Milliseconds(100)));
    }
  }
}

TEST_CASE("The reason of a refusal shows whether targets lack capacity or weights")
{
  TargetSummary summary;
  summary.listed = 4;
  summary.open = 1;
  summary.switching = 3;
  CHECK(RefusalReason(summary) == Common::ErrorKind::QueueFull);
  summary.open = 0;
  CHECK(RefusalReason(summary) == Common::ErrorKind::NoWeights);
  summary.switching = 0;
  summary.old_weights = 3;
  CHECK(RefusalReason(summary) == Common::ErrorKind::NoWeights);
  summary.avoided = 1;
  CHECK(RefusalReason(summary) == Common::ErrorKind::QueueFull);
  CHECK(RefusalReason({}) == Common::ErrorKind::QueueFull);
}
