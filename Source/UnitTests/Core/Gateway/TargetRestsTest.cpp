// SPDX-License-Identifier: Apache-2.0
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Duration;
using Common::TimePoint;
using Testing::Only;
using Testing::Take;

namespace
{
AnswerHead AsksForRest(RequestNumber number, Duration rest)
{
  AnswerHead head;
  head.number = number;
  head.is_rejected = true;
  head.rest = rest;
  return head;
}

// Two plain targets that a gateway sends requests to.
struct RestFixture : GatewayFixture
{
  using GatewayFixture::GatewayFixture;

  // Sends a request; the target is empty if it was not sent.
  std::pair<RequestNumber, TargetId> Send()
  {
    actions.clear();
    const RequestNumber number = Arrive("/book/a");
    const std::vector<Dispatch> sent = Take<Dispatch>(actions);
    return {number, sent.empty() ? TargetId() : sent.front().target};
  }
  void Complete(RequestNumber number)
  {
    Feed(AnswerHead{number});
    Feed(Began(number));
    Feed(AnswerEnded{number});
  }
  // Sends a request, lets its target answer it, and returns the target.
  TargetId Serve()
  {
    const auto [number, target] = Send();
    if (!target.empty())
      Complete(number);
    return target;
  }
  // Without a rest the target is just full.
  void TurnAwayRequest(RequestNumber number, std::optional<Duration> rest)
  {
    if (rest)
      Feed(AsksForRest(number, *rest));
    AnswerBegan rejected = Began(number, 503);
    rejected.is_not_run = true;
    Feed(rejected);
  }
  // Sends requests until one is at the target, and lets the target turn it away.
  void TurnAway(const TargetId& target, Duration rest)
  {
    std::vector<RequestNumber> open;
    TargetId sent_to;
    while (sent_to != target)
    {
      RequestNumber number = 0;
      std::tie(number, sent_to) = Send();
      REQUIRE_FALSE(sent_to.empty());
      open.push_back(number);
    }
    TurnAwayRequest(open.back(), rest);
    for (const RequestNumber number : open)
      Complete(number);
  }
};
} // namespace

TEST_CASE("A target that has asked for rest is sent nothing until the rest is over")
{
  TargetRests rests(1);
  const TimePoint until = rests.OnAsked("t", 7, Milliseconds(3000), START);
  CHECK(until >= START + Milliseconds(3000));
  CHECK(until <= START + Milliseconds(3500));
  CHECK_FALSE(rests.MaySend("t", 7, START));
  CHECK_FALSE(rests.MaySend("t", 7, START + Milliseconds(2999)));
  CHECK(rests.MaySend("t", 7, until));
  CHECK(rests.TimeLeft("t", 7, START) == until - START);
  CHECK_FALSE(rests.TimeLeft("t", 7, until).has_value());

  SUBCASE("and a shorter rest that it asks for later does not end it")
  {
    CHECK(rests.OnAsked("t", 7, Milliseconds(500), START + Milliseconds(100)) == until);
  }
  SUBCASE("and a longer one does")
  {
    CHECK(rests.OnAsked("t", 7, Milliseconds(3000), START + Milliseconds(1000)) ==
          until + Milliseconds(1000));
  }
  SUBCASE("but another incarnation has asked for nothing")
  {
    CHECK(rests.MaySend("t", 8, START));
    rests.OnAsked("t", 8, Milliseconds(100), START);
    CHECK(rests.MaySend("t", 8, START + Milliseconds(200)));
  }
  SUBCASE("then one request at a time until it accepts one")
  {
    rests.OnSent("t", 1, until);
    CHECK_FALSE(rests.MaySend("t", 7, until));
    SUBCASE("which it accepts")
    {
      rests.OnAccepted("t", 1);
      CHECK(rests.MaySend("t", 7, until));
      rests.OnSent("t", 2, until);
      CHECK(rests.MaySend("t", 7, until));
    }
    SUBCASE("which is lost")
    {
      rests.OnEnded("t", 1);
      CHECK(rests.MaySend("t", 7, until));
      rests.OnSent("t", 2, until);
      CHECK_FALSE(rests.MaySend("t", 7, until));
    }
    SUBCASE("which it turns away with another rest")
    {
      const TimePoint next = rests.OnAsked("t", 7, Milliseconds(3000), until);
      rests.OnEnded("t", 1);
      CHECK_FALSE(rests.MaySend("t", 7, next - Milliseconds(1)));
      CHECK(rests.MaySend("t", 7, next));
    }
    SUBCASE("and an answer to a request from before the rest changes nothing")
    {
      rests.OnAccepted("t", 99);
      rests.OnEnded("t", 99);
      CHECK_FALSE(rests.MaySend("t", 7, until));
    }
  }
  SUBCASE("for an hour at most")
  {
    const TimePoint long_until = rests.OnAsked("t", 7, std::chrono::hours(24 * 36500), START);
    CHECK(long_until <= START + std::chrono::hours(1) + Milliseconds(500));
  }
}

TEST_CASE("Gateways that were asked for rest together return at different times")
{
  std::set<TimePoint> returns;
  for (std::uint64_t seed = 0; seed < 40; ++seed)
    returns.insert(TargetRests(seed).OnAsked("t", 7, Milliseconds(3000), START));
  CHECK(returns.size() > 30);
  CHECK(*returns.rbegin() - *returns.begin() > Milliseconds(200));
}

TEST_CASE("A gateway sends to the other targets while one rests")
{
  RestFixture f;
  f.TurnAway("desk-1", Milliseconds(3000));
  CHECK(f.Serve() == "desk-2");

  SUBCASE("although the target was missing from the list for a while")
  {
    const auto listed = f.listed;
    f.SetTargets({f.listed[0], f.listed[1], f.listed[3]});
    f.Advance(Milliseconds(500));
    f.SetTargets(listed);
    CHECK(f.Serve() == "desk-2");
  }
  SUBCASE("and takes back what has no connection to it yet")
  {
    const auto [first, target] = f.Send();
    f.Feed(AsksForRest(first, Milliseconds(500)));
    CHECK(Only<RecallConnecting>(f.actions).at(0).target == target);
    // That is no failure of the target.
    f.Feed(AttemptFailed{first, AttemptFailure::NotSent, std::nullopt, AttemptEnd::Recalled});
    f.Advance(Milliseconds(600));
    CHECK(f.Serve() == target);
  }
}

// At 40 gateways each has too few retries for the first request after each rest.
TEST_CASE(
    "A target that may turn requests away again is not tried with requests that cannot be retried")
{
  static constexpr Duration REST = Milliseconds(200);
  std::optional<Duration> asked = REST;
  SUBCASE("which asks for rest") {}
  SUBCASE("which names no time")
  {
    asked.reset();
  }
  RestFixture f(RetryLimits{Milliseconds(10000), 0, 5});
  std::size_t refused = 0;
  std::size_t turned_away = 0;
  // An idle gateway chooses desk-2, which turns all requests away.
  const auto send_one = [&]
  {
    const auto [number, target] = f.Send();
    f.actions.clear();
    if (target == "desk-2")
    {
      ++turned_away;
      f.TurnAwayRequest(number, asked);
    }
    refused += Take<Refuse>(f.actions).size();
    f.Complete(number);
    f.Advance(REST * 2);
  };
  for (int i = 0; i < 40; ++i)
    send_one();
  CHECK(refused == 0);
  CHECK(turned_away >= 4);

  // Until there are retries again.
  f.Advance(Milliseconds(11000));
  const std::size_t before = turned_away;
  for (int i = 0; i < 10; ++i)
    send_one();
  CHECK(turned_away > before);
  CHECK(refused == 0);

  // And while no other target has room.
  CHECK(f.Send().second == "desk-1");
  CHECK(f.Send().second == "desk-1");
  CHECK(f.Send().second == "desk-2");
}

TEST_CASE("When all targets rest, requests are refused at once until the first returns")
{
  RestFixture f;
  f.TurnAway("desk-1", Milliseconds(5000));
  f.TurnAway("desk-2", Milliseconds(3000));
  f.actions.clear();
  f.Arrive("/book/a");
  const std::vector<Refuse> refused = Take<Refuse>(f.actions);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().error.kind == ErrorKind::QueueFull);
  REQUIRE(refused.front().error.retry_after.has_value());
  CHECK(*refused.front().error.retry_after >= Milliseconds(3000));
  CHECK(*refused.front().error.retry_after < Milliseconds(6000));

  f.Advance(Milliseconds(3500));
  const auto [trial, target] = f.Send();
  CHECK(target == "desk-2");
  SUBCASE("which accepts one request at first")
  {
    CHECK(f.Serve().empty());
  }
  SUBCASE("and all once it has accepted one")
  {
    f.Complete(trial);
    CHECK(f.Send().second == "desk-2");
    CHECK(f.Send().second == "desk-2");
  }
}
