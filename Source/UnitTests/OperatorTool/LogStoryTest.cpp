// SPDX-License-Identifier: Apache-2.0
#include <sstream>

#include <doctest/doctest.h>

#include "OperatorTool/LogStory.h"

using namespace Holdpost::OperatorTool;

namespace
{
const char* const LOG = R"(
  1.5 front-1 {"t":100.0,"event":"settings.in_force","version":7,"before":6,"routes":12}
  1.6 front-1 {"t":100.1,"event":"settings.in_force","version":8,"before":7,"routes":13}
  3.2 front-1 {"t":101.5,"event":"request.sent","request":"abc","target":"i-1","at":"10.0.0.1:80","expected_ms":120.5}
  3.2 front-1 {"t":101.6,"event":"request.sent","request":"other","target":"i-1","at":"10.0.0.1:80"}
  3.3 front-1 {"t":101.6,"event":"target.avoided","target":"i-1","failures":1}
  3.3 front-1 {"t":101.6,"event":"target.avoided","target":"i-2","failures":1}
  3.3 front-1 {"time":"2026-01-31T10:00:01.700Z","t":101.7,"event":"request.retry","request":"abc","reason":"lost","target":"i-1"}
  3.4 front-1 {"t":101.9,"event":"request.cut","request":"abc","reason":"unreachable","runs":1}
  3.4 front-2 {"t":900.0,"event":"settings.in_force","version":9,"before":8,"routes":13}
  0.1 side-1 {"t":50.0,"event":"start","target":"10.0.0.1:80"}
  0.1 side-2 {"t":51.0,"event":"start","target":"10.0.0.2:80"}
  3.1 side-1 {"t":53.0,"event":"switch.begun","model":"m","version":2}
  3.1 side-2 {"t":54.0,"event":"switch.begun","model":"m","version":2}
something that is no log line
)";

std::vector<LogLine> Lines()
{
  std::istringstream input(LOG);
  return ReadLog(input, "file");
}

bool Has(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE("Lines are read with or without what a collector writes before them")
{
  const auto lines = Lines();
  REQUIRE(lines.size() == 13);
  CHECK(lines[0].process == "front-1");
  CHECK(lines[0].time == 100.0);
  CHECK(lines[0].event == "settings.in_force");
  CHECK(lines[0].fields["version"] == 7);
  std::istringstream bare(R"({"t":1.0,"event":"stop"})");
  CHECK(ReadLog(bare, "file").at(0).process == "file");
}

TEST_CASE("The story of a request")
{
  const std::string story = TellStory(Lines(), "abc");
  SUBCASE("has its own lines, by the time since the first")
  {
    CHECK(Has(story, "Request abc at front-1"));
    CHECK(Has(story, "+0.0 ms  request.sent       target=i-1 at=10.0.0.1:80 expected_ms=120.5"));
    CHECK(Has(story, "+200.0 ms  request.retry      reason=lost target=i-1"));
    CHECK_FALSE(Has(story, "other"));
  }
  SUBCASE("has what its gateway came to believe before, and no other gateway")
  {
    CHECK(Has(story, "settings.in_force  version=8"));
    CHECK_FALSE(Has(story, "version=9"));
  }
  SUBCASE("has what was believed of its own targets, and of no other")
  {
    CHECK(Has(story, "target.avoided     target=i-1"));
    CHECK_FALSE(Has(story, "target=i-2"));
  }
  SUBCASE("has the switches of its targets")
  {
    CHECK(Has(story, "side-1 (10.0.0.1:80) at 53.000 s of its clock: switch.begun"));
    CHECK_FALSE(Has(story, "side-2"));
  }
  SUBCASE("ends with the cause")
  {
    CHECK(Has(story, "It was cut after it had begun: a target was lost"));
  }
}

TEST_CASE("A request that no line names has no story")
{
  CHECK(TellStory(Lines(), "nobody").empty());
}

TEST_CASE("The story of a refused request tells what its service's targets did")
{
  std::istringstream input(
      R"({"t":1.0,"event":"request.refused","request":"r","reason":"queue_full","targets":5,"open":0,"switching":3,"old_weights":2})");
  const std::string story = TellStory(ReadLog(input, "front-1"), "r");
  CHECK(
      Has(story, "Of the 5 targets of the service: 3 loading other weights, 2 with weights that"));
}

TEST_CASE(
    "The story of a request refused after a start tells of which targets nothing was reported")
{
  std::istringstream input(
      R"({"t":1.0,"event":"request.refused","request":"r","reason":"queue_full","targets":5,"open":1,"unreported":4})");
  const std::string story = TellStory(ReadLog(input, "front-1"), "r");
  CHECK(
      Has(story, "1 open, 4 listed, but not reported by their agents since the gateway's start."));
}

TEST_CASE("Switches of its targets are put beside a request by the time of day")
{
  std::istringstream input(R"(
front-1 {"time":"2026-01-31T23:59:59.500Z","t":1.0,"event":"request.sent","request":"r","target":"i-1","at":"10.0.0.1:80"}
side-1 {"time":"2026-01-31T10:00:00.000Z","t":5.0,"event":"start","target":"10.0.0.1:80"}
side-1 {"time":"2026-01-31T10:00:01.000Z","t":6.0,"event":"switch.begun","version":1}
side-1 {"time":"2026-02-01T00:00:00.250Z","t":9.0,"event":"switch.begun","version":2}
)");
  const std::string story = TellStory(ReadLog(input, "file"), "r");
  CHECK(Has(story, "side-1 (10.0.0.1:80) +750.0 ms: switch.begun"));
  CHECK_FALSE(Has(story, "version=1"));
}
