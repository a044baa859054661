// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "Core/Mesh/BriefingSender.h"
#include "Core/Mesh/GatewayCount.h"

using namespace Holdpost;
using namespace Holdpost::Mesh;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const WeightsPlan PLAN{"svc", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here"};
const Peer NEAR{{"10.0.0.1", 7700}, "here"};
const Peer FAR{{"10.0.0.2", 7700}, "there"};

const Hello& HelloTo(const std::vector<Outgoing>& out, const Peer& peer)
{
  const auto found = std::ranges::find(out, peer.address, &Outgoing::to);
  REQUIRE(found != out.end());
  return std::get<Hello>(found->message);
}
} // namespace

TEST_CASE("Sidecars receive hellos periodically, and the plan only once")
{
  BriefingSender briefing("here");
  briefing.SetPlan(PLAN, 7, START);
  briefing.SetSidecars({NEAR, FAR}, 40, START);
  std::vector<Outgoing> out;
  briefing.OnTick(START, &out);
  REQUIRE(out.size() == 2);
  CHECK(HelloTo(out, NEAR).plan.model == "m");
  CHECK(HelloTo(out, NEAR).stamp == BriefingStamp{7, 40});
  // Traffic to other halls is expensive, so a hello to a sidecar there shows which gateways exist
  // but contains neither the plan nor the peers.
  CHECK(HelloTo(out, FAR).plan.model.empty());
  CHECK(HelloTo(out, FAR).peers.empty());
  out.clear();
  briefing.OnTick(START + Milliseconds(100), &out);
  CHECK(out.empty());
  briefing.OnReported(NEAR.address, {7, 40}, START + Milliseconds(100));
  briefing.SetWeights({"m", 2}, {START + Milliseconds(50)});
  briefing.OnTick(START + Milliseconds(100), &out);
  REQUIRE(out.size() == 1);
  const auto& advertised = HelloTo(out, NEAR).weights.at(0);
  CHECK(advertised.named.version == 2);
  CHECK(advertised.known == Milliseconds(50));
  CHECK(HelloTo(out, NEAR).plan.model.empty());
  out.clear();
  briefing.OnTick(START + Milliseconds(500), &out);
  REQUIRE(out.size() == 1);
  CHECK(HelloTo(out, NEAR).peers.empty());
}

TEST_CASE("A sidecar that lacks a newer plan or list of peers receives both again")
{
  BriefingSender briefing("here");
  briefing.SetPlan(PLAN, 7, START);
  briefing.SetSidecars({NEAR}, 40, START);
  std::vector<Outgoing> out;
  Common::TimePoint now = START;
  const auto tick = [&](Milliseconds time)
  {
    out.clear();
    now += time;
    briefing.OnTick(now, &out);
  };
  const auto has_briefing = [&] { return !out.empty() && !HelloTo(out, NEAR).plan.model.empty(); };
  tick(Milliseconds(0));
  CHECK(has_briefing());

  SUBCASE("because the message was lost or the sidecar has restarted")
  {
    briefing.OnReported(NEAR.address, {}, now);
    tick(Milliseconds(400));
    CHECK(has_briefing());
    briefing.OnReported(NEAR.address, {7, 40}, now);
    tick(Milliseconds(400));
    CHECK(!has_briefing());
  }
  SUBCASE("but not if the sidecar knows a newer state")
  {
    briefing.OnReported(NEAR.address, {9, 41}, now);
    tick(Milliseconds(400));
    CHECK(!has_briefing());
  }
  SUBCASE("the gateway that reads the platform sends a change first")
  {
    briefing.OnReported(NEAR.address, {7, 40}, now);
    SUBCASE("immediately, if this gateway is the reader")
    {
      briefing.SetSidecars({NEAR, FAR}, 50, now);
      tick(Milliseconds(10));
      CHECK(has_briefing());
    }
    SUBCASE("after a delay, if another gateway is the reader")
    {
      briefing.SetIsReader(false);
      briefing.SetSidecars({NEAR, FAR}, 50, now);
      tick(Milliseconds(10));
      CHECK(!has_briefing());
      briefing.OnReported(NEAR.address, {7, 40}, now + Milliseconds(100));
      tick(Milliseconds(400));
      CHECK(!has_briefing());
      // The sidecar still reports that it lacks the changes.
      briefing.OnReported(NEAR.address, {7, 40}, now + Milliseconds(300));
      tick(Milliseconds(400));
      CHECK(has_briefing());
    }
  }
  SUBCASE("a new sidecar in the list receives both immediately from every gateway")
  {
    briefing.OnReported(NEAR.address, {7, 40}, now);
    const Peer added{{"10.0.0.4", 7700}, "here"};
    briefing.SetIsReader(false);
    briefing.SetSidecars({NEAR, added}, 50, now);
    CHECK(briefing.NextWakeup() <= now);
    tick(Milliseconds(10));
    REQUIRE(out.size() == 1);
    CHECK(HelloTo(out, added).peers.size() == 2);
  }
}

TEST_CASE(
    "Sidecars of targets in use are asked for every load report, and the others receive no hellos")
{
  const Peer unused{{"10.0.0.3", 7700}, "there"};
  BriefingSender briefing("here");
  briefing.SetSidecars({NEAR, FAR, unused}, 40, START);
  briefing.SetTargetUse({{NEAR.address, FAR.address}, false, {120, 0.25}, 13});
  std::vector<Outgoing> out;
  briefing.OnTick(START, &out);
  REQUIRE(out.size() == 2);
  CHECK(HelloTo(out, NEAR).wants_load);
  CHECK(!HelloTo(out, FAR).wants_load);
  CHECK(HelloTo(out, FAR).demand.arrivals_per_second == 120);
  CHECK(HelloTo(out, FAR).near_gateways == 13);

  SUBCASE("sidecars of other halls are asked as soon as their targets are needed")
  {
    out.clear();
    briefing.SetTargetUse({{NEAR.address, FAR.address}, true, {}, 13});
    CHECK(briefing.NextWakeup() <= START);
    briefing.OnTick(START + Milliseconds(10), &out);
    REQUIRE(out.size() == 1);
    CHECK(HelloTo(out, FAR).wants_load);
    out.clear();
    briefing.OnTick(START + Milliseconds(20), &out);
    CHECK(out.empty());
    briefing.OnTick(START + Milliseconds(1010), &out);
    CHECK(HelloTo(out, FAR).wants_load);
  }
}

TEST_CASE("The round-trip time to a sidecar is measured from its load report")
{
  LoadReport report;
  CHECK_FALSE(RoundTrip(report, START).has_value());
  report.echo = ClockOf(START);
  report.echo_age = Milliseconds(300);
  CHECK(RoundTrip(report, START + Milliseconds(310)) == Milliseconds(10));
  // A clock that is ahead of the local clock cannot be right.
  CHECK_FALSE(RoundTrip(report, START + Milliseconds(200)).has_value());
}

TEST_CASE("A report proves that its target ran, not before the sidecar asked for it")
{
  LoadReport report;
  report.read_age = Milliseconds(20);
  CHECK_FALSE(RanAt(report, START));
  report.echo = ClockOf(START);
  report.echo_age = Milliseconds(300);
  // However long the report is under way.
  for (const Milliseconds delay : {Milliseconds(0), Milliseconds(10), Milliseconds(900)})
  {
    const auto ran_at = RanAt(report, START + Milliseconds(300) + delay);
    REQUIRE(ran_at);
    CHECK(*ran_at <= START + Milliseconds(280));
    CHECK(*ran_at >= START + Milliseconds(270));
  }
  report.read_age.reset();
  CHECK_FALSE(RanAt(report, START + Milliseconds(310)));
}

TEST_CASE("A sidecar that knows few gateways does not lower the count of gateways")
{
  GatewayCount count(Milliseconds(2000));
  CHECK(count.OnReported(7, START) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(100)) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(2500)) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(5000)) == 2);
}

TEST_CASE("A sidecar that asks receives the plan and the peers, even if it is on no list yet")
{
  BriefingSender briefing("here");
  CHECK(briefing.FullHello(START).plan.model.empty());
  briefing.SetPlan(PLAN, 7, START);
  briefing.SetSidecars({NEAR, FAR}, 40, START);
  briefing.SetWeights({"m", 2}, {START});
  const Hello hello = briefing.FullHello(START);
  CHECK(hello.is_gateway);
  CHECK(hello.plan == PLAN);
  CHECK(hello.peers == std::vector{NEAR, FAR});
  CHECK(hello.stamp == BriefingStamp{7, 40});
  CHECK(hello.weights.at(0).named.version == 2);
}

// Guards against a gateway that learns from others of no switch deadline but the last three.
TEST_CASE("All versions whose switch deadlines have not passed are told to other processes")
{
  constexpr Milliseconds GAP{1900};
  BriefingSender briefing("here");
  auto now = START;
  for (std::uint64_t version = 2; version <= 6; ++version, now += GAP)
    briefing.SetWeights({"m", version}, {now});
  const auto advertised = briefing.AdvertisedVersionsAt(now);
  REQUIRE(advertised.size() == 5);
  CHECK(advertised.front().named.version == 2);
  CHECK(advertised.front().Since(now).time == START);

  SUBCASE("and the newest of those that have passed")
  {
    now = START + Control::DEFAULT_SWITCH_WITHIN + GAP;
    CHECK(briefing.AdvertisedVersionsAt(now).front().named.version == 3);
    CHECK(briefing.AdvertisedVersionsAt(now + std::chrono::hours(1)).size() == 1);
  }
  SUBCASE("also after the settings have named a longer time until the deadline")
  {
    briefing.SetSwitchWithin(Milliseconds(60000));
    CHECK(briefing.AdvertisedVersionsAt(now + Milliseconds(20000)).size() == 5);
  }
}
