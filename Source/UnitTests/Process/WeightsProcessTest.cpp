// SPDX-License-Identifier: Apache-2.0
#include <csignal>

#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"

using namespace Holdpost::Process;
using nlohmann::json;

// Pushes of weights with real daemons: no instance serves partial or mixed weights, whatever fails.

static constexpr std::size_t MIB = 1 << 20;
static constexpr std::size_t PIECE = 64 << 10;
// Slow enough that faults find pieces on the way: 4 MiB take some seconds.
static const json SLOW_LINK = {
    {"link_bytes_per_second", 2 * MIB}, {"patience_ms", 500}, {"stall_ms", 1000}};

static int PiecesHeld(Hall& hall, const std::string& agent)
{
  const json status = hall.Status(agent);
  if (!status.is_object() || status["versions"].empty())
    return 0;
  return status["versions"].back()["pieces_held"];
}

static void CheckNoWrongWeights(Hall& hall, int engines)
{
  for (int i = 1; i <= engines; ++i)
    CHECK(hall.Stats("engine-" + std::to_string(i))["corrupt_pieces_taken"] == 0);
}

TEST_CASE("A corrupt piece never reaches an engine")
{
  Hall hall(3, 0);
  const std::string version = hall.MakeWeights("v1", 2 * MIB, PIECE);
  hall.SetFaults("platform", {{"corrupt_pieces", 5}});
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, version);
  CHECK(hall.Stats("platform")["corrupt_pieces_left"] == 0);
  CheckNoWrongWeights(hall, 3);
}

TEST_CASE("An agent is killed while pieces are on the way")
{
  Hall hall(4, 0);
  const std::string version = hall.MakeWeights("v1", 4 * MIB, PIECE);
  REQUIRE(hall.Publish(version, SLOW_LINK) == 0);
  hall.WaitUntil("agent-2 has some pieces", [&] { return PiecesHeld(hall, "agent-2") > 5; });
  hall.Get("agent-2").Kill();
  hall.WaitServing({"agent-1", "agent-3", "agent-4"}, version);
  CHECK(hall.CopiesFetched(version) <= 1.5);
  CheckNoWrongWeights(hall, 4);

  SUBCASE("and its replacement takes all from its peers")
  {
    const double before = hall.CopiesFetched(version);
    hall.StartAgent("agent-2", "engine-2", "target-2");
    hall.WaitServing({"agent-2"}, version);
    CHECK(hall.CopiesFetched(version) == before);
  }
}

TEST_CASE("An agent is stopped past its lease while another takes its target over")
{
  const bool checks_fence = false;
  Hall hall(0, 0);
  hall.StartEngine("engine-1", {{"checks_fence", checks_fence}});
  hall.StartAgent("agent-1", "engine-1", "target-1", checks_fence);
  const std::string first = hall.MakeWeights("v1", MIB, PIECE);
  const std::string second = hall.MakeWeights("v2", MIB, PIECE);
  const json short_lease = {{"lease_ms", 1500}};
  REQUIRE(hall.Publish(first, short_lease) == 0);
  hall.WaitServing({"agent-1"}, first);

  hall.Get("agent-1").Signal(SIGSTOP);
  REQUIRE(hall.Publish(second, short_lease) == 0);
  hall.StartAgent("agent-2", "engine-1", "target-1", checks_fence);
  hall.WaitServing({"agent-2"}, second);
  hall.Get("agent-1").Signal(SIGCONT);
  // The stopped one reads the log again and finds out that it lost the target.
  hall.WaitUntil("agent-1 has caught up",
                 [&]
                 {
                   const json status = hall.Status("agent-1");
                   return status.is_object() &&
                          status["position"] == hall.Status("agent-2")["position"];
                 });
  const json loads = hall.Stats("engine-1")["loads"];
  CHECK(loads == json::array({first, second}));
}

TEST_CASE("The version changes twice while copies move")
{
  Hall hall(3, 0);
  const std::string first = hall.MakeWeights("v1", 4 * MIB, PIECE);
  const std::string second = hall.MakeWeights("v2", 4 * MIB, PIECE);
  const std::string third = hall.MakeWeights("v3", 2 * MIB, PIECE);
  REQUIRE(hall.Publish(first, SLOW_LINK) == 0);
  hall.WaitUntil("pieces move", [&] { return PiecesHeld(hall, "agent-1") > 2; });
  REQUIRE(hall.Publish(second, SLOW_LINK) == 0);
  hall.WaitUntil("pieces move", [&] { return PiecesHeld(hall, "agent-1") > 2; });
  REQUIRE(hall.Publish(third, SLOW_LINK) == 0);
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, third);
  for (int i = 1; i <= 3; ++i)
    CHECK(hall.Stats("engine-" + std::to_string(i))["loads"].back() == third);
  CheckNoWrongWeights(hall, 3);
}

TEST_CASE("The log is gone for the whole push after the settings were read")
{
  Hall hall(3, 1);
  const std::string version = hall.MakeWeights("v1", 4 * MIB, PIECE);
  REQUIRE(hall.Publish(version, SLOW_LINK) == 0);
  hall.WaitUntil("every agent has begun",
                 [&]
                 {
                   return PiecesHeld(hall, "agent-1") > 0 && PiecesHeld(hall, "agent-2") > 0 &&
                          PiecesHeld(hall, "agent-3") > 0;
                 });
  hall.SetFaults("platform", {{"log_down", true}});
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, version);
  CHECK(hall.CopiesFetched(version) <= 1.25);
}

TEST_CASE("Answers to appended claims get lost")
{
  Hall hall(0, 0);
  hall.SetFaults("platform", {{"lose_append_answers", 2}});
  for (const char* number : {"1", "2"})
  {
    hall.StartEngine(std::string("engine-") + number);
    hall.StartAgent(std::string("agent-") + number, std::string("engine-") + number,
                    std::string("target-") + number);
  }
  hall.WaitUntil(
      "both have claimed",
      [&] { return hall.Status("agent-1")["fence"] > 0 && hall.Status("agent-2")["fence"] > 0; });
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
}

TEST_CASE("The answer to a published change gets lost")
{
  Hall hall(1, 0);
  hall.WaitUntil("the agent has claimed", [&] { return hall.Status("agent-1")["fence"] > 0; });
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  hall.SetFaults("platform", {{"lose_append_answers", 1}});
  const auto appends = hall.Stats("platform")["appends"].get<int>();
  // The operator's command finds the change in the log and does not append it again.
  CHECK(hall.Publish(version) == 0);
  CHECK(hall.Stats("platform")["appends"] == appends + 1);
  hall.WaitServing({"agent-1"}, version);
}

TEST_CASE("A peer is frozen in the middle of a push")
{
  Hall hall(4, 0);
  const std::string version = hall.MakeWeights("v1", 4 * MIB, PIECE);
  REQUIRE(hall.Publish(version, SLOW_LINK) == 0);
  hall.WaitUntil("agent-3 has some pieces", [&] { return PiecesHeld(hall, "agent-3") > 5; });
  hall.Get("agent-3").Signal(SIGSTOP);
  hall.WaitServing({"agent-1", "agent-2", "agent-4"}, version);
  hall.Get("agent-3").Signal(SIGCONT);
  hall.WaitServing({"agent-3"}, version);
  CheckNoWrongWeights(hall, 4);
}

TEST_CASE("The agents that should fetch most from the origin are killed at the start")
{
  Hall hall(4, 0, {{"origin_bytes_per_second", 4 * MIB}});
  const std::string version = hall.MakeWeights("v1", 4 * MIB, PIECE);
  REQUIRE(hall.Publish(version, SLOW_LINK) == 0);
  hall.WaitUntil("pieces move", [&] { return PiecesHeld(hall, "agent-1") > 0; });
  hall.Get("agent-2").Kill();
  hall.Get("agent-3").Kill();
  hall.WaitServing({"agent-1", "agent-4"}, version);
  CHECK(hall.CopiesFetched(version) <= 2);
  CheckNoWrongWeights(hall, 4);
}

TEST_CASE("Two faults at once: a corrupt origin and a killed agent, with the log gone")
{
  Hall hall(4, 0);
  const std::string version = hall.MakeWeights("v1", 4 * MIB, PIECE);
  REQUIRE(hall.Publish(version, SLOW_LINK) == 0);
  hall.WaitUntil("pieces move", [&] { return PiecesHeld(hall, "agent-1") > 2; });
  hall.SetFaults("platform", {{"corrupt_pieces", 3}, {"log_down", true}});
  hall.Get("agent-4").Kill();
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, version);
  CheckNoWrongWeights(hall, 4);
}

TEST_CASE("The platform cannot be reached by some agents: they live on their peers")
{
  Hall hall(2, 0, {{"listeners", 2}});
  hall.StartEngine("engine-3");
  hall.StartAgent("agent-3", "engine-3", "target-3", true, 1);
  const std::string first = hall.MakeWeights("v1", MIB, PIECE);
  const std::string second = hall.MakeWeights("v2", MIB, PIECE);
  REQUIRE(hall.Publish(first) == 0);
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, first);
  hall.SetFaults("platform", {{"cut", {1}}});
  REQUIRE(hall.Publish(second) == 0);
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, second);
  CHECK(hall.Status("agent-3")["log_reachable"] == false);
}

TEST_CASE("The weight store is used before the origin")
{
  Hall hall(3, 0, {{"has_store", true}});
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2", "agent-3"}, version);
  CHECK(hall.CopiesFetched(version) == 0);
}

TEST_CASE("A new agent starts after the log has dropped the first records")
{
  Hall hall(2, 0, {{"retain_records", 40}});
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version, {{"snapshot_records", 10}}) == 0);
  for (int i = 1; i <= 60; ++i)
    REQUIRE(hall.Publish(version, {{"snapshot_records", 10}, {"neighbours", i}}) == 0);
  hall.StartEngine("engine-3");
  hall.StartAgent("agent-3", "engine-3", "target-3");
  hall.WaitServing({"agent-3"}, version);
  hall.WaitUntil(
      "it has what the others have",
      [&] { return hall.Status("agent-3")["accepted"] == hall.Status("agent-1")["accepted"]; });
}

TEST_CASE("Every agent of a hall is replaced")
{
  Hall hall(2, 0);
  const std::string version = hall.MakeWeights("v1", MIB, PIECE);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
  hall.Get("agent-1").Kill();
  hall.Get("agent-2").Kill();
  hall.StartAgent("agent-1", "engine-1", "target-1");
  hall.StartAgent("agent-2", "engine-2", "target-2");
  hall.WaitServing({"agent-1", "agent-2"}, version);
  CheckNoWrongWeights(hall, 2);
}
