// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <set>

#include "Core/Sidecar/StageManager.h"
#include "Core/Sidecar/SwitchSchedule.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Bytes;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr std::uint32_t PIECES = 4;
constexpr std::uint32_t PIECE_BYTES = 1024;

// A swarm that holds all pieces of a version.
struct Weights
{
  Weights()
  {
    std::string all;
    for (std::uint32_t i = 0; i < PIECES; ++i)
    {
      pieces.push_back(Common::MakeBytes(std::string(PIECE_BYTES, static_cast<char>('a' + i))));
      all += *pieces.back();
    }
    const auto manifest =
        Common::MakeBytes(EncodeManifest(Distribution::MakeManifest("m", all, PIECE_BYTES)));
    Distribution::SwarmOptions options;
    swarm = std::make_unique<Distribution::Swarm>(
        Common::Sha256(*manifest), Distribution::Fetcher{"self", "here"}, options, 1, &shared);
    Distribution::Actions actions;
    swarm->SetPeers({}, {}, START, &actions);
    swarm->OnViewConfirmed(START, &actions);
    while (!swarm->IsHeld())
    {
      for (const auto& fetch : Take<Distribution::FetchPiece>(actions))
      {
        const bool is_manifest = fetch.piece == Distribution::MANIFEST_PIECE;
        swarm->OnFetched(fetch.id, is_manifest ? manifest : pieces[fetch.piece], START, &actions);
      }
      swarm->OnTick(START + Milliseconds(5000), &actions);
    }
  }

  std::vector<Bytes> pieces;
  Distribution::SwarmShared shared;
  std::unique_ptr<Distribution::Swarm> swarm;
};

// Executes the manager's calls on an engine whose stage is a map.
void ExecuteCalls(StageManager& manager, const Weights& weights,
                  std::map<std::uint32_t, Bytes>& stage)
{
  for (int turn = 0; turn < 100; ++turn)
  {
    StageActions actions;
    manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    for (const StageAction& action : actions)
    {
      if (const auto* put = std::get_if<StagePiece>(&action))
      {
        stage[put->piece] = put->data;
        manager.OnStaged({put->ticket, put->piece, std::monostate()}, START);
      }
      if (const auto* get = std::get_if<ReadStaged>(&action))
      {
        const auto found = stage.find(get->piece);
        manager.OnRead({get->ticket, get->piece,
                        found == stage.end() ? Common::Result<Bytes>(Error{ErrorKind::NotFound, ""})
                                             : Common::Result<Bytes>(found->second)},
                       *weights.swarm, START);
      }
    }
    if (actions.empty())
      return;
  }
}

// A manager that has found all pieces of version 1 on the stage.
StageManager FoundStage()
{
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  for (std::uint32_t piece = 0; piece < PIECES; ++piece)
    manager.OnFound(piece);
  return manager;
}
} // namespace

TEST_CASE("The stage is filled and verified by reading it back")
{
  const Weights weights;
  StageManager manager;
  std::map<std::uint32_t, Bytes> stage;
  manager.SetVersion("m", 2, PIECES);
  ExecuteCalls(manager, weights, stage);
  CHECK(manager.IsStaged());
  CHECK(manager.Verified().has_value());

  SUBCASE("a piece that is corrupted on the stage is detected by the next verification and staged "
          "again")
  {
    stage[2] = Common::MakeBytes("spoilt");
    manager.VerifyAgain();
    CHECK_FALSE(manager.Verified().has_value());
    ExecuteCalls(manager, weights, stage);
    CHECK(manager.Verified().has_value());
    CHECK(*stage[2] == *weights.pieces[2]);
  }
  SUBCASE("another version starts from nothing: no piece of it is staged")
  {
    manager.SetVersion("m", 3, PIECES);
    CHECK_FALSE(manager.IsStaged());
    CHECK_FALSE(manager.Verified().has_value());
  }
}

TEST_CASE("Pieces that are already on the stage are not staged again, but verified")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  CHECK(Testing::Only<StagePiece>(actions).empty());
  CHECK_FALSE(Take<ReadStaged>(actions).empty());
}

TEST_CASE("A piece that the engine did not accept is staged again after a pause")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto first = Take<StagePiece>(actions);
  REQUIRE_FALSE(first.empty());
  manager.OnStaged({first[0].ticket, first[0].piece, Error{ErrorKind::Unreachable, ""}}, START);
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  CHECK(Take<StagePiece>(actions).empty());
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START + Milliseconds(150), &actions);
  CHECK(Take<StagePiece>(actions).at(0).piece == first[0].piece);
}

TEST_CASE("Answers of calls that were made before the state changed do not count")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto reads = Take<ReadStaged>(actions);
  REQUIRE_FALSE(reads.empty());

  SUBCASE("a reading of the verification before")
  {
    manager.VerifyAgain();
    manager.OnRead({reads[0].ticket, reads[0].piece, weights.pieces[reads[0].piece]},
                   *weights.swarm, START);
    CHECK(manager.VerifiedCount() == 0);
    manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    CHECK(Take<ReadStaged>(actions).at(0).piece == reads[0].piece);
  }
  SUBCASE("a reading of another version")
  {
    manager.SetVersion("m", 2, PIECES);
    manager.OnRead({reads[0].ticket, reads[0].piece, weights.pieces[reads[0].piece]},
                   *weights.swarm, START);
    CHECK(manager.StagedCount() == 0);
  }
  SUBCASE("a write of another version: the piece is not written again until it has ended")
  {
    StageManager writer;
    writer.SetVersion("m", 1, PIECES);
    writer.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    const auto writes = Take<StagePiece>(actions);
    REQUIRE(writes.size() == 2);
    writer.SetVersion("m", 2, PIECES);
    writer.OnStaged({writes[1].ticket, writes[1].piece, std::monostate()}, START);
    CHECK(writer.StagedCount() == 0);
    writer.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    const auto next = Take<StagePiece>(actions);
    REQUIRE(next.size() == 1);
    CHECK(next[0].piece != writes[0].piece);
  }
}

// The engine carries a write of the version before out behind the reading of the next one.
TEST_CASE("A write of another version without an answer may still overwrite the stage")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto writes = Take<StagePiece>(actions);
  REQUIRE(writes.size() == 2);
  const auto answer = [&](const StagePiece& write, Common::Result<std::monostate> result) {
    manager.OnStaged({write.ticket, write.piece, std::move(result)}, START);
  };

  SUBCASE("the call ended before the next version")
  {
    answer(writes[0], Error{ErrorKind::Unreachable, ""});
    CHECK_FALSE(manager.MayBeOverwritten());
    manager.SetVersion("m", 2, PIECES);
  }
  SUBCASE("the call ends after it")
  {
    manager.SetVersion("m", 2, PIECES);
    CHECK_FALSE(manager.MayBeOverwritten());
    answer(writes[0], Error{ErrorKind::Unreachable, ""});
  }
  CHECK(manager.MayBeOverwritten());
  manager.OnEngineRestarted();
  CHECK_FALSE(manager.MayBeOverwritten());
}

TEST_CASE("A write that was refused cannot overwrite the stage")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const StagePiece write = Take<StagePiece>(actions).at(0);
  manager.OnStaged({write.ticket, write.piece, Error{ErrorKind::SourceBusy, ""}}, START);
  manager.SetVersion("m", 2, PIECES);
  CHECK_FALSE(manager.MayBeOverwritten());
}

TEST_CASE("A reading that brings no content is repeated and writes nothing")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const ReadStaged read = Take<ReadStaged>(actions).at(0);
  manager.OnRead({read.ticket, read.piece, Error{ErrorKind::Unreachable, ""}}, *weights.swarm,
                 START);
  CHECK(manager.IsStaged());
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START + Milliseconds(150), &actions);
  CHECK(Testing::Only<StagePiece>(actions).empty());
  CHECK(Take<ReadStaged>(actions).at(0).piece == read.piece);
}

// The process stands still between a reading and its answer.
TEST_CASE("A reading whose answer took long is repeated")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const ReadStaged read = Take<ReadStaged>(actions).at(0);
  const Common::TimePoint now = START + Milliseconds(5000);
  manager.OnRead({read.ticket, read.piece, weights.pieces[read.piece]}, *weights.swarm, now);
  CHECK(manager.VerifiedCount() == 0);
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, now, &actions);
  CHECK(Take<ReadStaged>(actions).at(0).piece == read.piece);
}

TEST_CASE("The age of a verification is that of its first reading")
{
  const Weights weights;
  StageManager manager = FoundStage();
  Common::TimePoint now = START;
  while (!manager.Verified())
  {
    StageActions actions;
    manager.OnTick(*weights.swarm, StageAccess::Read, now, &actions);
    now += Milliseconds(700);
    for (const ReadStaged& read : Take<ReadStaged>(actions))
      manager.OnRead({read.ticket, read.piece, weights.pieces[read.piece]}, *weights.swarm, now);
  }
  CHECK(manager.Verified()->began == START);
  CHECK(manager.Verified()->Took() == Milliseconds(1400));
}

TEST_CASE("Targets switch one after the other, and all before the switch deadline")
{
  std::vector<Mesh::Peer> peers;
  peers.reserve(20);
  for (int i = 0; i < 20; ++i)
    peers.push_back({{"10.0.0." + std::to_string(i), 7700}, "here"});
  const SwitchWindow window{START, Milliseconds(8000), Milliseconds(3500)};
  std::set<std::size_t> ranks;
  for (const Mesh::Peer& peer : peers)
  {
    const std::size_t rank = SwitchOrderRank(peer.address, peers, 7);
    CHECK(ranks.insert(rank).second);
    const Common::TimePoint at = PlannedSwitchTime(window, rank, peers.size());
    CHECK(at >= START + Milliseconds(3500));
    CHECK(at <= START + Milliseconds(7000));
  }
  CHECK(PlannedSwitchTime(window, 5, 20) < PlannedSwitchTime(window, 6, 20));
  // Another version results in another order, so that no target is always the last.
  bool differs = false;
  for (const Mesh::Peer& peer : peers)
    differs = differs ||
              SwitchOrderRank(peer.address, peers, 7) != SwitchOrderRank(peer.address, peers, 8);
  CHECK(differs);
}
