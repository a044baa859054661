// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"

using namespace Holdpost;
using namespace Holdpost::Process;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;

// What an agent knows of its engine.

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
