// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/StartEstimate.h"
#include "Support/Engines.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

TEST_CASE("The first event arrives after the processing of the prompt and one and a half passes")
{
  const Settings::EngineProfile engine = Testing::MakeEngine(16);
  // 1,000 tokens at 20 tokens per ms, and one and a half passes of 50 ms.
  CHECK(ExpectedStart(engine, {}, 1000) == Milliseconds(125));
  CHECK(ExpectedStart(engine, {0, 200, 1}, 1000) == Milliseconds(135));
  CHECK(ExpectedStart(engine, {0, 0, 2}, 1000) == Milliseconds(250));
}

TEST_CASE("A request waits for a free slot of a full engine")
{
  const Settings::EngineProfile engine = Testing::MakeEngine(16);
  const auto free = ExpectedStart(engine, {15, 0, 1}, 1000);
  const auto next = ExpectedStart(engine, {16, 0, 1}, 1000);
  const auto later = ExpectedStart(engine, {18, 0, 1}, 1000);
  CHECK(next - free == SlotInterval(engine, 1));
  CHECK(later - next == 2 * SlotInterval(engine, 1));
}

TEST_CASE("Generating an answer takes one pass for each event after the first")
{
  const Settings::EngineProfile engine = Testing::MakeEngine(16);
  CHECK(ExpectedGeneration(engine, {}, 100) == Milliseconds(950));
  CHECK(ExpectedGeneration(engine, {}, 5) == Milliseconds(0));
  CHECK(ExpectedGeneration(engine, {}, 0) == Milliseconds(0));
}
