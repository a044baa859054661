// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Settings/Fold.h"

using namespace Holdpost;
using namespace Holdpost::Settings;

namespace
{
Values Heartbeat(std::int64_t ms)
{
  return {{Field::HeartbeatMs, ms}};
}

LogRecord MakeRecord(Common::Offset offset, const Record& record)
{
  return {offset, EncodeRecord(record)};
}

LogRecord RootChange(Common::Offset offset, Common::Offset base, std::int64_t ms)
{
  return MakeRecord(offset,
                    Change{"id" + std::to_string(offset), "kari", {{Path(), base, Heartbeat(ms)}}});
}
} // namespace

TEST_CASE("The state in force is a fold over the log")
{
  Fold fold;
  REQUIRE(std::holds_alternative<Accepted>(fold.Apply(RootChange(1, 0, 100))));

  SUBCASE("of two operators who read the same state, the first in the log wins")
  {
    REQUIRE(std::holds_alternative<Accepted>(fold.Apply(RootChange(2, 1, 200))));
    const Verdict verdict = fold.Apply(RootChange(3, 1, 300));
    const auto* rejected = std::get_if<Rejected>(&verdict);
    REQUIRE(rejected);
    CHECK(rejected->error.kind == Common::ErrorKind::Conflict);
    CHECK(rejected->winner == 2);
    CHECK(fold.AcceptedOffset() == 2);
    CHECK(fold.Position() == 3);
  }
  SUBCASE("a change that leaves a broken tree is rejected whole")
  {
    const Change change{
        "id", "kari", {{Path(), 1, Heartbeat(200)}, {*Path::Parse("/a/b"), 0, Values()}}};
    const Verdict verdict = fold.Apply(MakeRecord(2, change));
    REQUIRE(std::holds_alternative<Rejected>(verdict));
    CHECK(fold.AcceptedTree().at(Path()).values == Heartbeat(100));
  }
  SUBCASE("records that are no JSON, or of unknown fields, are rejected and passed over")
  {
    CHECK(std::holds_alternative<Rejected>(fold.Apply({2, "{"})));
    CHECK(std::holds_alternative<Rejected>(
        fold.Apply({3, R"({"type":"change","id":"x","author":"a","nodes":[{"path":"/","base":1,)"
                       R"("settings":{"colour":1}}]})"})));
    CHECK(std::holds_alternative<Accepted>(fold.Apply(RootChange(4, 1, 200))));
  }
  SUBCASE("a removed node cannot be made again by one who knew it before")
  {
    fold.Apply(MakeRecord(2, Change{"id", "kari", {{*Path::Parse("/ost"), 0, Values()}}}));
    fold.Apply(MakeRecord(3, Change{"id", "kari", {{*Path::Parse("/ost"), 2, std::nullopt}}}));
    CHECK(std::holds_alternative<Rejected>(
        fold.Apply(MakeRecord(4, Change{"id", "ola", {{*Path::Parse("/ost"), 2, Values()}}}))));
    CHECK(std::holds_alternative<Accepted>(
        fold.Apply(MakeRecord(5, Change{"id", "ola", {{*Path::Parse("/ost"), 3, Values()}}}))));
  }
  SUBCASE("a record out of order changes nothing")
  {
    CHECK(std::holds_alternative<OutOfOrder>(fold.Apply(RootChange(5, 1, 200))));
    CHECK(fold.Position() == 1);
  }
  SUBCASE("the last claim of a target holds it, and displaces the one before")
  {
    fold.Apply(MakeRecord(2, TargetClaim{"c1", "t", "agent-1"}));
    CHECK_FALSE(fold.HolderOf("t")->has_displaced);
    fold.Apply(MakeRecord(3, TargetClaim{"c2", "t", "agent-2"}));
    CHECK(fold.HolderOf("t")->instance == "agent-2");
    CHECK(fold.HolderOf("t")->offset == 3);
    CHECK(fold.HolderOf("t")->has_displaced);
  }
}

TEST_CASE("Snapshots carry the state past the log's retention")
{
  Fold whole;
  whole.Apply(RootChange(1, 0, 100));
  whole.Apply(MakeRecord(2, TargetClaim{"c1", "t", "agent-1"}));
  const LogRecord snapshot = MakeRecord(3, Snapshot{2, whole.Serialize()});
  whole.Apply(snapshot);
  whole.Apply(RootChange(4, 1, 200));

  SUBCASE("a reader that comes late starts at the snapshot and ends in the same state")
  {
    Fold late;
    CHECK(late.ApplyAll({snapshot, RootChange(4, 1, 200)}));
    CHECK(late.Serialize() == whole.Serialize());
  }
  SUBCASE("without a snapshot it takes nothing")
  {
    Fold late;
    CHECK_FALSE(late.ApplyAll({RootChange(4, 1, 200)}));
    CHECK(late.Position() == 0);
  }
  SUBCASE("a snapshot that leaves a gap is not used")
  {
    Fold late;
    CHECK_FALSE(late.ApplyAll({MakeRecord(9, Snapshot{2, whole.Serialize()})}));
  }
  SUBCASE("an older state is refused: nothing ever reverts")
  {
    Fold other;
    other.Apply(RootChange(1, 0, 100));
    CHECK_FALSE(Common::Succeeded(whole.Adopt(1, other.Serialize())));
    CHECK(whole.Position() == 4);
  }
  SUBCASE("a state that does not hold together is refused")
  {
    Fold late;
    CHECK_FALSE(Common::Succeeded(late.Adopt(9, whole.Serialize())));
    CHECK_FALSE(Common::Succeeded(late.Adopt(4, "{}")));
    CHECK(late.Position() == 0);
  }
}

TEST_CASE("The change between two trees names what differs and its base")
{
  Fold fold;
  fold.Apply(RootChange(1, 0, 100));
  fold.Apply(MakeRecord(2, Change{"id", "kari", {{*Path::Parse("/ost"), 0, Values()}}}));
  Tree wanted = {{Path(), {Heartbeat(100), 0}}, {*Path::Parse("/vest"), {}}};
  const Change change = ChangeBetween(fold, wanted);
  REQUIRE(change.nodes.size() == 2);
  CHECK(change.nodes[0].path.ToString() == "/vest");
  CHECK(change.nodes[0].base == 0);
  CHECK(change.nodes[1].path.ToString() == "/ost");
  CHECK(change.nodes[1].base == 2);
  CHECK_FALSE(change.nodes[1].values.has_value());
}
