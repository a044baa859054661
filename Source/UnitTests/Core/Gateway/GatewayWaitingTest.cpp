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

namespace
{
// Both targets have old weights whose switch deadline has passed, and their agents fetch new ones.
struct LatePush : Fixture
{
  LatePush()
  {
    auto document = MakeDocument(2);
    for (Settings::Route& route : document->routes)
      route.pause_goal = Milliseconds(500);
    gateway.OfferDocument(document, now);
    gateway.OnWeightsNamed("m", {2, {now}}, now);
    Advance(Milliseconds(9000));
    actions.clear();
  }
  void Report(std::uint64_t weights, std::optional<WeightsForecast> forecast)
  {
    for (const char* id : {"llm-1", "llm-2"})
    {
      TargetLoad load;
      load.address = listed[id == std::string("llm-1") ? 0 : 1].address;
      load.weights_version = weights;
      load.weights_forecast = forecast;
      gateway.OnTargetLoad(load, now, &actions);
    }
  }
  void ReportArriving(Milliseconds ready_in) { Report(1, WeightsForecast{2, ready_in, true}); }
  void ReportWaiting(Milliseconds ready_in) { Report(1, WeightsForecast{2, ready_in, false}); }
};
} // namespace

TEST_CASE("Callers whose request could begin after a late push are not refused before it")
{
  LatePush f;
  SUBCASE("a request waits for the weights that arrive, and is sent when they are loaded")
  {
    f.ReportArriving(Milliseconds(2500));
    const RequestNumber number = f.Arrive("/chat/");
    for (int step = 1; step < 25; ++step)
    {
      f.Advance(Milliseconds(100));
      f.ReportArriving(Milliseconds(2500 - 100 * step));
    }
    CHECK(Take<Refuse>(f.actions).empty());
    f.Advance(Milliseconds(100));
    f.Report(2, std::nullopt);
    const auto sent = Take<Dispatch>(f.actions);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].number == number);
  }
  SUBCASE("it is refused as soon as the weights do not arrive any more")
  {
    f.ReportArriving(Milliseconds(2500));
    f.Arrive("/chat/");
    f.Advance(Milliseconds(500));
    f.ReportWaiting(Milliseconds(2000));
    f.Advance(Milliseconds(100));
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::NoWeights);
    CHECK(refused[0].error.retry_after >= Milliseconds(1900));
  }
  SUBCASE("only as many wait as the targets have slots for beside new requests")
  {
    f.ReportArriving(Milliseconds(2500));
    for (int i = 0; i < 6; ++i)
      f.Arrive("/chat/");
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 4);
    CHECK(refused[0].error.retry_after >= Milliseconds(2500));
  }
  SUBCASE("a caller that would leave before is refused at once, and told when to come back")
  {
    // Callers leave after 4 s without an event.
    f.ReportArriving(Milliseconds(4500));
    f.Arrive("/chat/");
    CHECK(Take<Refuse>(f.actions).size() == 1);
    f.ReportArriving(Milliseconds(2500));
    f.Arrive("/chat/", "key-1", Milliseconds(2600));
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.retry_after >= Milliseconds(2500));
  }
  SUBCASE("it is refused at once while nothing arrives, and told the least time")
  {
    f.ReportWaiting(Milliseconds(3900));
    f.Arrive("/chat/");
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.retry_after >= Milliseconds(3900));
  }
  SUBCASE("weights that a newer version has replaced by then are not waited for")
  {
    f.gateway.OnWeightsNamed("m", {3, {f.now - Milliseconds(7000)}}, f.now);
    f.ReportArriving(Milliseconds(2500));
    f.Arrive("/chat/");
    CHECK(Take<Refuse>(f.actions).size() == 1);
  }
}
