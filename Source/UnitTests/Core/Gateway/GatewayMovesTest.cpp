// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Take;

TEST_CASE("Requests that have not begun leave a target that takes other weights now")
{
  Fixture f;
  // All agents report, also that of the target to which the request goes then.
  for (const ListedTarget& target : f.listed)
  {
    TargetLoad idle;
    idle.address = target.address;
    idle.weights_version = 1;
    f.gateway.OnTargetLoad(idle, f.now, &f.actions);
  }
  const RequestNumber waiting = f.Arrive("/chat/");
  const auto first = Take<Dispatch>(f.actions);
  TargetLoad load;
  load.address = first.at(0).address;
  load.weights_version = 1;
  load.is_switching = true;
  SUBCASE("at once")
  {
    f.gateway.OnTargetLoad(load, f.now, &f.actions);
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    const auto again = Take<Dispatch>(f.actions);
    REQUIRE(again.size() == 1);
    CHECK(again[0].number == waiting);
    CHECK(again[0].target != first[0].target);
  }
  SUBCASE("but those that have begun stay")
  {
    f.Feed(f.Began(waiting));
    Take<PassAnswer>(f.actions);
    f.gateway.OnTargetLoad(load, f.now, &f.actions);
    CHECK(f.actions.empty());
  }
}

TEST_CASE("A request whose target does not begin is moved once if another is free")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  const auto first = Take<Dispatch>(f.actions);
  f.Pass(Milliseconds(400));
  CHECK(Take<Dispatch>(f.actions).empty());
  f.Pass(Milliseconds(300));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto again = Take<Dispatch>(f.actions);
  REQUIRE(again.size() == 1);
  CHECK(again[0].number == number);
  CHECK(again[0].target != first[0].target);
  f.Pass(Milliseconds(2000));
  CHECK(Take<Dispatch>(f.actions).empty());
}

TEST_CASE("What may not repeat, or has one attempt only, is not moved")
{
  Fixture f;
  SUBCASE("once")
  {
    f.Arrive("/book/");
  }
  SUBCASE("one attempt")
  {
    f.Arrive("/single/");
  }
  Take<Dispatch>(f.actions);
  f.Pass(Milliseconds(3000));
  CHECK(Take<Dispatch>(f.actions).empty());
}

TEST_CASE("Requests that have not begun leave a target whose weights are due to be replaced")
{
  Fixture f;
  const auto load = [&](const ListedTarget& target, std::uint64_t weights, std::uint32_t running)
  {
    TargetLoad told;
    told.address = target.address;
    told.weights_version = weights;
    told.running = running;
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
  };
  // A newer version is named later; the bound of the first one still counts.
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.gateway.OnWeightsNamed("m", {3, {f.now + Milliseconds(3000)}}, f.now);
  f.Pass(Milliseconds(6000));
  load(f.listed[0], 1, 0);
  load(f.listed[1], 2, 2);
  const RequestNumber number = f.Arrive("/chat/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.at(0).target == "llm-1");
  f.Pass(Milliseconds(1700));
  load(f.listed[1], 2, 2);
  CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
  // A quarter of a second before they have to be replaced.
  f.Pass(Milliseconds(60));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto again = Take<Dispatch>(f.actions);
  REQUIRE(again.size() == 1);
  CHECK(again[0].target == "llm-2");
  CHECK(again[0].number == number);

  SUBCASE("and no other request goes there")
  {
    load(f.listed[0], 1, 0);
    f.Arrive("/chat/");
    for (const Dispatch& dispatch : Take<Dispatch>(f.actions))
      CHECK(dispatch.target == "llm-2");
  }
}

namespace
{
// A request waits at a target with old weights shortly before they are too old.
TargetLoad WaitAtOldWeights(Fixture& f, const std::string& path)
{
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.Pass(Milliseconds(6000));
  TargetLoad told;
  told.weights_version = 1;
  for (const ListedTarget& target : f.listed)
  {
    told.address = target.address;
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
  }
  f.Arrive(path);
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  told.address = sent[0].address;
  f.Pass(Milliseconds(1400));
  f.actions.clear();
  return told;
}

void CheckGivenUpAtBound(Fixture& f, const std::string& path)
{
  const TargetLoad told = WaitAtOldWeights(f, path);
  REQUIRE(f.gateway.NextWakeup().has_value());
  CHECK(*f.gateway.NextWakeup() <= START + Milliseconds(7750));
  f.gateway.OnTargetLoad(told, f.now, &f.actions);
  f.Pass(Milliseconds(360));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto refused = Take<Refuse>(f.actions);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].number == f.last);
  CHECK(Common::AnswerFor(refused[0].error.kind).http_status == 502);
}
} // namespace

TEST_CASE("What cannot be moved is given up rather than begun on old weights")
{
  SUBCASE("as it may not repeat")
  {
    Fixture f;
    CheckGivenUpAtBound(f, "/draft/");
  }
  SUBCASE("as no retry is left")
  {
    Fixture f({Milliseconds(10000), 0, 0});
    CheckGivenUpAtBound(f, "/chat/");
  }
  SUBCASE("but not if the target takes new weights before it begins anything")
  {
    Fixture f;
    TargetLoad told = WaitAtOldWeights(f, "/draft/");
    told.is_switching = true;
    told.next_version = 2;
    f.Pass(Milliseconds(300));
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
    f.Pass(Milliseconds(100));
    CHECK(Testing::Only<Refuse>(f.actions).empty());
  }
  // A push that was held up: the target takes one version when the next one is due already.
  SUBCASE("and if the weights that the target takes are too old themselves")
  {
    Fixture f;
    f.gateway.OnWeightsNamed("m", {3, {f.now}}, f.now);
    TargetLoad told = WaitAtOldWeights(f, "/draft/");
    told.is_switching = true;
    told.next_version = 2;
    f.Pass(Milliseconds(300));
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
    f.Pass(Milliseconds(100));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Testing::Only<Refuse>(f.actions).size() == 1);
  }
}

TEST_CASE("What lies at a target with old weights after the bound is taken back")
{
  Fixture f;
  SUBCASE("as the target does not take new weights after all")
  {
    TargetLoad told = WaitAtOldWeights(f, "/draft/");
    told.is_switching = true;
    told.next_version = 2;
    f.Pass(Milliseconds(300));
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
    f.Pass(Milliseconds(400));
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
    f.Pass(Milliseconds(400));
    CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
    told.is_switching = false;
    told.next_version = 0;
    f.gateway.OnTargetLoad(told, f.now, &f.actions);
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  }
  SUBCASE("as the gateway learns late when the version was named")
  {
    f.Arrive("/draft/");
    f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(9000)}}, f.now);
    f.Pass(Milliseconds(10));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  }
}

TEST_CASE("A bound that was assumed gives way to what a process saw")
{
  Fixture f;
  f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(5000), true}}, f.now);
  f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(1000)}}, f.now);
  f.Pass(Milliseconds(2000));
  f.Arrive("/chat/");
  CHECK(Take<Dispatch>(f.actions).size() == 1);
}

TEST_CASE("They leave it earlier when the message takes long to get there")
{
  Fixture f;
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.Pass(Milliseconds(5500));
  TargetLoad told;
  told.address = f.listed[1].address;
  told.weights_version = 2;
  told.running = 2;
  f.gateway.OnTargetLoad(told, f.now, &f.actions);
  told.address = f.listed[0].address;
  told.weights_version = 1;
  told.running = 0;
  f.gateway.OnTargetLoad(told, f.now, &f.actions);
  f.Arrive("/chat/");
  REQUIRE(Take<Dispatch>(f.actions).at(0).target == "llm-1");
  // Its link has become narrow.
  told.inbound_delay = Milliseconds(1000);
  f.gateway.OnTargetLoad(told, f.now, &f.actions);
  f.Pass(Milliseconds(1200));
  CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
  f.Pass(Milliseconds(60));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
}
