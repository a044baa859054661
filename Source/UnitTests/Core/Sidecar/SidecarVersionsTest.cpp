// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/SidecarWorldFixture.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost;
using Common::Milliseconds;
using namespace Holdpost::Testing;

TEST_CASE("A version that is named while the previous one is loaded is copied at the same time")
{
  SidecarWorld world = MakeWorld();
  NameTwoVersions(world, Milliseconds(4000));
  CHECK(SecondsUntilLoaded(world, 3) < 8.0);
  CHECK(world.CopiesFromOrigin() < 3.0);
  CHECK(world.Fault().empty());
}

TEST_CASE("A copy that is replaced by the copy of a newer version stops")
{
  SidecarWorld world = MakeWorld();
  world.RunFor(Milliseconds(3000));
  const double fetched_before = world.CopiesFromOrigin();
  world.NameVersion(2);
  world.RunFor(Milliseconds(1500));
  world.NameVersion(3);
  CHECK(SecondsUntilLoaded(world, 3) < 8.0);
  CHECK(world.CopiesFromOrigin() - fetched_before < 2.0);
  CHECK(world.Fault().empty());
}

TEST_CASE("A version that is mostly fetched when the next one is named is completed")
{
  SidecarWorld world = MakeWorld();
  NameTwoVersions(world, Milliseconds(2500));
  SUBCASE("so engines have it in time when the origin goes away before the next one is complete")
  {
    world.RunFor(Milliseconds(900));
    world.SetOriginDown(true);
    world.RunFor(SWITCH_WITHIN - Milliseconds(3400));
    CHECK(world.HaveAllLoaded(2));
  }
  SUBCASE("and the next one is also loaded in time")
  {
    CHECK(SecondsUntilLoaded(world, 3) < 8.0);
  }
  CHECK(world.Fault().empty());
}

TEST_CASE("An engine that has not loaded a version when the next one is complete skips it")
{
  SidecarWorld world = MakeWorld();
  NameTwoVersions(world, Milliseconds(2500));
  Testing::LogCapture log;
  CHECK(SecondsUntilLoaded(world, 3) < 8.0);
  // An engine that loads both versions is out of service twice.
  const std::size_t begun = log.Lines("switch.begun").size();
  CHECK(begun >= world.Count());
  CHECK(begun < 2 * world.Count());
  CHECK(world.Fault().empty());
}

TEST_CASE("The next version is fetched as soon as the origin has sent the previous one")
{
  SidecarWorld world = MakeWorld();
  NameTwoVersions(world, Milliseconds(2400));
  // Whether any member of the origin's hall has started with the next version.
  const auto has_begun = [&](std::size_t node) { return world.SidecarAt(node).PiecesHeld(3) > 0; };
  world.RunUntil([&] { return has_begun(4) || has_begun(5) || has_begun(6) || has_begun(7); },
                 Milliseconds(10000));
  // In the meantime, the last members of the hall still receive their last pieces of the previous
  // version.
  const auto lacks_pieces = [&](std::size_t node)
  { return world.SidecarAt(node).PiecesHeld(2) < 96; };
  CHECK((lacks_pieces(4) || lacks_pieces(5) || lacks_pieces(6) || lacks_pieces(7)));
  CHECK(SecondsUntilLoaded(world, 3) < 8.0);
  CHECK(world.Fault().empty());
}

TEST_CASE("Engines are out of service for as short as can be while versions change")
{
  WorldOptions options;
  options.halls = {{"a", 7}, {"b", 7}, {"c", 6}};
  options.run_time = Milliseconds(1500);
  SidecarWorld world = MakeWorld(options);
  world.RunFor(Milliseconds(3000));
  const auto seconds_each = [&]
  {
    return std::chrono::duration<double>(world.OutOfServiceTime()).count() /
           static_cast<double>(world.Count());
  };
  CHECK(seconds_each() == 0);
  world.NameVersion(2);
  SUBCASE("one version: the running requests end, then the weights are loaded")
  {
    SecondsUntilLoaded(world, 2);
    MESSAGE("one version: ", seconds_each(), " s each");
    CHECK(seconds_each() < 2.0);
  }
  // If the engines skipped version 2 and waited for version 3, each would be out of service for
  // only 1.8 s. However, an engine on a machine that stalls during this wait would start requests
  // with weights that are too old.
  SUBCASE("two versions within seconds: both are loaded")
  {
    world.RunFor(Milliseconds(3000));
    world.NameVersion(3);
    SecondsUntilLoaded(world, 3);
    MESSAGE("two versions: ", seconds_each(), " s each");
    CHECK(seconds_each() < 4.0);
  }
}

// Guards against sidecars that keep every version ever named, or that lose the one that they copy.
TEST_CASE("A sidecar copies a version on when its entry has been merged into a newer one")
{
  SidecarWorld world = MakeWorld();
  world.RunFor(Milliseconds(3000));
  static constexpr std::uint64_t NEWEST = 25;
  for (std::uint64_t version = 2; version <= NEWEST; ++version)
  {
    world.NameVersion(version);
    world.RunFor(Milliseconds(100));
  }
  for (std::size_t node = 0; node < world.Count(); ++node)
  {
    const Control::NamedVersions& named = world.SidecarAt(node).NamedVersions();
    CHECK(named.All().size() <= Control::NamedVersions::MAX_VERSIONS);
    CHECK(named.Newest() == NEWEST);
  }
  CHECK(SecondsUntilLoaded(world, NEWEST) < 20.0);
  CHECK(world.Fault().empty());
}
