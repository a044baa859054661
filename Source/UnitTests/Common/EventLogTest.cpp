// SPDX-License-Identifier: Apache-2.0
#include <cctype>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "Common/EventLog.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost::Common;
using Holdpost::Testing::LogCapture;

TEST_CASE("A line of the event log is a JSON object")
{
  LogCapture capture;
  const TimePoint now{std::chrono::hours(2)};
  LogEvent(Weight::Important, now, "thing.done", "text", "with \"quotes\" and \n", "number", 7,
           "share", 0.5, "flag", true, "took_ms", Milliseconds(1500));
  const auto line = nlohmann::json::parse(capture.Text());
  CHECK(line["event"] == "thing.done");
  CHECK(line["text"] == "with \"quotes\" and \n");
  CHECK(line["number"] == 7);
  CHECK(line["share"] == 0.5);
  CHECK(line["flag"] == true);
  CHECK(line["took_ms"] == 1500);
  CHECK(line["t"] == 7200);
}

// Bytes of other programs stand in the lines, and a char has no sign on some processors.
TEST_CASE("A line of the event log is a JSON object whatever bytes a text has")
{
  for (int byte = 0; byte < 256; ++byte)
  {
    CAPTURE(byte);
    LogCapture capture;
    LogEvent(Weight::Important, TimePoint(std::chrono::hours(2) + Seconds(byte)), "thing.done",
             "text", std::string("a") + static_cast<char>(byte) + "b");
    const auto line = nlohmann::json::parse(capture.Text(), nullptr, false);
    CHECK(line.is_object());
  }
}

TEST_CASE("Lines of several processes can be put in order by their time of day")
{
  EventLog log;
  const auto told = log.TimeOfDay(BootClock::now());
  const auto off = std::chrono::system_clock::now() - told;
  CHECK(off < Seconds(2));
  CHECK(off > -Seconds(2));
  SUBCASE("as a line tells it")
  {
    LogCapture capture;
    LogEvent(Weight::Important, TimePoint(std::chrono::minutes(130)), "thing.done");
    const std::string time = nlohmann::json::parse(capture.Text())["time"];
    const std::string example = "2026-01-31T23:59:59.123Z";
    REQUIRE(time.size() == example.size());
    for (std::size_t i = 0; i < example.size(); ++i)
      CHECK((std::isdigit(time[i]) != 0) == (std::isdigit(example[i]) != 0));
  }
}

TEST_CASE("The event log is bounded under load")
{
  LogCapture capture;
  const TimePoint now{std::chrono::hours(3)};
  const std::uint64_t dropped = EventLog::Instance().Dropped();
  for (int i = 0; i < 1000; ++i)
    LogEvent(Weight::Ordinary, now, "ordinary", "i", i);
  const auto lines = std::ranges::count(capture.Text(), '\n');
  CHECK(lines > 10);
  CHECK(lines < 100);
  CHECK(EventLog::Instance().Dropped() - dropped == 1000 - static_cast<std::uint64_t>(lines));
  SUBCASE("what matters more is still written")
  {
    LogEvent(Weight::Important, now, "important");
    CHECK(capture.Text().find("important") != std::string::npos);
  }
}

TEST_CASE("A long text of another program is cut in the log")
{
  LogCapture capture;
  const TimePoint now{std::chrono::hours(4)};
  LogEvent(Weight::Important, now, "answer", "reason", std::string(1 << 20, 'x'));
  LogEvent(Weight::Important, now, "answer", "reason", std::string(1 << 20, '\n'));
  CHECK(capture.Lines("answer").size() == 2);
  CHECK(capture.Text().size() < 16384);
}

TEST_CASE("A reader that does not read holds nothing up")
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  EventLog log;
  log.SetOutput(ends[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i)
  {
    log.Append(line);
    log.Flush();
  }
  // What the pipe cannot hold is kept up to a limit, then dropped and counted.
  CHECK(log.HasUnwritten());
  CHECK(log.Dropped() > 500);
  close(ends[0]);
  close(ends[1]);
}
