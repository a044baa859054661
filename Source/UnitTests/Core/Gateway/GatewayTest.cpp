// SPDX-License-Identifier: Apache-2.0
#include <set>

#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Take;

TEST_CASE("What a gateway refuses at the door")
{
  Fixture f;
  SUBCASE("no route")
  {
    f.Arrive("/nowhere/");
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::NotFound);
  }
  SUBCASE("an unknown credential")
  {
    f.Arrive("/chat/", "stolen");
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::BadCredential);
  }
  SUBCASE("none, where none is needed, is let in")
  {
    f.Arrive("/open/", "");
    const auto sent = Take<Dispatch>(f.actions);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].organisation.empty());
  }
  SUBCASE("a credential that was taken away by newer settings")
  {
    const auto newer = MakeDocument(2);
    newer->organisations[0].credentials.clear();
    CHECK(f.gateway.OfferDocument(newer, f.now));
    f.Arrive("/chat/", "key-1");
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::BadCredential);
  }
  SUBCASE("everything while it knows no settings, with 503 and not 404")
  {
    Common::Metrics metrics;
    Holdpost::Gateway::Gateway empty({"here", {}, Milliseconds(8000)}, metrics);
    CallerRequest request;
    empty.Handle(RequestArrived{1, request}, f.now, &f.actions);
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).http_status == 503);
    // Settings come within a moment of the start.
    CHECK(refused.at(0).error.retry_after <= Milliseconds(500));
  }
  SUBCASE("new requests once it is about to end, with when to come back")
  {
    const RequestNumber before = f.Arrive("/chat/");
    f.gateway.StopTaking();
    Take<Dispatch>(f.actions);
    f.Arrive("/chat/");
    const auto refused = Take<Refuse>(f.actions);
    CHECK(refused.at(0).error.kind == ErrorKind::Leaving);
    CHECK(refused.at(0).error.retry_after.has_value());
    f.Feed(f.Began(before));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
}

TEST_CASE("Settings never go back")
{
  Fixture f;
  CHECK(f.gateway.OfferDocument(MakeDocument(5), f.now));
  CHECK_FALSE(f.gateway.OfferDocument(MakeDocument(4), f.now));
  CHECK_FALSE(f.gateway.OfferDocument(MakeDocument(5), f.now));
  CHECK(f.gateway.Version() == 5);
}

TEST_CASE("A request goes to a target and its answer comes back")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/", "key-2", Milliseconds(2000));
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].organisation == "shop");
  CHECK(sent[0].time_left == Milliseconds(2000));
  CHECK(sent[0].is_stream);
  f.Feed(f.Began(number));
  CHECK(Take<PassAnswer>(f.actions).size() == 1);
  f.Feed(AnswerEnded{number});
  CHECK(f.gateway.OpenRequests() == 0);
}

TEST_CASE("What may not repeat is never sent twice once it may have run")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/book/");
  REQUIRE(Take<Dispatch>(f.actions).size() == 1);
  SUBCASE("lost: the outcome is not known")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    CHECK(Testing::Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::Unknown);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).http_status == 502);
  }
  SUBCASE("a failure of the target's own is passed on")
  {
    f.Feed(f.Began(number, 500));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
  SUBCASE("never sent: another target gets it")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::NotSent, std::nullopt});
    CHECK(Take<Dispatch>(f.actions).size() == 1);
  }
  SUBCASE("the target says that it did not run it: another target gets it")
  {
    f.Feed(AnswerBegan{number, 503, true, true, false});
    CHECK(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(AnswerBegan{number, 503, true, true, false});
    // Nobody else is left: it has not run, and the caller is told so.
    f.Pass(Milliseconds(100));
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::NotRun);
  }
  SUBCASE("not sent after it was lost elsewhere is still not 'not run'")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::NotSent, std::nullopt});
    REQUIRE(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::Unknown);
  }
}

TEST_CASE("What may repeat is tried elsewhere, within its attempts")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  const auto first = Take<Dispatch>(f.actions);
  SUBCASE("after a loss")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    const auto second = Take<Dispatch>(f.actions);
    REQUIRE(second.size() == 1);
    CHECK(second[0].target != first[0].target);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    CHECK(Testing::Only<Dispatch>(f.actions).empty());
    CHECK(Take<Refuse>(f.actions).size() == 1);
  }
  SUBCASE("after a failure of the target's own, of which the last is passed on")
  {
    f.Feed(f.Began(number, 500));
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(f.Began(number, 500));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
}

TEST_CASE("A broken stream is continued after its last event")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  const auto first = Take<Dispatch>(f.actions);
  f.Feed(f.Began(number));
  Take<PassAnswer>(f.actions);
  f.Feed(AttemptFailed{number, AttemptFailure::Lost, EventId(7)});
  const auto second = Take<Dispatch>(f.actions);
  REQUIRE(second.size() == 1);
  CHECK(second[0].target != first[0].target);
  CHECK(second[0].resume_after == EventId(7));
  SUBCASE("and cut so that it cannot look whole when that breaks too")
  {
    f.Feed(f.Began(number));
    Take<PassAnswer>(f.actions);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, EventId(9)});
    CHECK(Testing::Only<Refuse>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("and cut, too, when the next target answers with a failure")
  {
    // Its body must not be taken for the rest of the stream.
    f.Feed(f.Began(number, 500));
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Testing::Only<Refuse>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("and cut, too, when the next target answers with no stream")
  {
    AnswerBegan other = f.Began(number);
    other.is_event_stream = false;
    f.Feed(other);
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("or ends whole")
  {
    f.Feed(f.Began(number));
    f.Feed(AnswerEnded{number});
    CHECK(f.gateway.OpenRequests() == 0);
  }
}

TEST_CASE("The time for an answer is kept")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/", "key-1", Milliseconds(1000));
  Take<Dispatch>(f.actions);
  SUBCASE("no answer yet: the attempt ends and the caller gets its final answer at once")
  {
    f.Pass(Milliseconds(1000));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::AnswerTimeout);
  }
  SUBCASE("in the middle of an answer it is cut")
  {
    f.Feed(f.Began(number));
    f.Pass(Milliseconds(1000));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  CHECK(f.gateway.OpenRequests() == 0);
}

TEST_CASE("A caller that left stops the work")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  Take<Dispatch>(f.actions);
  f.Feed(CallerLeft{number});
  CHECK(Take<CancelAttempt>(f.actions).size() == 1);
  CHECK(f.gateway.OpenRequests() == 0);
}

TEST_CASE("A target whose address belongs to another one now gets nothing more")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  const auto first = Take<Dispatch>(f.actions);
  f.Feed(AnswerBegan{number, 421, true, false, true});
  const auto second = Take<Dispatch>(f.actions);
  REQUIRE(second.size() == 1);
  f.Feed(f.Began(number));
  f.Feed(AnswerEnded{number});
  SUBCASE("at once") {}
  SUBCASE("nor while its record stays on the list")
  {
    f.listed.push_back(MakeTarget("desk-3", "desk"));
    f.SetTargets(f.listed);
  }
  for (int i = 0; i < 10; ++i)
  {
    f.Arrive("/status/");
    CHECK(Take<Dispatch>(f.actions).at(0).target != first[0].target);
  }
}

TEST_CASE("A target that is listed at the address of another one takes its place")
{
  Fixture f;
  // The one before has ended silently; its record lapses later.
  ListedTarget next = f.listed.at(2);
  REQUIRE(next.id == "desk-1");
  next.id = "desk-9";
  f.listed.push_back(next);
  f.SetTargets(f.listed);
  for (int i = 0; i < 20; ++i)
  {
    f.Arrive("/status/");
    CHECK(Take<Dispatch>(f.actions).at(0).target != "desk-1");
  }
}

TEST_CASE("The agent beside a target is told of the work that a gateway has there")
{
  Fixture f;
  const auto number = f.Arrive("/chat/");
  const auto sent = Testing::Only<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  auto told = Take<TellAgent>(f.actions);
  REQUIRE(told.size() == 1);
  CHECK(told[0].target == sent[0].address);
  CHECK(told[0].work == OwnWork{1, 1000});
  f.Feed(f.Began(number));
  told = Take<TellAgent>(f.actions);
  REQUIRE(told.size() == 1);
  CHECK(told[0].work == OwnWork{1, 0});
  f.Feed(AnswerEnded{number});
  told = Take<TellAgent>(f.actions);
  REQUIRE(told.size() == 1);
  CHECK(told[0].work == OwnWork{});

  SUBCASE("services without agents are told nothing")
  {
    f.Arrive("/status/");
    CHECK(Take<TellAgent>(f.actions).empty());
  }
  SUBCASE("so it is when the caller leaves")
  {
    const auto other = f.Arrive("/chat/");
    f.actions.clear();
    f.Feed(CallerLeft{other});
    told = Take<TellAgent>(f.actions);
    REQUIRE(told.size() == 1);
    CHECK(told[0].work == OwnWork{});
  }
}
