// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Testing::Only;
using Testing::Take;

namespace
{
constexpr std::uint64_t BORN = 7;

// Targets with known starts, and services with health pages.
struct Fixture : GatewayFixture
{
  Fixture()
  {
    auto document = MakeDocument(2);
    for (Settings::ServiceSettings& service : document->services)
      service.health_path = "/health";
    gateway.OfferDocument(document, now);
    std::vector<ListedTarget> targets = {
        MakeTarget("llm-1", "llm", 1), MakeTarget("desk-1", "desk"), MakeTarget("desk-2", "desk")};
    for (ListedTarget& target : targets)
      target.incarnation = BORN;
    SetTargets(targets);
    Report(now);
    actions.clear();
  }
  // The agent beside llm-1 reports what it read at a time.
  void Report(std::optional<Common::TimePoint> ran_at, std::uint64_t incarnation = BORN,
              const TargetId& id = "llm-1")
  {
    TargetLoad load;
    load.address = MakeTarget("llm-1", "llm", 1).address;
    load.id = id;
    load.incarnation = incarnation;
    load.weights_version = 1;
    load.ran_at = ran_at;
    gateway.OnTargetLoad(load, now, &actions);
  }
  // A stream that has begun, and whose target has closed its connection.
  RequestNumber ClosedStream(const std::string& path = "/chat/")
  {
    const RequestNumber number = Arrive(path);
    Feed(Began(number));
    now += Milliseconds(100);
    Feed(AnswerClosed{number});
    return number;
  }
  // The number of targets that ended under the requests, which all have the same content.
  std::size_t Crashes()
  {
    const auto all = gateway.CrashLedger().All(now);
    return all.empty() ? 0 : all[0].crashes.size();
  }
  std::optional<AttemptEnd> EndOf(RequestNumber number)
  {
    for (const EndClosedAnswer& end : Only<EndClosedAnswer>(actions))
    {
      if (end.number == number)
        return end.reason;
    }
    return std::nullopt;
  }
};
} // namespace

TEST_CASE("A closed answer ends as whole once its target is known to have run after the close")
{
  Fixture f;
  const RequestNumber number = f.ClosedStream();
  const Common::TimePoint closed = f.now;
  CHECK_FALSE(f.EndOf(number));

  SUBCASE("by a report that was read after it")
  {
    f.now += Milliseconds(40);
    f.Report(closed - Milliseconds(1));
    CHECK_FALSE(f.EndOf(number));
    f.Report(std::nullopt);
    CHECK_FALSE(f.EndOf(number));
    f.Report(closed);
    CHECK(f.EndOf(number) == AttemptEnd::None);
  }
  SUBCASE("by a report of an agent that does not know the target's id")
  {
    f.now += Milliseconds(40);
    f.Report(f.now, 0, "");
    CHECK_FALSE(f.EndOf(number));
    f.Report(f.now, BORN, "");
    CHECK(f.EndOf(number) == AttemptEnd::None);
  }
  SUBCASE("by an answer to a request that was sent after it")
  {
    const RequestNumber later = f.Arrive("/chat/");
    f.now += Milliseconds(1);
    const RequestNumber next = f.ClosedStream();
    f.Feed(AnswerHead{later});
    CHECK(f.EndOf(number) == AttemptEnd::None);
    // The other one closed after that request was sent.
    CHECK_FALSE(f.EndOf(next));
  }
  SUBCASE("not by the head of an earlier answer, or of another target")
  {
    const RequestNumber later = f.Arrive("/chat/");
    AnswerHead head{later};
    head.is_foreign = true;
    f.Feed(head);
    head = AnswerHead{later};
    head.is_other_target = true;
    f.Feed(head);
    CHECK_FALSE(f.EndOf(number));
  }
  SUBCASE("by a probe, if the agent is silent")
  {
    f.Advance(Milliseconds(290));
    CHECK(Only<ProbeTarget>(f.actions).empty());
    f.Advance(Milliseconds(20));
    const auto probes = Only<ProbeTarget>(f.actions);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].target == "llm-1");
    CHECK(probes[0].path == "/health");
    f.Feed(ProbeEnded{"llm-1", probes[0].address, ProbeOutcome::Runs});
    CHECK(f.EndOf(number) == AttemptEnd::None);
  }
}

TEST_CASE("A closed answer whose target has ended is broken")
{
  Fixture f;
  const RequestNumber number = f.ClosedStream();
  const Common::TimePoint closed = f.now;
  f.now += Milliseconds(40);
  const Common::Address address = MakeTarget("llm-1", "llm", 1).address;

  SUBCASE("by its agent")
  {
    f.gateway.OnEngineEnd({address, "llm-1", BORN}, f.now, &f.actions);
    CHECK(f.EndOf(number) == AttemptEnd::TargetEnded);
  }
  SUBCASE("not by the end of another start")
  {
    f.gateway.OnEngineEnd({address, "llm-1", BORN - 1}, f.now, &f.actions);
    CHECK_FALSE(f.EndOf(number));
  }
  SUBCASE("by a report of a later start under its id")
  {
    f.Report(f.now, BORN + 1);
    CHECK(f.EndOf(number) == AttemptEnd::TargetEnded);
  }
  SUBCASE("by a report of another target at its address, read after the close")
  {
    f.Report(closed - Milliseconds(1), 0, "llm-9");
    CHECK_FALSE(f.EndOf(number));
    f.Report(closed, 0, "llm-9");
    CHECK(f.EndOf(number) == AttemptEnd::TargetEnded);
  }
  SUBCASE("if nothing is known of it in time")
  {
    f.Advance(Milliseconds(950));
    CHECK_FALSE(f.EndOf(number));
    f.Advance(Milliseconds(20));
    CHECK(f.EndOf(number) == AttemptEnd::UnprovedEnd);
    // The stream goes on elsewhere, or is cut.
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, EventId(3), AttemptEnd::UnprovedEnd});
    f.Advance(Milliseconds(2000));
    CHECK(Only<AbortAnswer>(f.actions).size() == 1);
  }
}

// Full targets answered probes later than the ends of sound streams were held, which were cut.
TEST_CASE("The end of a stream that could not go on at once is held for longer")
{
  Fixture f;
  const RequestNumber other = f.Arrive("/chat/");
  f.Feed(f.Began(other));

  SUBCASE("as no slot is free")
  {
    const RequestNumber number = f.ClosedStream();
    f.Advance(Milliseconds(310));
    REQUIRE(Only<ProbeTarget>(f.actions).size() == 1);
    f.Advance(Milliseconds(1000));
    CHECK_FALSE(f.EndOf(number));

    SUBCASE("until the probe is answered")
    {
      f.Advance(Milliseconds(1600));
      CHECK_FALSE(f.EndOf(number));
      f.Feed(ProbeEnded{"llm-1", MakeTarget("llm-1", "llm", 1).address, ProbeOutcome::Runs});
      CHECK(f.EndOf(number) == AttemptEnd::None);
    }
    SUBCASE("until a slot is free")
    {
      f.Feed(AnswerEnded{other});
      f.Advance(Milliseconds(110));
      CHECK(f.EndOf(number) == AttemptEnd::UnprovedEnd);
    }
    SUBCASE("but not without end")
    {
      f.Advance(Milliseconds(1700));
      CHECK(f.EndOf(number) == AttemptEnd::UnprovedEnd);
    }
  }
  SUBCASE("as it may not be resumed")
  {
    f.Feed(AnswerEnded{other});
    const RequestNumber number = f.ClosedStream("/draft/");
    f.Advance(Milliseconds(2900));
    CHECK_FALSE(f.EndOf(number));
    f.Advance(Milliseconds(110));
    CHECK(f.EndOf(number) == AttemptEnd::UnprovedEnd);
  }
}

TEST_CASE("A target without an agent is probed once for all answers that it has closed")
{
  Fixture f;
  const RequestNumber first = f.Arrive("/status/");
  const RequestNumber second = f.Arrive("/status/");
  const RequestNumber third = f.Arrive("/status/");
  std::map<RequestNumber, TargetId> targets;
  for (const Dispatch& sent : Take<Dispatch>(f.actions))
    targets[sent.number] = sent.target;
  for (const RequestNumber number : {first, second, third})
    f.Feed(AnswerClosed{number});
  f.Advance(Milliseconds(20));
  const auto probes = Take<ProbeTarget>(f.actions);
  REQUIRE(probes.size() == 2);
  CHECK(probes[0].target != probes[1].target);
  const TargetId target = targets.at(first);
  const Common::Address address = probes[probes[0].target == target ? 0 : 1].address;

  SUBCASE("that answers")
  {
    f.Feed(ProbeEnded{target, address, ProbeOutcome::Runs});
    for (const RequestNumber number : {first, second, third})
      CHECK(f.EndOf(number).has_value() == (targets.at(number) == target));
  }
  SUBCASE("that has ended")
  {
    f.Feed(ProbeEnded{target, address, ProbeOutcome::Ended});
    CHECK(f.EndOf(first) == AttemptEnd::TargetEnded);
  }
  SUBCASE("and again after a while, if the probe tells nothing")
  {
    f.Feed(ProbeEnded{target, address, ProbeOutcome::Unknown});
    CHECK(Take<ProbeTarget>(f.actions).empty());
    f.Advance(Milliseconds(60));
    REQUIRE(Only<ProbeTarget>(f.actions).size() == 1);
    CHECK_FALSE(f.EndOf(first));
  }
  SUBCASE("and again for an answer that it closed after the probe was sent")
  {
    const auto count = [&] { return Only<ProbeTarget>(f.actions).size(); };
    f.Feed(AnswerBegan{first, 200, true});
    f.Feed(AnswerEnded{first, true});
    const RequestNumber later = f.Arrive("/status/");
    const auto sent = Take<Dispatch>(f.actions);
    REQUIRE(sent.size() == 1);
    f.now += Milliseconds(1);
    f.Feed(AnswerClosed{later});
    f.Feed(ProbeEnded{sent[0].target, sent[0].address, ProbeOutcome::Runs});
    CHECK_FALSE(f.EndOf(later));
    f.Advance(Milliseconds(60));
    CHECK(count() >= 1);
  }
}

// Only the list told of such ends, and a gateway that was killed before had counted none.
TEST_CASE("The end of a target without an agent is counted before the list tells of it")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  f.now += Milliseconds(5);
  f.Feed(AttemptFailed{number, AttemptFailure::Lost, {}, AttemptEnd::ClosedEarly});
  REQUIRE(f.Crashes() == 0);
  f.Advance(Milliseconds(20));
  const auto probes = Take<ProbeTarget>(f.actions);
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].target == sent[0].target);
  CHECK(probes[0].path == "/health");
  const auto end_probe = [&](ProbeOutcome outcome) {
    f.Feed(ProbeEnded{probes[0].target, probes[0].address, outcome});
  };

  SUBCASE("if a probe does not find it")
  {
    end_probe(ProbeOutcome::Ended);
    CHECK(f.Crashes() == 1);
    f.Advance(Milliseconds(400));
    CHECK(Only<ProbeTarget>(f.actions).empty());
  }
  SUBCASE("but not if it answers the probe")
  {
    end_probe(ProbeOutcome::Runs);
    f.Advance(Milliseconds(400));
    CHECK(f.Crashes() == 0);
    CHECK(Only<ProbeTarget>(f.actions).empty());
  }
  SUBCASE("if a later probe does not find it")
  {
    end_probe(ProbeOutcome::Unknown);
    CHECK(Only<ProbeTarget>(f.actions).empty());
    f.Advance(Milliseconds(60));
    CHECK(Only<ProbeTarget>(f.actions).size() == 1);
    end_probe(ProbeOutcome::Ended);
    CHECK(f.Crashes() == 1);
  }
  SUBCASE("but is not waited for without end")
  {
    end_probe(ProbeOutcome::Unknown);
    f.Advance(Milliseconds(600));
    CHECK(Only<ProbeTarget>(f.actions).empty());
  }
}

TEST_CASE("A target whose agent reports is not probed when it loses an answer")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/chat/");
  f.Feed(AttemptFailed{number, AttemptFailure::Lost, {}, AttemptEnd::ClosedEarly});
  f.Advance(Milliseconds(100));
  CHECK(Only<ProbeTarget>(f.actions).empty());
}

TEST_CASE("A request whose answer has closed is not moved to another target")
{
  Fixture f;
  const RequestNumber number = f.Arrive("/status/");
  f.actions.clear();
  f.Feed(AnswerClosed{number});
  f.Advance(Milliseconds(2900));
  CHECK(Only<CancelAttempt>(f.actions).empty());
  CHECK(Only<Dispatch>(f.actions).empty());
}

// Services need not name a health page, and plain targets have no agent.
TEST_CASE("A sound answer of a target that cannot be probed is not taken for a broken one")
{
  Fixture f;
  f.gateway.OfferDocument(MakeDocument(3), f.now);
  const RequestNumber number = f.Arrive("/status/");
  f.actions.clear();
  f.Feed(AnswerClosed{number});
  f.Advance(Milliseconds(3100));
  CHECK(Only<ProbeTarget>(f.actions).empty());
  CHECK(f.EndOf(number) == AttemptEnd::None);
}
