// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Testing::LogCapture;
using Testing::Take;

TEST_CASE("The log event of a failed request shows the data behind its last attempt")
{
  LogCapture log;
  GatewayFixture f;
  SUBCASE("refused under load: the utilization of the service, and the expected start at the best "
          "target")
  {
    for (int i = 0; i < 40; ++i)
      f.Arrive("/chat/");
    f.Advance(Milliseconds(100));
    const auto lines = log.Lines("request.refused");
    REQUIRE(!lines.empty());
    CHECK(lines[0]["reason"] == "queue_full");
    CHECK(lines[0]["status"] == 503);
    CHECK(lines[0]["service"] == "llm");
    CHECK(lines[0]["utilization"] >= 1.0);
    CHECK(lines[0]["best_expected_ms"] > 0);
    CHECK(lines[0]["goal_ms"] == 400);
    CHECK(lines[0]["admitted_part"] <= 1);
    CHECK(lines[0]["arrivals_per_second"] > 0);
    CHECK(lines[0].contains("refused_share"));
    CHECK(lines[0]["settings"] == 1);
    CHECK(lines[0]["attempts"] == 0);
    CHECK(lines[0]["targets"] == 2);
    CHECK(lines[0]["open"] == 2);
  }
  SUBCASE("refused while no target is open: the reason for each target")
  {
    TargetLoad switching;
    switching.address = f.listed.at(0).address;
    switching.is_switching = true;
    f.gateway.OnTargetLoad(switching, f.now, &f.actions);
    std::vector<ListedTarget> list = f.listed;
    list[1].state = TargetState::Leaving;
    f.SetTargets(list);
    f.Arrive("/chat/");
    // A target that loads weights may be ready in time, so the request waits a little longer for
    // it.
    f.Advance(Milliseconds(150));
    const auto lines = log.Lines("request.refused");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["best_expected_ms"] == -1);
    CHECK(lines[0]["targets"] == 2);
    CHECK(lines[0]["open"] == 0);
    CHECK(lines[0]["switching"] == 1);
    CHECK(lines[0]["leaving"] == 1);
  }
  SUBCASE("refused while all weights are too old: the number of targets with old weights")
  {
    f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
    f.now += Milliseconds(7700);
    f.Arrive("/chat/");
    f.Advance(Milliseconds(100));
    const auto lines = log.Lines("request.refused");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["old_weights"] == 2);
  }
  SUBCASE("refused after a start: the number of targets of which nothing was reported")
  {
    TargetLoad switching;
    switching.address = f.listed.at(0).address;
    switching.is_switching = true;
    f.gateway.OnTargetLoad(switching, f.now, &f.actions);
    f.Arrive("/chat/");
    f.Advance(Milliseconds(150));
    const auto lines = log.Lines("request.refused");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["switching"] == 1);
    CHECK(lines[0]["unreported"] == 1);
  }
  SUBCASE(
      "cut in the middle of the answer: the target, the time since it was sent, and the last event")
  {
    const RequestNumber number = f.Arrive("/draft/");
    const auto sent = Take<Dispatch>(f.actions);
    f.Advance(Milliseconds(70));
    f.Feed(f.Began(number));
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, EventId(3), AttemptEnd::ClosedEarly});
    const auto lines = log.Lines("request.cut");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["reason"] == "unreachable");
    CHECK(lines[0]["target"] == sent.at(0).target);
    CHECK(lines[0]["at"] == sent.at(0).address.ToString());
    CHECK(lines[0]["sent_ms_ago"] == 70);
    CHECK(lines[0]["answer_status"] == 200);
    CHECK(lines[0]["last_event"] == 3);
    CHECK(lines[0]["ended_by"] == "closed_early");
    CHECK(lines[0]["attempts"] == 1);
    CHECK(lines[0]["expected_ms"] > 0);
  }
  SUBCASE("lost without an answer: the number of times that it may have run")
  {
    const RequestNumber number = f.Arrive("/book/");
    f.Feed(AttemptFailed{number, AttemptFailure::Lost, std::nullopt});
    const auto lines = log.Lines("request.refused");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["status"] == 502);
    CHECK(lines[0]["runs"] == 1);
    CHECK(lines[0]["answer_status"] == 0);
    CHECK(lines[0]["target"].get<std::string>().starts_with("desk-"));
  }
  SUBCASE("a failure answer of the target is passed on: its status and the target's address")
  {
    const RequestNumber number = f.Arrive("/book/");
    f.Feed(f.Began(number, 500));
    f.Feed(AnswerEnded{number});
    const auto lines = log.Lines("request.done");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["answer_status"] == 500);
    CHECK(lines[0]["at"].get<std::string>().starts_with("10.0.0.2:"));
  }
  SUBCASE("retried: the reason, and the previous target")
  {
    const RequestNumber number = f.Arrive("/status/");
    const auto sent = Take<Dispatch>(f.actions);
    f.Feed(f.Began(number, 500));
    const auto lines = log.Lines("request.retry");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["reason"] == "failure_answer");
    CHECK(lines[0]["answer_status"] == 500);
    CHECK(lines[0]["target"] == sent.at(0).target);
  }
}

TEST_CASE("An answer with weights that are to be replaced is logged near the switch deadline and "
          "after it")
{
  LogCapture log;
  GatewayFixture f;
  f.gateway.OnWeightsNamed("m", {2, {f.now}}, f.now);
  f.gateway.OnWeightsNamed("m", {3, {f.now + Milliseconds(3000)}}, f.now);
  f.now += Milliseconds(3000);
  const RequestNumber number = f.Arrive("/chat/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  const auto begin = [&](Milliseconds after_naming, std::uint64_t weights)
  {
    f.now = START + after_naming;
    AnswerBegan began = f.Began(number);
    began.weights_version = weights;
    f.Feed(began);
    return log.Lines("request.old_weights");
  };
  const std::string label = "service=\"llm\",outcome=\"begun\"";
  SUBCASE("nothing is logged for an answer with the newest weights")
  {
    CHECK(begin(Milliseconds(8100), 3).empty());
  }
  SUBCASE("nothing is logged for an answer of a target that does not report its version")
  {
    CHECK(begin(Milliseconds(8100), 0).empty());
  }
  SUBCASE("nothing but the metric is recorded for an answer long before the switch deadline")
  {
    CHECK(begin(Milliseconds(7000), 1).empty());
    CHECK(f.metrics.Render().find("holdpost_old_weights_left_seconds_count{" + label + "} 1") !=
          std::string::npos);
  }
  SUBCASE("an answer shortly before the switch deadline is logged")
  {
    const auto lines = begin(Milliseconds(7900), 1);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["begun_on"] == 1);
    CHECK(lines[0]["replaced_by"] == 2);
    CHECK(lines[0]["left_ms"] == 100);
    CHECK(lines[0]["sent_ms_ago"] == 4900);
    CHECK(lines[0]["target"] == sent[0].target);
    CHECK(lines[0]["expected_ms"] > 0);
    CHECK(f.metrics.Counter("holdpost_begun_too_late_total", label) == 0);
  }
  SUBCASE("an answer after the switch deadline is logged and counted")
  {
    const auto lines = begin(Milliseconds(8100), 1);
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["left_ms"] == -100);
    CHECK(f.metrics.Counter("holdpost_begun_too_late_total", label) == 1);
  }
  SUBCASE("a request that the gateway cancels at its target before it begins is logged")
  {
    f.Advance(Milliseconds(4800));
    const auto lines = log.Lines("request.taken_back");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["reason"] == "old_weights");
    CHECK(lines[0]["sent_ms_ago"] == 4800);
    CHECK(f.metrics.Counter("holdpost_taken_back_total", "reason=\"old_weights\"") == 1);
  }
}

TEST_CASE("Each change of targets or gateways is logged once when the gateway learns of it")
{
  LogCapture log;
  GatewayFixture f;
  CHECK(log.Lines("targets.known").size() == 1);
  CHECK(log.Lines("gateways.counted").size() == 1);
  std::vector<ListedTarget> list = f.listed;
  list[0].state = TargetState::Leaving;
  list.pop_back();
  list.push_back(MakeTarget("desk-9", "desk"));
  f.SetTargets(list);
  f.SetTargets(list);
  REQUIRE(log.Lines("target.leaving").size() == 1);
  CHECK(log.Lines("target.leaving")[0]["target"] == "llm-1");
  REQUIRE(log.Lines("target.gone").size() == 1);
  CHECK(log.Lines("target.gone")[0]["target"] == "desk-2");
  REQUIRE(log.Lines("target.listed").size() == 1);
  CHECK(log.Lines("target.listed")[0]["target"] == "desk-9");

  const RequestNumber number = f.Arrive("/status/");
  f.Feed(AttemptFailed{number, AttemptFailure::NotSent, std::nullopt});
  REQUIRE(log.Lines("target.avoided").size() == 1);
  CHECK(log.Lines("target.avoided")[0]["failures"] == 1);
  CHECK(log.Lines("target.avoided")[0]["for_ms"] > 0);

  f.gateway.SetGateways({3, 1, 3}, f.now);
  f.gateway.SetGateways({3, 1, 3}, f.now);
  REQUIRE(log.Lines("gateways.counted").size() == 2);
  CHECK(log.Lines("gateways.counted")[1]["before"] == 1);
  CHECK(log.Lines("gateways.counted")[1]["retry_sharers"] == 3);
}
