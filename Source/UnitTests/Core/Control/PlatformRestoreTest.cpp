// SPDX-License-Identifier: Apache-2.0
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "Core/Control/ControlFollower.h"
#include "FollowerFixture.h"
#include "Support/Actions.h"
#include "Support/LogCapture.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::MakeRead;
using Testing::MakeTarget;
using Testing::Take;
using Fixture = Testing::FollowerFixture;

namespace
{
// A follower that knows settings 27 and two targets, read in era 3 up to offset 100.
struct RestoredFixture : Fixture
{
  RestoredFixture()
  {
    Tick();
    follower.OnOperatorRead(MakeRead(27, MakePosition(3, 100)), now);
    follower.OnTargetsRead(Whole({Record("a", 50), Record("b", 60)}, MakePosition(3, 100)), now);
    Tick();
    actions.clear();
  }
  static TargetChange Record(const std::string& id, std::uint64_t revision,
                             Gateway::TargetState state = Gateway::TargetState::Ready)
  {
    Gateway::ListedTarget target = MakeTarget(id);
    target.state = state;
    return {id, target, Removal::Gone, {0, 0, revision}};
  }
  static TargetsRead Whole(std::vector<TargetChange> changes, Position next)
  {
    return {true, std::move(changes), next};
  }
  static TargetsRead Changes(std::vector<TargetChange> changes, Position next)
  {
    return {false, std::move(changes), next};
  }
  // The state of the target; empty if it is not known.
  std::optional<Gateway::TargetState> StateOf(const std::string& id) const
  {
    for (const Gateway::ListedTarget& target : follower.Targets())
    {
      if (target.id == id)
        return target.state;
    }
    return std::nullopt;
  }
};
constexpr auto READY = Gateway::TargetState::Ready;
constexpr auto LEAVING = Gateway::TargetState::Leaving;
} // namespace

TEST_CASE("A platform that has come back from an older copy is read anew")
{
  RestoredFixture f;
  CHECK(f.follower.Era() == 3);
  f.Tick(Milliseconds(700));
  CHECK(Take<ReadTargets>(f.actions).at(0).from == MakePosition(3, 100));

  SUBCASE("when a position is gone, at once and in full")
  {
    f.follower.OnTargetsRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
    f.Tick();
    CHECK(Take<ReadTargets>(f.actions).at(0).from == 0);
    // Its offsets have gone back behind those that were known.
    CHECK(f.follower.OnTargetsRead(
        f.Whole({f.Record("a", 50, LEAVING), f.Record("b", 60)}, MakePosition(4, 20)), f.now));
    CHECK(f.StateOf("a") == LEAVING);
    CHECK(f.follower.TargetsPosition() == MakePosition(4, 20));
  }
  SUBCASE("although a read of settings still waits for a change")
  {
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 50), f.Record("b", 60)}, MakePosition(4, 20)),
                             f.now);
    f.Tick();
    const auto reads = Take<ReadOperatorChanges>(f.actions);
    REQUIRE(reads.size() == 1);
    CHECK(reads[0].from == 0);
    // The answer to the earlier read comes late, and is ignored.
    CHECK_FALSE(
        f.follower.OnOperatorRead(MakeRead(99, MakePosition(3, 120)), f.now, reads[0].number - 1));
    CHECK(f.follower.OnOperatorRead(MakeRead(31, MakePosition(4, 2)), f.now, reads[0].number));
    f.Tick();
    CHECK(Take<ReadOperatorChanges>(f.actions).at(0).from == MakePosition(4, 2));
  }
  SUBCASE("and a late answer of the earlier era changes nothing")
  {
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 51, LEAVING)}, MakePosition(4, 20)), f.now);
    CHECK_FALSE(
        f.follower.OnTargetsRead(f.Changes({f.Record("a", 52)}, MakePosition(3, 101)), f.now));
    CHECK(f.StateOf("a") == LEAVING);
  }
  SUBCASE("also when another process has read it")
  {
    CHECK(f.follower.OnPeerTargetsPosition(MakePosition(4, 20), MakePosition(4, 20), f.now));
    CHECK(f.follower.OfferTargets({0, MakePosition(4, 20), {f.Record("a", 50)}}, f.now));
    CHECK(f.follower.Era() == 4);
    f.Tick();
    CHECK(Take<ReadOperatorChanges>(f.actions).at(0).from == 0);
  }
  SUBCASE("and older settings do not take the place of newer ones")
  {
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 50)}, MakePosition(4, 20)), f.now);
    f.Tick();
    CHECK_FALSE(f.follower.OnOperatorRead(MakeRead(23, MakePosition(4, 2)), f.now));
    CHECK(f.follower.Version() == 27);
  }
}

TEST_CASE("The first era that a process hears of is no restore")
{
  Testing::LogCapture capture;
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(27, MakePosition(3, 100)), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}}, MakePosition(3, 100)},
                           f.now);
  CHECK(f.follower.Era() == 3);
  CHECK(capture.Text().find("platform.restored") == std::string::npos);
  f.follower.OnOperatorRead(MakeRead(31, MakePosition(4, 2)), f.now);
  CHECK(capture.Text().find("platform.restored") != std::string::npos);
}

TEST_CASE("What is known of targets outlasts a restore until they say otherwise")
{
  RestoredFixture f;
  SUBCASE("a target that leaves")
  {
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 55, LEAVING)}, MakePosition(3, 101)), f.now);
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 50), f.Record("b", 60)}, MakePosition(4, 20)),
                             f.now);
    CHECK(f.StateOf("a") == LEAVING);
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 54)}, MakePosition(4, 21)), f.now);
    CHECK(f.StateOf("a") == LEAVING);
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 56)}, MakePosition(4, 22)), f.now);
    CHECK(f.StateOf("a") == READY);
  }
  SUBCASE("a target that is gone")
  {
    f.follower.OnTargetsRead(f.Changes({{"a", std::nullopt}}, MakePosition(3, 101)), f.now);
    REQUIRE_FALSE(f.StateOf("a").has_value());
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 50), f.Record("b", 60)}, MakePosition(4, 20)),
                             f.now);
    CHECK_FALSE(f.StateOf("a").has_value());
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 51)}, MakePosition(4, 21)), f.now);
    CHECK(f.StateOf("a") == READY);
  }
  SUBCASE("a target that is younger than the copy, for the time in which it writes again")
  {
    f.follower.OnTargetsRead(f.Whole({f.Record("b", 60)}, MakePosition(4, 20)), f.now);
    CHECK(f.StateOf("a") == READY);
    f.now += Milliseconds(2500);
    SUBCASE("which it does")
    {
      f.follower.OnTargetsRead(f.Changes({f.Record("a", 52)}, MakePosition(4, 21)), f.now);
      CHECK(f.StateOf("a") == READY);
    }
    SUBCASE("which it does not")
    {
      f.follower.OnTargetsRead(f.Changes({f.Record("b", 61)}, MakePosition(4, 21)), f.now);
      CHECK_FALSE(f.StateOf("a").has_value());
    }
  }
  SUBCASE("through the process that reads next")
  {
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 55, LEAVING)}, MakePosition(3, 101)), f.now);
    f.follower.OnTargetsRead(f.Whole({f.Record("a", 50), f.Record("b", 60)}, MakePosition(4, 20)),
                             f.now);
    RestoredFixture next;
    REQUIRE(next.follower.OfferTargets(f.follower.FullTargetList(), next.now));
    next.follower.OnTargetsRead(
        next.Whole({next.Record("a", 50), next.Record("b", 60)}, MakePosition(4, 25)), next.now);
    CHECK(next.StateOf("a") == LEAVING);
  }
  SUBCASE("a target that is gone, through the process that reads next")
  {
    // It has heard of no record since the first, as none of them was a change.
    RestoredFixture next;
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 70)}, MakePosition(3, 101)), f.now);
    f.follower.OnTargetsRead(f.Changes({{"a", std::nullopt}}, MakePosition(3, 102)), f.now);
    SUBCASE("which was told of the change")
    {
      REQUIRE(next.follower.OfferTargets(f.follower.LastTargetListChanges(), next.now));
    }
    SUBCASE("which was told the whole list")
    {
      REQUIRE(next.follower.OfferTargets(f.follower.FullTargetList(), next.now));
    }
    SUBCASE("which has just started")
    {
      next.follower = ControlFollower({}, 1);
      REQUIRE(next.follower.OfferTargets(f.follower.FullTargetList(), next.now));
    }
    next.follower.OnTargetsRead(
        next.Whole({next.Record("a", 65), next.Record("b", 60)}, MakePosition(4, 25)), next.now);
    CHECK_FALSE(next.StateOf("a").has_value());
  }
  SUBCASE("while within one era the platform's order counts")
  {
    f.follower.OnTargetsRead(f.Changes({f.Record("a", 3, LEAVING)}, MakePosition(3, 101)), f.now);
    CHECK(f.StateOf("a") == LEAVING);
  }
}
