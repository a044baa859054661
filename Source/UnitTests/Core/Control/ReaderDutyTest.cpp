// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Control/ReaderDuty.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr ReaderRank BETTER = 1;
constexpr ReaderRank OWN = 5;
constexpr ReaderRank WORSE = 9;
} // namespace

TEST_CASE("A process reads until it hears of a better reader")
{
  ReaderDuty duty(OWN, 1);
  CHECK(duty.Reads());
  duty.OnReaderHeard(WORSE, Milliseconds(10), START);
  CHECK(duty.Reads());
  duty.OnReaderHeard(BETTER, Milliseconds(10), START);
  CHECK_FALSE(duty.Reads());

  SUBCASE("and leaves it to any reader then, so that the duty does not move without need")
  {
    duty.OnReaderHeard(WORSE, Milliseconds(10), START + Milliseconds(900));
    CHECK_FALSE(duty.OnTick(START + Milliseconds(1500)));
    CHECK_FALSE(duty.Reads());
  }
  SUBCASE("and takes over when the reader falls silent")
  {
    CHECK_FALSE(duty.OnTick(START + Milliseconds(900)));
    CHECK(duty.NextWakeup() <= START + Milliseconds(1200));
    CHECK(duty.OnTick(START + Milliseconds(1200)));
    CHECK(duty.Reads());
    CHECK_FALSE(duty.OnTick(START + Milliseconds(1300)));
  }
  SUBCASE("and takes over when the reader has lost the platform, though it still speaks")
  {
    duty.OnReaderHeard(BETTER, Milliseconds(600), START + Milliseconds(590));
    duty.OnReaderHeard(BETTER, Milliseconds(1100), START + Milliseconds(1090));
    CHECK(duty.OnTick(START + Milliseconds(1200)));
  }
}

TEST_CASE("One that has lost the platform does not keep others from reading")
{
  ReaderDuty duty(OWN, 1);
  duty.OnReaderHeard(BETTER, Milliseconds(3000), START);
  CHECK(duty.Reads());
}

TEST_CASE("Processes that wait do not all begin at the same moment")
{
  ReaderDuty first(OWN, 1);
  ReaderDuty second(OWN + 1, 2);
  first.OnReaderHeard(BETTER, Milliseconds(0), START);
  second.OnReaderHeard(BETTER, Milliseconds(0), START);
  CHECK(first.NextWakeup() != second.NextWakeup());
}

TEST_CASE("A reader that asks as often as it should is never taken for one that is cut off")
{
  static constexpr Milliseconds BEAT_PERIOD = Milliseconds(300);
  static constexpr Milliseconds CALL_TIME = Milliseconds(20);
  for (const Milliseconds drain_within :
       {Milliseconds(1000), Milliseconds(2000), Milliseconds(4000), Milliseconds(20000)})
  {
    INFO("drain within " << drain_within.count() << " ms");
    const Milliseconds period = ListPeriod(drain_within);
    CHECK(period <= drain_within * 3 / 10);
    ReaderDuty duty(OWN, 1);
    Common::TimePoint answered = START;
    // The beat behind each answer is lost; the next one tells its age.
    for (int i = 0; i < 50; ++i)
    {
      for (Common::TimePoint now = answered + BEAT_PERIOD; now < answered + period + CALL_TIME;
           now += BEAT_PERIOD)
        duty.OnReaderHeard(BETTER, std::chrono::duration_cast<Milliseconds>(now - answered), now);
      answered += period + CALL_TIME;
      CHECK_FALSE(duty.OnTick(answered + BEAT_PERIOD - Milliseconds(1)));
    }
  }
}
