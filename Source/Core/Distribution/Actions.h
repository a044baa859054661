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

// Actions that the exchange of weights returns to its caller for execution.
namespace Holdpost::Distribution
{
// The manifest is requested and sent like a piece, under this piece number.
constexpr std::uint32_t MANIFEST_PIECE = std::numeric_limits<std::uint32_t>::max();

using FetchId = std::uint64_t;
// Identifies an unanswered piece request of another instance.
using RequestTag = std::uint64_t;

// The platform's two sources of weights. Both limit their load, and their refusals state the time
// of the next allowed attempt.
enum class PlatformSource
{
  Store,
  Origin,
};

constexpr std::size_t PLATFORM_SOURCES = 2;

// Fetches a piece from a peer, or from a source of the platform if `peer` is empty. The executor
// passes the result to OnFetched.
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

// Pieces of a version that an instance holds: either all of them or those added since its last
// announcement.
struct Announcement
{
  Common::Digest version;
  std::uint32_t piece_count = 0; // 0 while the sender has no manifest
  bool is_full_list = false; // `bitmap` lists all held pieces; otherwise `pieces` lists added ones
  bool wants_reply = false;  // the sender does not know the receiver's pieces
  std::string bitmap;
  std::vector<std::uint32_t> pieces;
  // Pieces that the sender is fetching into the hall.
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

// Reports that a piece is verified and held.
struct PieceHeld
{
  Common::Digest version;
  std::uint32_t piece = 0;
  Common::Bytes data;
};

// Reports that every piece of the version is verified and held.
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

// Increments the counters of a transfer event; `bytes` is 0 for an event that transfers no bytes.
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
