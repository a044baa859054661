// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/WaitLimit.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

TEST_CASE("A request waits as long as room may be expected")
{
  static constexpr Milliseconds PASS = Milliseconds(46);
  static constexpr Milliseconds START_GOAL = Milliseconds(280);
  TargetSurvey survey;
  survey.listed = 4;
  SUBCASE("one pass while targets are full, or have failed a moment ago")
  {
    survey.open = 1;
    survey.switching = 3;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == PASS);
    survey.open = 0;
    survey.avoided = 1;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == PASS);
  }
  SUBCASE("longer while all load weights, and still in time to begin after it")
  {
    survey.switching = 4;
    survey.switching_room = 2;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) > PASS);
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) < START_GOAL);
  }
  SUBCASE("but no more of them than these targets can run then")
  {
    survey.switching = 4;
    survey.switching_room = 2;
    CHECK(WaitMost(survey, 2, PASS, START_GOAL) > PASS);
    CHECK(WaitMost(survey, 3, PASS, START_GOAL) == Milliseconds(0));
  }
  // A push that was held up: 150 gateways wait for 1 target of 8 slots out of 200.
  SUBCASE("not for one target that loads, while all others have old weights")
  {
    survey.listed = 200;
    survey.old_weights = 199;
    survey.switching = 1;
    survey.switching_room = 8.0 / 150;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("not at all when nothing is about to change")
  {
    survey.old_weights = 3;
    survey.leaving = 1;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("a moment after a start, before any target is known, or what it has to do")
  {
    survey.listed = 0;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == PASS);
    survey.listed = 4;
    survey.unreported = 4;
    CHECK(WaitMost(survey, 1, PASS, START_GOAL) == PASS);
  }
}

TEST_CASE("A refusal says whether targets lack room or weights")
{
  TargetSurvey survey;
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
