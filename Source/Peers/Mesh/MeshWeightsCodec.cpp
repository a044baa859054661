// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/Codec.h"
#include "Peers/Mesh/MeshWireParts.h"

// Pieces of weights.
namespace Holdpost::MeshPeer
{
using Common::Digest;
using InstancePeer::ToData;
using InstancePeer::ToDigest;

// --- weights ---

void Write(const Mesh::Announce& announce, MeshWire::Message::Builder message)
{
  auto out = message.initAnnouncement();
  const Distribution::Announcement& announcement = announce.announcement;
  out.setVersion(ToData(announcement.version));
  out.setPieceCount(announcement.piece_count);
  out.setIsWhole(announcement.is_full_list);
  out.setWantsReply(announcement.wants_reply);
  out.setBitmap(BytesOf(announcement.bitmap));
  auto pieces = out.initPieces(static_cast<unsigned>(announcement.pieces.size()));
  for (unsigned i = 0; i < pieces.size(); ++i)
    pieces.set(i, announcement.pieces[i]);
  auto claimed = out.initClaimed(static_cast<unsigned>(announcement.claimed.size()));
  for (unsigned i = 0; i < claimed.size(); ++i)
    claimed.set(i, announcement.claimed[i]);
}

Mesh::Message Read(MeshWire::Announcement::Reader in)
{
  Distribution::Announcement announcement;
  announcement.version = ToDigest(in.getVersion());
  announcement.piece_count = in.getPieceCount();
  announcement.is_full_list = in.getIsWhole();
  announcement.wants_reply = in.getWantsReply();
  announcement.bitmap = ToBytes(in.getBitmap());
  for (const std::uint32_t piece : in.getPieces())
    announcement.pieces.push_back(piece);
  for (const std::uint32_t piece : in.getClaimed())
    announcement.claimed.push_back(piece);
  return Mesh::Announce{std::move(announcement)};
}

void Write(const Mesh::PieceRequest& ask, MeshWire::Message::Builder message)
{
  auto out = message.initPieceRequest();
  out.setId(ask.id);
  out.setVersion(ToData(ask.version));
  out.setPiece(ask.piece);
}

void Write(const Mesh::PieceCancel& cancel, MeshWire::Message::Builder message)
{
  message.setPieceCancel(cancel.id);
}

void Write(const Mesh::PieceReply& tell, MeshWire::Message::Builder message)
{
  auto out = message.initPieceAnswer();
  out.setId(tell.id);
  if (const auto* error = std::get_if<Common::Error>(&tell.result))
  {
    out.setFailure(std::string(Common::AnswerFor(error->kind).name));
    out.setRetryAfterMs(ToWireMs(error->retry_after.value_or(Milliseconds(0))));
    return;
  }
  out.setData(BytesOf(*std::get<Common::Bytes>(tell.result)));
}

Mesh::Message Read(MeshWire::PieceAnswer::Reader in)
{
  if (in.getFailure().size() == 0)
    return Mesh::PieceReply{in.getId(), Common::MakeBytes(ToBytes(in.getData()))};
  Common::Error error{Common::ErrorKindFromName(ToText(in.getFailure())), "the peer refused"};
  if (in.getRetryAfterMs() > 0)
    error.retry_after = Milliseconds(in.getRetryAfterMs());
  return Mesh::PieceReply{in.getId(), std::move(error)};
}
} // namespace Holdpost::MeshPeer
