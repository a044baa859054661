// SPDX-License-Identifier: Apache-2.0
#include <map>

#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

using Fixture = TableTesting::TargetTableFixture;

TEST_CASE("The target that would start the request first is chosen")
{
  Fixture f;
  f.table.OnLoadReport(MakeLoad(f.one, 16), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 3), f.now);
  CHECK(f.Choose()->id == "2");

  SUBCASE("requests that this gateway sent after the report are added to the reported load")
  {
    for (std::uint64_t i = 0; i < 16; ++i)
      f.table.OnDispatched("2", i, 1000, Milliseconds(100), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("a target that was tried already is left out")
  {
    CHECK(f.Choose({"llm", 1000, 100, {"2"}, {}})->id == "1");
    CHECK_FALSE(f.Choose({"llm", 1000, 100, {"1", "2"}, {}}).has_value());
  }
  SUBCASE("a leaving one gets nothing")
  {
    f.two.state = TargetState::Leaving;
    f.table.SetList({f.one, f.two}, f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("a target that switches to other weights gets nothing")
  {
    TargetLoad load = MakeLoad(f.two, 0);
    load.is_switching = true;
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("a target without weights gets nothing")
  {
    f.two.weights_version = 0;
    f.table.SetList({f.one, f.two}, f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("a target that left the list is not chosen, and is removed when its last request ends")
  {
    f.table.OnDispatched("2", 1, 1000, Milliseconds(100), f.now);
    f.table.SetList({f.one}, f.now);
    CHECK(f.Choose()->id == "1");
    CHECK(f.table.Size() == 2);
    f.table.OnEnded("2", 1, 0);
    CHECK(f.table.Size() == 1);
  }
}

TEST_CASE("A target in another hall is chosen only if it is faster by more than the penalty")
{
  TargetTable table("here");
  const ListedTarget same_hall = MakeTarget("1");
  const ListedTarget other_hall = MakeTarget("2", "there");
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList({same_hall, other_hall}, START);
  table.OnLoadReport(MakeLoad(same_hall, 8), START);
  table.OnLoadReport(MakeLoad(other_hall, 8), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START)->id == "1");
  table.OnLoadReport(MakeLoad(same_hall, 17), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START)->id == "2");
}

TEST_CASE("Without reports on a target, each other gateway is assumed to send as much as this one")
{
  Fixture f;
  f.table.SetGateways({7, 7});
  f.table.OnLoadReport(MakeLoad(f.two, 5), f.now);
  for (std::uint64_t i = 0; i < 3; ++i)
    f.table.OnDispatched("1", i, 0, Milliseconds(100), f.now);
  // If each of the seven gateways sent three requests, the target has 21: more than its slots.
  CHECK(f.Choose()->id == "2");
}

TEST_CASE("A target that answers late is chosen less often")
{
  Fixture f;
  f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 4), f.now);
  REQUIRE(f.Choose()->id == "1");
  f.table.OnDispatched("1", 7, 1000, Milliseconds(150), f.now);

  SUBCASE("while its answer is overdue")
  {
    f.now += Milliseconds(600);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("for some time after the late answer arrived")
  {
    f.now += Milliseconds(900);
    f.table.OnStarted("1", 7, 1000, f.now);
    f.table.OnEnded("1", 7, 0);
    f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 4), f.now);
    CHECK(f.Choose()->id == "2");
    f.now += Milliseconds(15000);
    f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("not after its answer arrived on time")
  {
    f.now += Milliseconds(120);
    f.table.OnStarted("1", 7, 1000, f.now);
    f.table.OnEnded("1", 7, 0);
    f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
}

TEST_CASE("The network delay to a target adds to its expected start")
{
  Fixture f;
  TargetLoad delayed = MakeLoad(f.one, 0);
  SUBCASE("as the round-trip time of messages and reports shows it")
  {
    delayed.round_trip = Milliseconds(1700);
  }
  SUBCASE("as the target's agent expects it")
  {
    delayed.inbound_delay = Milliseconds(1700);
  }
  f.table.OnLoadReport(delayed, f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  CHECK(f.Choose()->id == "2");
}

TEST_CASE("A target that failed is avoided, for longer after each consecutive failure")
{
  Fixture f;
  f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 10), f.now);
  f.table.OnFailed("1", f.now);
  CHECK(f.Choose()->id == "2");
  CHECK(f.table.Choose({"llm", 1000, 100, {}, {}}, f.now + Milliseconds(300))->id == "1");
  f.table.OnFailed("1", f.now);
  CHECK(f.table.Choose({"llm", 1000, 100, {}, {}}, f.now + Milliseconds(300))->id == "2");
}

TEST_CASE("A target whose agent has stopped reporting may be disconnected")
{
  Fixture f;
  f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
  f.now += Milliseconds(900);
  f.table.OnLoadReport(MakeLoad(f.two, 8), f.now);
  SUBCASE("another target is preferred")
  {
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("it is used if the other target is full")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 30), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("after a request could not be sent to it, it is avoided until its agent reports again")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 30), f.now);
    f.table.OnFailed("1", f.now);
    f.now += Milliseconds(700);
    f.table.OnLoadReport(MakeLoad(f.two, 30), f.now);
    CHECK(f.Choose()->id == "2");
    f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
}

// It may have loaded bad weights, of which only its agent can tell.
TEST_CASE("A target whose agent fell silent within a switch is used only if no other serves")
{
  Fixture f;
  TargetLoad load = MakeLoad(f.one, 0);
  load.is_switching = true;
  f.table.OnLoadReport(load, f.now);
  const auto report_full = [&](Milliseconds later)
  {
    f.now += later;
    f.table.OnLoadReport(MakeLoad(f.two, 60), f.now);
  };
  SUBCASE("for some seconds, though the other one is full")
  {
    report_full(Milliseconds(2500));
    CHECK(f.Choose()->id == "2");
    report_full(Milliseconds(7000));
    CHECK(f.Choose()->id == "2");
    report_full(Milliseconds(1000));
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("the other one falls silent, too")
  {
    report_full(Milliseconds(500));
    f.now += Milliseconds(2500);
    CHECK(f.Choose({"llm", 1000, 100, {"2"}, {}})->id == "1");
  }
  SUBCASE("the other one switches, too")
  {
    f.now += Milliseconds(2500);
    TargetLoad other = MakeLoad(f.two, 0);
    other.is_switching = true;
    f.table.OnLoadReport(other, f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("until its agent reports the end of the switch")
  {
    report_full(Milliseconds(2500));
    load.is_switching = false;
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "1");
  }
}

// The agent that saw the switch begin was killed; the next one does not know of it.
TEST_CASE("A target whose agent started anew within a switch is used only if no other serves")
{
  Fixture f;
  f.one.incarnation = 1;
  f.table.SetList({f.one, f.two}, f.now);
  TargetLoad load = MakeLoad(f.one, 0);
  load.incarnation = 1;
  load.is_switching = true;
  f.table.OnLoadReport(load, f.now);
  load.is_switching = false;
  load.is_load_unchecked = true;
  const auto report_both = [&](Milliseconds later)
  {
    f.now += later;
    f.table.OnLoadReport(load, f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 60), f.now);
  };
  report_both(Milliseconds(500));
  CHECK(f.Choose()->id == "2");
  SUBCASE("for some seconds, though the other one is full")
  {
    report_both(Milliseconds(9900));
    CHECK(f.Choose()->id == "2");
    report_both(Milliseconds(200));
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("the other one may not begin requests with its old weights any more")
  {
    load.weights_version = 2;
    report_both(Milliseconds(100));
    TargetQuery query{"llm", 1000, 100, {}, {{2, f.now - Milliseconds(1)}}};
    CHECK(f.Choose(query)->id == "1");
    query.weights = {{2, f.now + Milliseconds(60000)}};
    CHECK(f.Choose(query)->id == "2");
  }
  SUBCASE("the other one fails")
  {
    f.table.OnFailed("2", f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("until the agent has checked the load")
  {
    load.is_load_unchecked = false;
    report_both(Milliseconds(500));
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("until the target has started anew")
  {
    load.incarnation = 2;
    report_both(Milliseconds(500));
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("the agent of the other one started anew within a switch, too")
  {
    TargetLoad other = MakeLoad(f.two, 0);
    other.is_switching = true;
    f.table.OnLoadReport(other, f.now);
    other.is_switching = false;
    other.is_load_unchecked = true;
    f.table.OnLoadReport(other, f.now);
    CHECK(f.Choose({"llm", 1000, 100, {"2"}, {}})->id == "1");
  }
}

TEST_CASE("A target whose load is not checked is used if no switch was reported before")
{
  Fixture f;
  TargetLoad load = MakeLoad(f.one, 0);
  load.is_load_unchecked = true;
  f.table.OnLoadReport(load, f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 60), f.now);
  CHECK(f.Choose()->id == "1");
}
