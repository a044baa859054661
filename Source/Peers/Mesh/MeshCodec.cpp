// SPDX-License-Identifier: Apache-2.0
#include "Peers/Mesh/MeshCodec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "Peers/Instance/Codec.h"
#include "Peers/Mesh/MeshWireParts.h"

namespace Holdpost::MeshPeer
{
using InstancePeer::ToDigest;

// Room for a message without pieces, so that most need one allocation.
static constexpr unsigned FIRST_SEGMENT_WORDS = 96;
// What a message may unfold to, in words: a few bytes may say that they are a list of millions of
// empty elements. Each word that holds anything takes two bytes at least, and some are read twice.
static constexpr std::uint64_t UNFOLDED_WORDS = 8192;
static constexpr std::uint64_t UNFOLDED_WORDS_PER_BYTE = 2;

std::string Encode(const Mesh::Sender& from, const Mesh::Message& message)
{
  capnp::MallocMessageBuilder builder(FIRST_SEGMENT_WORDS);
  auto root = builder.initRoot<MeshWire::Message>();
  root.setInstance(from.instance);
  root.setHall(from.hall);
  Write(from.address, root.initAddress());
  root.setIncarnation(from.incarnation);
  std::visit([&](const auto& typed) { Write(typed, root); }, message);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

static std::optional<Mesh::Message> ReadBody(MeshWire::Message::Reader in)
{
  switch (in.which())
  {
  case MeshWire::Message::HELLO:
    return Read(in.getHello());
  case MeshWire::Message::LOAD:
    return Read(in.getLoad());
  case MeshWire::Message::ANNOUNCEMENT:
    return Read(in.getAnnouncement());
  case MeshWire::Message::PIECE_REQUEST:
    return Mesh::PieceRequest{in.getPieceRequest().getId(),
                              ToDigest(in.getPieceRequest().getVersion()),
                              in.getPieceRequest().getPiece()};
  case MeshWire::Message::PIECE_CANCEL:
    return Mesh::PieceCancel{in.getPieceCancel()};
  case MeshWire::Message::PIECE_ANSWER:
    return Read(in.getPieceAnswer());
  case MeshWire::Message::DOCUMENT_REQUEST:
    return Mesh::DocumentRequest{in.getDocumentRequest()};
  case MeshWire::Message::DOCUMENT_ANSWER:
    return Read(in.getDocumentAnswer());
  case MeshWire::Message::TARGETS_REQUEST:
    return Mesh::TargetsRequest{in.getTargetsRequest()};
  case MeshWire::Message::TARGETS_ANSWER:
    return Read(in.getTargetsAnswer());
  case MeshWire::Message::READER_BEAT:
    return Read(in.getReaderBeat());
  case MeshWire::Message::WORK:
    return Read(in.getWork());
  case MeshWire::Message::GATEWAYS_REQUEST:
    return Mesh::GatewaysRequest{in.getGatewaysRequest()};
  case MeshWire::Message::GATEWAYS_ANSWER:
    return Mesh::GatewaysReply{Read(in.getGatewaysAnswer())};
  case MeshWire::Message::BRIEFING_REQUEST:
    return Mesh::BriefingRequest{};
  case MeshWire::Message::CRASH_RECORDS:
    return Mesh::CrashRecords{Read(in.getCrashRecords())};
  case MeshWire::Message::CRASH_RECORDS_REQUEST:
    return Mesh::CrashRecordsRequest{};
  case MeshWire::Message::CRASH_RECORDS_ANSWER:
    return Mesh::CrashRecordsAnswer{Read(in.getCrashRecordsAnswer())};
  case MeshWire::Message::ENGINE_ENDED:
    return Read(in.getEngineEnded());
  case MeshWire::Message::LEAVING_TARGETS:
    return Read(in.getLeavingTargets());
  case MeshWire::Message::LIMIT_UPDATE:
    return Read(in.getLimitUpdate());
  }
  return std::nullopt;
}

std::optional<Envelope> Decode(std::string_view bytes)
{
  try
  {
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = UNFOLDED_WORDS + UNFOLDED_WORDS_PER_BYTE * bytes.size();
    capnp::PackedMessageReader reader(stream, options);
    const auto root = reader.getRoot<MeshWire::Message>();
    auto body = ReadBody(root);
    if (!body)
      return std::nullopt;
    const Mesh::Sender from{ToText(root.getInstance()), ToText(root.getHall()),
                            Read(root.getAddress()), root.getIncarnation()};
    return Envelope{from, std::move(*body)};
  }
  catch (const kj::Exception&)
  {
    return std::nullopt;
  }
}
} // namespace Holdpost::MeshPeer
