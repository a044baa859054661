// SPDX-License-Identifier: Apache-2.0
#include <set>

#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Take;

TEST_CASE("A gateway refuses requests on arrival")
{
  Fixture f;
  SUBCASE("a request without a route is refused")
  {
    f.Arrive("/nowhere/");
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::NotFound);
  }
  SUBCASE("a request with an unknown credential is refused")
  {
    f.Arrive("/chat/", "stolen");
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::BadCredential);
  }
  SUBCASE("a request without a credential is accepted on a route that allows anonymous access")
  {
    f.Arrive("/open/", "");
    const auto sent = Take<Dispatch>(f.actions);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].organisation.empty());
  }
  SUBCASE("a request with a credential that newer settings took away is refused")
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
    // Settings arrive shortly after the start.
    CHECK(refused.at(0).error.retry_after <= Milliseconds(500));
  }
  SUBCASE("new requests are refused with a time to retry once the process is about to end")
  {
    const RequestNumber before = f.Arrive("/chat/");
    f.gateway.StopAccepting();
    Take<Dispatch>(f.actions);
    f.Arrive("/chat/");
    const auto refused = Take<Refuse>(f.actions);
    CHECK(refused.at(0).error.kind == ErrorKind::Leaving);
    CHECK(refused.at(0).error.retry_after.has_value());
    f.Feed(f.Began(before));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
}

// Regression: what ran at the end of a planned stop was cut without an answer.
TEST_CASE("A gateway that stops answers each request before its time to stop is over")
{
  Fixture f;
  const Milliseconds long_time(6000);
  const Milliseconds time_to_stop(4000);
  const RequestNumber before = f.Arrive("/book/", "key-1", long_time);
  REQUIRE(Take<Dispatch>(f.actions).size() == 1);
  const Common::TimePoint due = f.now + time_to_stop;
  f.gateway.SetAnswersDue(due);

  SUBCASE("one that has been sent ends by then, with an outcome that is not known")
  {
    f.Advance(time_to_stop - Milliseconds(1));
    CHECK(Testing::Only<Refuse>(f.actions).empty());
    CHECK(f.gateway.NextWakeup() <= due);
    f.Advance(Milliseconds(1));
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].number == before);
    CHECK(Common::AnswerFor(refused[0].error.kind).outcome == Common::Outcome::Unknown);
    CHECK(f.gateway.OpenRequests() == 0);
  }
  SUBCASE("a new one that may run only once is refused if it has more time")
  {
    f.Arrive("/book/", "key-1", long_time);
    CHECK(Testing::Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::Leaving);
    CHECK(refused[0].error.retry_after.has_value());
  }
  SUBCASE("a new one that may run only once is sent if it has no more time")
  {
    f.Arrive("/book/", "key-1", time_to_stop);
    CHECK(Take<Dispatch>(f.actions).size() == 1);
  }
  SUBCASE("a new one that may run again is sent with the time that is left")
  {
    const RequestNumber number = f.Arrive("/status/", "key-1", long_time);
    const auto sent = Take<Dispatch>(f.actions);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].time_left == time_to_stop);
    f.Feed(f.Began(number));
    Take<PassAnswer>(f.actions);
    f.Advance(time_to_stop);
    // Its answer has begun, so that its end has to show that it is not whole.
    CHECK(Testing::Only<AbortAnswer>(f.actions).size() == 1);
  }
}

TEST_CASE("A gateway never replaces its settings by an older version")
{
  Fixture f;
  CHECK(f.gateway.OfferDocument(MakeDocument(5), f.now));
  CHECK_FALSE(f.gateway.OfferDocument(MakeDocument(4), f.now));
  CHECK_FALSE(f.gateway.OfferDocument(MakeDocument(5), f.now));
  CHECK(f.gateway.Version() == 5);
}

TEST_CASE("A request is sent to a target and its answer is passed on")
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

TEST_CASE("A request that may not be repeated is never sent twice once it may have run")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/book/");
  REQUIRE(Take<Dispatch>(f.actions).size() == 1);
  SUBCASE("the attempt is lost: the outcome is unknown")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    CHECK(Testing::Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::Unknown);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).http_status == 502);
  }
  SUBCASE("a failure answer of the target is passed on")
  {
    f.Feed(f.Began(number, 500));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
  SUBCASE("the request was not sent: it goes to another target")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::NotSent, std::nullopt});
    CHECK(Take<Dispatch>(f.actions).size() == 1);
  }
  SUBCASE("the target answers that it did not run the request: it goes to another target")
  {
    f.Feed(AnswerBegan{number, 503, true, true, false});
    CHECK(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(AnswerBegan{number, 503, true, true, false});
    // No other target is left: the request has not run, and the refusal states that.
    f.Advance(Milliseconds(100));
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::NotRun);
  }
  SUBCASE("an attempt that is lost after one that was not sent is not reported as 'not run'")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::NotSent, std::nullopt});
    REQUIRE(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    const auto refused = Take<Refuse>(f.actions);
    CHECK(Common::AnswerFor(refused.at(0).error.kind).outcome == Common::Outcome::Unknown);
  }
}

TEST_CASE(
    "A request that may be repeated is retried at another target within its number of attempts")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  const auto first = Take<Dispatch>(f.actions);
  SUBCASE("the attempt is lost")
  {
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    const auto second = Take<Dispatch>(f.actions);
    REQUIRE(second.size() == 1);
    CHECK(second[0].target != first[0].target);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    CHECK(Testing::Only<Dispatch>(f.actions).empty());
    CHECK(Take<Refuse>(f.actions).size() == 1);
  }
  SUBCASE("the target answers with a failure: the failure of the last attempt is passed on")
  {
    f.Feed(f.Began(number, 500));
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Take<Dispatch>(f.actions).size() == 1);
    f.Feed(f.Began(number, 500));
    CHECK(Take<PassAnswer>(f.actions).size() == 1);
  }
}

// Guards against streams that begin anew in the middle of an answer, as their ids are no numbers.
TEST_CASE("A broken stream whose ids do not tell where to go on is cut")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  f.Feed(f.Began(number));
  f.actions.clear();
  AttemptFailed failed{number, AttemptFailure::Lost};
  failed.may_continue = false;
  f.Feed(failed);
  CHECK(Testing::Only<Dispatch>(f.actions).empty());
  CHECK(Take<AbortAnswer>(f.actions).size() == 1);
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
  SUBCASE("the answer is cut, so that it cannot look whole, when the second stream breaks too")
  {
    f.Feed(f.Began(number));
    Take<PassAnswer>(f.actions);
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, EventId(9)});
    CHECK(Testing::Only<Refuse>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("the answer is cut when the next target answers with a failure")
  {
    // The body of the failure must not be passed on as the rest of the stream.
    f.Feed(f.Began(number, 500));
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Testing::Only<Refuse>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("the answer is cut when the next target does not answer with a stream")
  {
    AnswerBegan other = f.Began(number);
    other.is_event_stream = false;
    f.Feed(other);
    CHECK(Testing::Only<PassAnswer>(f.actions).empty());
    CHECK(Take<AbortAnswer>(f.actions).size() == 1);
  }
  SUBCASE("the answer ends whole")
  {
    f.Feed(f.Began(number));
    f.Feed(AnswerEnded{number});
    CHECK(f.gateway.OpenRequests() == 0);
  }
}

TEST_CASE("An answer ends at the caller's deadline")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/", "key-1", Milliseconds(1000));
  Take<Dispatch>(f.actions);
  SUBCASE("the answer has not begun: the attempt ends and the caller gets its final answer at once")
  {
    f.Advance(Milliseconds(1000));
    CHECK(Testing::Only<CancelAttempt>(f.actions).size() == 1);
    CHECK(Take<Refuse>(f.actions).at(0).error.kind == ErrorKind::AnswerTimeout);
  }
  SUBCASE("the answer has begun: it is cut")
  {
    f.Feed(f.Began(number));
    f.Advance(Milliseconds(1000));
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

TEST_CASE("A target whose address now belongs to another target gets nothing more")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  const auto first = Take<Dispatch>(f.actions);
  f.Feed(AnswerBegan{number, 421, true, false, true});
  const auto second = Take<Dispatch>(f.actions);
  REQUIRE(second.size() == 1);
  f.Feed(f.Began(number));
  f.Feed(AnswerEnded{number});
  SUBCASE("right after the answer of the other target") {}
  SUBCASE("while the record of the replaced target stays on the target list")
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

TEST_CASE("A target that is listed at the address of another target replaces it")
{
  Fixture f;
  // The previous target ended without notice; its record expires later.
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

TEST_CASE("A gateway reports the work that it has at a target to the agent beside the target")
{
  Fixture f;
  const auto number = f.Arrive("/chat/");
  const auto sent = Testing::Only<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  auto reports = Take<ReportWorkToAgent>(f.actions);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].target == sent[0].address);
  CHECK(reports[0].work == GatewayWork{1, 1000});
  f.Feed(f.Began(number));
  reports = Take<ReportWorkToAgent>(f.actions);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].work == GatewayWork{1, 0});
  f.Feed(AnswerEnded{number});
  reports = Take<ReportWorkToAgent>(f.actions);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].work == GatewayWork{});

  SUBCASE("nothing is reported for services without agents")
  {
    f.Arrive("/status/");
    CHECK(Take<ReportWorkToAgent>(f.actions).empty());
  }
  SUBCASE("a report is sent when the caller leaves")
  {
    const auto other = f.Arrive("/chat/");
    f.actions.clear();
    f.Feed(CallerLeft{other});
    reports = Take<ReportWorkToAgent>(f.actions);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].work == GatewayWork{});
  }
}
