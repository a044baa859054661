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
#include "Core/Distribution/LinkWatch.h"
#include "Core/Distribution/Manifest.h"
#include "Core/Distribution/PieceSet.h"
#include "Core/Distribution/Ranking.h"

// One instance's part in the exchange of one version of weights.
namespace Holdpost::Distribution
{
// A peer that sent this many corrupt pieces is not asked again for a while.
constexpr std::uint32_t SHUN_AFTER_CORRUPT_PIECES = 2;

struct SwarmOptions
{
  // A piece that nobody is seen to hold is fetched by the next ranked fetcher after so long without
  // any new piece coming into sight.
  Common::Duration patience = Common::Milliseconds(1500);
  // A source that owes pieces and delivers nothing for so long is given up.
  Common::Duration stall = Common::Milliseconds(3000);
  // A source of the platform that fails is left alone for so long at most.
  Common::Duration backoff_most = Common::Milliseconds(5000);
  std::uint32_t window_per_peer = 1;
  std::uint32_t platform_window = 4;
  std::uint32_t window_in_all = 16;
  // The same as long as the hall lacks pieces, of this version or another one, that it has to bring
  // in: these come first, as all of the hall wait for them.
  std::uint32_t window_while_lacking = 16;
  // Asks a second peer for the last pieces.
  bool may_hedge = true;
  // Fetches pieces; else only the manifest, as the pieces may be here already.
  bool fetches_pieces = true;
  // Takes one piece at a time on an own link that is narrower than it should be, so that it is left
  // to other traffic too.
  bool adapts_window = false;
  // What a piece takes on the link when nothing else is on it.
  Common::Duration piece_time = Common::Milliseconds(30);
  // What a piece takes on the origin's link: instances that share it out fetch at that pace.
  Common::Duration origin_piece_time = Common::Milliseconds(30);
  // A version is the SHA-256 of its manifest; else the manifest of the origin is believed until its
  // pieces prove it wrong.
  bool is_named_by_content = true;
  bool has_weight_store = true;
  // Bytes between halls are dear: the instances of a hall share out what is brought in from
  // outside, and say what each is bringing. The origin is outside for all halls but its own.
  bool shares_crossings = false;
  std::string origin_hall;
  // What a neighbour said it is bringing in is left to it for so long.
  Common::Duration claim_lifetime = Common::Milliseconds(450);
  // Pieces that one instance brings in at once.
  std::uint32_t outside_window = 1;
};

// An instance that wants the version.
struct Fetcher
{
  std::string instance;
  std::string hall;

  bool operator==(const Fetcher&) const = default;
};

// What the swarms of one instance have in common.
struct SwarmShared
{
  FetchId next_fetch_id = 1;
  // Watches the own link by the pieces that come in.
  LinkTracker downloads;
  // Versions of which the hall lacks pieces that its instances are bringing in.
  std::set<Common::Digest> incomplete_in_hall;
};

class Swarm
{
public:
  // `shared` has to outlive the swarm.
  Swarm(Common::Digest version, Fetcher self, SwarmOptions options, std::uint64_t seed,
        SwarmShared* shared);

  void SetOptions(const SwarmOptions& options) { m_options = options; }
  // `neighbours` exchange pieces with us; `fetchers` are all that want the version and may be
  // expected to fetch their share from the origin.
  void SetPeers(const std::vector<std::string>& neighbours, const std::vector<Fetcher>& fetchers,
                Common::TimePoint now, Actions* actions);
  // The view of who else wants the version is fresh. Before that nothing is fetched from the origin
  // until the patience is over: an instance that knows nobody would fetch it all.
  void OnViewConfirmed(Common::TimePoint now, Actions* actions);
  void OnAnnouncement(const std::string& peer, const Announcement& announcement,
                      Common::TimePoint now, Actions* actions);
  // The peer has gone or cannot be reached.
  void OnPeerLost(const std::string& peer, Common::TimePoint now, Actions* actions);
  // The bytes are here, but still wait for their turn on the own link: the source is not to blame.
  void OnBytesReceived(FetchId id, Common::TimePoint now);
  // An answer to a FetchPiece. Late answers to cancelled fetches are dropped.
  void OnFetched(FetchId id, const Common::Result<Common::Bytes>& result, Common::TimePoint now,
                 Actions* actions);
  // A piece that was held from an earlier incarnation; dropped if it is not of this version.
  void OfferPiece(std::uint32_t piece, const Common::Bytes& data, Common::TimePoint now,
                  Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // Gives up all fetches, as the version is not wanted any more.
  void Stop(Actions* actions);

  // When OnTick has something to do that nothing else wakes it for.
  Common::TimePoint NextTurnStart() const { return m_next_turn_start; }
  bool HasFetch(FetchId id) const { return m_fetches.contains(id); }
  const Common::Digest& Version() const { return m_version; }
  bool IsHeld() const { return m_manifest && m_held.IsFull(); }
  const std::optional<Manifest>& ManifestHeld() const { return m_manifest; }
  // Null if it is not held. Takes MANIFEST_PIECE too.
  Common::Bytes Piece(std::uint32_t piece) const;
  // Whether the bytes are the piece of this version; false while the manifest is not known.
  bool IsRight(std::uint32_t piece, const std::string& data) const;
  std::uint32_t PiecesHeld() const { return m_held.Count(); }
  // For progress lines: open fetches, and pieces that neither this instance nor a neighbour holds.
  std::uint32_t OpenAtOrigin() const { return m_platform_outstanding; }
  std::size_t OpenAtPeers() const { return m_fetches.size() - m_platform_outstanding; }
  std::size_t NeighbourCount() const { return m_neighbours.size(); }
  std::uint32_t PiecesUnseen() const;
  // When the last piece was verified; the start of time before that.
  Common::TimePoint HeldAt() const { return m_held_at; }

private:
  struct Neighbour
  {
    PieceSet held;
    bool has_manifest = false;
    // In another hall, where crossings are shared.
    bool is_remote = false;
    std::uint32_t outstanding = 0;
    std::uint32_t corrupt_pieces = 0;
    std::uint32_t stalls = 0; // since the last piece that came
    // Set once it has told us what it holds.
    bool has_answered = false;
    // Set once we have told it all that we hold.
    bool knows_local_holdings = false;
    Common::TimePoint last_progress{};
    Common::TimePoint blocked_until{};
  };

  struct Fetch
  {
    std::uint32_t piece = 0;
    std::string peer; // empty for a source of the platform
    PlatformSource source = PlatformSource::Origin;
    Common::TimePoint started{};
    bool is_received = false;
    // Fetches that went on when it was started.
    std::size_t concurrent = 1;
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
  std::optional<PlatformSource> UsableSource(Common::TimePoint now) const;
  void ScheduleFetches(Common::TimePoint now, Actions* actions);
  void ScheduleManifest(Common::TimePoint now, Actions* actions);
  void ScheduleOriginFetches(Common::TimePoint now, Actions* actions);
  void SchedulePeerFetches(Common::TimePoint now, Actions* actions);
  void ScheduleHedges(Common::TimePoint now, Actions* actions);
  void CancelStalledFetches(Common::TimePoint now, Actions* actions);
  bool MayUseOrigin(Common::TimePoint now) const;
  std::optional<std::uint32_t> NextOriginPiece(Common::TimePoint now, bool* is_takeover) const;
  std::optional<std::uint32_t> RarestPiece(Common::TimePoint now);
  // The least loaded neighbour that holds the piece; empty if none may be asked now.
  std::string SelectPeer(std::uint32_t piece, Common::TimePoint now, const std::string& except);
  bool MayRequestFrom(const Neighbour& neighbour, Common::TimePoint now) const;
  // Whether the piece may be asked of the neighbour, as one of the hall, at this moment.
  bool MayRequestPiece(const Neighbour& neighbour, std::uint32_t piece,
                       Common::TimePoint now) const;
  bool IsInOtherHall(const std::string& peer) const;
  // Whether some neighbour that may be asked holds the piece.
  bool IsAvailableNearby(std::uint32_t piece) const;
  void OnSourceProgress(const Fetch& fetch, Common::TimePoint now);
  void StartFetch(std::uint32_t piece, const std::string& peer, Common::TimePoint now,
                  Actions* actions);
  void EndFetch(std::map<FetchId, Fetch>::iterator fetch);
  void CancelMatching(const std::function<bool(const Fetch&)>& matches, Actions* actions);
  void CancelFetchesOf(std::uint32_t piece, Actions* actions);

  void AcceptManifest(const Fetch& fetch, const Common::Bytes& data, Common::TimePoint now,
                      Actions* actions);
  void AcceptPiece(const Fetch& fetch, const Common::Bytes& data, Common::TimePoint now,
                   Actions* actions);
  // Whether a manifest that was not proved by its name may be believed.
  bool IsConfirmed(const Fetch& fetch, const Common::Bytes& data);
  void OnCorrupt(const Fetch& fetch, Common::TimePoint now, Actions* actions);
  void OnPlatformFailed(const Fetch& fetch, const Common::Error& error, Common::TimePoint now,
                        Actions* actions);
  void OnFetchFailed(const Fetch& fetch, const Common::Error& error, Common::TimePoint now,
                     Actions* actions);
  void AddHolding(Neighbour& neighbour, std::uint32_t piece, Common::TimePoint now);
  void ClearHoldings(Neighbour& neighbour);
  void Unlink(const std::string& peer, Actions* actions);
  void SendFullAnnouncement(const std::string& peer, bool wants_reply, Actions* actions);
  void AnnouncePiece(std::uint32_t piece, Actions* actions);
  void AnnounceToNextHall(std::uint32_t piece, bool is_from_origin, Actions* actions);
  void ResyncHoldings(Common::TimePoint now, Actions* actions);
  bool IsInOriginHall() const;
  // Whether the instances in the origin's hall bring in nothing, so that others have to.
  bool IsOriginHallIdle(Common::TimePoint now);
  void ScheduleOutsideFetches(Common::TimePoint now, Actions* actions);
  // Where the piece may be had outside the hall: a peer, or an empty name for the origin.
  std::optional<std::string> SelectOutsideSource(std::uint32_t piece, bool may_use_origin,
                                                 Common::TimePoint now);
  // Whether neither this instance nor a neighbour of the hall holds the piece.
  bool IsUnavailable(std::uint32_t piece) const
  {
    return !m_held.Contains(piece) && m_availability[piece] == 0;
  }
  // When this instance may bring the piece in.
  Common::TimePoint TurnStart(std::uint32_t piece) const;
  // Plans to fetch what the hall lacks, in order, from now on.
  void PlanFetches(Common::TimePoint now);
  // When the piece should come from the origin.
  Common::TimePoint PlannedFetchAt(std::uint32_t piece) const;
  // The piece has come to some member of the hall. Returns whether the origin was down until then.
  bool OnPieceInHall(std::uint32_t piece, Common::TimePoint now);
  // Tells those of the hall that are no neighbours, too, so that all know that the origin is back.
  void AnnounceToHall(std::uint32_t piece, Actions* actions);
  // For how long the origin has been down as far as the hall can tell; below zero if it is not.
  Common::Duration OriginOutage(Common::TimePoint now) const;
  // While the origin is down few of the hall go on asking it, the more the longer it takes. If all
  // did, its first answers would be shared between copies of the same pieces.
  bool MayProbeOrigin(Common::TimePoint now) const;
  bool IsClaimed(std::uint32_t piece, Common::TimePoint now) const;
  void Claim(std::uint32_t piece, Actions* actions);
  std::uint32_t OpenOutsideFetches() const;
  void ScheduleSlowHedges(Common::TimePoint now, Actions* actions);
  std::uint32_t TotalWindow(Common::TimePoint now) const;
  // Whether pieces have to be brought into the hall, and are expected to come.
  bool IsHallIncomplete(Common::TimePoint now) const;
  bool IsLinkNarrow(Common::TimePoint now) const;
  // Whether no source has sent anything for so long that the own link is to blame.
  bool IsLocalLinkSilent(Common::TimePoint now) const;
  // How long a source may owe a piece.
  Common::Duration StallTime(Common::TimePoint now) const;
  void AddVerifiedPiece(std::uint32_t piece, const Common::Bytes& data, Common::TimePoint now,
                        Actions* actions);
  void DoubtManifest(std::uint32_t piece, Common::TimePoint now, Actions* actions);
  Announcement FullAnnouncement(bool wants_reply) const;
  void ComputeRanks();

  Common::Digest m_version;
  Fetcher m_self;
  SwarmOptions m_options;
  std::mt19937_64 m_random;
  SwarmShared* m_shared;

  std::optional<Manifest> m_manifest;
  Common::Bytes m_manifest_text;
  std::vector<Common::Bytes> m_pieces;
  PieceSet m_held;
  Common::TimePoint m_held_at{};

  std::map<std::string, Neighbour> m_neighbours;
  std::vector<Fetcher> m_fetchers;
  // Instances that want the version, by hall.
  std::map<std::string, std::vector<std::string>> m_halls;
  std::map<std::string, std::string> m_hall_by_instance;
  // For each piece, how many fetch it from the origin before this one.
  std::vector<std::uint32_t> m_ranks;
  // Who brings in what, by hall.
  std::map<std::string, PieceAssignment> m_assignments;
  // For each piece, how many of the hall bring it in before this one, and the order that follows.
  std::vector<std::uint32_t> m_hall_ranks;
  std::vector<std::uint32_t> m_outside_order;
  // When another hall was first seen to have the piece.
  std::vector<Common::TimePoint> m_available_outside_at;
  // When a neighbour last said that it is bringing the piece in.
  std::vector<Common::TimePoint> m_claimed_at;
  // The plan for drawing from the origin: when it begins, and each piece's place in it.
  Common::TimePoint m_plan_start{};
  std::vector<std::uint32_t> m_plan_position;
  // When a piece last came into the hall.
  Common::TimePoint m_last_piece_in_hall_at{};
  // The end of what came from the origin, in the plan's order, and how late the origin is.
  std::uint32_t m_plan_fetched_end = 0;
  Common::Duration m_origin_delay{};
  // When a piece that waits for its turn may be brought in.
  Common::TimePoint m_next_turn_start = Common::TimePoint::max();
  Common::TimePoint m_resync_due{};
  Common::TimePoint m_origin_hall_contact_at{};
  // When another hall was last seen to have a piece that is new here.
  Common::TimePoint m_last_outside_availability_at{};
  bool m_has_taken_over = false;
  // This hall had taken over, and has left the origin to the origin's hall since it came back.
  bool m_has_yielded_to_origin_hall = false;
  Common::TimePoint m_last_arrival{};
  std::uint32_t m_manifest_rank = 0;
  std::uint32_t m_manifest_rank_in_hall = 0;
  std::vector<std::uint32_t> m_availability; // neighbours that hold each piece
  std::vector<std::uint32_t> m_in_flight;    // fetches of each piece
  std::vector<std::uint32_t> m_origin_order; // seeded, so that fetchers don't fetch in step

  std::map<FetchId, Fetch> m_fetches;
  bool m_is_view_confirmed = false;
  Common::TimePoint m_view_confirmed_at{};
  std::uint32_t m_platform_outstanding = 0;
  std::uint32_t m_manifest_in_flight = 0;
  std::array<SourceState, PLATFORM_SOURCES> m_sources;
  std::optional<Common::TimePoint> m_last_availability_at;
  // The last copy of the manifest from the origin, until a second one is the same.
  Common::Bytes m_manifest_copy;
  // Corrupt copies from the origin of each piece, since the manifest came.
  std::map<std::uint32_t, std::uint32_t> m_corrupt_from_origin;
  bool m_is_manifest_doubted = false;
  // Held under the manifest that is doubted; looked at anew under the next one.
  std::vector<Common::Bytes> m_pieces_to_reverify;
};
} // namespace Holdpost::Distribution
