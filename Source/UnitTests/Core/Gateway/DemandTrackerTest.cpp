// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/DemandTracker.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

namespace
{
constexpr char SERVICE[] = "llm";
constexpr GatewayCounts GATEWAYS{40, 10};

// A gateway with 50 arrivals per second. If `refuses_one_in` is not 0, it refuses one request in
// `refuses_one_in`.
struct Fixture
{
  explicit Fixture(int refuses_one_in = 0)
  {
    for (int i = 0; i < 250; ++i)
    {
      now += Milliseconds(20);
      demand.OnArrival(SERVICE, now);
      if (refuses_one_in > 0 && i % refuses_one_in == 0)
        demand.OnRefused(SERVICE, now);
    }
  }

  DemandTracker demand;
  Common::TimePoint now{std::chrono::hours(1)};
};
} // namespace

TEST_CASE("A gateway measures its rates of arrivals and refusals")
{
  Fixture f(4);
  CHECK(f.demand.ArrivalsPerSecond(SERVICE, f.now) == doctest::Approx(50).epsilon(0.1));
  CHECK(f.demand.RefusedShare(SERVICE, f.now) == doctest::Approx(0.25).epsilon(0.1));

  SUBCASE("they decay when no more requests arrive")
  {
    f.now += std::chrono::seconds(6);
    CHECK(f.demand.ArrivalsPerSecond(SERVICE, f.now) < 1);
    CHECK(f.demand.RefusedShare(SERVICE, f.now) == 0);
  }
  SUBCASE("other services have separate rates")
  {
    CHECK(f.demand.ArrivalsPerSecond("desk", f.now) == 0);
  }
}

TEST_CASE("The demand at the other gateways is taken from the reports of the targets' agents")
{
  Fixture f;
  f.demand.OnDemandReport(SERVICE, {700, 90, 0.1}, f.now);
  CHECK(f.demand.TotalDemand(SERVICE, GATEWAYS, f.now) == GatewayDemand{700, 90, 0.1});

  SUBCASE("without reports, each other gateway is assumed to have as many arrivals as this one")
  {
    f.now += Milliseconds(2500);
    f.demand.OnArrival(SERVICE, f.now);
    const double own = f.demand.ArrivalsPerSecond(SERVICE, f.now);
    const GatewayDemand total = f.demand.TotalDemand(SERVICE, GATEWAYS, f.now);
    CHECK(total.same_hall_per_second == doctest::Approx(10 * own));
    CHECK(total.other_halls_per_second == doctest::Approx(8 * own));
  }
}

TEST_CASE("A gateway that refuses a larger share than the others gets a larger fairness weight")
{
  Fixture refuses_often(2);
  Fixture refuses_never;
  const GatewayDemand all{700, 90, 0.25};
  refuses_often.demand.OnDemandReport(SERVICE, all, refuses_often.now);
  refuses_never.demand.OnDemandReport(SERVICE, all, refuses_never.now);
  CHECK(refuses_often.demand.FairnessWeight(SERVICE, refuses_often.now) > 1.5);
  CHECK(refuses_never.demand.FairnessWeight(SERVICE, refuses_never.now) < 0.7);

  SUBCASE("the weight is 10 at most, and 1 without reports on the others")
  {
    Fixture refuses_always(1);
    refuses_always.demand.OnDemandReport(SERVICE, {700, 90, 0}, refuses_always.now);
    CHECK(refuses_always.demand.FairnessWeight(SERVICE, refuses_always.now) == 10);
    CHECK(refuses_always.demand.FairnessWeight(SERVICE, refuses_always.now + Milliseconds(2500)) ==
          1);
    CHECK(refuses_always.demand.FairnessWeight("desk", refuses_always.now) == 1);
  }
}
