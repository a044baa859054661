// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "FollowerFixture.h"
#include "Support/Actions.h"

// Tests the naming times that a follower assigns to the versions that it reads.
using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::MakeRead;
using Fixture = Testing::FollowerFixture;

namespace
{
const Common::TimePoint START = Testing::FOLLOWER_START;

KnownSince SinceOf(const Fixture& f, std::uint64_t version)
{
  for (const KnownVersion& known : f.follower.Weights().at("m").All())
  {
    if (known.version == version)
      return known.since;
  }
  FAIL("the version is not known");
  return {};
}

OperatorChanges NameVersion(std::uint64_t version, Settings::DocumentVersion settings,
                            Position next)
{
  OperatorChanges read = MakeRead(settings, next);
  read.weights = {{"m", version}};
  return read;
}
} // namespace

TEST_CASE("A version counts as named when the platform sent its answer, not when it arrived")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("the delay is the duration of the last read of the target list")
  {
    f.Tick(Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(30)});
  }
  SUBCASE("the delay is the time for which the current read of the target list is open")
  {
    f.Tick(Milliseconds(600));
    f.now += Milliseconds(450);
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(450)});
  }
}

TEST_CASE("A version that was named before the start is assumed to have the maximum age")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  CHECK(options.assumed_age == Milliseconds(6000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  f.now += Milliseconds(700);
  SUBCASE("if no process reports since when the version is known")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
    SUBCASE("until a process that saw the naming reports its time")
    {
      const KnownSince seen{START - Milliseconds(1000)};
      CHECK(f.follower.OfferWeights({"m", 2}, seen));
      CHECK(SinceOf(f, 2) == seen);
    }
    SUBCASE("and the next version counts as named when it is read")
    {
      f.Tick();
      f.now += Milliseconds(2000);
      f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
      f.Tick(Milliseconds(1000));
      f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
      f.follower.OnOperatorRead(NameVersion(3, 2, 10), f.now);
      CHECK(SinceOf(f, 3) == KnownSince{f.now});
    }
  }
  SUBCASE("also if another process that did not see the naming has announced the version before")
  {
    const KnownSince assumed{START - Milliseconds(5500), true};
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnAllVersionsAnnounced(f.now - Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE(
      "unless another process has recently announced all versions, and this one was not among them")
  {
    const Common::TimePoint announced_at = f.now - Milliseconds(300);
    f.follower.OnAllVersionsAnnounced(announced_at);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    // The list was requested at the start, and its answer has not arrived yet.
    CHECK(SinceOf(f, 2) == KnownSince{START});
  }
}

TEST_CASE("A version that the previous reader missed was named after its last announcement")
{
  constexpr Milliseconds ASSUMED_AGE{6000};
  Fixture f;
  f.follower = ControlFollower({.assumed_age = ASSUMED_AGE}, 1);
  f.follower.SetReading(false);
  f.Tick();
  const Common::TimePoint announced_at = f.now;
  f.follower.OnAllVersionsAnnounced(announced_at);
  f.Run(Milliseconds(1200));
  f.follower.SetReading(true);
  f.Tick();
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("if the last announcement is recent")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{announced_at});
  }
  SUBCASE("after a long silence the version may have been named at any time since")
  {
    f.Run(Milliseconds(9000));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - ASSUMED_AGE, true});
  }
  SUBCASE("but not while the platform refused requests")
  {
    f.Run(Milliseconds(8000));
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "timeout"}, f.now);
    f.Tick(Milliseconds(200));
    const Common::TimePoint refused = f.now;
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
    f.Tick(Milliseconds(500));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{refused});
  }
}

TEST_CASE("A version whose naming nobody saw stays assumed when it is read again")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  const KnownSince assumed{START - Milliseconds(6000), true};
  SUBCASE("by a read that was open when another process announced the version")
  {
    f.Tick();
    f.now += Milliseconds(40);
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnAllVersionsAnnounced(f.now);
    f.now += Milliseconds(160);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("by a process that takes over reading")
  {
    f.follower.SetReading(false);
    f.Tick();
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnAllVersionsAnnounced(f.now);
    f.now += Milliseconds(30000);
    f.follower.OnAllVersionsAnnounced(f.now);
    f.now += Milliseconds(1200);
    f.follower.SetReading(true);
    f.Tick();
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("by the same process, after its position is gone")
  {
    f.Tick();
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    REQUIRE(SinceOf(f, 2) == assumed);
    f.Tick();
    f.follower.OnOperatorRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
    f.Tick(Milliseconds(300));
    f.follower.OnOperatorRead(NameVersion(2, 1, 20), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
}

TEST_CASE("A process that the platform has never answered gives no evidence about namings")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  // GatewayControl reports this time for a reader that has received no answer yet.
  f.follower.OnAllVersionsAnnounced(f.now - std::chrono::hours(1));
  f.now += Milliseconds(200);
  f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
  CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
}

TEST_CASE(
    "A process that was suspended during a read of the list takes no later version to be older")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  f.Tick(Milliseconds(600));
  // The process was suspended, so no answer was in transit for that long.
  f.now += Milliseconds(8000);
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.Tick(Milliseconds(100));
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  // A read that receives no byte is aborted after one second.
  CHECK(SinceOf(f, 2).time >= f.now - Milliseconds(1000));
}

TEST_CASE("A version that is read after others stopped announcing was named after they last did")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  // This is the case of SidecarNode: gateways of the hall announce versions, and the follower is
  // not ticked until they have been silent for 1.5 s.
  f.now += Milliseconds(30000);
  const Common::TimePoint announced_at = f.now;
  f.follower.OnAllVersionsAnnounced(announced_at);
  f.Tick(Milliseconds(1500));
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  CHECK(SinceOf(f, 2).time <= announced_at);
}

// Guards against switch deadlines that are late by the time of a suspension of the reader.
TEST_CASE("A version that was named while the process was suspended counts as named before")
{
  FollowerOptions options;
  options.assumed_age = Milliseconds(5000);
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  f.Tick(Milliseconds(100));
  const Common::TimePoint suspended_at = f.now;

  SUBCASE("for a long time: the answer has waited in a socket")
  {
    f.now += Milliseconds(4000);
    SUBCASE("and is the first thing that the process reads") {}
    SUBCASE("and is read after an announcement that has waited, too")
    {
      f.follower.OnRunning(f.now);
      f.follower.OnAllVersionsAnnounced(f.now - Milliseconds(50));
    }
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{suspended_at, true});
    SUBCASE("and a read that is sent then does not wait, as it may return more of them")
    {
      f.actions.clear();
      f.Tick(Milliseconds(10));
      const auto reads = Testing::Take<ReadOperatorChanges>(f.actions);
      REQUIRE(reads.size() == 1);
      CHECK(reads.front().from == 10);
      CHECK(reads.front().wait == Milliseconds(0));
      f.now += Milliseconds(20);
      f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
      f.follower.OnOperatorRead(NameVersion(3, 3, 11), f.now);
      CHECK(SinceOf(f, 3).is_assumed);
      CHECK(SinceOf(f, 3).time <= suspended_at);
      SUBCASE("while the next one returns new versions")
      {
        f.Tick(Milliseconds(3000));
        f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
        f.follower.OnOperatorRead(NameVersion(4, 4, 12), f.now);
        CHECK(SinceOf(f, 4) == KnownSince{f.now});
      }
    }
  }
  SUBCASE("for a long time: the platform refuses the next read and answers the one after it")
  {
    f.now += Milliseconds(4000);
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "timeout"}, f.now);
    f.Tick(Milliseconds(200));
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
    f.Tick(Milliseconds(500));
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2).is_assumed);
    CHECK(SinceOf(f, 2).time <= suspended_at);
  }
  SUBCASE("for less than a second")
  {
    f.now += Milliseconds(800);
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{suspended_at});
  }
}
