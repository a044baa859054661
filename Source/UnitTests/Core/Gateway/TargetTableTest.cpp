// SPDX-License-Identifier: Apache-2.0
#include <map>

#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

using Fixture = TableTesting::TargetTableFixture;

TEST_CASE("The target that would begin first is chosen")
{
  Fixture f;
  f.table.OnLoad(MakeLoad(f.one, 16), f.now);
  f.table.OnLoad(MakeLoad(f.two, 3), f.now);
  CHECK(f.Choose()->id == "2");

  SUBCASE("what was sent since the report counts on top of it")
  {
    for (std::uint64_t i = 0; i < 16; ++i)
      f.table.OnDispatched("2", i, 1000, Milliseconds(100), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("one that was tried is left out")
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
  SUBCASE("one that takes other weights gets nothing")
  {
    TargetLoad load = MakeLoad(f.two, 0);
    load.is_switching = true;
    f.table.OnLoad(load, f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("one without weights gets nothing")
  {
    f.two.weights_version = 0;
    f.table.SetList({f.one, f.two}, f.now);
    f.table.OnLoad(MakeLoad(f.two, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("one that is gone is not offered, and its requests are still counted down")
  {
    f.table.OnDispatched("2", 1, 1000, Milliseconds(100), f.now);
    f.table.SetList({f.one}, f.now);
    CHECK(f.Choose()->id == "1");
    CHECK(f.table.Size() == 2);
    f.table.OnEnded("2", 1, 0);
    CHECK(f.table.Size() == 1);
  }
}

TEST_CASE("A target elsewhere has to be faster by more than the way is worth")
{
  TargetTable table("here");
  const ListedTarget near = MakeTarget("1");
  const ListedTarget far = MakeTarget("2", "there");
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList({near, far}, START);
  table.OnLoad(MakeLoad(near, 8), START);
  table.OnLoad(MakeLoad(far, 8), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START)->id == "1");
  table.OnLoad(MakeLoad(near, 17), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START)->id == "2");
}

TEST_CASE("Without reports of a target the other gateways are taken to send as much")
{
  Fixture f;
  f.table.SetGateways({7, 7});
  f.table.OnLoad(MakeLoad(f.two, 5), f.now);
  for (std::uint64_t i = 0; i < 3; ++i)
    f.table.OnDispatched("1", i, 0, Milliseconds(100), f.now);
  // Three from here may be 21 in all: more than there are slots.
  CHECK(f.Choose()->id == "2");
}

TEST_CASE("A target that answers late is known for it")
{
  Fixture f;
  f.table.OnLoad(MakeLoad(f.one, 0), f.now);
  f.table.OnLoad(MakeLoad(f.two, 4), f.now);
  REQUIRE(f.Choose()->id == "1");
  f.table.OnDispatched("1", 7, 1000, Milliseconds(150), f.now);

  SUBCASE("while its answer is overdue")
  {
    f.now += Milliseconds(600);
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("for a while after it came late")
  {
    f.now += Milliseconds(900);
    f.table.OnStarted("1", 7, 1000, f.now);
    f.table.OnEnded("1", 7, 0);
    f.table.OnLoad(MakeLoad(f.one, 0), f.now);
    f.table.OnLoad(MakeLoad(f.two, 4), f.now);
    CHECK(f.Choose()->id == "2");
    f.now += Milliseconds(15000);
    f.table.OnLoad(MakeLoad(f.one, 0), f.now);
    f.table.OnLoad(MakeLoad(f.two, 16), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("but not when it was on time")
  {
    f.now += Milliseconds(120);
    f.table.OnStarted("1", 7, 1000, f.now);
    f.table.OnEnded("1", 7, 0);
    f.table.OnLoad(MakeLoad(f.one, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
}

TEST_CASE("The way to a target counts")
{
  Fixture f;
  TargetLoad squeezed = MakeLoad(f.one, 0);
  SUBCASE("as hellos and reports took it")
  {
    squeezed.round_trip = Milliseconds(1700);
  }
  SUBCASE("as the agent there expects it")
  {
    squeezed.inbound_delay = Milliseconds(1700);
  }
  f.table.OnLoad(squeezed, f.now);
  f.table.OnLoad(MakeLoad(f.two, 16), f.now);
  CHECK(f.Choose()->id == "2");
}

TEST_CASE("A target that failed is left alone, longer each time in a row")
{
  Fixture f;
  f.table.OnLoad(MakeLoad(f.one, 0), f.now);
  f.table.OnLoad(MakeLoad(f.two, 10), f.now);
  f.table.OnFailed("1", f.now);
  CHECK(f.Choose()->id == "2");
  CHECK(f.table.Choose({"llm", 1000, 100, {}, {}}, f.now + Milliseconds(300))->id == "1");
  f.table.OnFailed("1", f.now);
  CHECK(f.table.Choose({"llm", 1000, 100, {}, {}}, f.now + Milliseconds(300))->id == "2");
}

TEST_CASE("A target whose agent has fallen silent may be cut off")
{
  Fixture f;
  f.table.OnLoad(MakeLoad(f.one, 0), f.now);
  f.now += Milliseconds(900);
  f.table.OnLoad(MakeLoad(f.two, 8), f.now);
  SUBCASE("another one is taken first")
  {
    CHECK(f.Choose()->id == "2");
  }
  SUBCASE("unless that one is full")
  {
    f.table.OnLoad(MakeLoad(f.two, 30), f.now);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("once a request could not be sent there it is left alone, until it reports again")
  {
    f.table.OnLoad(MakeLoad(f.two, 30), f.now);
    f.table.OnFailed("1", f.now);
    f.now += Milliseconds(700);
    f.table.OnLoad(MakeLoad(f.two, 30), f.now);
    CHECK(f.Choose()->id == "2");
    f.table.OnLoad(MakeLoad(f.one, 0), f.now);
    CHECK(f.Choose()->id == "1");
  }
}
