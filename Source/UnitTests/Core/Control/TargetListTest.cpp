// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "Core/Control/TargetList.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

TargetChange Listed(const std::string& id, Gateway::TargetState state = Gateway::TargetState::Ready)
{
  Gateway::ListedTarget target;
  target.id = id;
  target.state = state;
  return {id, target};
}

TargetChange Gone(const std::string& id)
{
  return {id, std::nullopt};
}

// A list of three targets, one of them leaving, followed by an outage of the platform of the given
// length.
struct Outage
{
  explicit Outage(Common::Duration time)
  {
    list.OnRead({true, {Listed("a"), Listed("b"), Listed("c", Gateway::TargetState::Leaving)}, 3},
                now);
    list.OnReadFailed(now);
    now += time / 2;
    list.OnReadFailed(now);
    now += time / 2;
  }
  bool Read(std::vector<TargetChange> changes, bool is_whole = false)
  {
    const Position next = list.KnownPosition() + changes.size();
    return list.OnRead({is_whole, std::move(changes), next}, now);
  }
  bool Has(const std::string& id) const
  {
    const auto all = list.All();
    return std::ranges::find(all, id, &Gateway::ListedTarget::id) != all.end();
  }

  TargetList list;
  Common::TimePoint now = START;
};
} // namespace

TEST_CASE("Records that lapsed while the platform was away are no ends of targets")
{
  Outage f(Milliseconds(5000));
  f.Read({Gone("a"), Gone("b"), Gone("c")});
  CHECK(f.Has("a"));
  CHECK(f.Has("b"));
  SUBCASE("but one that was leaving has left")
  {
    CHECK_FALSE(f.Has("c"));
  }
  SUBCASE("a record that cannot be parsed removes its target immediately")
  {
    f.Read({{"a", std::nullopt, Removal::Unreadable}});
    CHECK_FALSE(f.Has("a"));
    CHECK(f.Has("b"));
  }
  SUBCASE("targets that write their records again stay, and the others are removed after a delay")
  {
    f.now += Milliseconds(1800);
    f.Read({Listed("a")});
    CHECK(f.Has("b"));
    f.now += Milliseconds(600);
    CHECK(f.Read({Listed("a")}));
    CHECK(f.Has("a"));
    CHECK_FALSE(f.Has("b"));
    REQUIRE(f.list.LastUpdate().changes.size() == 1);
    CHECK(f.list.LastUpdate().changes[0].id == "b");
  }
  SUBCASE("a target that comes back as leaving is removed when its record goes")
  {
    f.Read({Listed("a", Gateway::TargetState::Leaving), Gone("a")});
    CHECK_FALSE(f.Has("a"));
  }
}

TEST_CASE("When few records are gone after an outage, their targets have left")
{
  // Only this instance was cut off from the platform, which continued to work for the others.
  Outage f(Milliseconds(5000));
  f.Read({Listed("d"), Listed("e")});
  f.list.OnReadFailed(f.now);
  f.now += Milliseconds(5000);
  f.Read({Gone("a")});
  CHECK_FALSE(f.Has("a"));
  CHECK(f.Has("b"));
}

TEST_CASE("Lapsed records are also tolerated when the full list is read again after an outage")
{
  Outage f(Milliseconds(5000));
  f.Read({Listed("b")}, true);
  CHECK(f.Has("a"));
  f.now += Milliseconds(2400);
  f.Read({Listed("b")}, true);
  CHECK_FALSE(f.Has("a"));
  CHECK(f.Has("b"));
}

TEST_CASE("A record that disappears while the platform answers removes its target")
{
  SUBCASE("after a short failure")
  {
    Outage f(Milliseconds(400));
    f.Read({Gone("a")});
    CHECK_FALSE(f.Has("a"));
  }
  SUBCASE("2.4 seconds after an outage")
  {
    Outage f(Milliseconds(5000));
    f.Read({});
    f.now += Milliseconds(2400);
    f.Read({Gone("a")});
    CHECK_FALSE(f.Has("a"));
  }
}

// Guards against targets that are not followed any more after one record with a larger incarnation.
TEST_CASE("A record that takes a larger incarnation back says so")
{
  static constexpr std::uint64_t BORN = 1788408695000;
  static constexpr std::uint64_t ODD = std::uint64_t{1} << 63;
  const auto with = [](std::uint64_t incarnation)
  {
    TargetChange change = Listed("a");
    change.target->incarnation = incarnation;
    change.version = {0, incarnation, 1};
    return change;
  };
  TargetList list;
  const auto read = [&](const TargetChange& change)
  {
    list.OnRead({false, {change}, list.KnownPosition() + 1}, START);
    return list.All().empty() ? Gateway::ListedTarget{} : list.All().front();
  };
  CHECK(read(with(BORN)).superseded_incarnation == 0);
  CHECK(read(with(ODD)).superseded_incarnation == 0);
  CHECK(read(with(BORN)).superseded_incarnation == ODD);
  CHECK(read(with(BORN + 1)).superseded_incarnation == ODD);

  SUBCASE("also if the larger one's record was removed in between")
  {
    TargetList other;
    other.OnRead({false, {with(ODD)}, 1}, START);
    other.OnRead({false, {Gone("a")}, 2}, START);
    other.OnRead({false, {with(BORN)}, 3}, START);
    CHECK(other.All().at(0).superseded_incarnation == ODD);
  }
  SUBCASE("or another process has read the records")
  {
    TargetList other;
    REQUIRE(other.Offer({0, 1, {with(ODD)}}, START));
    REQUIRE(other.Offer({1, 2, {with(BORN)}}, START));
    CHECK(other.All().at(0).superseded_incarnation == ODD);
  }
  SUBCASE("but not a record of an older copy of the platform")
  {
    TargetChange older = with(BORN);
    older.version.era = 2;
    TargetList other;
    TargetChange newer = with(BORN + 5);
    newer.version.era = 1;
    REQUIRE(other.Offer({0, MakePosition(1, 1), {newer}}, START));
    REQUIRE(other.Offer({0, MakePosition(2, 1), {older}}, START));
    CHECK(other.All().at(0).superseded_incarnation == 0);
  }
}
