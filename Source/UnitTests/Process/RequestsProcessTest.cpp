// SPDX-License-Identifier: Apache-2.0
#include <chrono>
#include <csignal>

#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"

using namespace Holdpost;
using namespace Holdpost::Process;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;

// Requests and answers with real daemons.

static constexpr std::size_t MIB = 1 << 20;
// Tokens of an answer that still streams when a slow machine gets to look at it: some seconds.
static constexpr int LONG_ANSWER = 800;

static bool IsWhole(const Result<HttpReply>& result)
{
  const auto* reply = std::get_if<HttpReply>(&result);
  return reply && reply->status == 200 && reply->body.ends_with("data: [DONE]\n\n");
}

// How often the engines ran each request.
static std::map<std::string, int> Runs(Hall& hall, const std::vector<std::string>& engines)
{
  std::map<std::string, int> runs;
  for (const std::string& engine : engines)
  {
    const json stats = hall.Stats(engine);
    for (const auto& [request, count] : stats["runs"].items())
      runs[request] += count.get<int>();
  }
  return runs;
}

// Waits until the entry may send requests to so many agents.
static void WaitForTargets(Hall& hall, const std::string& entry, int agents)
{
  hall.WaitUntil(entry + " has its targets",
                 [&]
                 {
                   const json status = hall.Status(entry);
                   int ready = 0;
                   for (const json& instance : status["instances"])
                     ready += instance.value("ready", false) && instance["credits"] > 0 ? 1 : 0;
                   return ready == agents;
                 });
}

TEST_CASE("A planned stop cuts no running request")
{
  Hall hall(2, 2);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
  WaitForTargets(hall, "entry-1", 2);
  WaitForTargets(hall, "entry-2", 2);
  std::vector<std::shared_ptr<Result<HttpReply>>> answers;
  answers.reserve(15);
  for (int i = 0; i < 10; ++i)
    answers.push_back(hall.Http().Start(hall.Completion("entry-1", LONG_ANSWER)));

  SUBCASE("of an agent")
  {
    hall.WaitUntil("the agent runs some", [&] { return hall.Status("agent-1")["running"] > 0; });
    hall.Get("agent-1").Signal(SIGTERM);
    for (int i = 0; i < 5; ++i)
      answers.push_back(hall.Http().Start(hall.Completion("entry-2", 20)));
    hall.Http().Finish();
    for (const auto& answer : answers)
      CHECK(IsWhole(*answer));
    CHECK(hall.Get("agent-1").Wait() == 0);
  }
  SUBCASE("of an entry, which takes nothing new")
  {
    hall.WaitUntil("the entry has some open",
                   [&] { return hall.Status("entry-1")["open_requests"] == 10; });
    hall.Get("entry-1").Signal(SIGTERM);
    hall.Http().Finish();
    for (const auto& answer : answers)
      CHECK(IsWhole(*answer));
    CHECK(hall.Get("entry-1").Wait() == 0);
  }
}

TEST_CASE("An agent is killed while answers stream")
{
  Hall hall(2, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
  WaitForTargets(hall, "entry-1", 2);
  std::vector<std::shared_ptr<Result<HttpReply>>> answers;
  answers.reserve(15);
  for (int i = 0; i < 10; ++i)
    answers.push_back(hall.Http().Start(hall.Completion("entry-1", LONG_ANSWER)));
  hall.WaitUntil("the agent runs some", [&] { return hall.Status("agent-1")["running"] > 1; });
  hall.Get("agent-1").Kill();
  hall.Http().Finish();
  int whole = 0;
  for (const auto& answer : answers)
    whole += IsWhole(*answer) ? 1 : 0;
  // The others ended as cut, not as whole.
  CHECK(whole >= 1);
  CHECK(whole < 10);
  for (const auto& run : Runs(hall, {"engine-1", "engine-2"}))
    CHECK_MESSAGE(run.second == 1, run.first);
  // New requests go to the agent that is left.
  CHECK(IsWhole(hall.Http().Call(hall.Completion("entry-1", 5))));
}

TEST_CASE("An entry is killed: its requests are not run again")
{
  Hall hall(1, 2);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  WaitForTargets(hall, "entry-1", 1);
  WaitForTargets(hall, "entry-2", 1);
  const auto lost = hall.Http().Start(hall.Completion("entry-1", LONG_ANSWER));
  hall.WaitUntil("the request runs", [&] { return hall.Status("agent-1")["running"] == 1; });
  hall.Get("entry-1").Kill();
  hall.Http().Finish();
  CHECK_FALSE(IsWhole(*lost));
  // The agent notices and stops the run.
  hall.WaitUntil("the run is stopped", [&] { return hall.Status("agent-1")["running"] == 0; });
  CHECK(IsWhole(hall.Http().Call(hall.Completion("entry-2", 5))));
  for (const auto& run : Runs(hall, {"engine-1"}))
    CHECK_MESSAGE(run.second == 1, run.first);
}

TEST_CASE("A target's stream that breaks is never passed off as whole")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  WaitForTargets(hall, "entry-1", 1);
  hall.SetFaults("engine-1", {{"cut_answers", 1}});
  const auto cut = hall.Http().Call(hall.Completion("entry-1", 20));
  CHECK_FALSE(IsWhole(cut));
  CHECK(IsWhole(hall.Http().Call(hall.Completion("entry-1", 20))));
}

TEST_CASE("Refusals carry outcome, reason and the time to come back")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  WaitForTargets(hall, "entry-1", 1);
  const auto check = [&](Common::HttpCall call, int status, const std::string& error)
  {
    const auto result = hall.Http().Call(std::move(call));
    REQUIRE(Common::Succeeded(result));
    const auto& reply = std::get<HttpReply>(result);
    CHECK(reply.status == status);
    CHECK(reply.headers.at("holdpost-error") == error);
    CHECK(reply.headers.at("holdpost-outcome") == "not-run");
  };
  SUBCASE("a wrong credential")
  {
    auto call = hall.Completion("entry-1", 5);
    call.headers["Authorization"] = "Bearer wrong";
    check(std::move(call), 401, "bad_credential");
  }
  SUBCASE("no JSON")
  {
    auto call = hall.Completion("entry-1", 5);
    call.body = "{";
    check(std::move(call), 400, "bad_request");
  }
  SUBCASE("a model that the organisation does not know")
  {
    auto call = hall.Completion("entry-1", 5);
    call.body = R"({"model":"other","prompt":""})";
    check(std::move(call), 401, "bad_credential");
  }
  SUBCASE("a body over the limit")
  {
    auto call = hall.Completion("entry-1", 5);
    call.body = std::string(5 * MIB, 'x');
    check(std::move(call), 413, "too_large");
  }
  SUBCASE("no target left")
  {
    hall.Get("agent-1").Kill();
    hall.WaitUntil("the entry knows",
                   [&]
                   {
                     const auto result = hall.Http().Call(hall.Completion("entry-1", 5));
                     const auto* reply = std::get_if<HttpReply>(&result);
                     return reply && reply->headers.contains("holdpost-error") &&
                            reply->headers.at("holdpost-error") == "no_target" &&
                            reply->headers.at("retry-after") == "2";
                   });
  }
}

TEST_CASE("A caller that goes away stops its run")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  WaitForTargets(hall, "entry-1", 1);
  {
    Caller impatient;
    impatient.Start(hall.Completion("entry-1", 5000));
    hall.WaitUntil("the request runs",
                   [&]
                   {
                     impatient.RunDue();
                     return hall.Status("agent-1")["running"] == 1;
                   });
  }
  hall.WaitUntil("the run is stopped", [&] { return hall.Status("agent-1")["running"] == 0; });
}

TEST_CASE("A request under a key runs once through whatever entry it comes")
{
  Hall hall(2, 2);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
  WaitForTargets(hall, "entry-1", 2);
  WaitForTargets(hall, "entry-2", 2);
  const auto keyed = [&](const std::string& entry, int tokens)
  {
    auto call = hall.Completion(entry, tokens);
    call.headers["Idempotency-Key"] = "report-17";
    return call;
  };
  const auto total_runs = [&]
  {
    int total = 0;
    for (const auto& [request, count] : Runs(hall, {"engine-1", "engine-2"}))
      total += count;
    return total;
  };
  const auto error_of = [](const Result<HttpReply>& result)
  {
    const auto* reply = std::get_if<HttpReply>(&result);
    return reply && reply->headers.contains("holdpost-error") ? reply->headers.at("holdpost-error")
                                                              : std::string();
  };

  SUBCASE("and a retry gets the kept answer")
  {
    const auto first = hall.Http().Call(keyed("entry-1", 10));
    REQUIRE(IsWhole(first));
    const auto again = hall.Http().Call(keyed("entry-2", 10));
    INFO(error_of(again));
    REQUIRE(IsWhole(again));
    CHECK(std::get<HttpReply>(first).body == std::get<HttpReply>(again).body);
    CHECK(total_runs() == 1);
    CHECK(error_of(hall.Http().Call(keyed("entry-1", 11))) == "key_reused");
  }
  SUBCASE("also when the append's answer gets lost")
  {
    hall.SetFaults("platform", {{"lose_append_answers", 1}});
    CHECK(IsWhole(hall.Http().Call(keyed("entry-1", 10))));
    CHECK(total_runs() == 1);
  }
  SUBCASE("and never again after its entry was killed")
  {
    const auto lost = hall.Http().Start(keyed("entry-1", LONG_ANSWER));
    hall.WaitUntil("the request runs",
                   [&] {
                     return hall.Status("agent-1")["running"] == 1 ||
                            hall.Status("agent-2")["running"] == 1;
                   });
    CHECK(error_of(hall.Http().Call(keyed("entry-2", LONG_ANSWER))) == "key_busy");
    hall.Get("entry-1").Kill();
    hall.Http().Finish();
    hall.WaitUntil("the outcome is called unknown",
                   [&] {
                     return error_of(hall.Http().Call(keyed("entry-2", LONG_ANSWER))) ==
                            "key_outcome_unknown";
                   });
    CHECK(total_runs() == 1);
  }
  SUBCASE("and is refused as not run while the log is away")
  {
    hall.SetFaults("platform", {{"log_down", true}});
    hall.WaitUntil("the entry knows",
                   [&] { return hall.Status("entry-1")["log_reachable"] == false; });
    CHECK(error_of(hall.Http().Call(keyed("entry-1", 10))) == "log_unavailable");
    CHECK(IsWhole(hall.Http().Call(hall.Completion("entry-1", 5))));
    CHECK(total_runs() == 1);
  }
}

// Regression: each event put the next tick off, so an agent with many events sent no report.
TEST_CASE("An agent reports while requests come without a pause")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  WaitForTargets(hall, "entry-1", 1);
  // Twice the silence after which an agent counts as gone.
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  int whole = 0;
  int asked = 0;
  while (std::chrono::steady_clock::now() < until)
  {
    ++asked;
    whole += IsWhole(hall.Http().Call(hall.Completion("entry-1", 1))) ? 1 : 0;
  }
  CHECK(whole == asked);
  CHECK(hall.Status("entry-1")["instances"][0]["alive"] == true);
  MESSAGE(asked, " requests");
}
