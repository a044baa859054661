// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

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
const Address SEED_GATEWAY{"10.0.1.1", 7700};
const Mesh::Sender GATEWAY{"front-1", "here", {"10.0.0.1", 7700}, 1};
const Mesh::WeightsPlan PLAN{"llm", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here"};

// A sidecar that has just started and knows only a seed.
struct Fixture
{
  void Tick(Common::Duration after)
  {
    now = START + after;
    sidecar.OnTick(now, &actions);
  }
  void Receive(const Mesh::Message& message) { sidecar.OnMessage(GATEWAY, message, now, &actions); }
  // The receivers of the messages of this type that were sent since the last call.
  template <typename Message>
  std::vector<Address> ReceiversOf()
  {
    std::vector<Address> receivers;
    for (const SendMessage& send : Take<SendMessage>(actions))
    {
      if (std::holds_alternative<Message>(send.message))
        receivers.push_back(send.to);
    }
    return receivers;
  }

  Common::Metrics metrics;
  Holdpost::Sidecar::Sidecar sidecar{{{"10.0.0.9", 7700},
                                      "here",
                                      {"10.0.0.9", 8000},
                                      "llm",
                                      0,
                                      Milliseconds(8000),
                                      {SEED_GATEWAY}},
                                     metrics};
  Common::TimePoint now = START;
  Actions actions;
};
} // namespace

TEST_CASE("A sidecar that has just started asks a seed for the gateways of its hall")
{
  Fixture fixture;
  fixture.Tick(Milliseconds(0));
  REQUIRE(fixture.ReceiversOf<Mesh::GatewaysRequest>() == std::vector{SEED_GATEWAY});

  SUBCASE("and asks some of these gateways for a briefing, so that it need not wait until it is in "
          "the target list")
  {
    const std::vector<Address> named = {{"10.0.0.1", 7700}, {"10.0.0.2", 7700}, {"10.0.0.3", 7700}};
    fixture.Receive(Mesh::GatewaysReply{named});
    const std::vector<Address> asked = fixture.ReceiversOf<Mesh::BriefingRequest>();
    REQUIRE(asked.size() == 2);
    CHECK(asked[0] != asked[1]);
    fixture.sidecar.Handle(ReportRead{EngineReport{}}, fixture.now, &fixture.actions);
    Mesh::Hello hello;
    hello.is_gateway = true;
    hello.plan = PLAN;
    hello.peers = {{{"10.0.0.8", 7700}, "here"}};
    hello.stamp = {7, 40};
    hello.weights = {{{"m", 3}, Milliseconds(500)}};
    fixture.Receive(hello);
    CHECK(fixture.sidecar.HasPlan());
    CHECK(fixture.sidecar.WantedVersion() == 3);
    fixture.Tick(Milliseconds(300));
    CHECK(fixture.ReceiversOf<Mesh::GatewaysRequest>().empty());
  }
  SUBCASE("and asks again while no gateway answers, and the platform after a timeout")
  {
    fixture.Tick(Milliseconds(250));
    CHECK(fixture.ReceiversOf<Mesh::GatewaysRequest>().size() == 1);
    CHECK_FALSE(fixture.sidecar.IsIsolated(START + Milliseconds(1400)));
    CHECK(fixture.sidecar.IsIsolated(START + Milliseconds(1600)));
  }
  SUBCASE("and asks again when a gateway sends a hello without a plan")
  {
    Mesh::Hello hello;
    hello.is_gateway = true;
    fixture.Receive(hello);
    fixture.Tick(Milliseconds(250));
    CHECK(fixture.ReceiversOf<Mesh::GatewaysRequest>().size() == 1);
  }
}

TEST_CASE("Versions that a gateway reports do not count while the sidecar does not know the model")
{
  Fixture fixture;
  fixture.Tick(Milliseconds(0));
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.weights = {{{"m", 3}, Milliseconds(30000)}};
  fixture.Receive(hello);
  CHECK_FALSE(fixture.sidecar.VersionsReportedUntil().has_value());
  // The sidecar takes the plan from the platform, which does not report when the version was named.
  fixture.sidecar.OnPlan(PLAN, fixture.now);
  Mesh::Hello hello_with_plan = hello;
  hello_with_plan.plan = PLAN;
  fixture.Receive(hello_with_plan);
  CHECK(fixture.sidecar.VersionsReportedUntil() == fixture.now);
}
