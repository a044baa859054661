// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Distribution/Manifest.h"
#include "Core/Distribution/PieceSet.h"

// One instance's part in the exchange of one version of weights.
namespace Holdpost::Distribution
{
// A peer that sent this many corrupt pieces is not asked again for a while.
constexpr std::uint32_t SHUN_AFTER = 2;

struct SwarmOptions
{
  // A piece that nobody is seen to hold is drawn by the next ranked fetcher after so long without
  // any new piece coming into sight.
  Common::Duration patience = Common::Milliseconds(1500);
  // A source that owes pieces and delivers nothing for so long is given up.
  Common::Duration stall = Common::Milliseconds(3000);
  std::uint32_t window_per_peer = 1;
  std::uint32_t window_of_platform = 4;
  std::uint32_t window_in_all = 16;
  // Asks a second peer for the last pieces.
  bool may_hedge = true;
};

class Swarm
{
public:
  Swarm(Common::Digest version, std::string self, SwarmOptions options, std::uint64_t seed,
        FetchId* next_fetch_id);

  void SetOptions(const SwarmOptions& options) { m_options = options; }
  // `neighbours` exchange pieces with us; `fetchers` are all that want the version and may be
  // expected to draw their share from the origin.
  void SetPeers(const std::vector<std::string>& neighbours,
                const std::vector<std::string>& fetchers, Common::TimePoint now, Actions* actions);
  // The view of who else wants the version is fresh. Before that nothing is drawn from the origin
  // until the patience is over: an instance that knows nobody would draw it all.
  void OnViewConfirmed(Common::TimePoint now, Actions* actions);
  void OnAnnouncement(const std::string& peer, const Announcement& announcement,
                      Common::TimePoint now, Actions* actions);
  // The peer has gone or cannot be reached.
  void OnPeerLost(const std::string& peer, Common::TimePoint now, Actions* actions);
  // The bytes are here, but still wait for their turn on the own link: the source is not to blame.
  void OnArriving(FetchId id, Common::TimePoint now);
  // An answer to a FetchPiece. Late answers to cancelled fetches are dropped.
  void OnFetched(FetchId id, const Common::Result<Common::Bytes>& result, Common::TimePoint now,
                 Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // Gives up all fetches, as the version is not wanted any more.
  void Stop(Actions* actions);

  bool OwnsFetch(FetchId id) const { return m_fetches.contains(id); }
  const Common::Digest& Version() const { return m_version; }
  bool IsHeld() const { return m_manifest && m_held.IsFull(); }
  const std::optional<Manifest>& ManifestHeld() const { return m_manifest; }
  // Null if it is not held. Takes MANIFEST_PIECE too.
  Common::Bytes Piece(std::uint32_t piece) const;
  std::uint32_t PiecesHeld() const { return m_held.Count(); }
  // When the last piece was verified; the start of time before that.
  Common::TimePoint HeldAt() const { return m_held_at; }

private:
  struct Neighbour
  {
    PieceSet held;
    bool has_manifest = false;
    std::uint32_t outstanding = 0;
    std::uint32_t corrupt_pieces = 0;
    std::uint32_t stalls = 0; // since the last piece that came
    // Set once it has told us what it holds.
    bool has_answered = false;
    // Set once we have told it all that we hold.
    bool is_told = false;
    Common::TimePoint last_progress{};
    Common::TimePoint blocked_until{};
  };

  struct Fetch
  {
    std::uint32_t piece = 0;
    std::string peer; // empty for a source of the platform
    PlatformSource source = PlatformSource::Origin;
    Common::TimePoint started{};
    bool is_arriving = false;
  };

  struct SourceState
  {
    Common::TimePoint progress{};
    Common::TimePoint blocked_until{};
    Common::Duration backoff{};
  };

  SourceState& StateOf(PlatformSource source)
  {
    return m_sources[static_cast<std::size_t>(source)];
  }
  // The weight store before the origin; empty while both want to be left alone.
  std::optional<PlatformSource> OpenSource(Common::TimePoint now) const;
  void Pump(Common::TimePoint now, Actions* actions);
  void PumpManifest(Common::TimePoint now, Actions* actions);
  void PumpOrigin(Common::TimePoint now, Actions* actions);
  void PumpPeers(Common::TimePoint now, Actions* actions);
  void PumpHedges(Common::TimePoint now, Actions* actions);
  void GiveUpStalled(Common::TimePoint now, Actions* actions);
  bool MayDraw(Common::TimePoint now) const;
  std::optional<std::uint32_t> NextForOrigin(Common::TimePoint now, bool* is_takeover) const;
  std::optional<std::uint32_t> RarestPiece(Common::TimePoint now);
  // The least loaded neighbour that holds the piece; empty if none may be asked now.
  std::string BestSource(std::uint32_t piece, Common::TimePoint now, const std::string& except);
  bool MayAsk(const Neighbour& neighbour, Common::TimePoint now) const;
  // Whether some neighbour that may be asked holds the piece.
  bool IsWithinReach(std::uint32_t piece) const;
  void OnSourceProgress(const Fetch& fetch, Common::TimePoint now);
  void StartFetch(std::uint32_t piece, const std::string& peer, Common::TimePoint now,
                  Actions* actions);
  void EndFetch(std::map<FetchId, Fetch>::iterator fetch);
  void CancelWhere(const std::function<bool(const Fetch&)>& is_meant, Actions* actions);
  void CancelOthers(std::uint32_t piece, Actions* actions);

  void AcceptManifest(const Fetch& fetch, const Common::Bytes& data, Common::TimePoint now,
                      Actions* actions);
  void AcceptPiece(const Fetch& fetch, const Common::Bytes& data, Common::TimePoint now,
                   Actions* actions);
  void OnCorrupt(const Fetch& fetch, Common::TimePoint now, Actions* actions);
  void OnPlatformFailed(const Fetch& fetch, const Common::Error& error, Common::TimePoint now,
                        Actions* actions);
  void OnFetchFailed(const Fetch& fetch, const Common::Error& error, Common::TimePoint now,
                     Actions* actions);
  void NoteHolding(Neighbour& neighbour, std::uint32_t piece, Common::TimePoint now);
  void ForgetHoldings(Neighbour& neighbour);
  void Unlink(const std::string& peer, Actions* actions);
  void TellWhole(const std::string& peer, bool wants_reply, Actions* actions);
  void TellNewPiece(std::uint32_t piece, Actions* actions);
  Announcement WholeAnnouncement(bool wants_reply) const;
  void ComputeRanks();

  Common::Digest m_version;
  std::string m_self;
  SwarmOptions m_options;
  std::mt19937_64 m_random;
  FetchId* m_next_fetch_id;

  std::optional<Manifest> m_manifest;
  Common::Bytes m_manifest_text;
  std::vector<Common::Bytes> m_pieces;
  PieceSet m_held;
  Common::TimePoint m_held_at{};

  std::map<std::string, Neighbour> m_neighbours;
  std::vector<std::string> m_fetchers;
  std::vector<std::uint32_t> m_ranks;
  std::uint32_t m_manifest_rank = 0;
  std::vector<std::uint32_t> m_availability; // neighbours that hold each piece
  std::vector<std::uint32_t> m_in_flight;    // fetches of each piece
  std::vector<std::uint32_t> m_draw_order;   // seeded, so that fetchers don't draw in step

  std::map<FetchId, Fetch> m_fetches;
  bool m_is_view_confirmed = false;
  Common::TimePoint m_view_confirmed_at{};
  std::uint32_t m_platform_outstanding = 0;
  std::uint32_t m_manifest_in_flight = 0;
  std::array<SourceState, PLATFORM_SOURCES> m_sources;
  std::optional<Common::TimePoint> m_last_new_sight;
};
} // namespace Holdpost::Distribution
