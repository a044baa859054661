// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>

#include "Core/Mesh/GatewayMembership.h"

using namespace Holdpost;
using namespace Holdpost::Mesh;
using Common::Address;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

Address AddressOf(int number)
{
  return {"10.0.0." + std::to_string(number), 7700};
}

Sender SenderAt(const std::string& hall, int number)
{
  return {"front-" + std::to_string(number), hall, AddressOf(number), 1};
}

const Address SELF = AddressOf(1);
const Address SEED = AddressOf(2);
} // namespace

TEST_CASE("A gateway asks seeds for other gateways until it receives the heartbeat of a reader")
{
  GatewayMembership membership(SELF, "here", {SEED});
  CHECK(membership.SeedsToAsk(false, START) == std::vector{SEED});
  CHECK(membership.SeedsToAsk(false, START + Milliseconds(50)).empty());

  SUBCASE("often at first, as the others may have started slightly later")
  {
    int asked = 0;
    for (int ms = 50; ms <= 1000; ms += 50)
      asked += static_cast<int>(membership.SeedsToAsk(false, START + Milliseconds(ms)).size());
    CHECK(asked >= 4);
    CHECK(asked <= 6);
  }
  SUBCASE("rarely later, when a gateway that reads for its hall only has to stay listed")
  {
    for (int ms = 50; ms <= 4000; ms += 50)
      membership.SeedsToAsk(false, START + Milliseconds(ms));
    int asked = 0;
    for (int ms = 4050; ms <= 14000; ms += 50)
      asked += static_cast<int>(membership.SeedsToAsk(false, START + Milliseconds(ms)).size());
    CHECK(asked >= 4);
    CHECK(asked <= 5);
  }
  SUBCASE("not while heartbeats arrive, and immediately when they stop")
  {
    CHECK(membership.SeedsToAsk(true, START + Milliseconds(300)).empty());
    CHECK(membership.NextWakeup() == Common::TimePoint::max());
    CHECK(membership.SeedsToAsk(false, START + Milliseconds(310)) == std::vector{SEED});
  }
}

TEST_CASE("A seed lists the gateways of a hall for processes that ask")
{
  GatewayMembership seed(SELF, "here", {});
  const auto ask = [&](const Sender& from, bool is_gateway, Common::TimePoint at)
  { return seed.OnGatewaysRequest(from, {is_gateway}, at).gateways; };

  SUBCASE("for a process of its own hall, including itself")
  {
    CHECK(ask(SenderAt("here", 3), true, START) == std::vector{SELF});
    CHECK(seed.Others(START) == std::vector{AddressOf(3)});
    const auto listed = ask(SenderAt("here", 4), true, START);
    CHECK(listed == std::vector{AddressOf(3), SELF});
  }
  SUBCASE("for a process of another hall, the gateways of that hall that asked before")
  {
    CHECK(ask(SenderAt("there", 3), true, START).empty());
    CHECK(ask(SenderAt("there", 4), true, START) == std::vector{AddressOf(3)});
    CHECK(ask(SenderAt("elsewhere", 5), true, START).empty());
    CHECK(seed.Others(START).empty());
  }
  SUBCASE("sidecars may ask too, but are not listed")
  {
    ask(SenderAt("there", 3), false, START);
    CHECK(ask(SenderAt("there", 4), true, START).empty());
  }
  SUBCASE("a gateway that has not asked for 7 seconds is no longer listed")
  {
    ask(SenderAt("there", 3), true, START);
    CHECK(ask(SenderAt("there", 4), false, START + Milliseconds(6000)).size() == 1);
    CHECK(ask(SenderAt("there", 4), false, START + Milliseconds(7000)).empty());
  }
  SUBCASE("no more than fit into one datagram")
  {
    for (int number = 10; number < 200; ++number)
      ask(SenderAt("there", number), true, START);
    CHECK(ask(SenderAt("there", 3), false, START).size() <= 50);
  }
}

TEST_CASE("Listed gateways are counted, and new ones are recognised")
{
  GatewayMembership membership(SELF, "here", {});
  CHECK(membership.OnGatewaysListed({AddressOf(3), AddressOf(4), SELF}, START));
  CHECK_FALSE(membership.OnGatewaysListed({AddressOf(3), SELF}, START + Milliseconds(100)));
  CHECK(membership.OnGatewaysCounted(12, START + Milliseconds(200)) ==
        Gateway::GatewayCounts{12, 3, 12});
  CHECK(membership.HallGatewayCount() == 3);
}

// Regression: each side of a cut had the whole fixed part of the allowance of retries.
TEST_CASE("Gateways that are cut off still have their shares of the allowance of retries")
{
  GatewayMembership membership(SELF, "here", {});
  membership.OnGatewaysCounted(12, START);
  Common::TimePoint now = START;
  for (; now < START + std::chrono::minutes(14); now += std::chrono::seconds(1))
    membership.OnGatewaysCounted(4, now);
  CHECK(membership.OnGatewaysCounted(4, now) == Gateway::GatewayCounts{4, 1, 12});
  SUBCASE("until they have been away for so long that they have gone")
  {
    for (; now < START + std::chrono::minutes(31); now += std::chrono::seconds(1))
      membership.OnGatewaysCounted(4, now);
    CHECK(membership.OnGatewaysCounted(4, now) == Gateway::GatewayCounts{4, 1, 4});
  }
  SUBCASE("new ones share from their first count")
  {
    CHECK(membership.OnGatewaysCounted(24, now) == Gateway::GatewayCounts{24, 1, 24});
  }
}

TEST_CASE("All gateways of a hall find each other through one seed within 600 ms of a start")
{
  // The gateways start within 300 ms of each other, in any order, while no target list is known.
  static constexpr int GATEWAYS = 30;
  std::vector<GatewayMembership> gateways;
  gateways.reserve(GATEWAYS);
  for (int i = 0; i < GATEWAYS; ++i)
  {
    const bool is_seed = i == 0;
    gateways.emplace_back(AddressOf(i + 1), "here",
                          is_seed ? std::vector<Address>{} : std::vector{AddressOf(1)});
  }
  for (int ms = 0; ms <= 600; ms += 10)
  {
    const Common::TimePoint now = START + Milliseconds(ms);
    for (int i = 1; i < GATEWAYS; ++i)
    {
      const bool has_started = ms >= i * 7 % 300;
      if (!has_started || gateways[static_cast<std::size_t>(i)].SeedsToAsk(false, now).empty())
        continue;
      const GatewaysReply answer =
          gateways[0].OnGatewaysRequest(SenderAt("here", i + 1), {true}, now);
      gateways[static_cast<std::size_t>(i)].OnGatewaysListed(answer.gateways, now);
    }
  }
  for (GatewayMembership& gateway : gateways)
    CHECK(gateway.Others(START + Milliseconds(600)).size() == GATEWAYS - 1);
}
