// SPDX-License-Identifier: Apache-2.0
#include <random>

#include <doctest/doctest.h>

#include "Core/Control/ControlFollower.h"
#include "FollowerFixture.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::MakeRead;
using Testing::MakeTarget;
using Testing::Take;
using Fixture = Testing::FollowerFixture;

TEST_CASE("A follower reads the newest state first and then waits for changes")
{
  Fixture f;
  f.Tick();
  CHECK(Testing::Only<ReadOperatorChanges>(f.actions).at(0).from == 0);
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 0);
  CHECK(f.follower.OnOperatorRead(MakeRead(4, 9), f.now));
  f.Tick();
  const auto reads = Take<ReadOperatorChanges>(f.actions);
  REQUIRE(reads.size() == 1);
  CHECK(reads[0].from == 9);
  CHECK(reads[0].wait == Milliseconds(2500));
  f.Tick(Milliseconds(5000));
  CHECK(Take<ReadOperatorChanges>(f.actions).empty());
}

TEST_CASE("A platform without a document yet is asked again after a pause")
{
  Fixture f;
  f.Tick();
  f.actions.clear();
  CHECK_FALSE(f.follower.OnOperatorRead(OperatorChanges{nullptr, nullptr, {}, 3}, f.now));
  f.Tick();
  CHECK(Take<ReadOperatorChanges>(f.actions).empty());
  f.Tick(Milliseconds(200));
  CHECK(Take<ReadOperatorChanges>(f.actions).size() == 1);

  SUBCASE("with growing pauses of up to one second")
  {
    std::size_t reads = 0;
    for (int step = 0; step < 500; ++step)
    {
      CHECK_FALSE(f.follower.OnOperatorRead(OperatorChanges{nullptr, nullptr, {}, 3}, f.now));
      f.Tick(Milliseconds(10));
      reads += Take<ReadOperatorChanges>(f.actions).size();
    }
    CHECK(reads <= 12);
  }
  SUBCASE("and other processes may rely on the follower as soon as both reads were answered")
  {
    CHECK_FALSE(f.follower.HasReadAll());
    f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
    CHECK(f.follower.HasReadAll());
  }
}

TEST_CASE("A target list from a peer is applied only if it was read further than the local one")
{
  Fixture f;
  f.Tick();
  CHECK_FALSE(f.follower.HasTargets());
  CHECK(f.follower.OfferTargets({0, 20, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}}, f.now));
  CHECK(f.follower.HasTargets());
  CHECK(f.follower.Targets().size() == 2);
  CHECK_FALSE(f.follower.OfferTargets({0, 20, {{"c", MakeTarget("c")}}}, f.now));
  CHECK(f.follower.Targets().size() == 2);

  // The platform is asked for changes since that position.
  f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
  f.actions.clear();
  f.Tick(Milliseconds(1500));
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 20);

  // When the platform has lost its history, it returns the full list; an earlier read by a peer is
  // older.
  f.follower.OnTargetsRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
  CHECK_FALSE(f.follower.OfferTargets({0, 15, {{"c", MakeTarget("c")}}}, f.now));
  CHECK(f.follower.Targets().size() == 2);
}

TEST_CASE("One process reads the target list and forwards only its changes to the others")
{
  Fixture reader;
  Fixture other;
  reader.Tick();
  CHECK(reader.follower.OnTargetsRead(
      TargetsRead{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5}, reader.now));
  CHECK(other.follower.OfferTargets(reader.follower.FullTargetList(), other.now));
  CHECK(other.follower.Targets() == reader.follower.Targets());

  // Records that only confirm that a target is present are not changes, so a process that does not
  // receive them lacks nothing.
  CHECK_FALSE(
      reader.follower.OnTargetsRead(TargetsRead{false, {{"a", MakeTarget("a")}}, 9}, reader.now));
  CHECK(reader.follower.OnTargetsRead(
      TargetsRead{false, {{"a", MakeTarget("a")}, {"b", std::nullopt}, {"c", MakeTarget("c")}}, 12},
      reader.now));
  const TargetListChanges update = reader.follower.LastTargetListChanges();
  CHECK(update.changes.size() == 2);

  SUBCASE("the changes arrive")
  {
    CHECK(other.follower.OfferTargets(update, other.now));
    CHECK(other.follower.Targets() == reader.follower.Targets());
    CHECK_FALSE(
        other.follower.OnPeerTargetsPosition(14, reader.follower.LastTargetsChange(), other.now));
    CHECK(other.follower.TargetsPosition() == 14);
  }
  SUBCASE("the changes are lost, which the reader's next heartbeat shows")
  {
    CHECK(other.follower.OnPeerTargetsPosition(14, reader.follower.LastTargetsChange(), other.now));
    CHECK(reader.follower.OnTargetsRead(TargetsRead{false, {{"d", MakeTarget("d")}}, 15},
                                        reader.now));
    CHECK_FALSE(other.follower.OfferTargets(reader.follower.LastTargetListChanges(), other.now));
    CHECK(other.follower.OfferTargets(reader.follower.FullTargetList(), other.now));
    CHECK(other.follower.Targets() == reader.follower.Targets());
  }
  SUBCASE("a local read that started earlier returns an older list, which is ignored")
  {
    CHECK(other.follower.OfferTargets(update, other.now));
    CHECK_FALSE(
        other.follower.OnTargetsRead(TargetsRead{false, {{"b", MakeTarget("b")}}, 8}, other.now));
    CHECK(other.follower.Targets() == reader.follower.Targets());
  }
}

TEST_CASE("Forwarded target list changes give other processes the same list")
{
  Fixture f;
  f.Tick();
  ControlFollower other{{}, 2};
  CHECK(f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}}, 5}, f.now));
  REQUIRE(other.OfferTargets(f.follower.FullTargetList(), f.now));
  const auto read = [&](const TargetsRead& targets)
  {
    if (f.follower.OnTargetsRead(targets, f.now))
      CHECK(other.OfferTargets(f.follower.LastTargetListChanges(), f.now));
    CHECK(other.Targets() == f.follower.Targets());
  };
  SUBCASE("a target is added and removed within one read")
  {
    read({false, {{"b", MakeTarget("b")}, {"b", std::nullopt}, {"c", MakeTarget("c")}}, 8});
    CHECK(other.Targets().size() == 2);
  }
  SUBCASE("a target is removed and added again")
  {
    read({false, {{"a", std::nullopt}, {"a", MakeTarget("a")}, {"c", MakeTarget("c")}}, 8});
  }
  SUBCASE("a leaving target returns to its previous state")
  {
    Gateway::ListedTarget leaving = MakeTarget("a");
    leaving.state = Gateway::TargetState::Leaving;
    read({false, {{"a", leaving}, {"a", MakeTarget("a")}, {"c", MakeTarget("c")}}, 8});
  }
  SUBCASE("random changes")
  {
    std::mt19937 random(7);
    Position position = 5;
    for (int round = 0; round < 400; ++round)
    {
      TargetsRead next;
      for (std::uint32_t i = 0; i < random() % 6; ++i)
      {
        const std::string id(1, static_cast<char>('a' + random() % 5));
        Gateway::ListedTarget target = MakeTarget(id);
        target.weights_version = random() % 3;
        target.state = random() % 4 == 0 ? Gateway::TargetState::Leaving : target.state;
        const bool is_gone = random() % 3 == 0;
        next.changes.push_back({id, is_gone ? std::nullopt : std::optional(target)});
      }
      position += next.changes.size();
      next.next = position;
      read(next);
    }
  }
}

TEST_CASE(
    "A follower that stops reading requests nothing, and reads the full state when it resumes")
{
  Fixture f;
  f.Tick();
  f.actions.clear();
  f.follower.OnOperatorRead(MakeRead(4, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}}, 5}, f.now);
  f.follower.SetReading(false);
  f.Tick(Milliseconds(5000));
  CHECK(f.actions.empty());
  CHECK(f.follower.NextWakeup() == Common::TimePoint::max());
  f.follower.SetReading(true);
  f.Tick();
  CHECK(Testing::Only<ReadOperatorChanges>(f.actions).at(0).from == 0);
  // The list is read in full, too: the previous reader may have kept targets whose records had
  // lapsed.
  CHECK(Testing::Only<ReadTargets>(f.actions).at(0).from == 0);
}

TEST_CASE("A process that takes over drops targets that the reader before had kept after an outage")
{
  Fixture f;
  f.Tick();
  f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5},
                           f.now);
  ControlFollower next{{}, 2};
  REQUIRE(next.OfferTargets(f.follower.FullTargetList(), f.now));
  next.SetReading(false);
  // Both records have lapsed after an outage; the target "a" does not come back.
  f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
  f.now += Milliseconds(4000);
  f.follower.OnTargetsRead(TargetsRead{false, {{"a", std::nullopt}, {"b", std::nullopt}}, 7},
                           f.now);
  REQUIRE(f.follower.Targets().size() == 2);
  next.OnPeerTargetsPosition(f.follower.TargetsPosition(), f.follower.LastTargetsChange(), f.now);
  next.SetReading(true);
  Actions actions;
  next.OnTick(f.now, &actions);
  const auto read = Testing::Only<ReadTargets>(actions).at(0);
  // The platform returns the full list or the changes since the position.
  next.OnTargetsRead(read.from == 0 ? TargetsRead{true, {{"b", MakeTarget("b")}}, 8}
                                    : TargetsRead{false, {{"b", MakeTarget("b")}}, 8},
                     f.now);
  REQUIRE(next.Targets().size() == 1);
  CHECK(next.Targets()[0].id == "b");
}

TEST_CASE("Settings versions never decrease, whether they come from the platform or from a peer")
{
  Fixture f;
  f.Tick();
  CHECK(f.follower.OnOperatorRead(MakeRead(7, 1), f.now));
  CHECK_FALSE(f.follower.OnOperatorRead(MakeRead(6, 2), f.now));
  auto document = std::make_shared<Settings::Document>();
  document->version = 8;
  CHECK(f.follower.OfferDocument(document, Common::MakeBytes("peer")));
  CHECK_FALSE(f.follower.OnOperatorRead(MakeRead(7, 3), f.now));
  CHECK(f.follower.Version() == 8);
  CHECK(*f.follower.DocumentText() == "peer");
}

TEST_CASE("A follower whose position is gone reads the newest state")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 50), f.now);
  f.Tick();
  f.actions.clear();
  f.follower.OnOperatorRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
  f.Tick(Milliseconds(200));
  CHECK(Take<ReadOperatorChanges>(f.actions).at(0).from == 0);
  CHECK(f.follower.Version() == 1);
}

TEST_CASE("A failing platform is asked again with growing pauses")
{
  Fixture f;
  int asked = 0;
  for (int i = 0; i < 100; ++i)
  {
    f.Tick(Milliseconds(50));
    if (!Testing::Only<ReadOperatorChanges>(f.actions).empty())
    {
      ++asked;
      f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "503"}, f.now);
    }
    f.actions.clear();
  }
  CHECK(asked >= 6);
  CHECK(asked <= 16);
  CHECK_FALSE(f.follower.IsReachable());
}

TEST_CASE("The target list is updated by its changes")
{
  Fixture f;
  f.Tick();
  TargetsRead whole{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5};
  CHECK(f.follower.OnTargetsRead(whole, f.now));
  CHECK(f.follower.Targets().size() == 2);
  f.actions.clear();
  f.Tick(Milliseconds(599));
  CHECK(Take<ReadTargets>(f.actions).empty());
  f.Tick(Milliseconds(1));
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 5);
  CHECK(f.follower.OnTargetsRead(TargetsRead{false, {{"a", std::nullopt}}, 6}, f.now));
  CHECK(f.follower.Targets().size() == 1);
  SUBCASE("a record that changes nothing is not reported as a change")
  {
    CHECK_FALSE(f.follower.OnTargetsRead(TargetsRead{false, {{"b", MakeTarget("b")}}, 7}, f.now));
  }
  SUBCASE("a failed read removes no target")
  {
    f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
    CHECK(f.follower.Targets().size() == 1);
  }
  SUBCASE("a full list removes the targets that are missing from it")
  {
    CHECK(f.follower.OnTargetsRead(TargetsRead{true, {}, 8}, f.now));
    CHECK(f.follower.Targets().empty());
  }
}

TEST_CASE("Another process is asked for settings that the platform does not deliver in time")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(3, 1), f.now);
  CHECK_FALSE(f.follower.OnPeerVersion(3, f.now).has_value());
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now).has_value());
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now + Milliseconds(200)).has_value());
  CHECK(f.follower.OnPeerVersion(4, f.now + Milliseconds(310)) == Settings::DocumentVersion(3));
  // The peer is not asked at every report.
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now + Milliseconds(400)).has_value());
  CHECK(f.follower.OnPeerVersion(4, f.now + Milliseconds(800)).has_value());
}
