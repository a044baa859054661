// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <vector>

#include "Core/Sidecar/SidecarWorld.h"

// Helpers shared by the tests that push weights through the sidecars' world.
namespace Holdpost::Testing
{
using Common::Milliseconds;

inline constexpr Milliseconds SWITCH_WITHIN = Milliseconds(8000);
// The time in seconds that the link alone needs for one copy: 96 x 24,576 bytes at 912,500 bytes a
// second.
inline constexpr double LINK_COPY_SECONDS = 2.59;

inline double SecondsUntilLoaded(SidecarWorld& world, std::uint64_t version,
                                 const std::vector<std::size_t>& except = {})
{
  const Common::TimePoint begin = world.Now();
  world.RunUntil([&] { return world.HaveAllLoaded(version, except); }, Milliseconds(60000));
  return std::chrono::duration<double>(world.Now() - begin).count();
}

// A world whose sidecars have not run yet: tests first run it until the sidecars have found the
// pieces that they hold.
inline SidecarWorld MakeWorld(const WorldOptions& options = {})
{
  return SidecarWorld(options);
}

// Names version 2 once the sidecars have found the pieces that they hold, and version 3 after the
// gap.
inline void NameTwoVersions(SidecarWorld& world, Common::Duration gap)
{
  world.RunFor(Milliseconds(3000));
  world.NameVersion(2);
  world.RunFor(gap);
  world.NameVersion(3);
}
} // namespace Holdpost::Testing
