// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/CrashRecorder.h"
#include "UnitTests/Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;
using Testing::Only;

namespace
{
const RequestFingerprint REQUEST =
    Gateway::FingerprintOf("firm", "api.example", Common::Sha256("body"));
const Common::Error DOWN{Common::ErrorKind::PlatformUnavailable, "down"};

struct Fixture
{
  RecorderActions Tick()
  {
    RecorderActions actions;
    recorder.OnTick(ledger, now, &actions);
    return actions;
  }
  void Block()
  {
    for (EngineRun engine = 1; engine <= BLOCKING_CRASHES; ++engine)
      ledger.Add({REQUEST}, {engine, now}, now);
  }

  Common::TimePoint now{std::chrono::hours(1)};
  CrashLedger ledger;
  CrashRecorder recorder{1};
};
} // namespace

TEST_CASE("A process that reads the platform keeps the records of blocked requests there")
{
  Fixture f;
  f.Block();
  CHECK(f.Tick().empty());
  f.recorder.SetReading(true);
  REQUIRE(Only<ReadRecords>(f.Tick()).size() == 1);
  CHECK(f.Tick().empty());

  SUBCASE("which are not there yet")
  {
    CHECK(f.recorder.OnRead(std::vector<CrashRecord>{}, f.now).empty());
    const auto written = Only<WriteRecord>(f.Tick());
    REQUIRE(written.size() == 1);
    CHECK(written[0].record.crashes.size() == BLOCKING_CRASHES);
    SUBCASE("once")
    {
      f.recorder.OnWritten(REQUEST, true, f.now);
      CHECK(f.Tick().empty());
      CHECK(f.recorder.NextWakeup(f.ledger) == Common::TimePoint::max());
    }
    SUBCASE("again after a failure, later")
    {
      f.recorder.OnWritten(REQUEST, false, f.now);
      CHECK(f.Tick().empty());
      f.now += Milliseconds(1000);
      CHECK(Only<WriteRecord>(f.Tick()).size() == 1);
    }
  }
  SUBCASE("again once the platform has come back from an older copy")
  {
    f.recorder.OnRead(f.ledger.All(f.now), f.now);
    CHECK(f.Tick().empty());
    f.recorder.SetEra(2);
    REQUIRE(Only<ReadRecords>(f.Tick()).size() == 1);
    f.recorder.OnRead(std::vector<CrashRecord>{}, f.now);
    REQUIRE(Only<WriteRecord>(f.Tick()).size() == 1);
    // What was written before another restore may be lost, although it was acknowledged.
    f.recorder.SetEra(3);
    f.recorder.OnWritten(REQUEST, true, f.now);
    REQUIRE(Only<ReadRecords>(f.Tick()).size() == 1);
    f.recorder.OnRead(std::vector<CrashRecord>{}, f.now);
    CHECK(Only<WriteRecord>(f.Tick()).size() == 1);
  }
  SUBCASE("but does not write those that are there")
  {
    const auto read = f.recorder.OnRead(f.ledger.All(f.now), f.now);
    CHECK(read.size() == 1);
    CHECK(f.Tick().empty());
  }
  SUBCASE("and reads again if that failed, and when it takes over")
  {
    CHECK(f.recorder.OnRead(DOWN, f.now).empty());
    f.now += Milliseconds(1000);
    REQUIRE(Only<ReadRecords>(f.Tick()).size() == 1);
    f.recorder.OnRead(f.ledger.All(f.now), f.now);
    f.recorder.SetReading(false);
    f.recorder.SetReading(true);
    CHECK(Only<ReadRecords>(f.Tick()).size() == 1);
  }
}

TEST_CASE("Records that no longer count are removed from the platform")
{
  Fixture f;
  f.recorder.SetReading(true);
  REQUIRE(Only<ReadRecords>(f.Tick()).size() == 1);
  const CrashRecord old{REQUEST, {{1, std::chrono::minutes(31)}}, {}};
  CHECK(f.recorder.OnRead(std::vector{old}, f.now).empty());
  const auto dropped = Only<DropRecord>(f.Tick());
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].cause == CrashCause(REQUEST));
  f.recorder.OnDropped(true, f.now);
  CHECK(f.Tick().empty());
}
