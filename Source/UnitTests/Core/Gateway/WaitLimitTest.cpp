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
    CHECK(WaitMost(survey, PASS, START_GOAL) == PASS);
    survey.open = 0;
    survey.avoided = 1;
    CHECK(WaitMost(survey, PASS, START_GOAL) == PASS);
  }
  SUBCASE("longer while all load weights, and still in time to begin after it")
  {
    survey.switching = 4;
    CHECK(WaitMost(survey, PASS, START_GOAL) > PASS);
    CHECK(WaitMost(survey, PASS, START_GOAL) < START_GOAL);
  }
  SUBCASE("not at all when nothing is about to change")
  {
    survey.old_weights = 3;
    survey.leaving = 1;
    CHECK(WaitMost(survey, PASS, START_GOAL) == Milliseconds(0));
  }
  SUBCASE("a moment after a start, before any target is known")
  {
    survey.listed = 0;
    CHECK(WaitMost(survey, PASS, START_GOAL) == PASS);
  }
}
