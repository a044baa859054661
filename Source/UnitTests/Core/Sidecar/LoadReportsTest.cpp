// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Mesh/Briefing.h"
#include "Core/Sidecar/Sidecar.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Address;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const Mesh::Sender NEAR{"front-1", "here", {"10.0.0.1", 7700}, 1};
const Mesh::Sender OTHER{"front-2", "here", {"10.0.0.2", 7700}, 1};
const Mesh::Sender FAR{"front-3", "there", {"10.0.0.3", 7700}, 1};

// A sidecar whose engine runs two requests, and three gateways, of which two need every report.
struct Fixture
{
  Fixture()
  {
    Receive(NEAR, true);
    Receive(OTHER, true);
    Receive(FAR, false);
    ReadReport(2, 0);
    Reports();
  }
  void Receive(const Mesh::Sender& from, bool wants_load, const Gateway::OwnDemand& demand = {})
  {
    Mesh::Hello hello;
    hello.is_gateway = true;
    hello.wants_load = wants_load;
    hello.demand = demand;
    sidecar.OnMessage(from, hello, now, &actions);
  }
  void ReadReport(std::uint32_t running, std::uint32_t queued)
  {
    EngineReport report;
    report.running = running;
    report.queued = queued;
    report.weights_version = 1;
    sidecar.Handle(ReportRead{report}, now, &actions);
  }
  void TellWork(const Mesh::Sender& from, std::uint32_t requests, std::uint32_t unread)
  {
    sidecar.OnMessage(from, Mesh::TellWork{{requests, unread}}, now, &actions);
  }
  void Pass(Common::Duration time)
  {
    now += time;
    sidecar.OnTick(now, &actions);
  }
  // The loads that were reported to gateways since the last call, by gateway address.
  std::map<Address, Gateway::TargetLoad> Reports()
  {
    std::map<Address, Gateway::TargetLoad> told;
    for (const Tell& tell : Take<Tell>(actions))
      told[tell.to] = std::get<Mesh::LoadReport>(tell.message).load;
    return told;
  }

  Common::Metrics metrics;
  Holdpost::Sidecar::Sidecar sidecar{
      {{"10.0.0.9", 7700}, "here", {"10.0.0.9", 8000}, "llm", 0, Milliseconds(8000)}, metrics};
  Common::TimePoint now = START;
  Actions actions;
};
} // namespace

TEST_CASE("New work at a target is reported at once to the gateways that send requests to it")
{
  Fixture f;
  f.now += Milliseconds(30);
  f.TellWork(NEAR, 1, 1200);
  auto told = f.Reports();
  REQUIRE(told.size() == 2);
  CHECK(told.at(OTHER.address).running + told.at(OTHER.address).queued == 3);
  CHECK(told.at(OTHER.address).unread_prompt_tokens == 1200);

  SUBCASE("but at most once every ten milliseconds")
  {
    f.now += Milliseconds(2);
    f.TellWork(OTHER, 1, 300);
    f.TellWork(NEAR, 2, 1700);
    CHECK(f.Reports().empty());
    CHECK(f.sidecar.NextWakeup(f.now) <= f.now + Milliseconds(8));
    f.Pass(Milliseconds(8));
    told = f.Reports();
    REQUIRE(told.size() == 2);
    CHECK(told.at(NEAR.address).unread_prompt_tokens == 2000);
    CHECK(told.at(NEAR.address).running + told.at(NEAR.address).queued == 5);
  }
  SUBCASE("ended work is reported with the next periodic report")
  {
    f.now += Milliseconds(20);
    f.TellWork(NEAR, 0, 0);
    CHECK(f.Reports().empty());
    f.now += Milliseconds(80);
    f.ReadReport(2, 0);
    told = f.Reports();
    CHECK(told.at(NEAR.address).running + told.at(NEAR.address).queued == 2);
    CHECK(told.at(NEAR.address).unread_prompt_tokens == 0);
  }
  SUBCASE("work that the engine's report already contains is not counted twice")
  {
    f.now += Milliseconds(80);
    f.ReadReport(3, 0);
    told = f.Reports();
    CHECK(told.at(NEAR.address).running == 3);
    CHECK(told.at(NEAR.address).queued == 0);
  }
  SUBCASE("a gateway that has become silent counts as having nothing at the target")
  {
    f.now += Milliseconds(1600);
    f.Receive(OTHER, true);
    f.ReadReport(2, 0);
    CHECK(f.Reports().at(OTHER.address).unread_prompt_tokens == 0);
  }
}

TEST_CASE("A load report holds the arrivals at all gateways that send requests to the target")
{
  Fixture f;
  f.Receive(NEAR, true, {30, 0.5});
  f.Receive(OTHER, true, {10, 0.1});
  f.Receive(FAR, false, {500, 1});
  f.now += Milliseconds(100);
  f.ReadReport(2, 0);
  Gateway::GatewayDemand demand = f.Reports().at(NEAR.address).demand;
  CHECK(demand.near_per_second == 40);
  CHECK(demand.far_per_second == 0);
  CHECK(demand.refused_share == doctest::Approx(0.4));

  SUBCASE("including gateways of other halls that need every report")
  {
    f.Receive(FAR, true, {40, 0});
    f.now += Milliseconds(100);
    f.ReadReport(2, 0);
    demand = f.Reports().at(NEAR.address).demand;
    CHECK(demand.far_per_second == 40);
    CHECK(demand.refused_share == doctest::Approx(0.2));
  }
}

TEST_CASE(
    "A sidecar counts the gateways that send it messages and those that these gateways report")
{
  Fixture f;
  const auto count = [&]
  {
    f.now += Milliseconds(100);
    f.ReadReport(2, 0);
    std::uint32_t gateways = 0;
    for (const Tell& tell : Take<Tell>(f.actions))
      gateways = std::get<Mesh::LoadReport>(tell.message).gateways;
    return gateways;
  };
  CHECK(count() == 3);
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.wants_load = true;
  hello.near_gateways = 10;
  f.sidecar.OnMessage(FAR, hello, f.now, &f.actions);
  CHECK(count() == 12);
}

TEST_CASE("A sidecar adopts the newest plan and the newest peers that any gateway sends")
{
  Fixture f;
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.wants_load = true;
  hello.plan = {"llm", "m", 8, 1024, Milliseconds(300), {"10.9.0.1", 80}, "here"};
  hello.peers = {{{"10.0.0.9", 7700}, "here"}};
  hello.stamp = {7, 40};
  f.sidecar.OnMessage(NEAR, hello, f.now, &f.actions);
  CHECK(f.sidecar.HasPlan());
  hello.stamp = {5, 50};
  f.sidecar.OnMessage(OTHER, hello, f.now, &f.actions);
  f.actions.clear();
  f.now += Milliseconds(100);
  f.ReadReport(2, 0);
  const auto told = Take<Tell>(f.actions);
  REQUIRE(!told.empty());
  CHECK(std::get<Mesh::LoadReport>(told[0].message).stamp == Mesh::BriefingStamp{7, 50});
}

TEST_CASE("Gateways that do not need every report get one per second")
{
  Fixture f;
  int far = 0;
  for (int i = 0; i < 50; ++i)
  {
    f.now += Milliseconds(100);
    f.Receive(FAR, false);
    f.Receive(NEAR, true);
    f.ReadReport(2, 0);
    far += static_cast<int>(f.Reports().contains(FAR.address));
  }
  CHECK(far >= 4);
  CHECK(far <= 6);

  SUBCASE("until they need every report")
  {
    f.Receive(FAR, true);
    f.now += Milliseconds(30);
    f.TellWork(NEAR, 1, 1000);
    CHECK(f.Reports().contains(FAR.address));
  }
}

TEST_CASE(
    "The round trip to a sidecar is measured from the gateway's hello, even after later messages")
{
  Fixture f;
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.wants_load = true;
  hello.clock = Mesh::ClockOf(f.now);
  f.sidecar.OnMessage(NEAR, hello, f.now, &f.actions);
  f.now += Milliseconds(300);
  f.TellWork(NEAR, 1, 1200);
  std::optional<Milliseconds> way;
  for (const Tell& tell : Take<Tell>(f.actions))
  {
    if (tell.to == NEAR.address)
      way = Mesh::RoundTrip(std::get<Mesh::LoadReport>(tell.message), f.now);
  }
  CHECK(way == Milliseconds(0));
}
