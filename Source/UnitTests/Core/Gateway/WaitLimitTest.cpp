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
  TargetSummary survey;
  survey.listed = 4;
  SUBCASE("it waits for one pass while targets are full or have failed recently")
  {
    survey.open = 1;
    survey.switching = 3;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == PASS);
    survey.open = 0;
    survey.avoided = 1;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == PASS);
  }
  SUBCASE("it waits longer while all targets load weights, but can still begin in time afterwards")
  {
    survey.switching = 4;
    survey.switching_capacity = 2;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) > PASS);
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) < START_GOAL);
  }
  SUBCASE("only as many requests wait as the targets that load weights can run afterwards")
  {
    survey.switching = 4;
    survey.switching_capacity = 2;
    CHECK(MaxWait(survey, 2, PASS, START_GOAL) > PASS);
    CHECK(MaxWait(survey, 3, PASS, START_GOAL) == Milliseconds(0));
  }
  // A delayed push: 150 gateways wait for 1 target with 8 slots, out of 200 targets.
  SUBCASE(
      "it does not wait for a single target that loads weights while all others have old weights")
  {
    survey.listed = 200;
    survey.old_weights = 199;
    survey.switching = 1;
    survey.switching_capacity = 8.0 / 150;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("it does not wait when nothing is about to change")
  {
    survey.old_weights = 3;
    survey.leaving = 1;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("it waits for one pass after a start, before any target or its load is known")
  {
    survey.listed = 0;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == PASS);
    survey.listed = 4;
    survey.unreported = 4;
    CHECK(MaxWait(survey, 1, PASS, START_GOAL) == PASS);
  }
}

TEST_CASE("The reason of a refusal shows whether targets lack capacity or weights")
{
  TargetSummary survey;
  survey.listed = 4;
  survey.open = 1;
  survey.switching = 3;
  CHECK(RefusalReason(survey) == Common::ErrorKind::QueueFull);
  survey.open = 0;
  CHECK(RefusalReason(survey) == Common::ErrorKind::NoWeights);
  survey.switching = 0;
  survey.old_weights = 3;
  CHECK(RefusalReason(survey) == Common::ErrorKind::NoWeights);
  survey.avoided = 1;
  CHECK(RefusalReason(survey) == Common::ErrorKind::QueueFull);
  CHECK(RefusalReason({}) == Common::ErrorKind::QueueFull);
}
