// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Routing/Router.h"

using namespace Holdpost;
using namespace Holdpost::Routing;
using Common::ErrorKind;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

Request MakeRequest(RequestNumber number, const std::string& organisation = "bygg")
{
  Request request;
  request.number = number;
  request.organisation = organisation;
  request.service = "assist";
  request.cost = 100;
  request.deadline = START + Milliseconds(1000);
  return request;
}

template <typename T>
std::vector<T> Only(const Actions& actions)
{
  std::vector<T> found;
  for (const Action& action : actions)
  {
    if (const auto* typed = std::get_if<T>(&action))
      found.push_back(*typed);
  }
  return found;
}
} // namespace

TEST_CASE("Waiting requests are shared out fairly")
{
  FairQueue queue;
  for (std::uint64_t i = 0; i < 100; ++i)
    queue.Add("large", 1, {i, 500});
  queue.Add("small", 1, {1000, 500});

  SUBCASE("a small organisation is served after one turn of the large one")
  {
    int before = 0;
    while (queue.Take()->number != 1000)
      ++before;
    CHECK(before <= 2);
  }
  SUBCASE("weights decide the share")
  {
    for (std::uint64_t i = 2000; i < 2100; ++i)
      queue.Add("heavy", 3, {i, 500});
    int heavy = 0;
    for (int i = 0; i < 80; ++i)
      heavy += queue.Take()->number >= 2000 ? 1 : 0;
    CHECK(heavy >= 56);
    CHECK(heavy <= 62);
  }
  SUBCASE("a removed request is not taken")
  {
    queue.Remove("small", 1000);
    CHECK(queue.SizeOf("small") == 0);
    CHECK(queue.Size() == 100);
  }
}

TEST_CASE("An organisation's quota")
{
  TokenQuota quota;
  quota.SetLimits(100, 200);
  CHECK(quota.Take(200, START) == Common::Duration::zero());
  CHECK(quota.Take(50, START) == Milliseconds(500));
  CHECK(quota.Take(50, START + Milliseconds(500)) == Common::Duration::zero());
}

TEST_CASE("An entry's decisions on requests")
{
  Router router(1);
  Actions actions;

  SUBCASE("without a target a request is refused at once")
  {
    router.Submit(MakeRequest(1), START, &actions);
    REQUIRE(Only<Refuse>(actions).size() == 1);
    CHECK(Only<Refuse>(actions)[0].error.kind == ErrorKind::NoTarget);
  }

  router.SetTarget("assist", "agent-1", {2, {}}, START, &actions);
  router.SetTarget("assist", "agent-2", {2, {}}, START, &actions);
  actions.clear();

  SUBCASE("requests go out up to the credits, the rest waits")
  {
    for (RequestNumber number = 1; number <= 5; ++number)
      router.Submit(MakeRequest(number), START, &actions);
    CHECK(Only<Dispatch>(actions).size() == 4);
    CHECK(Only<Refuse>(actions).empty());
    CHECK(router.DemandFor("assist") == 5);
    actions.clear();

    SUBCASE("and goes out when one ends")
    {
      router.OnEnded(1, START + Milliseconds(10), &actions);
      REQUIRE(Only<Dispatch>(actions).size() == 1);
      CHECK(Only<Dispatch>(actions)[0].number == 5);
    }
    SUBCASE("or is refused once its deadline has passed")
    {
      router.OnTick(START + Milliseconds(1000), &actions);
      REQUIRE(Only<Refuse>(actions).size() == 1);
      CHECK(Only<Refuse>(actions)[0].number == 5);
    }
    SUBCASE("or leaves the queue when its caller goes away")
    {
      router.OnCallerGone(5, START, &actions);
      router.OnEnded(1, START, &actions);
      CHECK(Only<Dispatch>(actions).empty());
    }
    SUBCASE("or is refused at once when the last target goes")
    {
      router.RemoveTarget("agent-1", START, &actions);
      router.RemoveTarget("agent-2", START, &actions);
      REQUIRE(Only<Refuse>(actions).size() == 1);
      CHECK(Only<Refuse>(actions)[0].error.kind == ErrorKind::NoTarget);
    }
  }
  SUBCASE("a request that did not run is tried on another target")
  {
    router.Submit(MakeRequest(1), START, &actions);
    const std::string first = Only<Dispatch>(actions)[0].target;
    actions.clear();
    router.OnNotRun(1, {ErrorKind::TargetRefused, ""}, START, &actions);
    REQUIRE(Only<Dispatch>(actions).size() == 1);
    CHECK(Only<Dispatch>(actions)[0].target != first);
    actions.clear();

    SUBCASE("and given up when no other is left")
    {
      router.OnNotRun(1, {ErrorKind::TargetRefused, ""}, START, &actions);
      CHECK(Only<Dispatch>(actions).empty());
      CHECK(Only<Refuse>(actions).size() == 1);
    }
  }
  SUBCASE("when nobody knows whether it ran")
  {
    Request request = MakeRequest(1);
    SUBCASE("a repeatable request is tried again")
    {
      request.is_repeatable = true;
      router.Submit(request, START, &actions);
      actions.clear();
      router.OnOutcomeUnknown(1, {ErrorKind::Unreachable, ""}, START, &actions);
      CHECK(Only<Dispatch>(actions).size() == 1);
    }
    SUBCASE("another one never")
    {
      router.Submit(request, START, &actions);
      actions.clear();
      router.OnOutcomeUnknown(1, {ErrorKind::Unreachable, ""}, START, &actions);
      CHECK(Only<Dispatch>(actions).empty());
      REQUIRE(Only<Refuse>(actions).size() == 1);
      CHECK(Only<Refuse>(actions)[0].error.kind == ErrorKind::Unreachable);
    }
  }
  SUBCASE("retries stay within their budget")
  {
    router.SetRetryPercent("assist", 0);
    int retries = 0;
    for (RequestNumber number = 1; number <= 50; ++number)
    {
      router.SetTarget("assist", "agent-1", {2, {}}, START, &actions);
      router.SetTarget("assist", "agent-2", {2, {}}, START, &actions);
      router.Submit(MakeRequest(number), START, &actions);
      actions.clear();
      router.OnNotRun(number, {ErrorKind::TargetRefused, ""}, START, &actions);
      retries += static_cast<int>(Only<Dispatch>(actions).size());
      router.OnNotRun(number, {ErrorKind::TargetRefused, ""}, START, &actions);
    }
    CHECK(retries == 10);
  }
  SUBCASE("requests with one prefix go to one target, as long as its load allows")
  {
    router.SetTarget("assist", "agent-1", {50, {}}, START, &actions);
    router.SetTarget("assist", "agent-2", {50, {}}, START, &actions);
    Request request = MakeRequest(1);
    request.affinity = 42;
    router.Submit(request, START, &actions);
    const std::string preferred = Only<Dispatch>(actions)[0].target;
    int on_preferred = 0;
    for (RequestNumber number = 2; number <= 41; ++number)
    {
      actions.clear();
      request.number = number;
      router.Submit(request, START, &actions);
      on_preferred += Only<Dispatch>(actions)[0].target == preferred ? 1 : 0;
    }
    CHECK(on_preferred >= 20);
    CHECK(on_preferred <= 26);
  }
}
