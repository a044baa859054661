// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/SidecarWorldFixture.h"

using namespace Holdpost;
using namespace Holdpost::Testing;
using Common::Milliseconds;

// Without a forecast, gateways refuse requests that could begin after a late push.
TEST_CASE("A sidecar predicts when its engine has the weights that it fetches")
{
  SidecarWorld world = MakeWorld();
  world.RunFor(Milliseconds(3000));
  CHECK_FALSE(world.SidecarAt(0).ForecastWeights(world.Now()).has_value());
  world.NameVersion(2);
  world.RunFor(Milliseconds(300));
  world.SetOriginDown(true);
  world.RunFor(Milliseconds(9000));

  const auto waiting = world.SidecarAt(0).ForecastWeights(world.Now());
  REQUIRE(waiting.has_value());
  CHECK(waiting->version == 2);
  CHECK_FALSE(waiting->is_arriving);
  // The link alone takes 2.6 s for a copy.
  CHECK(waiting->ready_in > Milliseconds(2500));

  world.SetOriginDown(false);
  world.RunFor(Milliseconds(1000));
  const auto arriving = world.SidecarAt(0).ForecastWeights(world.Now());
  REQUIRE(arriving.has_value());
  CHECK(arriving->is_arriving);
  SUBCASE("at most half too late or a third too early")
  {
    const Common::TimePoint predicted_at = world.Now();
    REQUIRE(world.RunUntil([&] { return world.HasLoaded(0, 2); }, Milliseconds(8000)));
    const Common::Duration took = world.Now() - predicted_at;
    CHECK(arriving->ready_in < 3 * took / 2);
    CHECK(arriving->ready_in > 2 * took / 3);
    world.RunFor(Milliseconds(200));
    CHECK_FALSE(world.SidecarAt(0).ForecastWeights(world.Now()).has_value());
  }
  SUBCASE("and knows soon when nothing arrives any more")
  {
    world.SetOriginDown(true);
    world.RunFor(Milliseconds(1500));
    CHECK_FALSE(world.SidecarAt(0).ForecastWeights(world.Now())->is_arriving);
  }
}
