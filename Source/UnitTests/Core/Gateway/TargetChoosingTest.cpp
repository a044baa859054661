// SPDX-License-Identifier: Apache-2.0
#include <map>

#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

using Fixture = TableTesting::TargetTableFixture;

TEST_CASE("A target with old weights is used only if the request starts before the switch deadline")
{
  Fixture f;
  f.two.weights_version = 2;
  f.table.SetList({f.one, f.two}, f.now);
  f.table.OnLoadReport(MakeLoad(f.one, 0), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 16), f.now);
  const auto choose_before = [&](Milliseconds left) {
    return f.Choose({"llm", 1000, 100, {}, {{2, f.now + left}}});
  };
  CHECK(choose_before(Milliseconds(5000))->id == "1");
  // A request that could start too late is sent to the target with the newer weights, though this
  // target is busier.
  CHECK(choose_before(Milliseconds(250))->id == "2");
  CHECK(choose_before(Milliseconds(650))->id == "2");
  // Before that, the idle target is used: a request may start there after twice the expected time
  // plus a margin for the requests of other gateways.
  CHECK(choose_before(Milliseconds(750))->id == "1");
  CHECK(choose_before(Milliseconds(-100))->id == "2");

  SUBCASE("without a recent report nothing is sent to a target in the last seconds before the "
          "switch deadline")
  {
    f.now += Milliseconds(600);
    f.table.OnLoadReport(MakeLoad(f.two, 20), f.now);
    CHECK(choose_before(Milliseconds(1500))->id == "2");
    CHECK(choose_before(Milliseconds(5000))->id == "1");
  }
  SUBCASE("the time is longer if no report came for seconds: requests may be in transit as long")
  {
    f.now += Milliseconds(2100);
    f.table.OnLoadReport(MakeLoad(f.two, 20), f.now);
    CHECK(choose_before(Milliseconds(3500))->id == "2");
    CHECK(choose_before(Milliseconds(9000))->id == "1");
  }
  SUBCASE("an earlier switch deadline holds beside a later one")
  {
    const TargetQuery query{"llm", 1000, 100, {}, {{2, f.now}, {3, f.now + Milliseconds(3000)}}};
    CHECK(f.Choose(query)->id == "2");
  }
}

TEST_CASE("A target with a planned switch is expensive for requests that would delay the switch")
{
  Fixture f;
  TargetLoad load = MakeLoad(f.one, 0);
  load.switch_in = Milliseconds(400);
  f.table.OnLoadReport(load, f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 6), f.now);
  CHECK(f.Choose({"llm", 100, 5, {}, {}})->id == "1");
  CHECK(f.Choose({"llm", 100, 200, {}, {}})->id == "2");

  SUBCASE("it is still used for them when the other targets are full")
  {
    f.table.OnLoadReport(MakeLoad(f.two, 40), f.now);
    CHECK(f.Choose({"llm", 100, 200, {}, {}})->id == "1");
  }
}

TEST_CASE("Unprocessed prompts of other gateways delay a request")
{
  Fixture f;
  TargetLoad many_unread = MakeLoad(f.one, 4);
  many_unread.unread_prompt_tokens = 8000;
  f.table.OnLoadReport(many_unread, f.now);
  TargetLoad none_unread = MakeLoad(f.two, 10);
  none_unread.unread_prompt_tokens = 0;
  f.table.OnLoadReport(none_unread, f.now);
  CHECK(f.Choose()->id == "2");
  CHECK(f.Choose()->expected_start < Milliseconds(200));

  SUBCASE("until they have been processed")
  {
    f.now += Milliseconds(1400);
    CHECK(f.Choose()->id == "1");
  }
  SUBCASE("prompts that this gateway sent after the report are added")
  {
    f.table.OnDispatched("2", 1, 9000, Milliseconds(100), f.now);
    CHECK(f.Choose()->id == "1");
    CHECK(f.table.WorkAt("2") == GatewayWork{1, 9000});
    f.table.OnStarted("2", 1, 9000, f.now);
    CHECK(f.table.WorkAt("2") == GatewayWork{1, 0});
    f.table.OnEnded("2", 1, 0);
    CHECK(f.table.WorkAt("2") == GatewayWork{});
  }
}

TEST_CASE("Each of many gateways that see the same free capacity sends its share of requests")
{
  Fixture f;
  f.table.SetGateways({40, 40});
  // One target has capacity for about two more requests, the other has none.
  f.table.OnLoadReport(MakeLoad(f.one, 60), f.now);
  f.table.OnLoadReport(MakeLoad(f.two, 15), f.now);
  f.table.OnArrival("llm", f.now);
  TargetQuery query{"llm", 1000, 100, {}, {}, 1, Milliseconds(400)};
  // Enough queries to measure a share to within a few hundredths.
  static constexpr int QUERIES = 4000;
  const auto count_sent = [&]
  {
    int sent = 0;
    for (int i = 0; i < QUERIES; ++i)
      sent += f.Choose(query).has_value() ? 1 : 0;
    return sent;
  };
  CHECK(count_sent() < QUERIES / 4);

  SUBCASE("a single gateway may send all requests")
  {
    f.table.SetGateways({1, 1});
    CHECK(count_sent() == QUERIES);
  }
  SUBCASE("small requests are admitted more often, and some large ones still are")
  {
    const int usual = count_sent();
    query.prompt_tokens = 100;
    query.answer_tokens = 20;
    const int small = count_sent();
    CHECK(small > 1.5 * usual);
    query.prompt_tokens = 2500;
    query.answer_tokens = 400;
    const int large = count_sent();
    CHECK(large < 0.8 * usual);
    CHECK(large > 0);
  }
  SUBCASE("a gateway that refuses a larger share than the others sends more")
  {
    const int usual = count_sent();
    for (int i = 0; i < 20; ++i)
    {
      f.table.OnArrival("llm", f.now);
      f.table.OnRefused("llm", f.now);
    }
    TargetLoad load = MakeLoad(f.two, 15);
    load.demand = {800, 0, 0.3};
    f.table.OnLoadReport(load, f.now);
    CHECK(count_sent() > 1.5 * usual);
  }
  SUBCASE("a request without a maximum start time is always admitted")
  {
    query.max_start.reset();
    CHECK(count_sent() == QUERIES);
  }
}

TEST_CASE("A target in another hall whose report is old is assumed to be as busy as the others")
{
  TargetTable table("here");
  const ListedTarget same_hall = MakeTarget("1");
  const ListedTarget other_hall = MakeTarget("2", "there");
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList({same_hall, other_hall}, START);
  table.OnLoadReport(MakeLoad(other_hall, 0), START);
  const auto chosen = [&](Common::TimePoint now)
  {
    table.OnLoadReport(MakeLoad(same_hall, 16), now);
    return table.Choose({"llm", 1000, 100, {}, {}}, now)->id;
  };
  CHECK(chosen(START + Milliseconds(100)) == "2");
  CHECK(chosen(START + Milliseconds(600)) == "1");

  SUBCASE("it is used when nothing else can start the request soon")
  {
    table.OnLoadReport(MakeLoad(same_hall, 24), START + Milliseconds(610));
    CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START + Milliseconds(610))->id == "2");
  }
}

TEST_CASE("Other halls are needed while nothing in this hall can start a request soon")
{
  TargetTable table("here");
  const ListedTarget same_hall = MakeTarget("1");
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList({same_hall, MakeTarget("2", "there")}, START);
  table.OnLoadReport(MakeLoad(same_hall, 8), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START));
  CHECK(!table.NeedsOtherHalls(START));
  table.OnLoadReport(MakeLoad(same_hall, 20), START);
  CHECK(table.Choose({"llm", 1000, 100, {}, {}}, START));
  CHECK(table.NeedsOtherHalls(START));
  CHECK(!table.NeedsOtherHalls(START + Milliseconds(5000)));
}

TEST_CASE("Targets outside the gateway's subset are used when no target of the subset is open")
{
  TargetTable table("here", 7);
  std::vector<ListedTarget> list;
  for (int i = 0; i < 30; ++i)
  {
    list.push_back(MakeTarget(std::to_string(10 + i), i < 2 ? "here" : "there"));
    list.back().id = "t" + std::to_string(i);
  }
  table.SetEngine("llm", Testing::MakeEngine(16));
  table.SetList(list, START);
  table.SetGateways({60, 2});
  std::vector<Common::Address> used = table.UsedAddresses();
  CHECK(used.size() < 12);
  CHECK(table.IsUsed(list[0].address));
  for (ListedTarget& target : list)
  {
    if (table.IsUsed(target.address))
      target.state = TargetState::Leaving;
  }
  table.SetList(list, START);
  // Leaving targets stay in the subset until they are removed.
  const auto choice = table.Choose({"llm", 1000, 100, {}, {}}, START);
  REQUIRE(choice);
  CHECK(!table.IsUsed(choice->address));
}

TEST_CASE("Gateways that see equally good targets choose different ones")
{
  std::vector<ListedTarget> list;
  for (int i = 0; i < 6; ++i)
  {
    list.push_back(MakeTarget(std::to_string(i)));
    list.back().service = "desk";
    list.back().needs_weights = false;
  }
  std::map<TargetId, int> chosen;
  for (std::uint64_t seed = 0; seed < 60; ++seed)
  {
    TargetTable table("here", seed);
    table.SetList(list, START);
    const TargetId first = table.Choose({"desk", 0, 0, {}, {}}, START)->id;
    // The same target is chosen each time, so that its connection is reused.
    CHECK(table.Choose({"desk", 0, 0, {}, {}}, START)->id == first);
    ++chosen[first];
  }
  CHECK(chosen.size() == 6);
  for (const auto& [id, count] : chosen)
    CHECK(count < 25);
}
