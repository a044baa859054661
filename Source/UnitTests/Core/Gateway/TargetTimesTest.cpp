// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/TargetTableFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using namespace Holdpost::Gateway::TableTesting;
using Common::Milliseconds;

TEST_CASE("Published times that are wrong are corrected by the answers")
{
  TargetTable table("here");
  Settings::EngineProfile engine = Testing::MakeEngine(16);
  const ListedTarget one = MakeTarget("1");
  Common::TimePoint now = START;
  table.SetEngine("llm", engine);
  table.SetList({one}, now);
  table.OnLoad(MakeLoad(one, 0), now);
  // Answers that begin after so many times of what the published times foretell.
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

  SUBCASE("eight times too small")
  {
    CHECK(answers(8, 20) == doctest::Approx(8 * published).epsilon(0.01));
  }
  SUBCASE("eight times too large")
  {
    CHECK(answers(1.0 / 8, 20) == doctest::Approx(published / 8).epsilon(0.01));
  }
  SUBCASE("right ones that differ a little are believed")
  {
    answers(1.2, 40);
    CHECK(table.CorrectionOf("llm") == 1);
  }
  SUBCASE("engines that change in the middle")
  {
    answers(8, 40);
    CHECK(answers(1, 40) == doctest::Approx(published).epsilon(0.01));
  }
  SUBCASE("other published times are judged anew")
  {
    answers(8, 40);
    engine.step_ms = 80;
    table.SetEngine("llm", engine);
    CHECK(table.CorrectionOf("llm") == 1);
  }
}

TEST_CASE("A plain service with one target left is used by all gateways")
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
  // The others have as much to do as this one, which is far from the target's six slots.
  CHECK(choice->has_free_slot);
  CHECK(choice->expected_start < Milliseconds(50));

  SUBCASE("also when a request there was lost, as there is no other one")
  {
    table.OnFailed("1", START);
    CHECK(table.Choose({"desk", 0, 0, {}, {}}, START).has_value());
  }
  SUBCASE("but not when it fails again and again")
  {
    for (int i = 0; i < 3; ++i)
      table.OnFailed("1", START);
    CHECK_FALSE(table.Choose({"desk", 0, 0, {}, {}}, START).has_value());
  }
}
