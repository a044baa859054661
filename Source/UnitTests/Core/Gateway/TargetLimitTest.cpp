// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Testing::Only;
using Testing::Take;

TEST_CASE("A gateway sends to a target that has named a limit only with permits of its agent")
{
  TargetLimit limit;
  limit.OnReport(std::nullopt, 0, START);
  CHECK(limit.MaySend(6, START));
  limit.OnAnswer(2, START);
  CHECK_FALSE(limit.MaySend(6, START));

  SUBCASE("although the agent does not know of the limit yet")
  {
    limit.OnReport(std::nullopt, 0, START + Milliseconds(50));
    CHECK_FALSE(limit.MaySend(6, START + Milliseconds(50)));
  }
  SUBCASE("one request for each")
  {
    limit.OnReport(2, 1, START + Milliseconds(100));
    CHECK(limit.MaySend(6, START + Milliseconds(100)));
    limit.OnSent(6, START + Milliseconds(100));
    CHECK_FALSE(limit.MaySend(6, START + Milliseconds(100)));
  }
  SUBCASE("for a short time")
  {
    limit.OnReport(2, 1, START + Milliseconds(100));
    CHECK_FALSE(limit.MaySend(6, START + Milliseconds(400)));
  }
  SUBCASE("until an answer names no limit")
  {
    limit.OnAnswer(std::nullopt, START + Milliseconds(500));
    CHECK(limit.MaySend(6, START + Milliseconds(500)));
  }
  SUBCASE("until the agent has learned from another gateway that there is none")
  {
    limit.OnReport(2, 0, START + Milliseconds(400));
    limit.OnReport(std::nullopt, 0, START + Milliseconds(600));
    CHECK(limit.MaySend(6, START + Milliseconds(600)));
  }
}

TEST_CASE("Without reports of the agent a gateway keeps an equal share of the limit")
{
  TargetLimit limit;
  limit.OnAnswer(2, START);
  CHECK_FALSE(limit.MaySend(6, START + Milliseconds(2900)));
  CHECK(limit.MaySend(6, START + Milliseconds(3100)));
  limit.OnSent(6, START + Milliseconds(3100));
  CHECK_FALSE(limit.MaySend(6, START + Milliseconds(4000)));
  // Unused shares are not saved up.
  const Common::TimePoint later = START + std::chrono::minutes(1);
  limit.OnSent(6, later);
  CHECK_FALSE(limit.MaySend(6, later));
}

TEST_CASE("A gateway takes a limit over from an answer and tells the agent")
{
  GatewayFixture f;
  const RequestNumber number = f.Arrive("/chat/");
  const TargetId target = Take<Dispatch>(f.actions).at(0).target;
  AnswerBegan began = f.Began(number);
  began.rate_limit = 2;
  f.Feed(began);
  const auto told = Only<ReportLimitToAgent>(f.actions);
  REQUIRE(told.size() == 1);
  CHECK(told[0].per_second == 2);
  CHECK(f.gateway.Targets().IsLimited(target));

  SUBCASE("and sends elsewhere")
  {
    f.actions.clear();
    f.Arrive("/chat/");
    CHECK(Take<Dispatch>(f.actions).at(0).target != target);
  }
  SUBCASE("and takes no answer to an earlier request for its end")
  {
    // Both targets have one request each that was sent before the limit was known.
    f.actions.clear();
    const RequestNumber other = f.Arrive("/chat/");
    f.Feed(f.Began(other));
    CHECK(Only<ReportLimitToAgent>(f.actions).empty());
    CHECK(f.gateway.Targets().IsLimited(target));
  }
  SUBCASE("and refuses at once what can be placed nowhere within the limit")
  {
    TargetLoad load;
    load.rate_limit = 2;
    for (const ListedTarget& listed : f.listed)
    {
      load.address = listed.address;
      f.gateway.OnTargetLoad(load, f.now, &f.actions);
    }
    f.actions.clear();
    f.Arrive("/chat/");
    CHECK(Only<Dispatch>(f.actions).empty());
    f.Advance(Milliseconds(100));
    CHECK(Only<Refuse>(f.actions).size() == 1);
  }
}
