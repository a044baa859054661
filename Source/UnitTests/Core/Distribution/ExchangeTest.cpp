// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Distribution/Exchange.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Distribution;
using Common::Bytes;
using Common::Digest;
using Common::Milliseconds;
using Testing::Take;

namespace
{
constexpr std::uint32_t PIECES = 4;
constexpr std::uint32_t PIECE_BYTES = 1024;

// The weights of one version, which is named by a number and not by its manifest.
struct Weights
{
  explicit Weights(const std::string& name) : version(Common::Sha256(name))
  {
    std::string data;
    for (std::uint32_t piece = 0; piece < PIECES; ++piece)
    {
      pieces.push_back(
          Common::MakeBytes(std::string(PIECE_BYTES, static_cast<char>(name.back() + piece))));
      data += *pieces.back();
    }
    manifest = Common::MakeBytes(EncodeManifest(MakeManifest(name, data, PIECE_BYTES)));
  }

  Digest version;
  Bytes manifest;
  std::vector<Bytes> pieces;
};

// One instance beside a peer that has said that it holds the version.
struct Instance
{
  Instance(const Weights& weights, Common::TimePoint start)
      : now(start), exchange("self", "hall", 1)
  {
    ExchangeOptions options;
    options.swarm.is_named_by_content = false;
    exchange.SetOptions(options);
    exchange.SetCandidates({{"peer", "hall", weights.version}}, now, &actions);
    exchange.Want(weights.version, now, &actions);
    Announcement held{weights.version, PIECES, true, false, std::string(1, '\xff'), {}, {}};
    exchange.OnAnnouncement("peer", held, now, &actions);
  }

  std::vector<FetchPiece> Fetches() { return Take<FetchPiece>(actions); }
  void Answer(FetchId id, const Bytes& data) { exchange.OnFetched(id, data, now, &actions); }
  // Whether a peer that asks for the piece gets it.
  bool GivesAway(const Digest& version, std::uint32_t piece)
  {
    actions.clear();
    exchange.OnPieceRequest(++tag, version, piece, false, now, &actions);
    exchange.OnTick(now, &actions);
    const auto answers = Take<AnswerPiece>(actions);
    REQUIRE(answers.size() == 1);
    return Common::Succeeded(answers[0].result);
  }

  Common::TimePoint now;
  Exchange exchange;
  Actions actions;
  RequestTag tag = 0;
};

const Common::TimePoint START{std::chrono::hours(1)};
} // namespace

// Regression: peers answer what a killed instance had asked them, to the next one at its address.
TEST_CASE("An answer to an earlier instance at the same address is not taken for one's own")
{
  const Weights first("v1");
  const Weights second("v2");
  Instance before(first, START);
  const auto asked_before = before.Fetches();
  REQUIRE(!asked_before.empty());
  Instance after(second, START + Milliseconds(5));
  const auto asked = after.Fetches();
  REQUIRE(!asked.empty());
  REQUIRE(asked[0].piece == MANIFEST_PIECE);

  after.Answer(asked_before[0].id, first.manifest);
  CHECK_FALSE(after.exchange.Find(second.version)->ManifestHeld());
  after.Answer(asked[0].id, second.manifest);
  REQUIRE(after.exchange.Find(second.version)->ManifestHeld());
  CHECK(after.exchange.Find(second.version)->ManifestHeld()->name == "v2");
}

TEST_CASE("A late answer for a version that is not wanted any more changes nothing")
{
  const Weights first("v1");
  const Weights second("v2");
  Instance instance(first, START);
  const auto asked = instance.Fetches();
  REQUIRE(!asked.empty());
  instance.exchange.KeepOnly({second.version}, &instance.actions);
  instance.exchange.Want(second.version, instance.now, &instance.actions);
  instance.Answer(asked[0].id, first.manifest);
  CHECK_FALSE(instance.exchange.Find(second.version)->ManifestHeld());
  CHECK(instance.exchange.Find(first.version) == nullptr);

  SUBCASE("also when the first version is wanted again")
  {
    instance.exchange.Want(first.version, instance.now, &instance.actions);
    instance.Answer(asked[0].id, second.manifest);
    CHECK_FALSE(instance.exchange.Find(first.version)->ManifestHeld());
  }
}

TEST_CASE("Pieces that an earlier instance left are given away only once they are verified")
{
  const Weights weights("v1");
  Instance instance(weights, START);
  const auto restore = [&](std::uint32_t piece, const Bytes& data) {
    instance.exchange.RestorePiece(weights.version, piece, data, instance.now, &instance.actions);
  };

  SUBCASE("not before the manifest is known")
  {
    restore(0, weights.pieces[0]);
    CHECK_FALSE(instance.GivesAway(weights.version, 0));
  }
  SUBCASE("with a manifest")
  {
    instance.Answer(instance.Fetches().at(0).id, weights.manifest);
    REQUIRE(instance.exchange.Find(weights.version)->ManifestHeld());
    for (const std::size_t byte : {std::size_t{0}, std::size_t{511}, std::size_t{PIECE_BYTES - 1}})
    {
      std::string bad = *weights.pieces[0];
      bad[byte] ^= 1;
      restore(0, Common::MakeBytes(bad));
    }
    restore(0, Common::MakeBytes(weights.pieces[0]->substr(1)));
    restore(0, weights.pieces[1]);
    restore(0, Weights("w2").pieces[0]);
    restore(PIECES, weights.pieces[0]);
    CHECK_FALSE(instance.GivesAway(weights.version, 0));
    restore(0, weights.pieces[0]);
    CHECK(instance.GivesAway(weights.version, 0));
    CHECK_FALSE(instance.GivesAway(Weights("w2").version, 0));
  }
}
