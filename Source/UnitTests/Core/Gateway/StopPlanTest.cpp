// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/StopPlan.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
}

// Regression: with 3 s to stop, requests were accepted until the process ended.
TEST_CASE("A planned stop with little time accepts new requests for a part of it only")
{
  for (const Milliseconds within : {Milliseconds(1000), Milliseconds(3000), Milliseconds(8000)})
  {
    CAPTURE(within.count());
    StopPlan plan(within);
    plan.RequestStop(START);
    CHECK(plan.Accepts(START + within / 4));
    CHECK_FALSE(plan.Accepts(START + within / 2));
    REQUIRE(plan.AnswersDue().has_value());
    CHECK_FALSE(plan.Accepts(*plan.AnswersDue()));
  }
  // Callers learn of a stop no later where it may take longer.
  StopPlan patient(Milliseconds(60000));
  patient.RequestStop(START);
  CHECK_FALSE(patient.Accepts(START + Milliseconds(3000)));
}

TEST_CASE("A planned stop")
{
  StopPlan plan(Milliseconds(8000));
  CHECK(plan.PhaseAt(START, 3) == StopPhase::Serving);
  plan.RequestStop(START);

  SUBCASE("still serves new requests until callers have seen that the ready check fails")
  {
    CHECK(plan.PhaseAt(START, 0) == StopPhase::Leaving);
    CHECK(plan.PhaseAt(START + Milliseconds(2700), 0) == StopPhase::Leaving);
  }
  SUBCASE("accepts nothing new 3 s after the request to stop, even if its signal was late")
  {
    CHECK(plan.PhaseAt(START + Milliseconds(2850), 1) == StopPhase::Draining);
  }
  SUBCASE("ends when the last answer has ended")
  {
    CHECK(plan.PhaseAt(START + Milliseconds(5000), 1) == StopPhase::Draining);
    CHECK(plan.PhaseAt(START + Milliseconds(5000), 0) == StopPhase::Ended);
  }
  SUBCASE("wants the last answers before it ends")
  {
    CHECK_FALSE(StopPlan(Milliseconds(8000)).AnswersDue().has_value());
    REQUIRE(plan.AnswersDue() < START + Milliseconds(7700));
    CHECK(plan.PhaseAt(*plan.AnswersDue() + Milliseconds(100), 1) == StopPhase::Draining);
  }
  SUBCASE("ends before the process is killed")
  {
    CHECK(plan.PhaseAt(START + Milliseconds(7800), 1) == StopPhase::Ended);
  }
  SUBCASE("is not delayed by a second request to stop")
  {
    plan.RequestStop(START + Milliseconds(2000));
    CHECK(plan.PhaseAt(START + Milliseconds(2850), 1) == StopPhase::Draining);
  }
}
