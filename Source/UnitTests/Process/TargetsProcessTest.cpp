// SPDX-License-Identifier: Apache-2.0
#include <chrono>
#include <csignal>
#include <functional>

#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"

using namespace Holdpost;
using namespace Holdpost::Process;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;

// What an agent knows of its engine, with engines that take orders late, end and start again.

static constexpr std::size_t MIB = 1 << 20;
static constexpr std::size_t PIECE = 64 << 10;

// The version that an answer names; empty if there was no answer of an engine.
static std::string VersionOf(const Result<HttpReply>& result)
{
  const auto* reply = std::get_if<HttpReply>(&result);
  if (!reply || reply->status != 200 || !reply->headers.contains("holdpost-version"))
    return "";
  return reply->headers.at("holdpost-version");
}

static bool IsWhole(const Result<HttpReply>& result)
{
  const auto* reply = std::get_if<HttpReply>(&result);
  return reply && reply->status == 200 && reply->body.ends_with("data: [DONE]\n\n");
}

// Asks until an answer is whole; returns the versions of all answers that were passed on.
static std::vector<std::string> AskUntilWhole(Hall& hall, const std::string& version)
{
  std::vector<std::string> versions;
  hall.WaitUntil("an answer is whole and of the newest version",
                 [&]
                 {
                   const auto result = hall.Http().Call(hall.Completion("entry-1", 5));
                   const std::string named = VersionOf(result);
                   if (!named.empty())
                     versions.push_back(named);
                   return IsWhole(result) && named == version;
                 });
  return versions;
}

// Regression: an order that was given up was taken later, and its version stayed on the engine.
TEST_CASE("An engine takes an order late")
{
  bool checks_fence = true;
  bool is_taken_back = false;
  SUBCASE("after it has loaded the next version, and checks fences") {}
  SUBCASE("after it has loaded the next version, and checks no fences")
  {
    checks_fence = false;
  }
  SUBCASE("after the version was taken back, and checks fences")
  {
    is_taken_back = true;
  }
  SUBCASE("after the version was taken back, and checks no fences")
  {
    is_taken_back = true;
    checks_fence = false;
  }
  Hall hall(0, 1);
  hall.StartEngine("engine-1", {{"checks_fence", checks_fence}, {"keeps_weights", true}});
  hall.StartAgent("agent-1", "engine-1", "target-1", checks_fence);
  const std::string first = hall.MakeWeights("v1", MIB, PIECE);
  const std::string second = hall.MakeWeights("v2", MIB, PIECE);
  const std::string third = hall.MakeWeights("v3", MIB, PIECE);
  REQUIRE(hall.Publish(first) == 0);
  hall.WaitServing({"agent-1"}, first);
  AskUntilWhole(hall, first);
  hall.SetFaults("engine-1", {{"hold_loads", 1}});
  REQUIRE(hall.Publish(second) == 0);
  hall.WaitUntil("the engine holds the order",
                 [&] { return hall.Stats("engine-1")["loads_held"] == 1; });

  const std::string newest = is_taken_back ? first : third;
  REQUIRE(hall.Publish(newest) == 0);
  hall.WaitUntil("the newest order is carried out",
                 [&] {
                   return hall.Stats("engine-1")["loads"] == json::array({first, newest});
                 });
  hall.WaitServing({"agent-1"}, newest);
  hall.SetFaults("engine-1", {{"release_loads", true}});
  for (const std::string& version : AskUntilWhole(hall, newest))
    CHECK(version == newest);
  CHECK(hall.Stats("engine-1")["loaded"] == newest);
}

// Regression: an agent offered its engine as ready after the engine had started without weights.
TEST_CASE("An engine that starts again without weights is loaded again")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  AskUntilWhole(hall, version);
  const std::string address = hall.Get("engine-1").At("address").ToString();

  SUBCASE("while nobody asks")
  {
    hall.Get("engine-1").Kill();
  }
  SUBCASE("while answers stream")
  {
    std::vector<std::shared_ptr<Result<HttpReply>>> answers;
    answers.reserve(4);
    for (int i = 0; i < 4; ++i)
      answers.push_back(hall.Http().Start(hall.Completion("entry-1", 2000)));
    hall.WaitUntil("requests run", [&] { return hall.Status("agent-1")["running"] == 4; });
    hall.Get("engine-1").Kill();
    hall.Http().Finish();
    for (const auto& answer : answers)
      CHECK_FALSE(Common::Succeeded(*answer));
  }
  hall.StartEngine("engine-1", {{"listen", address}});
  for (const std::string& named : AskUntilWhole(hall, version))
    CHECK(named == version);
  CHECK(hall.Stats("engine-1")["loaded"] == version);
}

TEST_CASE("A process that is killed while answers stream ends none of them as whole")
{
  static constexpr int ROUNDS = 12;
  static constexpr int REQUESTS = 4;
  static constexpr int TOKENS = 40;
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  AskUntilWhole(hall, version);
  std::string victim;
  std::function<void()> restart;
  SUBCASE("an engine")
  {
    victim = "engine-1";
    restart = [&hall, address = hall.Get("engine-1").At("address").ToString()] {
      hall.StartEngine("engine-1", {{"listen", address}});
    };
  }
  SUBCASE("an agent")
  {
    victim = "agent-1";
    restart = [&hall] { hall.StartAgent("agent-1", "engine-1", "target-1"); };
  }
  SUBCASE("an entry")
  {
    victim = "entry-1";
    restart = [&hall] { hall.StartEntry("entry-1"); };
  }
  int not_whole = 0;
  int whole = 0;
  for (int round = 0; round < ROUNDS; ++round)
  {
    std::vector<std::shared_ptr<Result<HttpReply>>> answers;
    answers.reserve(REQUESTS);
    for (int i = 0; i < REQUESTS; ++i)
      answers.push_back(hall.Http().Start(hall.Completion("entry-1", TOKENS)));
    // Before the first part, between any two, and after the last one.
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(25 * round);
    while (std::chrono::steady_clock::now() < until)
      hall.Http().RunDue();
    hall.Get(victim).Kill();
    hall.Http().Finish();
    for (const auto& answer : answers)
    {
      const auto* reply = std::get_if<HttpReply>(answer.get());
      const bool is_passed_on = reply && reply->status == 200;
      ++(is_passed_on ? whole : not_whole);
      if (is_passed_on)
        CHECK_MESSAGE(IsWhole(*answer), reply->body);
    }
    restart();
    AskUntilWhole(hall, version);
  }
  MESSAGE(whole, " whole answers, ", not_whole, " others");
  CHECK(not_whole > 0);
}

// Regression: an agent that had lost its target went on to send it requests.
TEST_CASE("An agent that is stopped while another takes its target over offers it no more")
{
  Hall hall(0, 1);
  hall.StartEngine("engine-1");
  hall.StartAgent("agent-1", "engine-1", "target-1");
  const std::string first = hall.MakeWeights("v1", MIB, PIECE);
  const std::string second = hall.MakeWeights("v2", MIB, PIECE);
  REQUIRE(hall.Publish(first) == 0);
  hall.WaitServing({"agent-1"}, first);
  hall.Get("agent-1").Signal(SIGSTOP);
  hall.StartAgent("agent-2", "engine-1", "target-1");
  REQUIRE(hall.Publish(second) == 0);
  hall.WaitServing({"agent-2"}, second);
  hall.Get("agent-1").Signal(SIGCONT);
  const auto row_of = [&](const std::string& agent) -> json
  {
    const json status = hall.Status("entry-1");
    for (const json& row : status["instances"])
    {
      if (row["instance"] == agent)
        return row;
    }
    return json::object();
  };
  hall.WaitUntil("the entry hears that agent-1 has lost its target",
                 [&]
                 {
                   const json row = row_of("agent-1");
                   return row.value("alive", false) && !row.value("ready", true);
                 });
  // The entry may hear of the one agent's loss some ms before it may use the other one.
  AskUntilWhole(hall, second);
  for (int i = 0; i < 10; ++i)
  {
    const auto result = hall.Http().Call(hall.Completion("entry-1", 5));
    CHECK(IsWhole(result));
    CHECK(VersionOf(result) == second);
  }
}
