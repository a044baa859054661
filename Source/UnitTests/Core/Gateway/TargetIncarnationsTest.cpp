// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

using Fixture = TableTesting::TargetTableFixture;

TEST_CASE("A target that restarts under its id knows nothing of its earlier incarnation")
{
  Fixture f;
  f.one.incarnation = f.two.incarnation = 1000;
  f.table.SetList({f.one, f.two}, f.now);
  TargetLoad load = MakeLoad(f.one, 3);
  load.incarnation = 1000;
  f.table.OnLoadReport(load, f.now);
  f.table.OnDispatched("1", 7, 1000, Milliseconds(100), f.now);
  f.table.OnFailed("1", f.now);
  REQUIRE(f.table.WorkAt("1").requests == 1);
  ListedTarget again = f.one;
  again.incarnation = 2000;

  SUBCASE("its work, failures and weights are reset")
  {
    again.weights_version = 0;
    f.table.SetList({again, f.two}, f.now);
    CHECK(f.table.WorkAt("1").requests == 0);
    CHECK(f.table.WeightsAt("1") == 0);
    CHECK_FALSE(f.table.IsSameIncarnation("1", 1000));
    CHECK(f.table.SummaryOf({"llm", 1000, 100, {}, {}}, f.now).avoided == 0);
  }
  SUBCASE("also when it was absent from the target list in the meantime")
  {
    f.table.SetList({f.two}, f.now);
    REQUIRE(f.table.Size() == 2);
    f.table.SetList({again, f.two}, f.now);
    CHECK(f.table.WorkAt("1").requests == 0);
    CHECK(f.table.SummaryOf({"llm", 1000, 100, {}, {}}, f.now).avoided == 0);
  }
  SUBCASE("reports on the earlier incarnation are ignored")
  {
    again.weights_version = 0;
    f.table.SetList({again, f.two}, f.now);
    f.table.OnLoadReport(load, f.now);
    CHECK(f.table.WeightsAt("1") == 0);
    f.table.SetList({f.one, f.two}, f.now);
    CHECK(f.table.WeightsAt("1") == 0);
    CHECK(f.table.IsSameIncarnation("1", 2000));
  }
  SUBCASE("a list that has taken the larger incarnation back is followed")
  {
    f.table.SetList({again, f.two}, f.now);
    ListedTarget taken_back = f.one;
    taken_back.superseded_incarnation = 2000;
    taken_back.state = TargetState::Leaving;
    f.table.SetList({taken_back, f.two}, f.now);
    CHECK(f.table.IsSameIncarnation("1", 1000));
    CHECK(f.table.Listed().at(0).state == TargetState::Leaving);
  }
  SUBCASE("but not if the agent has reported a larger one")
  {
    load.incarnation = 3000;
    f.table.OnLoadReport(load, f.now);
    ListedTarget taken_back = f.one;
    taken_back.superseded_incarnation = 2000;
    f.table.SetList({taken_back, f.two}, f.now);
    CHECK(f.table.IsSameIncarnation("1", 3000));
  }
  SUBCASE("its agent may report the new incarnation before the target list names it")
  {
    load.incarnation = 2000;
    load.weights_version = 0;
    f.table.OnLoadReport(load, f.now);
    CHECK(f.table.IsSameIncarnation("1", 2000));
    CHECK(f.table.WeightsAt("1") == 0);
    CHECK(f.table.WorkAt("1").requests == 0);
  }
}

TEST_CASE("An entry of a service that the settings do not name replaces no target at its address")
{
  Fixture f;
  f.table.SetServices({"llm"});
  ListedTarget foreign = f.one;
  foreign.id = "foreign";
  foreign.service = "unknown";
  f.table.SetList({f.one, f.two, foreign}, f.now);
  f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  CHECK(f.Choose()->id == "1");
  CHECK(f.table.FindByAddress(f.one.address) == "1");
}
