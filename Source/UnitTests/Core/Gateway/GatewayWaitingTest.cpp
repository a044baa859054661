// SPDX-License-Identifier: Apache-2.0
#include <set>

#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Take;

TEST_CASE("Requests that cannot begin in time are refused early with a time to retry")
{
  Fixture f;
  // Both engines have 2 slots: 4 requests run, and a few more may wait at the engines.
  for (int i = 0; i < 40; ++i)
    f.Arrive("/chat/");
  const auto sent = Testing::Only<Dispatch>(f.actions);
  CHECK(sent.size() >= 4);
  CHECK(sent.size() < 12);
  CHECK(Take<Refuse>(f.actions).empty());
  f.Advance(Milliseconds(100));
  const auto refused = Take<Refuse>(f.actions);
  CHECK(refused.size() == 40 - sent.size());
  for (const Refuse& refuse : refused)
  {
    CHECK(Common::AnswerFor(refuse.error.kind).http_status == 503);
    CHECK(Common::AnswerFor(refuse.error.kind).outcome == Common::Outcome::NotRun);
    REQUIRE(refuse.error.retry_after.has_value());
    CHECK(*refuse.error.retry_after > Milliseconds(0));
  }
}

TEST_CASE("A waiting request is sent when a slot becomes free")
{
  Fixture f;
  std::vector<RequestNumber> numbers;
  numbers.reserve(40);
  for (int i = 0; i < 40; ++i)
    numbers.push_back(f.Arrive("/chat/"));
  const auto sent = Take<Dispatch>(f.actions);
  // A request waits for one pass of the engines; 40 ms are less than that.
  f.Advance(Milliseconds(40));
  f.Feed(f.Began(sent[0].number));
  f.Feed(AnswerEnded{sent[0].number});
  CHECK(Take<Dispatch>(f.actions).size() == 1);
}

TEST_CASE("Of requests that wait for a service, the more urgent ones are sent first")
{
  Fixture f;
  auto document = MakeDocument(2);
  for (Settings::Route& route : document->routes)
    route.priority = route.path_prefix == "/draft/" ? 0 : 3;
  f.gateway.OfferDocument(document, f.now);
  for (int i = 0; i < 40; ++i)
    f.Arrive("/chat/");
  const auto sent = Take<Dispatch>(f.actions);
  const RequestNumber urgent = f.Arrive("/draft/");
  REQUIRE(Take<Dispatch>(f.actions).empty());
  f.Feed(f.Began(sent.at(0).number));
  f.Feed(AnswerEnded{sent.at(0).number});
  const auto next = Take<Dispatch>(f.actions);
  REQUIRE(next.size() == 1);
  CHECK(next[0].number == urgent);
}

TEST_CASE("What no target begins within a pass of the engines is refused by then")
{
  Fixture f;
  for (int i = 0; i < 40; ++i)
    f.Arrive("/chat/");
  const std::size_t sent = Take<Dispatch>(f.actions).size();
  f.Advance(Milliseconds(51));
  CHECK(Take<Refuse>(f.actions).size() == 40 - sent);
}

TEST_CASE(
    "A request whose caller retries after its goal is over does not displace a request in time")
{
  Fixture f;
  const std::optional<Milliseconds> usual = Milliseconds(6000);
  const std::optional<Milliseconds> left = Milliseconds(4200);
  // The first requests establish the usual deadline of the route.
  for (int i = 0; i < 6; ++i)
  {
    const RequestNumber number = f.Arrive("/chat/", "key-1", usual);
    f.Feed(f.Began(number));
    f.Feed(AnswerEnded{number});
  }
  f.actions.clear();

  SUBCASE("a target without work begins it at once")
  {
    f.Arrive("/chat/", "key-1", left);
    CHECK(Take<Dispatch>(f.actions).size() == 1);
  }
  SUBCASE("it is not sent to targets that are nearly full")
  {
    std::size_t sent = 0;
    for (int i = 0; i < 40; ++i)
    {
      f.Arrive("/chat/", "key-1", usual);
      sent += Take<Dispatch>(f.actions).size();
    }
    f.Advance(Milliseconds(60));
    f.actions.clear();
    f.Arrive("/chat/", "key-1", left);
    CHECK(Take<Dispatch>(f.actions).empty());
    CHECK(sent > 0);
  }
}

TEST_CASE("Requests that are refused together get different times to retry")
{
  Fixture f;
  for (const char* id : {"llm-1", "llm-2"})
  {
    TargetLoad load;
    load.address = f.listed[id == std::string("llm-1") ? 0 : 1].address;
    load.running = 2;
    load.queued = 20;
    load.weights_version = 1;
    f.gateway.OnTargetLoad(load, f.now, &f.actions);
  }
  for (int i = 0; i < 20; ++i)
    f.Arrive("/chat/");
  f.Advance(Milliseconds(200));
  const auto refused = Take<Refuse>(f.actions);
  REQUIRE(refused.size() == 20);
  std::set<Milliseconds> times;
  for (const Refuse& refuse : refused)
  {
    CHECK(refuse.error.retry_after >= Milliseconds(600));
    CHECK(refuse.error.retry_after <= Milliseconds(2000));
    times.insert(*refuse.error.retry_after);
  }
  CHECK(times.size() > 10);
}
