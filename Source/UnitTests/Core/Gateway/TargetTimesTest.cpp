// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

TEST_CASE("Wrong published times are corrected by the measured start times")
{
  TargetTable table("here");
  Settings::EngineProfile engine = Testing::MakeEngine(16);
  const ListedTarget one = MakeTarget("1");
  Common::TimePoint now = START;
  table.SetEngine("llm", engine);
  table.SetList({one}, now);
  table.OnLoadReport(MakeLoad(one, 0), now);
  // Records `count` answers that start after `factor` times the published start time, and returns
  // the expected start in seconds.
  const auto answers = [&](double factor, int count)
  {
    for (int i = 0; i < count; ++i)
    {
      const auto choice = table.Choose({"llm", 1000, 100, {}, {}}, now);
      REQUIRE(choice.has_value());
      const auto took = std::chrono::duration_cast<Common::Duration>(
          factor * std::chrono::duration<double>(choice->published_start));
      table.OnStartMeasured("llm", *choice, took, now);
    }
    return std::chrono::duration<double>(
               table.Choose({"llm", 1000, 100, {}, {}}, now)->expected_start)
        .count();
  };
  const double published = answers(1, 40);
  CHECK(table.CorrectionOf("llm") == 1);

  SUBCASE("published times eight times too small")
  {
    CHECK(answers(8, 20) == doctest::Approx(8 * published).epsilon(0.01));
  }
  SUBCASE("published times eight times too large")
  {
    CHECK(answers(1.0 / 8, 20) == doctest::Approx(published / 8).epsilon(0.01));
  }
  SUBCASE("published times that differ slightly from the measured ones are kept")
  {
    answers(1.2, 40);
    CHECK(table.CorrectionOf("llm") == 1);
  }
  SUBCASE("engines whose speed changes")
  {
    answers(8, 40);
    CHECK(answers(1, 40) == doctest::Approx(published).epsilon(0.01));
  }
  SUBCASE("new published times reset the correction")
  {
    answers(8, 40);
    engine.step_ms = 80;
    table.SetEngine("llm", engine);
    CHECK(table.CorrectionOf("llm") == 1);
  }
}

TEST_CASE("The last target of a plain service is used by all gateways")
{
  TargetTable table("here");
  ListedTarget only = MakeTarget("1");
  only.service = "desk";
  only.slots = 6;
  only.needs_weights = false;
  only.weights_version = 0;
  table.SetList({only}, START);
  table.SetGateways({3, 9});
  table.OnArrival("desk", START);
  table.OnDispatched("1", 1, 0, Milliseconds(20), START);
  const auto choice = table.Choose({"desk", 0, 0, {}, {}}, START);
  REQUIRE(choice.has_value());
  // The other gateways have as many requests as this one, which together are far below the target's
  // six slots.
  CHECK(choice->has_free_slot);
  CHECK(choice->expected_start < Milliseconds(50));

  SUBCASE("also after a request to it failed, as there is no other target")
  {
    table.OnFailed("1", START);
    CHECK(table.Choose({"desk", 0, 0, {}, {}}, START).has_value());
  }
  SUBCASE("not after it fails repeatedly")
  {
    for (int i = 0; i < 3; ++i)
      table.OnFailed("1", START);
    CHECK_FALSE(table.Choose({"desk", 0, 0, {}, {}}, START).has_value());
  }
}
