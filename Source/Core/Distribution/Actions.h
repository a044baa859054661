// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Common/Types.h"

// What the exchange of weights asks its surroundings to do.
namespace Holdpost::Distribution
{
// The manifest travels like a piece, under this number.
constexpr std::uint32_t MANIFEST_PIECE = std::numeric_limits<std::uint32_t>::max();

using FetchId = std::uint64_t;
// Names a request of another instance that is still to be answered.
using RequestTag = std::uint64_t;

// The platform's two sources of weights. Both are limited and say when to come back.
enum class PlatformSource
{
  Store,
  Origin,
};

constexpr std::size_t PLATFORM_SOURCES = 2;

// Fetch from a peer, or from a source of the platform if `peer` is empty. The answer goes to
// OnFetched.
struct FetchPiece
{
  FetchId id = 0;
  std::string peer;
  PlatformSource source = PlatformSource::Origin;
  Common::Digest version;
  std::uint32_t piece = 0;
};

struct CancelFetch
{
  FetchId id = 0;
};

// What an instance holds of a version: all of it, or what came since the last announcement.
struct Announcement
{
  Common::Digest version;
  std::uint32_t piece_count = 0; // 0 while the sender has no manifest
  bool is_whole = false;         // `bitmap` is all that is held; else `pieces` are added
  bool wants_reply = false;      // the sender does not know what the receiver holds
  std::string bitmap;
  std::vector<std::uint32_t> pieces;
  // Pieces that the sender is bringing into the hall.
  std::vector<std::uint32_t> claimed;
};

struct SendAnnouncement
{
  std::string peer;
  Announcement announcement;
};

struct AnswerPiece
{
  RequestTag tag = 0;
  Common::Result<Common::Bytes> result;
};

// A piece is held and verified.
struct PieceHeld
{
  Common::Digest version;
  std::uint32_t piece = 0;
  Common::Bytes data;
};

// Every piece of the version is held and verified.
struct VersionHeld
{
  Common::Digest version;
};

enum class TransferEvent
{
  PieceFromOrigin,
  PieceFromStore,
  PieceFromPeer,
  PieceSent,
  PieceCorruptFromOrigin,
  PieceCorruptFromPeer,
  PieceTwice,
  OriginBusy,
  OriginFailed,
  PeerBusy,
  PeerFailed,
  PeerStalled,
  OriginStalled,
  PeerShunned,
  Takeover,
  Hedge,
  RequestRefused,
  ManifestDoubted,
};

// For the counters; `bytes` is 0 where no bytes moved.
struct CountTransfer
{
  TransferEvent event;
  std::uint64_t bytes = 0;
};

using Action = std::variant<FetchPiece, CancelFetch, SendAnnouncement, AnswerPiece, PieceHeld,
                            VersionHeld, CountTransfer>;
using Actions = std::vector<Action>;

std::string_view TransferEventName(TransferEvent event);
} // namespace Holdpost::Distribution
