// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
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
#include "Core/Distribution/LinkTracker.h"
#include "Core/Distribution/Manifest.h"
#include "Core/Distribution/PieceSet.h"
#include "Core/Distribution/Ranking.h"

// One instance's state in the exchange of one version of weights: the held pieces, the neighbours'
// pieces and the open fetches.
namespace Holdpost::Distribution
{
// A peer that sent this number of corrupt pieces is shunned: it receives no requests for a fixed
// time.
constexpr std::uint32_t SHUN_AFTER_CORRUPT_PIECES = 2;

struct SwarmOptions
{
  // If no new piece becomes available for this time, the fetcher with the next rank takes over the
  // pieces that no known instance holds.
  Common::Duration patience = Common::Milliseconds(1500);
  // The fetches from a source that delivers nothing for this time are cancelled.
  Common::Duration stall = Common::Milliseconds(3000);
  // Maximum backoff after a failed request to a source of the platform. A retry delay that the
  // source states replaces the backoff.
  Common::Duration max_backoff = Common::Milliseconds(5000);
  std::uint32_t window_per_peer = 1;
  std::uint32_t platform_window = 4;
  std::uint32_t total_window = 16;
  // Upper bound of the total window while the hall still has to fetch pieces of this or another
  // version from outside. These pieces have priority because all instances of the hall wait for
  // them. The bound applies only with `adapts_window`.
  std::uint32_t total_window_while_incomplete = 16;
  // Requests the last pieces from a second peer too.
  bool may_hedge = true;
  // If false, the swarm fetches only the manifest, because the instance may hold the pieces
  // already.
  bool fetches_pieces = true;
  // Fetches one piece at a time while the local link is narrower than expected, so that other
  // traffic gets a share of the link.
  bool adapts_window = false;
  // Expected duration of the transfer of one piece on an otherwise idle link.
  Common::Duration piece_time = Common::Milliseconds(30);
  // Duration of the transfer of one piece on the origin's link. The instances that divide the
  // fetches from the origin schedule them at this rate.
  Common::Duration origin_piece_time = Common::Milliseconds(30);
  // If true, a version is the SHA-256 of its manifest. Otherwise the swarm trusts the origin's
  // manifest until corrupt pieces contradict it.
  bool is_named_by_content = true;
  bool has_weight_store = true;
  // Cross-hall transfers are expensive. If true, the instances of a hall divide the fetches from
  // outside the hall among themselves, and each instance announces the pieces that it is fetching.
  // The origin is outside of every hall except its own.
  bool shares_cross_hall_fetches = false;
  std::string origin_hall;
  // While a neighbour's announced claim to fetch a piece is younger than this time, this instance
  // does not fetch the piece.
  Common::Duration claim_lifetime = Common::Milliseconds(450);
  // Maximum number of concurrent fetches of one instance from outside the hall.
  std::uint32_t outside_window = 1;
};

// An instance that wants the version, with its hall.
struct Fetcher
{
  std::string instance;
  std::string hall;

  bool operator==(const Fetcher&) const = default;
};

// State that all swarms of one instance share.
struct SwarmShared
{
  // Returns an id that no earlier fetch has, also none of an earlier incarnation on the machine:
  // peers may answer its requests to this one, as it has the same address.
  FetchId NextFetchId(Common::TimePoint now)
  {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    last_fetch_id = std::max(last_fetch_id + 1, static_cast<FetchId>(micros));
    return last_fetch_id;
  }

  FetchId last_fetch_id = 0;
  // Observes the local link through the transfers of received pieces.
  LinkTracker downloads;
  // Versions of which the hall still has to fetch pieces from outside.
  std::set<Common::Digest> incomplete_in_hall;
};

class Swarm
{
public:
  // `shared` has to outlive the swarm.
  Swarm(Common::Digest version, Fetcher self, SwarmOptions options, std::uint64_t seed,
        SwarmShared* shared);

  void SetOptions(const SwarmOptions& options) { m_options = options; }
  // `neighbours` exchange pieces with this instance. `fetchers` are all other instances that want
  // the version; each of them is expected to fetch its share from the origin.
  void SetPeers(const std::vector<std::string>& neighbours, const std::vector<Fetcher>& fetchers,
                Common::TimePoint now, Actions* actions);
  // Confirms that the set of instances that want the version is current. Until this call the swarm
  // fetches nothing from the origin before the patience has expired, because an instance that knows
  // no other instance would fetch every piece.
  void OnViewConfirmed(Common::TimePoint now, Actions* actions);
  void OnAnnouncement(const std::string& peer, const Announcement& announcement,
                      Common::TimePoint now, Actions* actions);
  // The peer has left or is unreachable.
  void OnPeerLost(const std::string& peer, Common::TimePoint now, Actions* actions);
  // The bytes have arrived but are delayed by the local link budget, so the source does not count
  // as stalled.
  void OnBytesReceived(FetchId id, Common::TimePoint now);
  // Handles the result of a FetchPiece action. Ignores results of cancelled fetches.
  void OnFetched(FetchId id, const Common::Result<Common::Bytes>& result, Common::TimePoint now,
                 Actions* actions);
  // Adds a piece that an earlier incarnation stored. Ignores a piece that does not belong to this
  // version.
  void RestorePiece(std::uint32_t piece, const Common::Bytes& data, Common::TimePoint now,
                    Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // Cancels all fetches because the version is no longer wanted.
  void Stop(Actions* actions);

  // Returns the earliest time at which OnTick may start a fetch that waits for this instance's turn
  // or, for the manifest, for the neighbours' announcements.
  Common::TimePoint NextWaitingFetchAt() const { return m_next_waiting_fetch_at; }
  bool HasFetch(FetchId id) const { return m_fetches.contains(id); }
  const Common::Digest& Version() const { return m_version; }
  bool IsHeld() const { return m_manifest && m_held.IsFull(); }
  const std::optional<Manifest>& ManifestHeld() const { return m_manifest; }
  // Returns the bytes of the piece, or null if it is not held. Accepts MANIFEST_PIECE.
  Common::Bytes Piece(std::uint32_t piece) const;
  // Returns whether the bytes match the piece's hash in the manifest; false while the manifest is
  // unknown.
  bool IsValidPiece(std::uint32_t piece, const std::string& data) const;
  std::uint32_t PiecesHeld() const { return m_held.Count(); }
  // Figures for the progress log lines: the open fetches by source, the neighbours, and the pieces
  // that neither this instance nor a neighbour holds.
  std::uint32_t OpenPlatformFetches() const { return m_platform_outstanding; }
  std::size_t OpenPeerFetches() const { return m_fetches.size() - m_platform_outstanding; }
  std::size_t NeighbourCount() const { return m_neighbours.size(); }
  std::uint32_t UnavailablePieces() const;
  // Returns the time at which the last piece was verified, or the epoch before that.
  Common::TimePoint HeldAt() const { return m_held_at; }

private:
  struct Neighbour
  {
    PieceSet held;
    bool has_manifest = false;
    // Set for a neighbour in another hall if SwarmOptions::shares_cross_hall_fetches is set.
    bool is_remote = false;
    std::uint32_t outstanding = 0;
    std::uint32_t corrupt_pieces = 0;
    std::uint32_t stalls = 0; // since the last piece from this neighbour
    // Set when the neighbour has announced the pieces that it holds.
    bool has_answered = false;
    // Set when this instance has sent a full announcement to the neighbour.
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
    // Number of open fetches when this fetch was started.
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
  // Returns the weight store if it may be used, otherwise the origin; empty while both are in
  // backoff.
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
  // Returns the neighbour with the fewest open requests among those that hold the piece; empty if
  // no such neighbour may receive a request now.
  std::string SelectPeer(std::uint32_t piece, Common::TimePoint now, const std::string& except);
  bool MayRequestFrom(const Neighbour& neighbour, Common::TimePoint now) const;
  // Returns whether the neighbour is not remote (see Neighbour::is_remote), holds the piece and may
  // receive a request now.
  bool MayRequestPiece(const Neighbour& neighbour, std::uint32_t piece,
                       Common::TimePoint now) const;
  bool IsInOtherHall(const std::string& peer) const;
  // Returns whether a neighbour that is not remote, has not stalled since its last piece and is not
  // shunned holds the piece.
  bool IsHeldByUsableNeighbour(std::uint32_t piece) const;
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
  // Returns whether a manifest may be trusted. If the version is not the manifest's hash, the
  // origin has to send the same manifest twice in a row.
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
  // Returns whether the instances of the origin's hall fetch nothing, so that other halls have to
  // fetch from the origin.
  bool IsOriginHallIdle(Common::TimePoint now);
  void ScheduleOutsideFetches(Common::TimePoint now, Actions* actions);
  // Selects a source outside the hall: the name of a peer, an empty name for the origin, or no
  // value if the piece has to wait.
  std::optional<std::string> SelectOutsideSource(std::uint32_t piece, bool may_use_origin,
                                                 Common::TimePoint now);
  // Returns whether neither this instance nor a neighbour that is not remote holds the piece.
  bool IsUnavailable(std::uint32_t piece) const
  {
    return !m_held.Contains(piece) && m_availability[piece] == 0;
  }
  // Returns the time from which this instance may fetch the piece from outside the hall.
  Common::TimePoint TurnStart(std::uint32_t piece) const;
  // Plans the fetches of the pieces that are missing in the hall, in piece order, starting at
  // `now`.
  void PlanFetches(Common::TimePoint now);
  // Returns the time at which the plan schedules the piece's fetch from the origin.
  Common::TimePoint PlannedFetchAt(std::uint32_t piece) const;
  // Records that a member of the hall received the piece. Returns whether the origin was down until
  // then.
  bool OnPieceInHall(std::uint32_t piece, Common::TimePoint now);
  // Announces the piece to the members of the hall that are not neighbours, so that all members
  // learn that the origin is available again.
  void AnnounceToHall(std::uint32_t piece, Actions* actions);
  // Returns the duration of the origin's outage as observed in the hall; negative if there is no
  // outage.
  Common::Duration OriginOutage(Common::TimePoint now) const;
  // Returns whether this instance may request pieces from the origin. During an outage only a few
  // members of the hall probe the origin, and their number grows with the duration of the outage.
  // If all members probed it, the origin would spend its first responses on copies of the same
  // pieces.
  bool MayProbeOrigin(Common::TimePoint now) const;
  bool IsClaimed(std::uint32_t piece, Common::TimePoint now) const;
  void Claim(std::uint32_t piece, Actions* actions);
  std::uint32_t OpenOutsideFetches() const;
  void ScheduleSlowHedges(Common::TimePoint now, Actions* actions);
  std::uint32_t TotalWindow(Common::TimePoint now) const;
  // Returns whether the hall still has to fetch pieces from outside and its sources deliver.
  bool IsHallIncomplete(Common::TimePoint now) const;
  bool IsLinkNarrow(Common::TimePoint now) const;
  // Returns whether fetches from more than one source are open and no piece has arrived for the
  // stall time, which indicates a fault of the local link.
  bool IsLocalLinkSilent(Common::TimePoint now) const;
  // Returns the time without progress after which a fetch counts as stalled.
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
  // Names of the other instances that want the version, by hall.
  std::map<std::string, std::vector<std::string>> m_halls;
  std::map<std::string, std::string> m_hall_by_instance;
  // For each piece, the number of instances that precede this instance in fetching it from the
  // origin.
  std::vector<std::uint32_t> m_ranks;
  // Assignment of pieces to the fetching members, by hall.
  std::map<std::string, PieceAssignment> m_assignments;
  // For each piece, the number of members of the hall that precede this instance in fetching it
  // from outside; and the pieces ordered by this rank.
  std::vector<std::uint32_t> m_hall_ranks;
  std::vector<std::uint32_t> m_outside_order;
  // Time of the first announcement of the piece from another hall.
  std::vector<Common::TimePoint> m_available_outside_at;
  // Time of the last announcement in which a neighbour claimed the fetch of the piece.
  std::vector<Common::TimePoint> m_claimed_at;
  // The plan of the fetches from the origin: its start time and each piece's position.
  Common::TimePoint m_plan_start{};
  std::vector<std::uint32_t> m_plan_position;
  // Time at which a new piece last arrived in the hall.
  Common::TimePoint m_last_piece_in_hall_at{};
  // One more than the highest plan position among the pieces that arrived in the hall since the
  // plan was made, and the maximum delay, relative to the plan, of the arrivals that raised it.
  std::uint32_t m_plan_fetched_end = 0;
  Common::Duration m_origin_delay{};
  // See NextWaitingFetchAt(); TimePoint::max() if there is no such time.
  Common::TimePoint m_next_waiting_fetch_at = Common::TimePoint::max();
  Common::TimePoint m_resync_due{};
  Common::TimePoint m_origin_hall_contact_at{};
  // Time of the last announcement from another hall of a piece that this instance lacks. Also set
  // when this hall yields to the origin's hall after an outage.
  Common::TimePoint m_last_new_piece_outside_at{};
  bool m_has_taken_over = false;
  // Set when the origin is available again after an outage and this hall has given the origin's
  // hall precedence; cleared when another hall announces a new piece.
  bool m_has_yielded_to_origin_hall = false;
  Common::TimePoint m_last_arrival{};
  std::uint32_t m_manifest_rank = 0;
  std::uint32_t m_manifest_rank_in_hall = 0;
  std::vector<std::uint32_t> m_availability; // number of neighbours that hold each piece
  std::vector<std::uint32_t> m_in_flight;    // number of open fetches of each piece
  std::vector<std::uint32_t>
      m_origin_order; // shuffled by seed, so that fetchers use different orders

  std::map<FetchId, Fetch> m_fetches;
  bool m_is_view_confirmed = false;
  Common::TimePoint m_view_confirmed_at{};
  std::uint32_t m_platform_outstanding = 0;
  std::uint32_t m_manifest_in_flight = 0;
  std::array<SourceState, PLATFORM_SOURCES> m_sources;
  std::optional<Common::TimePoint> m_last_availability_at;
  // The last copy of the manifest from the origin, kept until a second copy is identical.
  Common::Bytes m_manifest_copy;
  // Number of corrupt copies of each piece from the origin since the manifest was accepted.
  std::map<std::uint32_t, std::uint32_t> m_corrupt_from_origin;
  bool m_is_manifest_doubted = false;
  // Pieces that were verified against the doubted manifest. They are verified again with the next
  // manifest.
  std::vector<Common::Bytes> m_pieces_to_reverify;
};
} // namespace Holdpost::Distribution
