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

// Regression: after an older list named its predecessor again, a target was never used again.
TEST_CASE("A target that is listed again is used, though an older list replaced it meanwhile")
{
  Fixture f;
  f.table.SetList({f.one, f.two}, f.now);
  f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  f.table.SetList({f.two}, f.now);
  REQUIRE(f.Choose()->id == "next");
  f.table.SetList({f.one, f.two}, f.now);
  ListedTarget next = f.one;
  next.id = "next";
  next.incarnation = f.one.incarnation + 1;
  f.table.SetList({f.one, next, f.two}, f.now);
  f.table.OnLoadReport(LoadOfNext(f.one, "next"), f.now);
  CHECK(f.Choose()->id == "next");
  f.table.SetList({next, f.two}, f.now);
  CHECK(f.Choose()->id == "next");
}

// An engine that lacks layers answers with the status by which another target at the address says
// who it is not; it was never used again.
TEST_CASE("A target that was taken for replaced is used again once its agent shows that it runs")
{
  Fixture f;
  f.one.incarnation = 7;
  f.table.SetList({f.one, f.two}, f.now);
  f.table.OnReplaced("1", f.now);
  TargetLoad load = MakeLoad(f.one, 0);
  load.id = "1";
  load.incarnation = 7;
  const Common::TimePoint replaced_at = f.now;
  f.now += Milliseconds(200);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  SUBCASE("by a report of what it answered since")
  {
    load.ran_at = replaced_at + Milliseconds(100);
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("not by a report of what it answered before")
  {
    load.ran_at = replaced_at - Milliseconds(1);
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("not by a report of an age that is not known")
  {
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("not by a report of another target at its address")
  {
    load.id = "next";
    load.ran_at = f.now;
    f.table.OnLoadReport(load, f.now);
    CHECK(f.Choose()->id == "next");
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

TEST_CASE("A listed target that never reports does not hold up requests after its first time")
{
  Fixture f;
  f.table.SetList({f.one, f.two}, f.now);
  f.now += Milliseconds(5000);
  f.table.OnLoadReport(MakeLoad(f.two, 0), f.now);
  const TargetQuery query = {"llm", 1000, 100, {}, {}};
  SUBCASE("the one that reports is preferred, though it has more work")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 4), f.now);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("one request at a time tries it")
  {
    const TargetQuery elsewhere = {"llm", 1000, 100, {"2"}, {}};
    REQUIRE(f.Choose(elsewhere)->id == "1");
    f.table.OnDispatched("1", 7, 1000, Milliseconds(100), f.now);
    CHECK(f.Choose(elsewhere) == std::nullopt);
    CHECK(f.table.SummaryOf(query, f.now).unreported == 1);
    SUBCASE("until it has answered")
    {
      f.table.OnStarted("1", 7, 1000, f.now + Milliseconds(100));
      f.now += Milliseconds(200);
      f.table.OnDispatched("1", 8, 1000, Milliseconds(100), f.now);
      CHECK(f.Choose(elsewhere)->id == "1");
    }
    SUBCASE("it is avoided for 2 s once that request is overdue")
    {
      CHECK(f.table.OnOverdue("1", f.now + Milliseconds(500)));
      f.table.OnEnded("1", 7, 1000);
      f.table.OnLoadReport(MakeLoad(f.two, 0), f.now + Milliseconds(2400));
      f.now += Milliseconds(2400);
      CHECK(f.Choose(elsewhere) == std::nullopt);
      CHECK_FALSE(f.table.OnOverdue("2", f.now));
    }
  }
  SUBCASE("a retry goes to the one that reports")
  {
    ListedTarget three = MakeTarget("3");
    f.table.SetList({f.one, f.two, three}, f.now - Milliseconds(4500));
    f.table.OnLoadReport(MakeLoad(f.two, 12), f.now);
    for (int i = 0; i < 20; ++i)
      CHECK(f.Choose({"llm", 1000, 100, {"3"}, {}})->id == "2");
  }
}

TEST_CASE("A report names the target at an address for which the first list has two")
{
  Fixture f;
  ListedTarget earlier = f.one;
  earlier.id = "earlier";
  TargetTable table{"here"};
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList({earlier, f.one}, f.now);
  table.OnLoadReport(LoadOfNext(f.one, f.one.id), f.now);
  CHECK(table.Listed().size() == 1);
  CHECK(table.FindByAddress(f.one.address) == f.one.id);
}
