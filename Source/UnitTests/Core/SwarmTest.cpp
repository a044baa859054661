// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Distribution/Swarm.h"

using namespace Holdpost;
using namespace Holdpost::Distribution;
using Common::Bytes;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;

namespace
{
// One agent's swarm, with the weights at hand to answer its fetches.
struct Fixture
{
  Fixture()
  {
    for (int i = 0; i < 8; ++i)
      pieces.push_back(Common::MakeBytes(std::string(1024, static_cast<char>('a' + i))));
    std::string weights;
    for (const Bytes& piece : pieces)
      weights += *piece;
    manifest = Common::MakeBytes(EncodeManifest(MakeManifest("m", weights, 1024)));
    SwarmOptions options;
    options.window_per_peer = 4;
    swarm = std::make_unique<Swarm>(Common::Sha256(*manifest), Fetcher{"self", "hall"}, options, 1,
                                    &shared);
  }

  // The fetches asked for since the last call.
  std::vector<FetchPiece> Fetches()
  {
    std::vector<FetchPiece> fetches;
    for (const Action& action : std::exchange(actions, {}))
    {
      if (const auto* fetch = std::get_if<FetchPiece>(&action))
        fetches.push_back(*fetch);
      has_version = has_version || std::holds_alternative<VersionHeld>(action);
    }
    return fetches;
  }
  Bytes ExpectedBytes(const FetchPiece& fetch) const
  {
    return fetch.piece == MANIFEST_PIECE ? manifest : pieces[fetch.piece];
  }
  void Answer(const FetchPiece& fetch, const Common::Result<Bytes>& result)
  {
    swarm->OnFetched(fetch.id, result, now, &actions);
  }
  void AdvanceTime(Common::Duration time)
  {
    now += time;
    swarm->OnTick(now, &actions);
  }
  // Gets the manifest from the origin, with `others` as fetchers and neighbours.
  void FetchManifest(const std::vector<std::string>& others)
  {
    std::vector<Fetcher> fetchers;
    fetchers.reserve(others.size());
    for (const std::string& other : others)
      fetchers.push_back({other, "hall"});
    swarm->SetPeers(others, fetchers, now, &actions);
    swarm->OnViewConfirmed(now, &actions);
    while (!swarm->ManifestHeld())
    {
      for (const FetchPiece& fetch : Fetches())
        Answer(fetch, manifest);
      AdvanceTime(Milliseconds(100));
    }
  }
  void Announce(const std::string& peer, const std::vector<std::uint32_t>& held)
  {
    Announcement announcement{swarm->Version(), 8, false, false, "", held};
    swarm->OnAnnouncement(peer, announcement, now, &actions);
  }

  std::vector<Bytes> pieces;
  Bytes manifest;
  SwarmShared shared;
  Common::TimePoint now{std::chrono::hours(1)};
  Actions actions;
  std::unique_ptr<Swarm> swarm;
  bool has_version = false;
};
} // namespace

TEST_CASE("An instance that knows nobody")
{
  Fixture f;
  f.swarm->SetPeers({}, {}, f.now, &f.actions);

  SUBCASE("fetches nothing before its view is confirmed")
  {
    f.AdvanceTime(Milliseconds(1000));
    CHECK(f.Fetches().empty());
  }
  SUBCASE("fetches all once its patience is over")
  {
    f.AdvanceTime(Milliseconds(100));
    f.AdvanceTime(Milliseconds(1500));
    CHECK(f.Fetches().size() == 1);
  }
  SUBCASE("has no turn left from the manifest once it has come, so that nothing wakes it in vain")
  {
    f.FetchManifest({});
    f.AdvanceTime(Milliseconds(100));
    CHECK(f.swarm->NextTurnStart() > f.now);
  }
  SUBCASE("fetches all at once with a confirmed view, and holds the version when all is verified")
  {
    f.FetchManifest({});
    for (int round = 0; round < 10 && !f.has_version; ++round)
    {
      for (const FetchPiece& fetch : f.Fetches())
        f.Answer(fetch, f.ExpectedBytes(fetch));
    }
    CHECK(f.has_version);
    CHECK(f.swarm->IsHeld());
  }
}

TEST_CASE("Pieces are verified before they count")
{
  Fixture f;
  f.FetchManifest({"peer"});
  f.Fetches();
  f.Announce("peer", {0, 1, 2, 3, 4, 5, 6, 7});
  auto fetches = f.Fetches();
  REQUIRE(!fetches.empty());
  REQUIRE(fetches[0].peer == "peer");

  SUBCASE("a wrong piece is dropped and asked for again")
  {
    f.Answer(fetches[0], Common::MakeBytes(std::string(1024, 'x')));
    CHECK(f.swarm->Piece(fetches[0].piece) == nullptr);
    CHECK(f.swarm->PiecesHeld() == 0);
  }
  SUBCASE("so is one of the wrong length")
  {
    f.Answer(fetches[0], Common::MakeBytes(f.ExpectedBytes(fetches[0])->substr(1)));
    CHECK(f.swarm->PiecesHeld() == 0);
  }
  SUBCASE("a peer that repeats it is shunned")
  {
    f.Answer(fetches[0], Common::MakeBytes("x"));
    f.Answer(fetches[1], Common::MakeBytes("x"));
    f.Fetches();
    f.Announce("peer", {0, 1, 2, 3, 4, 5, 6, 7});
    f.AdvanceTime(Milliseconds(1000));
    for (const FetchPiece& fetch : f.Fetches())
      CHECK(fetch.peer != "peer");
  }
  SUBCASE("an answer to a fetch that was cancelled is dropped")
  {
    f.swarm->OnPeerLost("peer", f.now, &f.actions);
    f.Answer(fetches[0], f.ExpectedBytes(fetches[0]));
    CHECK(f.swarm->PiecesHeld() == 0);
  }
}

TEST_CASE("A source that stalls")
{
  Fixture f;
  f.FetchManifest({"slow", "good"});
  f.Fetches();
  f.Announce("slow", {0, 1, 2, 3, 4, 5, 6, 7});
  auto fetches = f.Fetches();
  std::erase_if(fetches, [](const FetchPiece& fetch) { return fetch.peer != "slow"; });
  REQUIRE(fetches.size() >= 2);

  SUBCASE("is judged by progress: while pieces come, the rest may take its time")
  {
    f.AdvanceTime(Milliseconds(2900));
    f.Answer(fetches[0], f.ExpectedBytes(fetches[0]));
    f.actions.clear();
    f.AdvanceTime(Milliseconds(2900));
    for (const Action& action : f.actions)
      CHECK_FALSE(std::holds_alternative<CancelFetch>(action));
  }
  SUBCASE("is given up when nothing comes, and its pieces are taken elsewhere")
  {
    f.Announce("good", {0, 1, 2, 3, 4, 5, 6, 7});
    f.Fetches();
    f.AdvanceTime(Milliseconds(3000));
    const auto again = f.Fetches();
    REQUIRE(!again.empty());
    for (const FetchPiece& fetch : again)
      CHECK(fetch.peer != "slow");
  }
}

TEST_CASE("A source that says when to come back is left alone until then")
{
  Fixture f;
  f.FetchManifest({});
  // First the weight store, then the origin asks to be left alone.
  for (const PlatformSource source : {PlatformSource::Store, PlatformSource::Origin})
  {
    const auto fetches = f.Fetches();
    REQUIRE(!fetches.empty());
    for (const FetchPiece& fetch : fetches)
    {
      CHECK(fetch.source == source);
      f.Answer(fetch, Error{ErrorKind::SourceBusy, "", Milliseconds(700)});
    }
  }
  CHECK(f.Fetches().empty());
  f.AdvanceTime(Milliseconds(600));
  CHECK(f.Fetches().empty());
  f.AdvanceTime(Milliseconds(100));
  CHECK(!f.Fetches().empty());
}

TEST_CASE("An instance that knows no other one fetches all from the origin")
{
  // It reads the platform alone, and the list of instances is not there yet.
  Fixture f;
  SwarmOptions options;
  options.shares_crossings = true;
  options.origin_hall = "hall";
  f.swarm = std::make_unique<Swarm>(Common::Sha256(*f.manifest), Fetcher{"self", "hall"}, options,
                                    1, &f.shared);
  f.swarm->SetPeers({}, {}, f.now, &f.actions);
  for (int i = 0; i < 200 && !f.swarm->IsHeld(); ++i)
  {
    f.AdvanceTime(Milliseconds(100));
    for (const FetchPiece& fetch : f.Fetches())
      f.Answer(fetch, f.ExpectedBytes(fetch));
  }
  CHECK(f.swarm->IsHeld());
}
