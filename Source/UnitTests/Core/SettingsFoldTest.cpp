// SPDX-License-Identifier: Apache-2.0
#include <random>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Core/Node/Follower.h"
#include "Core/Settings/Fold.h"
#include "Support/OddValues.h"

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

TEST_CASE("Looking only at what changed comes to the verdict of looking at all")
{
  const std::vector<std::string> paths = {"/",        "/a",       "/a/h",    "/b",     "/b/h",
                                          "/b/i",     "/*/*/s",   "/a/h/s",  "/b/*/t", "/b/i/t",
                                          "/*/*/*/o", "/a/h/s/o", "/b/i/t/p"};
  std::mt19937_64 random(7);
  const auto some_values = [&]
  {
    Values values;
    if (random() % 2)
      values[Field::Pool] = std::string("p");
    if (random() % 2)
      values[Field::Model] = std::string("m");
    if (random() % 2)
      values[Field::Version] = std::string(64, 'a');
    if (random() % 4 == 0)
      values[Field::Kind] = std::string("plain");
    if (random() % 4 == 0)
      values[Field::CredentialSha256] = std::string(64, 'b');
    return values;
  };
  Tree tree;
  int accepted = 0;
  for (int round = 0; round < 20000; ++round)
  {
    Tree next = tree;
    std::vector<ChangedNode> changed;
    for (std::size_t i = 0; i <= random() % 4; ++i)
    {
      const Path path = *Path::Parse(paths[random() % paths.size()]);
      const auto found = tree.find(path);
      changed.push_back(
          {path, found == tree.end() ? Values() : found->second.values, found == tree.end()});
      if (random() % 8 == 0)
        next.erase(path);
      else
        next[path].values = some_values();
    }
    const bool is_good = CheckTree(next).empty();
    REQUIRE(CheckChanged(next, changed).empty() == is_good);
    if (is_good)
    {
      tree = std::move(next);
      ++accepted;
    }
  }
  CHECK(accepted > 100);
}

TEST_CASE("A rejected change leaves no trace")
{
  Fold fold;
  fold.Apply(RootChange(1, 0, 100));
  const std::string before = fold.Serialize();
  fold.Apply(MakeRecord(
      2, Change{"id", "kari", {{Path(), 1, Heartbeat(300)}, {*Path::Parse("/a/b"), 0, Values()}}}));
  CHECK(fold.AcceptedTree().size() == 1);
  CHECK(fold.AcceptedTree().at(Path()).offset == 1);
  CHECK(fold.Serialize().substr(0, 20) == before.substr(0, 20));
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

// Guards against numbers that are cast out of range, and against a record that is taken for
// another.
TEST_CASE("An odd record of the log is passed over, and the fold goes on")
{
  static constexpr std::size_t MAX_DEPTH = 1'000'000;
  using nlohmann::json;
  const auto play = [](const Record& sound, const std::vector<std::string>& fields)
  {
    Fold fold;
    REQUIRE(std::holds_alternative<Accepted>(fold.Apply(RootChange(1, 0, 100))));
    Common::Offset offset = 1;
    const auto texts = Testing::OddTexts(json::parse(EncodeRecord(sound)), fields, MAX_DEPTH);
    for (const Testing::OddText& odd : texts)
    {
      INFO(odd.name);
      CAPTURE(offset);
      Verdict verdict;
      REQUIRE_NOTHROW(verdict = fold.Apply({++offset, odd.text}));
      REQUIRE_FALSE(std::holds_alternative<OutOfOrder>(verdict));
      REQUIRE_NOTHROW(SnapshotOffset(odd.text));
    }
    CHECK(std::holds_alternative<Accepted>(
        fold.Apply(RootChange(offset + 1, fold.NodeOffset(Path()), 200))));
    Fold other;
    CHECK(Common::Succeeded(other.Adopt(fold.Position(), fold.Serialize())));
    MESSAGE(texts.size() << " records");
  };
  play(Change{"id", "kari", {{Path(), 7, Heartbeat(100)}}},
       {"/type", "/id", "/author", "/nodes", "/nodes/0", "/nodes/0/path", "/nodes/0/base",
        "/nodes/0/settings", "/nodes/0/settings/heartbeat_ms"});
  play(TargetClaim{"id", "target-1", "agent-1"}, {"/type", "/id", "/target", "/instance"});
  play(Snapshot{1, Fold().Serialize()}, {"/type", "/offset", "/state"});
  play(KeyClaims{"id", "entry-1", 7, {{"firm/llm", "k", "r"}}},
       {"/type", "/id", "/entry", "/incarnation", "/claims", "/claims/0", "/claims/0/scope",
        "/claims/0/key", "/claims/0/request"});
}

TEST_CASE("A change against an offset that is no whole number from 0 on is rejected")
{
  const auto with_base = [](const std::string& base)
  {
    return R"({"type":"change","id":"x","author":"a","nodes":[{"path":"/","base":)" + base +
           R"(,"settings":{"heartbeat_ms":100}}]})";
  };
  CHECK(std::holds_alternative<Accepted>(Fold().Apply({1, with_base("0")})));
  for (const char* base : {"-1", "1e308", "-1e308", "18446744073709551616", "true", "null"})
  {
    CAPTURE(std::string(base));
    CHECK_FALSE(Common::Succeeded(DecodeRecord(with_base(base))));
  }
}

// Guards against a log that no instance writes a snapshot into any more, so that later starts find
// none.
TEST_CASE("A snapshot record of an offset that is still to come puts off no snapshot")
{
  static constexpr Common::Offset EVERY = 10;
  Common::Metrics metrics;
  NodeCore::Follower follower(0, metrics);
  follower.SetSnapshotEvery(EVERY);
  NodeCore::LogRead read;
  read.first = 1;
  read.head = 2 * EVERY;
  const std::string odd =
      EncodeRecord(Snapshot{std::numeric_limits<Common::Offset>::max() / 2, "{}"});
  read.records.push_back({1, odd});
  for (Common::Offset offset = 2; offset <= read.head; ++offset)
    read.records.push_back(RootChange(offset, offset > 2 ? offset - 1 : 0, 100));
  NodeCore::Actions actions;
  follower.OnLogRead({read}, Common::TimePoint(), &actions);
  CHECK(std::ranges::any_of(actions,
                            [](const auto& action)
                            {
                              const auto* append = std::get_if<NodeCore::AppendRecord>(&action);
                              return append &&
                                     append->purpose == NodeCore::AppendPurpose::WriteSnapshot;
                            }));
}
