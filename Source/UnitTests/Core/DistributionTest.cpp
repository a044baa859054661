// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "Core/Distribution/Manifest.h"
#include "Core/Distribution/Neighbours.h"
#include "Core/Distribution/PieceSet.h"
#include "Core/Distribution/Ranking.h"
#include "Core/Distribution/Uploads.h"
#include "Support/OddValues.h"

using namespace Holdpost;
using namespace Holdpost::Distribution;
using Common::Milliseconds;

static std::vector<std::string> MakeNames(int count)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    names.push_back("agent-" + std::to_string(i));
  return names;
}

TEST_CASE("A manifest identifies a version")
{
  const Manifest manifest = MakeManifest("m", std::string(2500, 'a'), 1024);
  CHECK(manifest.PieceCount() == 3);
  CHECK(manifest.BytesOf(2) == 452);
  CHECK(manifest.BytesOf(3) == 0);
  const std::string text = EncodeManifest(manifest);
  REQUIRE(Common::Succeeded(DecodeManifest(text)));

  SUBCASE("a manifest with inconsistent fields is refused")
  {
    Manifest wrong = manifest;
    SUBCASE("no piece size")
    {
      wrong.piece_bytes = 0;
    }
    SUBCASE("too few pieces")
    {
      wrong.pieces.pop_back();
    }
    SUBCASE("no bytes")
    {
      wrong.total_bytes = 0;
    }
    CHECK_FALSE(Common::Succeeded(DecodeManifest(EncodeManifest(wrong))));
  }
  SUBCASE("a manifest of no pieces is refused, however many bytes it names")
  {
    Manifest wrong = manifest;
    wrong.pieces.clear();
    for (const std::uint64_t bytes : {UINT64_MAX, UINT64_MAX - 1, UINT64_MAX - 1023})
    {
      wrong.total_bytes = bytes;
      CHECK_FALSE(Common::Succeeded(DecodeManifest(EncodeManifest(wrong))));
    }
  }
  SUBCASE("odd fields are refused, or give pieces that add up")
  {
    const auto odd_texts = Testing::OddTexts(
        nlohmann::json::parse(text),
        {"/name", "/total_bytes", "/piece_bytes", "/pieces", "/pieces/0"}, 1'000'000);
    for (const Testing::OddText& odd : odd_texts)
    {
      INFO(odd.name);
      auto decoded = DecodeManifest(odd.text);
      if (const auto* read = std::get_if<Manifest>(&decoded))
      {
        CHECK(read->PieceCount() == 3);
        CHECK(read->total_bytes == 2500);
        CHECK(read->piece_bytes == 1024);
      }
    }
  }
  SUBCASE("a truncated manifest is refused")
  {
    CHECK_FALSE(Common::Succeeded(DecodeManifest(text.substr(0, text.size() / 2))));
  }
}

TEST_CASE("A set of pieces is encoded as a bitmap and decoded again")
{
  PieceSet set(11);
  CHECK(set.Insert(0));
  CHECK(set.Insert(10));
  CHECK_FALSE(set.Insert(10));
  CHECK_FALSE(set.Insert(11));
  const PieceSet same = PieceSet::FromBitmap(set.ToBitmap(), 11);
  CHECK(same.Count() == 2);
  CHECK(same.Contains(10));
  CHECK(PieceSet::FromBitmap(std::string(100, '\xff'), 11).Count() == 11);
}

TEST_CASE("All agents compute the same ranks without communication")
{
  const auto names = MakeNames(16);
  const Common::Digest version = Common::Sha256("v");
  std::vector<int> first(200, 0);
  for (const std::string& name : names)
  {
    const auto ranks = RankPieces(version, 200, name, names);
    const auto own_pieces = std::ranges::count(ranks, 0U);
    CHECK(own_pieces > 2);
    CHECK(own_pieces < 30);
    for (std::size_t piece = 0; piece < 200; ++piece)
      first[piece] += ranks[piece] == 0 ? 1 : 0;
  }
  // Each piece has exactly one first fetcher.
  CHECK(std::ranges::count(first, 1) == 200);
}

TEST_CASE("Pieces are assigned evenly, and all agents compute the same order")
{
  const Common::Digest version = Common::Sha256("v");
  std::vector<std::string> names = MakeNames(16);
  const PieceAssignment assignment(version, names);
  std::ranges::reverse(names);
  const PieceAssignment same(version, names);
  std::map<std::string, int> first;
  for (std::uint32_t piece = 0; piece < 96; ++piece)
  {
    const std::vector<std::string> order = assignment.FirstMembers(piece, 3);
    REQUIRE(order.size() == 3);
    CHECK(order == same.FirstMembers(piece, 3));
    for (std::uint32_t rank = 0; rank < 3; ++rank)
      CHECK(assignment.RankOf(order[rank], piece) == rank);
    ++first[order[0]];
  }
  for (const auto& [name, count] : first)
    CHECK(count == 6);
  // An unknown member ranks after all members.
  CHECK(assignment.RankOf("stranger", 5) == 16);
  CHECK(PieceAssignment(version, {"alone"}).FirstMembers(7, 3) ==
        std::vector<std::string>{"alone"});
}

TEST_CASE("Neighbours")
{
  std::vector<NeighbourCandidate> all;
  for (const std::string& name : MakeNames(128))
    all.push_back({name, all.size() < 96 ? "oslo-a" : "bergen-a", {}});
  const Common::Digest version = Common::Sha256("v");
  std::map<std::string, std::vector<std::string>> chosen;
  for (const auto& [name, hall, wanted_version] : all)
    chosen[name] = ChooseNeighbours(version, name, hall, all, 16);

  SUBCASE("are bounded, and both ends choose each other")
  {
    for (const auto& [name, neighbours] : chosen)
    {
      CHECK(neighbours.size() >= 10);
      CHECK(neighbours.size() <= 18);
      for (const std::string& other : neighbours)
        CHECK(std::ranges::count(chosen[other], name) == 1);
    }
  }
  SUBCASE("connect all agents within a few steps, also across halls")
  {
    std::set<std::string> reached = {"agent-0"};
    int steps = 0;
    for (; reached.size() < all.size() && steps < 10; ++steps)
    {
      for (const std::string& name : std::set<std::string>(reached))
        reached.insert(chosen[name].begin(), chosen[name].end());
    }
    CHECK(steps <= 4);
  }
  SUBCASE("do not exist for a single instance")
  {
    CHECK(ChooseNeighbours(version, "agent-0", "oslo-a", {}, 16).empty());
  }
}

TEST_CASE("Uploads stay within the link's budget")
{
  const Common::TimePoint start{std::chrono::hours(1)};
  Uploads uploads;
  uploads.SetLimits(1000, LinkPacing::Budget, 10, Milliseconds(1000));
  const Common::Bytes piece = Common::MakeBytes(std::string(500, 'a'));
  Actions actions;
  for (RequestTag tag = 1; tag <= 4; ++tag)
    uploads.Add(tag, piece, false, start, &actions);

  SUBCASE("a piece is sent when the link would have carried it")
  {
    const auto sent = [&](Milliseconds at)
    {
      actions.clear();
      uploads.Advance(start + at, &actions);
      return actions.size() / 2; // each answer comes with a counter action
    };
    CHECK(sent(Milliseconds(499)) == 0);
    CHECK(sent(Milliseconds(500)) == 1);
    CHECK(sent(Milliseconds(1499)) == 1);
  }
  SUBCASE("a request that would wait too long is refused with a retry delay")
  {
    const auto* answer = std::get_if<AnswerPiece>(&actions.back());
    REQUIRE(answer);
    CHECK(answer->tag == 4);
    const auto* error = std::get_if<Common::Error>(&answer->result);
    REQUIRE(error);
    CHECK(error->kind == Common::ErrorKind::SourceBusy);
    CHECK(error->retry_after == Milliseconds(500));
  }
  SUBCASE("a withdrawn request leaves its booking to the requests behind it")
  {
    uploads.Remove(2, start);
    actions.clear();
    uploads.Advance(start + Milliseconds(1000), &actions);
    REQUIRE(actions.size() == 4);
    CHECK(std::get<AnswerPiece>(actions[3]).tag == 3);
  }
}
