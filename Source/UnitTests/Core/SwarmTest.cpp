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
// One agent's swarm, and the weights with which the tests answer its fetches.
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

  // Returns the fetches requested since the last call.
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
  // Fetches the manifest from the origin, with `others` as fetchers and neighbours.
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

TEST_CASE("An instance without known peers")
{
  Fixture f;
  f.swarm->SetPeers({}, {}, f.now, &f.actions);

  SUBCASE("fetches nothing before its view is confirmed")
  {
    f.AdvanceTime(Milliseconds(1000));
    CHECK(f.Fetches().empty());
  }
  SUBCASE("starts to fetch when its patience has expired")
  {
    f.AdvanceTime(Milliseconds(100));
    f.AdvanceTime(Milliseconds(1500));
    CHECK(f.Fetches().size() == 1);
  }
  SUBCASE("has no wake-up left over from the manifest, so that nothing calls OnTick needlessly")
  {
    f.FetchManifest({});
    f.AdvanceTime(Milliseconds(100));
    CHECK(f.swarm->NextWaitingFetchAt() > f.now);
  }
  SUBCASE("fetches immediately with a confirmed view, and holds the version when all pieces are "
          "verified")
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

TEST_CASE("Pieces are verified before they are held")
{
  Fixture f;
  f.FetchManifest({"peer"});
  f.Fetches();
  f.Announce("peer", {0, 1, 2, 3, 4, 5, 6, 7});
  auto fetches = f.Fetches();
  REQUIRE(!fetches.empty());
  REQUIRE(fetches[0].peer == "peer");

  SUBCASE("a piece with wrong content is dropped")
  {
    f.Answer(fetches[0], Common::MakeBytes(std::string(1024, 'x')));
    CHECK(f.swarm->Piece(fetches[0].piece) == nullptr);
    CHECK(f.swarm->PiecesHeld() == 0);
  }
  SUBCASE("a piece of the wrong length is dropped")
  {
    f.Answer(fetches[0], Common::MakeBytes(f.ExpectedBytes(fetches[0])->substr(1)));
    CHECK(f.swarm->PiecesHeld() == 0);
  }
  SUBCASE("a peer that sends a second wrong piece is shunned")
  {
    f.Answer(fetches[0], Common::MakeBytes("x"));
    f.Answer(fetches[1], Common::MakeBytes("x"));
    f.Fetches();
    f.Announce("peer", {0, 1, 2, 3, 4, 5, 6, 7});
    f.AdvanceTime(Milliseconds(1000));
    for (const FetchPiece& fetch : f.Fetches())
      CHECK(fetch.peer != "peer");
  }
  SUBCASE("the answer to a cancelled fetch is dropped")
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

  SUBCASE("keeps its open fetches while other pieces arrive from it")
  {
    f.AdvanceTime(Milliseconds(2900));
    f.Answer(fetches[0], f.ExpectedBytes(fetches[0]));
    f.actions.clear();
    f.AdvanceTime(Milliseconds(2900));
    for (const Action& action : f.actions)
      CHECK_FALSE(std::holds_alternative<CancelFetch>(action));
  }
  SUBCASE("loses its fetches when it sends nothing, and another peer is asked for the pieces")
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

TEST_CASE("A source that refuses with a retry delay gets no request before the delay has passed")
{
  Fixture f;
  f.FetchManifest({});
  // The weight store refuses first, then the origin.
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

TEST_CASE("An instance without known peers fetches all pieces from the platform")
{
  // The instance is the only one that reads the platform, and it has no list of instances yet.
  Fixture f;
  SwarmOptions options;
  options.shares_cross_hall_fetches = true;
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
