// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/LedgerCatchUp.h"
#include "CrashFixtures.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Address;
using Common::Milliseconds;
using Testing::At;

TEST_CASE("A ledger is up to date again once replicas have sent all that they know")
{
  std::vector<Address> replicas;
  for (std::uint16_t port = 1; port <= 20; ++port)
    replicas.push_back({"10.0.0.1", port});
  LedgerCatchUp catch_up;
  CHECK_FALSE(catch_up.IsUnderWay(At(0)));
  catch_up.Begin(replicas, At(0));
  CHECK(catch_up.IsUnderWay(At(0)));
  CHECK(catch_up.OnTick(At(0)).size() == LedgerCatchUp::MAX_ASKED);
  CHECK(catch_up.OnTick(At(50)).empty());
  REQUIRE_FALSE(catch_up.OnAnswer(replicas[0]));

  SUBCASE("those that have not answered are asked again")
  {
    CHECK(catch_up.OnTick(*catch_up.NextWakeup()).size() == LedgerCatchUp::MAX_ASKED - 1);
  }
  SUBCASE("one that may have stood still, too, is not enough")
  {
    CHECK_FALSE(catch_up.OnAnswer(replicas[0]));
    CHECK(catch_up.IsUnderWay(At(60)));
    CHECK(catch_up.OnAnswer(replicas[1]));
    CHECK_FALSE(catch_up.IsUnderWay(At(60)));
    CHECK_FALSE(catch_up.NextWakeup().has_value());
    CHECK_FALSE(catch_up.OnAnswer(replicas[2]));
  }
  SUBCASE("if too few answer, it ends after a while")
  {
    CHECK_FALSE(catch_up.IsUnderWay(At(0) + LedgerCatchUp::MAX_TIME));
    CHECK(catch_up.OnTick(At(0) + LedgerCatchUp::MAX_TIME).empty());
    CHECK_FALSE(catch_up.NextWakeup().has_value());
  }
  SUBCASE("without replicas there is nothing to learn")
  {
    LedgerCatchUp alone;
    alone.Begin({}, At(0));
    CHECK_FALSE(alone.IsUnderWay(At(0)));
  }
}
