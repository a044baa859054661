// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "FollowerFixture.h"

// Since when versions are known that a follower reads.
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

OperatorRead NameVersion(std::uint64_t version, Settings::DocumentVersion settings, Position next)
{
  OperatorRead read = MakeRead(settings, next);
  read.weights = {{"m", version}};
  return read;
}
} // namespace

TEST_CASE("A version is named when the platform's answer was sent, not when it came")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("by what the last read of the list took")
  {
    f.Tick(Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(30)});
  }
  SUBCASE("by how long the present one is open already")
  {
    f.Tick(Milliseconds(600));
    f.now += Milliseconds(450);
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(450)});
  }
}

TEST_CASE("A version that was named before the start is as old as it may be")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  CHECK(options.assumed_age == Milliseconds(6000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  f.now += Milliseconds(700);
  SUBCASE("if nobody tells since when it is known")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
    SUBCASE("until a process that knew of the naming tells")
    {
      const KnownSince seen{START - Milliseconds(1000)};
      CHECK(f.follower.OfferWeights({"m", 2}, seen));
      CHECK(SinceOf(f, 2) == seen);
    }
    SUBCASE("and the next one is named when it is read")
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
  SUBCASE("also if another process that does not know it has told of the version before")
  {
    const KnownSince assumed{START - Milliseconds(5500), true};
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now - Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("unless another process has told of all versions until a moment ago, but not of it")
  {
    const Common::TimePoint told = f.now - Milliseconds(300);
    f.follower.OnToldAll(told);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    // The list was asked for at the start and has not come yet.
    CHECK(SinceOf(f, 2) == KnownSince{START});
  }
}

TEST_CASE("What the reader before has missed was named after it last told")
{
  constexpr Milliseconds ASSUMED_AGE{6000};
  Fixture f;
  f.follower = ControlFollower({.assumed_age = ASSUMED_AGE}, 1);
  f.follower.SetReading(false);
  f.Tick();
  const Common::TimePoint told = f.now;
  f.follower.OnToldAll(told);
  f.now += Milliseconds(1200);
  f.follower.SetReading(true);
  f.Tick();
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("if that is not long ago")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{told});
  }
  SUBCASE("after a long silence it may have been named at any time since")
  {
    f.now += Milliseconds(9000);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - ASSUMED_AGE, true});
  }
  SUBCASE("but not while the platform refused what was asked")
  {
    f.now += Milliseconds(8000);
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
  SUBCASE("by a read that was open when another process told of it")
  {
    f.Tick();
    f.now += Milliseconds(40);
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now);
    f.now += Milliseconds(160);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("by a process that takes over reading")
  {
    f.follower.SetReading(false);
    f.Tick();
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now);
    f.now += Milliseconds(30000);
    f.follower.OnToldAll(f.now);
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

TEST_CASE("A process that the platform has never answered vouches for no naming")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  // As GatewayControl tells it of a reader without an answer yet.
  f.follower.OnToldAll(f.now - std::chrono::hours(1));
  f.now += Milliseconds(200);
  f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
  CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
}

TEST_CASE("A process that stood still while the list was read takes no later version to be older")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  f.Tick(Milliseconds(600));
  // Nothing ran, so no answer was under way for so long.
  f.now += Milliseconds(8000);
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.Tick(Milliseconds(100));
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  // A read that gets no byte is given up after a second.
  CHECK(SinceOf(f, 2).time >= f.now - Milliseconds(1000));
}

TEST_CASE("What is read on after others had told was named after they last did")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  // As in SidecarNode: gateways of the hall tell, and the follower is left alone until they are
  // silent for 1.5 s.
  f.now += Milliseconds(30000);
  const Common::TimePoint told = f.now;
  f.follower.OnToldAll(told);
  f.Tick(Milliseconds(1500));
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  CHECK(SinceOf(f, 2).time <= told);
}
