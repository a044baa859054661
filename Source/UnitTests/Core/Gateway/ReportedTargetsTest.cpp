// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

using Fixture = TableTesting::TargetTableFixture;

namespace
{
// The load report of the agent at the target's address after an engine with another id has started
// there.
TargetLoad LoadOfNext(const ListedTarget& target, const TargetId& id)
{
  TargetLoad load = MakeLoad(target, 0);
  load.id = id;
  return load;
}
} // namespace

TEST_CASE("A target that restarts under another id is used before the platform lists it")
{
  Fixture f;
  f.table.SetList({f.one, f.two}, f.now);
  f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  REQUIRE(f.Choose()->id == "next");
  CHECK(f.Choose()->address == f.one.address);

  SUBCASE("the earlier target gets nothing, though it is still on the target list")
  {
    f.table.SetList({f.one, f.two}, f.now);
    CHECK(f.Choose({"llm", 1000, 100, {"next", "2"}, {}}) == std::nullopt);
  }
  SUBCASE("it stays when the target list names it, and is removed when the list drops it")
  {
    ListedTarget next = f.one;
    next.id = "next";
    f.table.SetList({next, f.two}, f.now);
    f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
    CHECK(f.Choose()->id == "next");
    f.table.SetList({f.two}, f.now);
    CHECK(f.Choose()->id == "2");
    // The target leaves the list without a further message, and continues to answer in the
    // meantime.
    f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("it is removed if the target list does not name it in time")
  {
    f.now += Milliseconds(6000);
    f.table.SetList({f.two}, f.now);
    f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    CHECK(f.Choose()->id == "2");
  }
}

// After a start of all machines, the target list contains records of engines that have ended.
TEST_CASE(
    "A listed target of which nothing is reported, though others are, gets nothing for a while")
{
  Fixture f;
  f.table.SetList({f.one, f.two}, f.now);
  const TargetQuery query = {"llm", 1000, 100, {}, {}};
  SUBCASE("while no agent reports, all targets are used: their agents may be down")
  {
    CHECK(f.table.SummaryOf(query, f.now).open == 2);
  }
  SUBCASE("it gets no requests once another target is reported, even if that target is busy")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    CHECK(f.table.ReportedCount() == 1);
    CHECK(f.table.SummaryOf(query, f.now).unreported == 1);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("it gets requests after its first report")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
    CHECK(f.table.ReportedCount() == 2);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("it is used without a report once its record would have lapsed: its agent may be down")
  {
    f.now += Milliseconds(5000);
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    CHECK(f.table.SummaryOf(query, f.now).open == 2);
  }
  SUBCASE("it is used when all agents stop reporting")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    f.now += Milliseconds(2500);
    CHECK(f.table.SummaryOf(query, f.now).unreported == 0);
  }
}

TEST_CASE("A load report alone does not add a target")
{
  Fixture f;
  f.table.SetList({f.one, f.two}, f.now);
  SUBCASE("if no target was listed at its address")
  {
    ListedTarget unknown = f.one;
    unknown.address.port = 81;
    f.table.OnLoadReport(LoadOfNext(unknown, "next"), f.now);
    CHECK(f.table.Size() == 2);
  }
  SUBCASE("if its target has left the target list")
  {
    f.table.SetList({f.two}, f.now);
    ListedTarget next = f.one;
    next.id = "3";
    f.table.SetList({next, f.two}, f.now);
    f.table.OnLoadReport(LoadOfNext(f.one, "1"), f.now);
    f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
    CHECK(f.Choose()->id != "1");
  }
  SUBCASE("a report on another target at the address changes nothing about the listed one")
  {
    TargetLoad load = LoadOfNext(f.one, "next");
    load.weights_version = 7;
    f.table.OnLoadReport(load, f.now);
    CHECK(f.table.WeightsAt("1") == 1);
    CHECK(f.table.WeightsAt("next") == 7);
  }
}
