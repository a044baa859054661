// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Mesh/BriefingSender.h"
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
const Mesh::Sender LOCAL_GATEWAY{"front-1", "here", {"10.0.0.1", 7700}, 1};
const Mesh::Sender SECOND_LOCAL_GATEWAY{"front-2", "here", {"10.0.0.2", 7700}, 1};
const Mesh::Sender REMOTE_GATEWAY{"front-3", "there", {"10.0.0.3", 7700}, 1};

Mesh::Hello GatewayHello(bool wants_load = true)
{
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.wants_load = wants_load;
  return hello;
}

// A sidecar whose engine runs two requests, and three gateways. Only the two gateways of the
// sidecar's hall send requests to its target and therefore need every load report.
struct Fixture
{
  Fixture()
  {
    Receive(LOCAL_GATEWAY, true);
    Receive(SECOND_LOCAL_GATEWAY, true);
    Receive(REMOTE_GATEWAY, false);
    ReadReport(2, 0);
    Reports();
  }
  void Receive(const Mesh::Sender& from, bool wants_load, const Gateway::DemandReport& demand = {})
  {
    Mesh::Hello hello = GatewayHello(wants_load);
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
  void AnnounceWork(const Mesh::Sender& from, std::uint32_t requests, std::uint32_t unread)
  {
    sidecar.OnMessage(from, Mesh::WorkUpdate{{requests, unread}}, now, &actions);
  }
  void AdvanceBy(Common::Duration time)
  {
    now += time;
    sidecar.OnTick(now, &actions);
  }
  // The loads that were reported to gateways since the last call, by gateway address.
  std::map<Address, Gateway::TargetLoad> Reports()
  {
    std::map<Address, Gateway::TargetLoad> reports;
    for (const SendMessage& send : Take<SendMessage>(actions))
      reports[send.to] = std::get<Mesh::LoadReport>(send.message).load;
    return reports;
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
  f.AnnounceWork(LOCAL_GATEWAY, 1, 1200);
  auto reports = f.Reports();
  REQUIRE(reports.size() == 2);
  CHECK(reports.at(SECOND_LOCAL_GATEWAY.address).running +
            reports.at(SECOND_LOCAL_GATEWAY.address).queued ==
        3);
  CHECK(reports.at(SECOND_LOCAL_GATEWAY.address).unread_prompt_tokens == 1200);

  SUBCASE("but at most once every ten milliseconds")
  {
    f.now += Milliseconds(2);
    f.AnnounceWork(SECOND_LOCAL_GATEWAY, 1, 300);
    f.AnnounceWork(LOCAL_GATEWAY, 2, 1700);
    CHECK(f.Reports().empty());
    CHECK(f.sidecar.NextWakeup(f.now) <= f.now + Milliseconds(8));
    f.AdvanceBy(Milliseconds(8));
    reports = f.Reports();
    REQUIRE(reports.size() == 2);
    CHECK(reports.at(LOCAL_GATEWAY.address).unread_prompt_tokens == 2000);
    CHECK(reports.at(LOCAL_GATEWAY.address).running + reports.at(LOCAL_GATEWAY.address).queued ==
          5);
  }
  SUBCASE("ended work is reported with the next periodic report")
  {
    f.now += Milliseconds(20);
    f.AnnounceWork(LOCAL_GATEWAY, 0, 0);
    CHECK(f.Reports().empty());
    f.now += Milliseconds(80);
    f.ReadReport(2, 0);
    reports = f.Reports();
    CHECK(reports.at(LOCAL_GATEWAY.address).running + reports.at(LOCAL_GATEWAY.address).queued ==
          2);
    CHECK(reports.at(LOCAL_GATEWAY.address).unread_prompt_tokens == 0);
  }
  SUBCASE("work that the engine's report already contains is not counted twice")
  {
    f.now += Milliseconds(80);
    f.ReadReport(3, 0);
    reports = f.Reports();
    CHECK(reports.at(LOCAL_GATEWAY.address).running == 3);
    CHECK(reports.at(LOCAL_GATEWAY.address).queued == 0);
  }
  SUBCASE("a gateway that has become silent counts as having nothing at the target")
  {
    f.now += Milliseconds(1600);
    f.Receive(SECOND_LOCAL_GATEWAY, true);
    f.ReadReport(2, 0);
    CHECK(f.Reports().at(SECOND_LOCAL_GATEWAY.address).unread_prompt_tokens == 0);
  }
}

TEST_CASE("A load report holds the arrivals at all gateways that send requests to the target")
{
  Fixture f;
  f.Receive(LOCAL_GATEWAY, true, {30, 0.5});
  f.Receive(SECOND_LOCAL_GATEWAY, true, {10, 0.1});
  f.Receive(REMOTE_GATEWAY, false, {500, 1});
  f.now += Milliseconds(100);
  f.ReadReport(2, 0);
  Gateway::GatewayDemand demand = f.Reports().at(LOCAL_GATEWAY.address).demand;
  CHECK(demand.same_hall_per_second == 40);
  CHECK(demand.other_halls_per_second == 0);
  CHECK(demand.refused_share == doctest::Approx(0.4));

  SUBCASE("including gateways of other halls that need every report")
  {
    f.Receive(REMOTE_GATEWAY, true, {40, 0});
    f.now += Milliseconds(100);
    f.ReadReport(2, 0);
    demand = f.Reports().at(LOCAL_GATEWAY.address).demand;
    CHECK(demand.other_halls_per_second == 40);
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
    for (const SendMessage& send : Take<SendMessage>(f.actions))
      gateways = std::get<Mesh::LoadReport>(send.message).gateways;
    return gateways;
  };
  CHECK(count() == 3);
  Mesh::Hello hello = GatewayHello();
  hello.near_gateways = 10;
  f.sidecar.OnMessage(REMOTE_GATEWAY, hello, f.now, &f.actions);
  CHECK(count() == 12);
}

TEST_CASE("A sidecar adopts the newest plan and the newest peers that any gateway sends")
{
  Fixture f;
  Mesh::Hello hello = GatewayHello();
  hello.plan = {"llm", "m", 8, 1024, Milliseconds(300), {"10.9.0.1", 80}, "here"};
  hello.peers = {{{"10.0.0.9", 7700}, "here"}};
  hello.stamp = {7, 40};
  f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
  CHECK(f.sidecar.HasPlan());
  hello.stamp = {5, 50};
  f.sidecar.OnMessage(SECOND_LOCAL_GATEWAY, hello, f.now, &f.actions);
  f.actions.clear();
  f.now += Milliseconds(100);
  f.ReadReport(2, 0);
  const auto reports = Take<SendMessage>(f.actions);
  REQUIRE(!reports.empty());
  CHECK(std::get<Mesh::LoadReport>(reports[0].message).stamp == Mesh::BriefingStamp{7, 50});
}

TEST_CASE("Gateways that do not need every report get one per second")
{
  Fixture f;
  int far_reports = 0;
  for (int i = 0; i < 50; ++i)
  {
    f.now += Milliseconds(100);
    f.Receive(REMOTE_GATEWAY, false);
    f.Receive(LOCAL_GATEWAY, true);
    f.ReadReport(2, 0);
    far_reports += static_cast<int>(f.Reports().contains(REMOTE_GATEWAY.address));
  }
  CHECK(far_reports >= 4);
  CHECK(far_reports <= 6);

  SUBCASE("until they need every report")
  {
    f.Receive(REMOTE_GATEWAY, true);
    f.now += Milliseconds(30);
    f.AnnounceWork(LOCAL_GATEWAY, 1, 1000);
    CHECK(f.Reports().contains(REMOTE_GATEWAY.address));
  }
}

TEST_CASE(
    "The round trip to a sidecar is measured from the gateway's hello, even after later messages")
{
  Fixture f;
  Mesh::Hello hello = GatewayHello();
  hello.clock = Mesh::ClockOf(f.now);
  f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
  f.now += Milliseconds(300);
  f.AnnounceWork(LOCAL_GATEWAY, 1, 1200);
  std::optional<Milliseconds> round_trip;
  for (const SendMessage& send : Take<SendMessage>(f.actions))
  {
    if (send.to == LOCAL_GATEWAY.address)
      round_trip = Mesh::RoundTrip(std::get<Mesh::LoadReport>(send.message), f.now);
  }
  CHECK(round_trip == Milliseconds(0));
}

TEST_CASE("A report tells how long ago its engine was asked for the state")
{
  Fixture f;
  f.AdvanceBy(Milliseconds(100)); // asks
  f.now += Milliseconds(30);
  f.ReadReport(2, 0);
  f.now += Milliseconds(15);
  f.AnnounceWork(LOCAL_GATEWAY, 1, 1200);
  std::optional<Milliseconds> read_age;
  for (const SendMessage& send : Take<SendMessage>(f.actions))
  {
    if (const auto* report = std::get_if<Mesh::LoadReport>(&send.message))
      read_age = report->read_age;
  }
  CHECK(read_age == Milliseconds(45));
}

// Guards against gateways that learn from sidecars of no switch deadline but the last three.
TEST_CASE("A load report contains all versions whose switch deadlines have not passed")
{
  Fixture f;
  Mesh::Hello hello = GatewayHello();
  hello.plan = {"llm", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here"};
  for (std::uint64_t version = 2; version <= 6; ++version)
    hello.weights.push_back({{"m", version}, Milliseconds(1000 * (7 - version)), false});
  f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
  const auto reported = [&f]
  {
    f.ReadReport(2, 0);
    std::vector<std::uint64_t> versions;
    for (const SendMessage& send : Take<SendMessage>(f.actions))
    {
      const auto* report = std::get_if<Mesh::LoadReport>(&send.message);
      if (report && send.to == LOCAL_GATEWAY.address)
      {
        for (const Mesh::AdvertisedVersion& version : report->weights)
          versions.push_back(version.named.version);
      }
    }
    return versions;
  };
  f.now += Milliseconds(100);
  CHECK(reported() == std::vector<std::uint64_t>{2, 3, 4, 5, 6});

  SUBCASE("and the newest of those that have passed, as long as one of them is recent")
  {
    f.now += Milliseconds(5000);
    f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
    CHECK(reported() == std::vector<std::uint64_t>{4, 5, 6});
    f.now += Milliseconds(10000);
    f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
    CHECK(reported() == std::vector<std::uint64_t>{6});
  }
  SUBCASE("and the one that is in force, when another is named long after it")
  {
    f.now += Milliseconds(30000);
    hello.weights = {{{"m", 7}, Milliseconds(0), false}};
    f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
    CHECK(reported() == std::vector<std::uint64_t>{6, 7});
  }
  SUBCASE("but none once all are old")
  {
    f.now += Milliseconds(30000);
    f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
    hello.weights.clear();
    f.now += Milliseconds(100);
    CHECK(reported().empty());
  }
}

// Guards against gateways that wait for versions which nobody has named for their model.
TEST_CASE("Versions of a model are not reported as those of the model that follows it" *
          doctest::skip())
{
  Fixture f;
  Mesh::Hello hello = GatewayHello();
  hello.plan = {"llm", "old", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here"};
  hello.weights = {{{"old", 5}, Milliseconds(1000), false}};
  f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
  hello.plan.model = "new";
  hello.weights = {{{"new", 2}, Milliseconds(0), false}};
  f.sidecar.OnMessage(LOCAL_GATEWAY, hello, f.now, &f.actions);
  f.now += Milliseconds(100);
  f.ReadReport(2, 0);
  for (const SendMessage& send : Take<SendMessage>(f.actions))
  {
    const auto* report = std::get_if<Mesh::LoadReport>(&send.message);
    if (!report || send.to != LOCAL_GATEWAY.address)
      continue;
    REQUIRE(report->weights.size() == 1);
    CHECK(report->weights.front().named == Control::NamedWeights{"new", 2});
  }
}
