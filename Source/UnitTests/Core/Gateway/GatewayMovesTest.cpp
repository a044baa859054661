// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Take;

TEST_CASE("Requests that have not begun leave a target that switches to other weights")
{
  Fixture f;
  // All agents report, including the agent of the target to which the request is moved.
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
  SUBCASE("a waiting request is moved at once")
  {
    f.gateway.OnTargetLoad(load, f.now, &f.actions);
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    const auto again = Take<Dispatch>(f.actions);
    REQUIRE(again.size() == 1);
    CHECK(again[0].number == waiting);
    CHECK(again[0].target != first[0].target);
  }
  SUBCASE("a request that has begun stays")
  {
    f.Feed(f.Began(waiting));
    Take<PassAnswer>(f.actions);
    f.gateway.OnTargetLoad(load, f.now, &f.actions);
    CHECK(f.actions.empty());
  }
}

TEST_CASE(
    "A request that its target does not begin is moved once, if another target has a free slot")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  const auto first = Take<Dispatch>(f.actions);
  f.Advance(Milliseconds(400));
  CHECK(Take<Dispatch>(f.actions).empty());
  f.Advance(Milliseconds(300));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto again = Take<Dispatch>(f.actions);
  REQUIRE(again.size() == 1);
  CHECK(again[0].number == number);
  CHECK(again[0].target != first[0].target);
  f.Advance(Milliseconds(2000));
  CHECK(Take<Dispatch>(f.actions).empty());
}

TEST_CASE("A request that may not be repeated, or has a single attempt, is not moved")
{
  Fixture f;
  SUBCASE("the route does not permit repetition")
  {
    f.Arrive("/book/");
  }
  SUBCASE("the route permits a single attempt")
  {
    f.Arrive("/single/");
  }
  Take<Dispatch>(f.actions);
  f.Advance(Milliseconds(3000));
  CHECK(Take<Dispatch>(f.actions).empty());
}

TEST_CASE("Requests that have not begun leave a target whose weights reach a switch deadline")
{
  Fixture f;
  const auto load = [&](const ListedTarget& target, std::uint64_t weights, std::uint32_t running)
  {
    TargetLoad report;
    report.address = target.address;
    report.weights_version = weights;
    report.running = running;
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
  };
  // A newer version is named later; the switch deadline of the first one still applies.
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.gateway.OnWeightsNamed("m", {3, {f.now + Milliseconds(3000)}}, f.now);
  f.Advance(Milliseconds(6000));
  load(f.listed[0], 1, 0);
  load(f.listed[1], 2, 2);
  const RequestNumber number = f.Arrive("/chat/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.at(0).target == "llm-1");
  f.Advance(Milliseconds(1700));
  load(f.listed[1], 2, 2);
  CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
  // The request is moved 250 ms before the time by which the weights have to be replaced.
  f.Advance(Milliseconds(60));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto again = Take<Dispatch>(f.actions);
  REQUIRE(again.size() == 1);
  CHECK(again[0].target == "llm-2");
  CHECK(again[0].number == number);

  SUBCASE("no other request is sent to that target")
  {
    load(f.listed[0], 1, 0);
    f.Arrive("/chat/");
    for (const Dispatch& dispatch : Take<Dispatch>(f.actions))
      CHECK(dispatch.target == "llm-2");
  }
}

namespace
{
// Sends a request to a target with old weights, and lets it wait there until 600 ms before all
// targets have to use the new version. Returns the target's load report.
TargetLoad SendToTargetWithOldWeights(Fixture& f, const std::string& path)
{
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.Advance(Milliseconds(6000));
  TargetLoad report;
  report.weights_version = 1;
  for (const ListedTarget& target : f.listed)
  {
    report.address = target.address;
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
  }
  f.Arrive(path);
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  report.address = sent[0].address;
  f.Advance(Milliseconds(1400));
  f.actions.clear();
  return report;
}

void CheckGivenUpAtSwitchDeadline(Fixture& f, const std::string& path)
{
  const TargetLoad report = SendToTargetWithOldWeights(f, path);
  REQUIRE(f.gateway.NextWakeup().has_value());
  CHECK(*f.gateway.NextWakeup() <= START + Milliseconds(7750));
  f.gateway.OnTargetLoad(report, f.now, &f.actions);
  f.Advance(Milliseconds(360));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  const auto refused = Take<Refuse>(f.actions);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].number == f.last_number);
  CHECK(Common::AnswerFor(refused[0].error.kind).http_status == 502);
}
} // namespace

TEST_CASE("A request that cannot be moved is given up, so that it does not begin with old weights")
{
  SUBCASE("the request may not be repeated")
  {
    Fixture f;
    CheckGivenUpAtSwitchDeadline(f, "/draft/");
  }
  SUBCASE("the retry allowance is used up")
  {
    Fixture f({Milliseconds(10000), 0, 0});
    CheckGivenUpAtSwitchDeadline(f, "/chat/");
  }
  SUBCASE(
      "the request stays if the target switches to the new weights before it begins any request")
  {
    Fixture f;
    TargetLoad report = SendToTargetWithOldWeights(f, "/draft/");
    report.is_switching = true;
    report.next_version = 2;
    f.Advance(Milliseconds(300));
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
    f.Advance(Milliseconds(100));
    CHECK(Testing::Only<Refuse>(f.actions).empty());
  }
  // A delayed push: the target switches to a version when the switch deadline of the next version
  // has already passed.
  SUBCASE("the request is given up if the weights to which the target switches are too old as well")
  {
    Fixture f;
    f.gateway.OnWeightsNamed("m", {3, {f.now}}, f.now);
    TargetLoad report = SendToTargetWithOldWeights(f, "/draft/");
    report.is_switching = true;
    report.next_version = 2;
    f.Advance(Milliseconds(300));
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
    f.Advance(Milliseconds(100));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Testing::Only<Refuse>(f.actions).size() == 1);
  }
}

TEST_CASE("The gateway cancels a request at a target with old weights after the switch deadline")
{
  Fixture f;
  SUBCASE("the target ends its announced switch without new weights")
  {
    TargetLoad report = SendToTargetWithOldWeights(f, "/draft/");
    report.is_switching = true;
    report.next_version = 2;
    f.Advance(Milliseconds(300));
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
    f.Advance(Milliseconds(400));
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
    f.Advance(Milliseconds(400));
    CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
    report.is_switching = false;
    report.next_version = 0;
    f.gateway.OnTargetLoad(report, f.now, &f.actions);
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  }
  SUBCASE("the gateway learns late when the version was named")
  {
    f.Arrive("/draft/");
    f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(9000)}}, f.now);
    f.Advance(Milliseconds(10));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
  }
}

TEST_CASE("An assumed time of naming is replaced by the time that a process observed")
{
  Fixture f;
  f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(5000), true}}, f.now);
  f.gateway.OnWeightsNamed("m", {2, {f.now - Milliseconds(1000)}}, f.now);
  f.Advance(Milliseconds(2000));
  f.Arrive("/chat/");
  CHECK(Take<Dispatch>(f.actions).size() == 1);
}

TEST_CASE("Requests leave a target with old weights earlier when the network delay to it is long")
{
  Fixture f;
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.Advance(Milliseconds(5500));
  TargetLoad report;
  report.address = f.listed[1].address;
  report.weights_version = 2;
  report.running = 2;
  f.gateway.OnTargetLoad(report, f.now, &f.actions);
  report.address = f.listed[0].address;
  report.weights_version = 1;
  report.running = 0;
  f.gateway.OnTargetLoad(report, f.now, &f.actions);
  f.Arrive("/chat/");
  REQUIRE(Take<Dispatch>(f.actions).at(0).target == "llm-1");
  // The link of the target has become slow.
  report.inbound_delay = Milliseconds(1000);
  f.gateway.OnTargetLoad(report, f.now, &f.actions);
  f.Advance(Milliseconds(1200));
  CHECK(Testing::Only<CancelAttempt>(f.actions).empty());
  f.Advance(Milliseconds(60));
  CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
}

TEST_CASE("A retry that finds no other target does not hold up the requests behind it")
{
  Fixture f;
  const RequestNumber first = f.Arrive("/chat/");
  const TargetId lost = Take<Dispatch>(f.actions).at(0).target;
  // The other target is full.
  const auto report = [&]
  {
    for (const ListedTarget& target : {f.listed[0], f.listed[1]})
    {
      TargetLoad load;
      load.address = target.address;
      load.running = target.id == lost ? 0 : 2;
      load.queued = target.id == lost ? 0 : 20;
      load.weights_version = 1;
      f.gateway.OnTargetLoad(load, f.now, &f.actions);
    }
  };
  report();
  f.Feed(AttemptFailed{first, AttemptFailure::Lost, std::nullopt, AttemptEnd::BadAnswer});
  // The target is avoided for 250 ms; the retry waits on.
  f.Advance(Milliseconds(260));
  report();
  f.actions.clear();
  const RequestNumber second = f.Arrive("/chat/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].number == second);
  CHECK(sent[0].target == lost);
}
