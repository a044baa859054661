// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Distribution/Actions.h"
#include "Core/Distribution/LinkBudget.h"
#include "Core/Distribution/Neighbours.h"
#include "Core/Distribution/Swarm.h"
#include "Core/Distribution/Uploads.h"

// One instance's exchange of weights: the wanted versions, the uploads and the local link's budget.
namespace Holdpost::Distribution
{
struct ExchangeOptions
{
  SwarmOptions swarm;
  std::size_t neighbours = 16;
  std::size_t upload_queue_most = 64;
  std::uint64_t link_bytes_per_second = 0; // in each direction; 0 for no limit
  LinkPacing link_pacing = LinkPacing::Budget;
  // See Uploads::SetMaxUnconfirmed; 0 if receivers send no confirmations.
  std::size_t max_unconfirmed_uploads = 0;
};

class Exchange
{
public:
  Exchange(std::string self, std::string hall, std::uint64_t seed);

  void SetOptions(const ExchangeOptions& options);
  // Sets the other agents and the version that each of them wants.
  void SetCandidates(std::vector<NeighbourCandidate> candidates, Common::TimePoint now,
                     Actions* actions);
  // Confirms that the candidates of the last SetCandidates call come from a membership view that
  // was read after every Want call so far.
  void OnViewConfirmed(Common::TimePoint now, Actions* actions);
  // Starts to fetch a version. Has no effect if the version is wanted already.
  void Want(const Common::Digest& version, Common::TimePoint now, Actions* actions);
  // Stops the fetches and drops the pieces of all versions that are not in `versions`.
  void KeepOnly(const std::vector<Common::Digest>& versions, Actions* actions);

  void OnAnnouncement(const std::string& peer, const Announcement& announcement,
                      Common::TimePoint now, Actions* actions);
  void OnPeerLost(const std::string& peer, Common::TimePoint now, Actions* actions);
  void OnFetched(FetchId id, const Common::Result<Common::Bytes>& result, Common::TimePoint now,
                 Actions* actions);
  // `is_urgent`: the requester fetches the piece for a hall in which no instance holds it.
  void OnPieceRequest(RequestTag tag, const Common::Digest& version, std::uint32_t piece,
                      bool is_urgent, Common::TimePoint now, Actions* actions);
  // The peer has received the piece or no longer waits for it.
  void OnRequestAbandoned(RequestTag tag, Common::TimePoint now, Actions* actions);
  // Adds a piece that an earlier incarnation stored, if it belongs to the version.
  void RestorePiece(const Common::Digest& version, std::uint32_t piece, const Common::Bytes& data,
                    Common::TimePoint now, Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // Returns the time of the next OnTick call; empty while no work is pending.
  std::optional<Common::TimePoint> NextWakeup(Common::TimePoint now) const;

  // Returns the transfer time of one piece on the local link if the link is slower than expected,
  // otherwise zero.
  Common::Duration NarrowLinkPieceTime(Common::TimePoint now) const
  {
    return m_shared.downloads.NarrowLinkPieceTime(now);
  }
  // Returns the delay that open piece transfers may add to a message to this instance on a slow
  // link; zero if the link has its expected rate.
  Common::Duration InboundDelay(Common::TimePoint now) const;
  const Swarm* Find(const Common::Digest& version) const;
  const std::map<Common::Digest, std::unique_ptr<Swarm>>& Versions() const { return m_swarms; }

private:
  // A received piece that is delivered when the link budget allows it.
  struct DelayedPiece
  {
    FetchId id;
    Common::Result<Common::Bytes> result;
    Common::TimePoint due;
  };

  void DeliverToSwarm(FetchId id, const Common::Result<Common::Bytes>& result,
                      Common::TimePoint now, Actions* actions);
  void SetPeersOf(Swarm& swarm, Common::TimePoint now, Actions* actions);

  std::string m_self;
  std::string m_hall;
  std::uint64_t m_seed;
  ExchangeOptions m_options;
  SwarmShared m_shared;
  std::vector<NeighbourCandidate> m_candidates;
  std::map<Common::Digest, std::unique_ptr<Swarm>> m_swarms;
  Uploads m_uploads;
  LinkBudget m_download;
  std::deque<DelayedPiece> m_delayed_pieces;
};
} // namespace Holdpost::Distribution
