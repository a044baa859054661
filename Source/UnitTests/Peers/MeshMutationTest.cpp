// SPDX-License-Identifier: Apache-2.0
#include <cstdlib>

#include <doctest/doctest.h>

#include "Peers/Mesh/MeshCodec.h"
#include "UnitTests/Support/Mutations.h"

using namespace Holdpost;
using Common::Milliseconds;

TEST_CASE("Bytes that are no mesh message are dropped, whatever they are")
{
  static constexpr int ROUNDS = 5000;
  // A machine of a hall has 128 MB: a few bytes must not take much of that. The codec reads so many
  // elements, and each is told on in 16 bytes at most.
  static constexpr std::size_t UNFOLDED_MOST = std::size_t{16} * 8192;
  static constexpr std::size_t UNFOLDED_PER_BYTE = std::size_t{16} * 2;
  const Mesh::Sender from{"front-1", "oslo-a", {"10.1.0.4", 7700}, 42};
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.weights = {{{"m", 3}, Milliseconds(250)}};
  hello.plan = {"svc", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "bergen-a"};
  hello.peers = {{{"10.1.0.5", 7700}, "oslo-a"}};
  Mesh::LoadReport report;
  report.weights = {{{"m", 2}, Milliseconds(2300)}};
  report.near_gateways = {{"10.1.0.4", 7700}};
  Mesh::Announce announce;
  announce.announcement.version = Common::Sha256("v");
  announce.announcement.piece_count = 96;
  announce.announcement.bitmap = std::string(12, '\x55');
  announce.announcement.pieces = {1, 2, 95};
  const std::vector<std::string> texts = {
      MeshPeer::Encode(from, hello),
      MeshPeer::Encode(from, report),
      MeshPeer::Encode(from, announce),
      MeshPeer::Encode(from, Mesh::WorkUpdate{{3, 4200}}),
      MeshPeer::Encode(from, Mesh::PieceRequest{7, Common::Sha256("v"), 3}),
      MeshPeer::Encode(from, Mesh::PieceReply{7, Common::MakeBytes("the bytes")})};
  // Seed 7 found a report of 87 bytes that was read as one of 53 MB. HOLDPOST_MUTATION_SEED plays
  // others by hand.
  const char* seed = std::getenv("HOLDPOST_MUTATION_SEED");
  Testing::Mutator mutator(seed ? std::strtoull(seed, nullptr, 10) : 7);
  int read = 0;
  for (int round = 0; round < ROUNDS; ++round)
  {
    const std::string text =
        mutator.Change(texts[mutator.Below(texts.size())], std::string_view("\0\1\x7f\x80\xff", 5));
    const auto envelope = MeshPeer::Decode(text);
    if (!envelope)
      continue;
    ++read;
    const std::string told_on = MeshPeer::Encode(envelope->from, envelope->message);
    INFO("kind " << envelope->message.index() << ", " << text.size() << " bytes, told on in "
                 << told_on.size());
    // What was read is a message that can be told on.
    REQUIRE(MeshPeer::Decode(told_on).has_value());
    REQUIRE(told_on.size() <= UNFOLDED_MOST + UNFOLDED_PER_BYTE * text.size());
  }
  CHECK(read > 0);
  CHECK(read < ROUNDS);
}
