// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/EngineExposure.h"
#include "CrashFixtures.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;
using Testing::At;
using Testing::Part;

namespace
{
EngineCrash Crash(EngineRun engine, int sent_ms, int at_ms)
{
  return {engine, At(at_ms), At(sent_ms), 0, At(sent_ms)};
}

// Each second an engine ends 200 ms after it got the part, and 800 ms after another request.
struct CrashingPart
{
  CrashingPart()
  {
    for (EngineRun engine = 1; engine <= 6; ++engine)
    {
      const int at = 1000 * static_cast<int>(engine);
      crashes.push_back(Crash(engine, at - 200, at));
      outcomes.lost.push_back(Crash(engine, at - 200, at));
      outcomes.lost.push_back(Crash(engine, at - 800, at));
    }
  }

  std::vector<EngineCrash> crashes;
  FleetOutcomes outcomes;
};
} // namespace

TEST_CASE("Engines are exposed to a part from its first request until they end")
{
  CrashingPart part;
  const auto exposure = ExposureTo(part.crashes, part.outcomes, {});
  REQUIRE(exposure.has_value());
  CHECK(exposure->ends_with == 6);
  CHECK(exposure->ends_without == 0);
  CHECK(exposure->time_with == Milliseconds(1200));
  // Of the first engine only what is not before the first request of the part counts.
  CHECK(exposure->time_without == Milliseconds(5 * 600));
  CHECK(CoincidenceOf(*exposure) < 0.001);

  SUBCASE("answered requests add to the time without it")
  {
    for (int ms = 1000; ms < 6000; ms += 100)
      part.outcomes.answers.OnAnswered(At(ms), Milliseconds(400));
    const auto more = ExposureTo(part.crashes, part.outcomes, {});
    // Two requests at each engine.
    CHECK(more->time_without == Milliseconds(5 * 600 + 50 * 400 / 2));
    CHECK(CoincidenceOf(*more) < CoincidenceOf(*exposure));
  }
  SUBCASE("engines that end together count once, and without the part if one of them lacked it")
  {
    part.outcomes.lost.push_back(Crash(7, 1500, 2050));
    const auto together = ExposureTo(part.crashes, part.outcomes, {});
    CHECK(together->ends_with == 5);
    CHECK(together->ends_without == 1);
  }
  SUBCASE("ends that are explained do not count")
  {
    part.outcomes.lost.push_back(Crash(7, 1500, 2500));
    CHECK(ExposureTo(part.crashes, part.outcomes, {})->ends_without == 1);
    CHECK(ExposureTo(part.crashes, part.outcomes, {7})->ends_without == 0);
  }
  SUBCASE("nothing is known without the times of the first requests")
  {
    part.crashes[3].first_sent.reset();
    CHECK_FALSE(ExposureTo(part.crashes, part.outcomes, {}).has_value());
  }
}

TEST_CASE("A part that all requests have is in all ends by coincidence")
{
  CrashingPart part;
  std::vector<EngineCrash> first_part;
  for (const EngineCrash& crash : part.crashes)
  {
    first_part.push_back(crash);
    first_part.back().first_sent = crash.at - Milliseconds(800);
  }
  CHECK(CoincidenceOf(*ExposureTo(first_part, part.outcomes, {})) > 0.5);
}

TEST_CASE("After a start a part that ends all engines is found though nothing is answered")
{
  CrashingPart part;
  const CauseEvidence culprit{Part("bad"), part.crashes, {}, 1};
  CHECK(InferCauses({culprit}, part.outcomes).causes == std::set{Part("bad")});
  SUBCASE("not a part in whose absence engines end, too")
  {
    for (EngineRun engine = 7; engine <= 12; ++engine)
    {
      const int at = 1000 * static_cast<int>(engine) - 5500;
      part.outcomes.lost.push_back(Crash(engine, at - 200, at));
    }
    CHECK(InferCauses({culprit}, part.outcomes).causes.empty());
  }
}
