// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Runs/Runs.h"

using namespace Holdpost;
using Runs::RunRequest;
using Runs::RunStart;
using Runs::Standing;

TEST_CASE("An agent's account of requests")
{
  Runs::Runs runs;
  runs.SetSlots(2);
  const Membership::ServiceState serving{"assist", {}, true, false, 0, 0};
  const auto make = [](std::uint64_t number, std::uint64_t settled_below = 0)
  {
    RunRequest request;
    request.key = {"entry-1", 7, number};
    request.settled_below = settled_below;
    request.service = "assist";
    return request;
  };
  const auto starts = [&](const RunRequest& request)
  { return std::holds_alternative<RunStart>(runs.OnRequest(request, serving)); };

  SUBCASE("a request starts once, whatever is sent again")
  {
    CHECK(starts(make(1)));
    CHECK_FALSE(starts(make(1)));
    runs.OnEnded({"entry-1", 7, 1});
    CHECK_FALSE(starts(make(1)));
    CHECK(runs.Bar({"entry-1", 7, 1}) == Standing::Ended);
  }
  SUBCASE("a refused request is barred, so that 'not run' stays true")
  {
    CHECK(starts(make(1)));
    CHECK(starts(make(2)));
    CHECK_FALSE(starts(make(3)));
    runs.OnEnded({"entry-1", 7, 1});
    CHECK_FALSE(starts(make(3)));
    CHECK(starts(make(4)));
  }
  SUBCASE("a request that is barred before it comes never starts")
  {
    CHECK(runs.Bar({"entry-1", 7, 9}) == Standing::Barred);
    CHECK_FALSE(starts(make(9)));
  }
  SUBCASE("numbers below the settled ones are refused without being remembered")
  {
    CHECK(starts(make(1)));
    runs.OnEnded({"entry-1", 7, 1});
    CHECK(starts(make(5, 5)));
    CHECK_FALSE(starts(make(1, 5)));
  }
  SUBCASE("a leaving agent starts nothing new")
  {
    CHECK(starts(make(1)));
    runs.Leave();
    CHECK_FALSE(starts(make(2)));
    CHECK(runs.Running() == 1);
    CHECK(runs.CreditsFor("entry-1") == 0);
  }
  SUBCASE("credits follow demand, and every entry keeps one")
  {
    const Common::TimePoint now{std::chrono::hours(1)};
    runs.SetSlots(34);
    runs.OnDemand("entry-1", 30, now);
    runs.OnDemand("entry-2", 0, now);
    CHECK(runs.CreditsFor("entry-1") == 1 + 16 + 8);
    CHECK(runs.CreditsFor("entry-2") == 1 + 8);
    runs.ForgetSilentEntries(now + Common::Seconds(5), Common::Seconds(3));
    CHECK(runs.CreditsFor("entry-3") == 34);
  }
}
