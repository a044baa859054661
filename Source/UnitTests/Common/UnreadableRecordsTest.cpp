// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/UnreadableRecords.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost::Common;
using Holdpost::Testing::LogCapture;

TEST_CASE("A record that cannot be read shows once, however often it is written")
{
  LogCapture capture;
  UnreadableRecords records;
  const TimePoint start{std::chrono::hours(5)};
  for (int beat = 0; beat < 40; ++beat)
    records.Note("other-1", "Service: is missing", start + Seconds(beat));
  CHECK(records.Count() == 40);
  REQUIRE(capture.Lines("record.unreadable").size() == 1);
  CHECK(capture.Lines("record.unreadable")[0]["key"] == "other-1");

  SUBCASE("and again after a while, if it still cannot")
  {
    records.Note("other-1", "Service: is missing", start + Seconds(61));
    CHECK(capture.Lines("record.unreadable").size() == 2);
  }
  SUBCASE("and so does another one")
  {
    records.Note("other-2", "Service: is missing", start + Seconds(40));
    CHECK(capture.Lines("record.unreadable").size() == 2);
  }
  SUBCASE("unless a writer makes up keys without end")
  {
    for (int i = 0; i < 5000; ++i)
      records.Note(fmt::format("key-{}", i), "no record", start + Seconds(40 + i / 500));
    CHECK(records.Count() == 5040);
    CHECK(capture.Lines("record.unreadable").size() <= 512);
  }
}
