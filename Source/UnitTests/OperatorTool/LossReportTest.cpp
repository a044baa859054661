// SPDX-License-Identifier: Apache-2.0
#include <sstream>

#include <doctest/doctest.h>

#include "OperatorTool/LossReport.h"

using namespace Holdpost::OperatorTool;
using std::chrono::seconds;

namespace
{
// Two gateways after a start of all machines: refusals of two kinds, a cut stream, two starts.
const char* const LOG = R"(
front-1 {"time":"2026-01-31T10:00:01.100Z","t":5.1,"event":"request.refused","request":"a","reason":"target_refused","service":"llm"}
front-1 {"time":"2026-01-31T10:00:01.900Z","t":5.9,"event":"request.refused","request":"b","reason":"not_ready"}
front-2 {"time":"2026-01-31T10:00:01.950Z","t":80.0,"event":"request.refused","request":"c","reason":"target_refused","service":"llm"}
front-2 {"time":"2026-01-31T10:00:03.000Z","t":81.1,"event":"request.cut","request":"d","reason":"unreachable","service":"llm"}
front-2 {"t":82.0,"event":"request.refused","request":"e","reason":"queue_full","service":"files"}
front-2 {"t":83.0,"event":"request.started","request":"f","service":"llm","expected_ms":100.0,"took_ms":150.0}
front-2 {"t":84.0,"event":"request.started","request":"g","service":"llm","expected_ms":200.0,"took_ms":350.0}
front-2 {"t":85.0,"event":"request.done","request":"f","service":"llm"}
)";

LossReport Report(seconds period)
{
  std::istringstream input(LOG);
  return SumUpLosses(ReadLog(input, "log"), period);
}

bool Has(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE("Losses are counted by time, service and reason")
{
  SUBCASE("by the second")
  {
    const LossReport report = Report(seconds(1));
    REQUIRE(report.by_time.size() == 2);
    const CountsByReason& first = report.by_time.begin()->second;
    CHECK(first.at("target_refused") == 2);
    CHECK(first.at("not_ready") == 1);
    CHECK(report.by_time.rbegin()->second.at("cut:unreachable") == 1);
  }
  SUBCASE("or by longer periods")
  {
    CHECK(Report(seconds(60)).by_time.size() == 1);
  }
  SUBCASE("a line without a time of day counts for its service all the same")
  {
    const LossReport report = Report(seconds(1));
    CHECK(report.without_time == 1);
    CHECK(report.by_service.at("files").at("queue_full") == 1);
  }
  SUBCASE("one that was refused before its service was known is told apart")
  {
    CHECK(Report(seconds(1)).by_service.at("none").at("not_ready") == 1);
  }
}

TEST_CASE(
    "The printed report is a table of times, one of services, and starts as expected and real")
{
  const std::string text = PrintLosses(Report(seconds(1)));
  CHECK(Has(text, "10:00:01"));
  CHECK(Has(text, "10:00:03"));
  CHECK_FALSE(Has(text, "10:00:02"));
  CHECK(Has(text, "1 lines have no time of day."));
  CHECK(Has(text, "of 2 starts"));
  CHECK(PrintLosses({}) == "No request was lost.\n");
}
