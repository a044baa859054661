// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "UnitTests/Process/Hall.h"
#include "UnitTests/Support/OddValues.h"

using namespace Holdpost;
using namespace Holdpost::Process;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;
using Testing::OddText;

// Entries and agents before a platform that another writer fills with odd records.

namespace
{
constexpr std::size_t MIB = 1 << 20;
// The platform takes no deeper ones, and its list has some levels of its own.
constexpr std::size_t MAX_DEPTH = 63;
const std::vector<std::string> FIELDS = {"/hall", "/pool", "/role", "/address", "/state"};

json ListedAgent(const std::string& address)
{
  return {{"hall", "oslo-a"},
          {"pool", "runners"},
          {"role", "agent"},
          {"address", address},
          {"state", "live"}};
}

void PutInstance(Hall& hall, const std::string& name, const std::string& text)
{
  Common::HttpCall call;
  call.to = hall.Get("platform").At("address");
  call.method = "PUT";
  call.path = "/instances/" + name;
  call.body = text;
  hall.Http().Call(std::move(call));
}

void AppendToLog(Hall& hall, const std::string& text)
{
  Common::HttpCall call;
  call.to = hall.Get("platform").At("address");
  call.method = "POST";
  call.path = "/log";
  call.body = text;
  hall.Http().Call(std::move(call));
}

bool Uses(Hall& hall, const std::string& entry, const std::string& agent)
{
  const json status = hall.Status(entry);
  return std::ranges::any_of(status["instances"],
                             [&](const json& instance)
                             {
                               return instance["instance"] == agent &&
                                      instance.value("ready", false) && instance["credits"] > 0;
                             });
}

void CheckAllRun(Hall& hall, const std::vector<std::string>& names)
{
  for (const std::string& name : names)
  {
    CAPTURE(name);
    CHECK(hall.Get(name).IsRunning());
  }
}
} // namespace

// Guards against entries and agents that stop following the list of instances as long as another
// writer's odd entry stands on it.
TEST_CASE("However odd the entries on the list of instances are, agents listed later are used")
{
  Hall hall(1, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1"}, version);
  hall.WaitUntil("the first agent is used", [&] { return Uses(hall, "entry-1", "agent-1"); });
  const std::vector<OddText> odd = Testing::OddTexts(ListedAgent("127.0.0.1:1"), FIELDS, MAX_DEPTH);

  SUBCASE("each under a name of its own")
  {
    for (std::size_t i = 0; i < odd.size(); ++i)
      PutInstance(hall, "other-" + std::to_string(i), odd[i].text);
  }
  SUBCASE("one that is deep in a list that is deep enough without")
  {
    PutInstance(hall, "other-1",
                Testing::WithField(ListedAgent("127.0.0.1:1"), "/Odd", Testing::NestedLists(63)));
  }
  SUBCASE("one without an address")
  {
    PutInstance(hall, "other-1", R"({"hall": "oslo-a", "role": "agent"})");
  }
  SUBCASE("and an entry that starts")
  {
    for (std::size_t i = 0; i < odd.size(); ++i)
      PutInstance(hall, "other-" + std::to_string(i), odd[i].text);
    hall.StartEntry("entry-2");
    hall.WaitUntil("the new entry uses the agent",
                   [&] { return Uses(hall, "entry-2", "agent-1"); });
  }
  hall.StartEngine("engine-2");
  hall.StartAgent("agent-2", "engine-2", "target-2");
  hall.WaitUntil("the new agent is used", [&] { return Uses(hall, "entry-1", "agent-2"); });
  CheckAllRun(hall, {"agent-1", "agent-2", "entry-1"});
}

TEST_CASE("An agent whose entry was odd for a while is used when it is sound again")
{
  Hall hall(2, 1);
  const std::string version = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(version) == 0);
  hall.WaitServing({"agent-1", "agent-2"}, version);
  const json sound = ListedAgent(hall.Get("agent-2").At("rpc").ToString());
  for (const OddText& odd : Testing::OddTexts(sound, FIELDS, MAX_DEPTH))
    PutInstance(hall, "agent-2", odd.text);
  PutInstance(hall, "agent-2", sound.dump());
  hall.WaitUntil("both agents are used", [&]
                 { return Uses(hall, "entry-1", "agent-1") && Uses(hall, "entry-1", "agent-2"); });
  const auto reply = hall.Http().Call(hall.Completion("entry-1", 10));
  REQUIRE(Common::Succeeded(reply));
  CHECK(std::get<HttpReply>(reply).status == 200);
  CheckAllRun(hall, {"agent-1", "agent-2", "entry-1"});
}

TEST_CASE("However odd the records of the log are, settings published later are in force")
{
  Hall hall(1, 1);
  const std::string first = hall.MakeWeights("v1", MIB, 64 << 10);
  REQUIRE(hall.Publish(first) == 0);
  hall.WaitServing({"agent-1"}, first);
  const std::vector<json> records = {
      {{"type", "change"},
       {"id", "odd"},
       {"author", "other"},
       {"nodes", {{{"path", "/"}, {"base", 99}, {"settings", {{"heartbeat_ms", 100}}}}}}},
      {{"type", "target"}, {"id", "odd"}, {"target", "target-9"}, {"instance", "agent-9"}},
      {{"type", "snapshot"}, {"offset", 1'000'000'000}, {"state", "{}"}},
      {{"type", "keys"},
       {"id", "odd"},
       {"entry", "entry-9"},
       {"incarnation", 1},
       {"claims", {{{"scope", "s"}, {"key", "k"}, {"request", "r"}}}}}};
  int appended = 0;
  for (const json& record : records)
  {
    std::vector<std::string> fields;
    const json flat = record.flatten();
    for (const auto& [pointer, value] : flat.items())
      fields.push_back(pointer);
    for (const OddText& odd : Testing::OddTexts(record, fields, 10'000))
    {
      // The stand-in answers reads as JSON, which has no such bytes.
      if (odd.text.find('\xff') != std::string::npos)
        continue;
      AppendToLog(hall, odd.text);
      ++appended;
    }
  }
  MESSAGE(appended << " records");
  const std::string second = hall.MakeWeights("v2", MIB, 64 << 10);
  REQUIRE(hall.Publish(second) == 0);
  hall.WaitServing({"agent-1"}, second);
  CheckAllRun(hall, {"agent-1", "entry-1"});
}
