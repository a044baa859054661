// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "Core/Mesh/Briefing.h"
#include "Core/Mesh/GatewayCount.h"

using namespace Holdpost;
using namespace Holdpost::Mesh;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
}

TEST_CASE("Sidecars are told of the plan again and again, and of news at once")
{
  Briefing briefing("here");
  briefing.SetPlan({"svc", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here"});
  briefing.SetSidecars({{{"10.0.0.1", 7700}, "here"}, {{"10.0.0.2", 7700}, "there"}});
  std::vector<Outgoing> out;
  briefing.OnTick(START, &out);
  REQUIRE(out.size() == 2);
  CHECK(std::get<Hello>(out[0].message).plan.model == "m");
  // Bytes to other halls are dear: sidecars there only learn who is here.
  CHECK(std::get<Hello>(out[1].message).plan.model.empty());
  CHECK(std::get<Hello>(out[1].message).peers.empty());
  out.clear();
  briefing.OnTick(START + Milliseconds(100), &out);
  CHECK(out.empty());
  briefing.SetWeights({"m", 2}, START + Milliseconds(50));
  briefing.OnTick(START + Milliseconds(100), &out);
  REQUIRE(out.size() == 1);
  const auto& told = std::get<Hello>(out[0].message).weights.at(0);
  CHECK(told.named.version == 2);
  CHECK(told.known == Milliseconds(50));
  out.clear();
  briefing.OnTick(START + Milliseconds(500), &out);
  CHECK(out.size() == 1);
}

TEST_CASE("Sidecars of targets in use are asked for each report")
{
  const Peer near{{"10.0.0.1", 7700}, "here"};
  const Peer far{{"10.0.0.2", 7700}, "there"};
  const Peer unused{{"10.0.0.3", 7700}, "there"};
  Briefing briefing("here");
  briefing.SetSidecars({near, far, unused});
  briefing.SetUse({{near.address, far.address}, false, {120, 0.25}});
  std::vector<Outgoing> out;
  const auto wants_load = [&](const Peer& peer)
  {
    const auto found = std::ranges::find(out, peer.address, &Outgoing::to);
    REQUIRE(found != out.end());
    return std::get<Hello>(found->message).wants_load;
  };
  briefing.OnTick(START, &out);
  CHECK(wants_load(near));
  CHECK(!wants_load(far));
  CHECK(!wants_load(unused));
  CHECK(std::get<Hello>(out[0].message).demand.arrivals_per_second == 120);

  SUBCASE("those of other halls as soon as they are needed")
  {
    out.clear();
    briefing.SetUse({{near.address, far.address}, true, {}});
    CHECK(briefing.NextWakeup() <= START);
    briefing.OnTick(START + Milliseconds(10), &out);
    REQUIRE(out.size() == 1);
    CHECK(wants_load(far));
    out.clear();
    briefing.OnTick(START + Milliseconds(20), &out);
    CHECK(out.empty());
    briefing.OnTick(START + Milliseconds(1000), &out);
    CHECK(wants_load(far));
    CHECK(!wants_load(unused));
  }
}

TEST_CASE("The way to a sidecar is known from its report")
{
  LoadReport report;
  CHECK_FALSE(RoundTrip(report, START).has_value());
  report.echo = ClockOf(START);
  report.echo_age = Milliseconds(300);
  CHECK(RoundTrip(report, START + Milliseconds(310)) == Milliseconds(10));
  // A clock that is ahead of ours cannot be right.
  CHECK_FALSE(RoundTrip(report, START + Milliseconds(200)).has_value());
}

TEST_CASE("A sidecar that hears few gateways does not make them fewer")
{
  GatewayCount count;
  CHECK(count.OnReported(7, START) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(100)) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(2500)) == 7);
  CHECK(count.OnReported(2, START + Milliseconds(5000)) == 2);
}
