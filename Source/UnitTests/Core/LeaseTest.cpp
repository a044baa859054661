// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Membership/Lease.h"

using namespace Holdpost;
using Common::Milliseconds;

TEST_CASE("An agent's lease on its target")
{
  const Common::TimePoint start{std::chrono::hours(1)};
  const Milliseconds lease_time(10000);
  Settings::Fold fold;
  Membership::Lease lease("t");
  lease.SetClaimId("mine");
  const auto claim = [&](const std::string& id)
  {
    fold.Apply({fold.Position() + 1,
                Settings::EncodeRecord(Settings::TargetClaim{id, "t", "agent-" + id})});
  };
  CHECK_FALSE(lease.MayOrder(start));

  SUBCASE("the first claim of a target may order at once")
  {
    claim("mine");
    lease.OnLogRead(fold, start, lease_time);
    CHECK(lease.FencingToken() == 1);
    CHECK(lease.MayOrder(start));

    SUBCASE("until the margin before the lease's end, counted from when the read was sent")
    {
      CHECK(lease.MayOrder(start + Milliseconds(7999)));
      CHECK_FALSE(lease.MayOrder(start + Milliseconds(8000)));
    }
    SUBCASE("a later read renews it")
    {
      lease.OnLogRead(fold, start + Milliseconds(5000), lease_time);
      CHECK(lease.MayOrder(start + Milliseconds(12999)));
    }
    SUBCASE("a later claim of another agent ends it for good")
    {
      claim("other");
      lease.OnLogRead(fold, start + Milliseconds(100), lease_time);
      CHECK(lease.IsLost());
      CHECK_FALSE(lease.MayOrder(start + Milliseconds(100)));
    }
  }
  SUBCASE("a claim that displaces another waits for that one's lease to run out")
  {
    claim("other");
    claim("mine");
    lease.OnLogRead(fold, start, lease_time);
    CHECK_FALSE(lease.MayOrder(start + Milliseconds(5000)));
    lease.OnLogRead(fold, start + Milliseconds(9000), lease_time);
    CHECK_FALSE(lease.MayOrder(start + Milliseconds(9999)));
    CHECK(lease.MayOrder(start + Milliseconds(10000)));
  }
}
