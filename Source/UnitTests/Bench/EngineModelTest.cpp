// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Bench/Routing/EngineModel.h"
#include "Bench/Routing/RoutingWorld.h"
#include "Support/Engines.h"

using namespace Holdpost;
using namespace Holdpost::Bench;
using Common::Milliseconds;

namespace
{
constexpr std::uint32_t CHUNK = 2000;
constexpr std::uint32_t QUEUE_MOST = 2;

EngineModel MakeModel()
{
  return {Testing::MakeEngine(2), CHUNK, QUEUE_MOST};
}
} // namespace

TEST_CASE("An engine reads a prompt and writes its first event in one pass")
{
  EngineModel engine = MakeModel();
  CHECK(!engine.BeginPass());
  CHECK(engine.Submit({1, 1000, 8}));
  CHECK(engine.UnreadPromptTokens() == 1000);
  // One step, and 50 ms to read.
  CHECK(engine.BeginPass() == Milliseconds(60));
  auto events = engine.EndPass();
  REQUIRE(events.size() == 1);
  CHECK(events.front().is_first);
  CHECK(!events.front().is_last);
  CHECK(engine.UnreadPromptTokens() == 0);

  SUBCASE("while a request writes, a pass is as many steps as an event has tokens")
  {
    CHECK(engine.BeginPass() == Milliseconds(50));
    engine.EndPass();
    CHECK(engine.BeginPass() == Milliseconds(50));
    events = engine.EndPass();
    CHECK(events.front().is_last);
    CHECK(engine.Running() == 0);
    CHECK(!engine.BeginPass());
  }
  SUBCASE("what comes during a pass is read in the next one, and holds up what writes")
  {
    engine.BeginPass();
    engine.Submit({2, 2000, 8});
    engine.EndPass();
    CHECK(engine.BeginPass() == Milliseconds(150));
    CHECK(engine.EndPass().size() == 2);
  }
  SUBCASE("more than a step can read is read over several of them")
  {
    engine.Cancel(1);
    engine.Submit({2, CHUNK + 1000, 8});
    engine.BeginPass();
    CHECK(engine.EndPass().empty());
    engine.BeginPass();
    CHECK(engine.EndPass().front().is_first);
  }
  SUBCASE("requests beyond the slots wait, and beyond the queue they are rejected")
  {
    engine.Submit({2, 100, 8});
    engine.BeginPass();
    engine.EndPass();
    CHECK(engine.Submit({3, 100, 8}));
    CHECK(engine.Submit({4, 100, 8}));
    CHECK(!engine.Submit({5, 100, 8}));
    CHECK(engine.Running() == 2);
    CHECK(engine.Queued() == 2);
    engine.Cancel(3);
    CHECK(engine.Queued() == 1);
  }
  SUBCASE("one that admits nothing ends what it has begun")
  {
    engine.StopAdmitting();
    engine.Submit({2, 100, 8});
    engine.BeginPass();
    engine.EndPass();
    engine.BeginPass();
    engine.EndPass();
    CHECK(engine.Running() == 0);
    CHECK(engine.Queued() == 1);
    CHECK(!engine.BeginPass());
    engine.Admit();
    CHECK(engine.BeginPass());
  }
}

TEST_CASE("Routing runs repeat by seed and account for every request")
{
  RoutingOptions options;
  options.halls = {{"a", 2, 2, 0, 1}, {"b", 2, 2, 1, 1}};
  options.kinds = {{"chat"}};
  options.engine = Testing::MakeEngine(2);
  options.arrivals_per_second = 3;
  options.length = Milliseconds(10000);
  for (const Policy policy : {Policy::Gateway, Policy::RoundRobin, Policy::FewestInFlight})
  {
    options.policy = policy;
    const std::string first = RoutingWorld(options).Run().Windows();
    CHECK(first == RoutingWorld(options).Run().Windows());
    CHECK(RoutingWorld(options).Run().Earned() > 0.7);
  }
  SUBCASE("a push of new weights is played, too")
  {
    options.policy = Policy::Gateway;
    options.push_at = Milliseconds(1000);
    CHECK(RoutingWorld(options).Run().Earned() > 0.5);
  }
}
