// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "Core/Deployment/Deployment.h"

using namespace Holdpost;
using namespace Holdpost::Deployment;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;

namespace
{
const Common::Digest V1 = Common::Sha256("v1");
const Common::Digest V2 = Common::Sha256("v2");

// One agent's target, whose versions are all held at once.
struct Fixture
{
  void Plan(const Common::Digest& version)
  {
    deployment.OnPlan(Placement::ServicePlan{"assist", "runners", 0, true, "m", version}, now,
                      &actions);
    deployment.OnVersionHeld(version, now, &actions);
  }
  // The order that is given at this moment, if any.
  std::optional<OrderLoad> Tick(Common::Duration time = Milliseconds(0))
  {
    now += time;
    actions.clear();
    deployment.OnTick(now, true, true, &actions);
    for (const Action& action : actions)
    {
      if (const auto* order = std::get_if<OrderLoad>(&action))
        return *order;
    }
    return std::nullopt;
  }
  void Done(std::uint64_t order, const Common::Result<std::monostate>& result = std::monostate{})
  {
    deployment.OnOrderDone(order, result, now, &actions);
  }
  void Serve(const Common::Digest& version)
  {
    Plan(version);
    const auto order = Tick();
    REQUIRE(order);
    Done(order->order);
    REQUIRE(deployment.Serving().is_ready);
    REQUIRE(deployment.Serving().version == version);
  }

  Holdpost::Deployment::Deployment deployment;
  Common::TimePoint now{std::chrono::hours(1)};
  Actions actions;
};
} // namespace

// Regression: an agent took the version for loaded that it had replaced by an order under way.
TEST_CASE("A version that is taken back while another one is ordered")
{
  Fixture f;
  f.Serve(V1);
  f.Plan(V2);
  const auto second = f.Tick();
  REQUIRE(second);
  CHECK(f.deployment.Serving().version == V1);

  SUBCASE("is ordered again")
  {
    f.Plan(V1);
    CHECK(std::ranges::any_of(f.actions, [](const Action& action)
                              { return std::holds_alternative<CancelOrder>(action); }));
    CHECK(f.deployment.Serving().is_ready);
    CHECK(f.deployment.Serving().version.IsZero());
    const auto again = f.Tick();
    REQUIRE(again);
    CHECK(again->version == V1);
    CHECK(again->order > second->order);

    SUBCASE("whatever the first order's late answer says")
    {
      f.Done(second->order);
      CHECK(f.deployment.Serving().version.IsZero());
      f.Done(again->order);
      CHECK(f.deployment.Serving().version == V1);
      CHECK_FALSE(f.Tick(Milliseconds(20000)));
    }
  }
  SUBCASE("is ordered again after the first order ended without an answer")
  {
    f.Done(second->order, Error{ErrorKind::Unreachable, "no whole answer"});
    f.Plan(V1);
    CHECK(f.deployment.Serving().is_ready);
    const auto again = f.Tick(Milliseconds(1));
    REQUIRE(again);
    CHECK(again->version == V1);
  }
  SUBCASE("is not ordered again after an order that the engine did not take")
  {
    f.Done(second->order, Error{ErrorKind::TargetRefused, "the engine answered 422"});
    CHECK(f.deployment.Serving().version == V1);
    f.Plan(V1);
    CHECK_FALSE(f.Tick(Milliseconds(20000)));
  }
}

// Regression: an engine that answered with another version than the ordered one stayed in use.
TEST_CASE("An engine that answers with another version loads the wanted one again")
{
  Fixture f;
  CHECK_FALSE(f.deployment.Known());
  f.Serve(V1);
  const auto known = f.deployment.Known();
  REQUIRE(known);
  CHECK(known->version == V1);
  f.deployment.OnOtherVersion(f.now);
  CHECK_FALSE(f.deployment.Known());
  CHECK_FALSE(f.deployment.Serving().is_ready);
  const auto order = f.Tick();
  REQUIRE(order);
  CHECK(order->version == V1);
  f.Done(order->order);
  CHECK(f.deployment.Serving().is_ready);
  REQUIRE(f.deployment.Known());
  CHECK(f.deployment.Known()->version == V1);
  // What began before is not compared with what is known now.
  CHECK(f.deployment.Known() != known);
}

TEST_CASE("Nothing is known of the version while an order is under way")
{
  Fixture f;
  f.Serve(V1);
  f.Plan(V2);
  CHECK(f.deployment.Known());
  const auto order = f.Tick();
  REQUIRE(order);
  CHECK_FALSE(f.deployment.Known());
  f.Done(order->order, Error{ErrorKind::Unreachable, "no whole answer"});
  CHECK_FALSE(f.deployment.Known());
}

// Regression: an engine that had started again without weights was offered as ready.
TEST_CASE("An engine in doubt is asked whether it still has its version")
{
  Fixture f;
  f.Serve(V1);
  CHECK_FALSE(f.Tick(Milliseconds(20000)));
  f.deployment.RequestCheck();
  const auto check = f.Tick();
  REQUIRE(check);
  CHECK(check->is_check);
  CHECK(check->version == V1);
  CHECK(f.deployment.Serving().is_ready);
  CHECK_FALSE(f.deployment.IsLoading());

  SUBCASE("and goes on when it has, with at most one check a second")
  {
    f.Done(check->order);
    CHECK(f.deployment.Serving().is_ready);
    f.deployment.RequestCheck();
    CHECK_FALSE(f.Tick(Milliseconds(999)));
    CHECK(f.Tick(Milliseconds(1)));
  }
  SUBCASE("and is loaded again when it has not")
  {
    f.Done(check->order, Error{ErrorKind::TargetRefused, "the engine answered 422"});
    CHECK_FALSE(f.deployment.Serving().is_ready);
    const auto order = f.Tick();
    REQUIRE(order);
    CHECK_FALSE(order->is_check);
    CHECK(f.deployment.IsLoading());
  }
  SUBCASE("and is tried again until it is back when it does not answer")
  {
    f.Done(check->order, Error{ErrorKind::Unreachable, "no whole answer"});
    CHECK_FALSE(f.deployment.Serving().is_ready);
    const auto order = f.Tick();
    REQUIRE(order);
    f.Done(order->order, Error{ErrorKind::Unreachable, "no whole answer"});
    CHECK_FALSE(f.Tick(Milliseconds(199)));
    CHECK(f.Tick(Milliseconds(1)));
  }
  SUBCASE("and a new version replaces the check")
  {
    f.Plan(V2);
    const auto order = f.Tick();
    REQUIRE(order);
    CHECK(order->version == V2);
    CHECK_FALSE(order->is_check);
  }
}

TEST_CASE("A plain service is asked for no version")
{
  Fixture f;
  f.deployment.OnPlan(Placement::ServicePlan{"triage", "runners", 0, false, "", {}}, f.now,
                      &f.actions);
  CHECK(f.deployment.Serving().is_ready);
  CHECK_FALSE(f.deployment.Known());
  f.deployment.RequestCheck();
  CHECK_FALSE(f.Tick(Milliseconds(20000)));
}
