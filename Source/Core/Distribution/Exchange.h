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

// All that one instance does about weights: the versions that it wants, its uploads and its link.
namespace Holdpost::Distribution
{
struct ExchangeOptions
{
  SwarmOptions swarm;
  std::size_t neighbours = 16;
  std::size_t upload_queue_most = 64;
  std::uint64_t link_bytes_per_second = 0; // in each direction; 0 for no limit
  LinkPacing link_pacing = LinkPacing::Budget;
  // See Uploads::SetUnconfirmedMost; 0 if receivers say nothing.
  std::size_t uploads_unconfirmed_most = 0;
};

class Exchange
{
public:
  Exchange(std::string self, std::string hall, std::uint64_t seed);

  void SetOptions(const ExchangeOptions& options);
  // The other agents and the version that each wants.
  void SetCandidates(std::vector<NeighbourCandidate> candidates, Common::TimePoint now,
                     Actions* actions);
  // The candidates set last come from a view that is newer than every version wanted so far.
  void OnViewConfirmed(Common::TimePoint now, Actions* actions);
  // Starts to fetch a version, or keeps it.
  void Want(const Common::Digest& version, Common::TimePoint now, Actions* actions);
  // Stops fetching and forgets what is held of all versions but these.
  void KeepOnly(const std::vector<Common::Digest>& versions, Actions* actions);

  void OnAnnouncement(const std::string& peer, const Announcement& announcement,
                      Common::TimePoint now, Actions* actions);
  void OnPeerLost(const std::string& peer, Common::TimePoint now, Actions* actions);
  void OnFetched(FetchId id, const Common::Result<Common::Bytes>& result, Common::TimePoint now,
                 Actions* actions);
  // `is_urgent`: the piece is for a whole hall that lacks it.
  void OnPieceRequest(RequestTag tag, const Common::Digest& version, std::uint32_t piece,
                      bool is_urgent, Common::TimePoint now, Actions* actions);
  // The peer does not wait for the piece any more, or has it.
  void OnRequestAbandoned(RequestTag tag, Common::TimePoint now, Actions* actions);
  // A piece from an earlier incarnation, if it is of the version.
  void OfferPiece(const Common::Digest& version, std::uint32_t piece, const Common::Bytes& data,
                  Common::TimePoint now, Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // When OnTick is due next; empty while there is nothing to do.
  std::optional<Common::TimePoint> NextWakeup(Common::TimePoint now) const;

  // How long one piece takes on the own link if that is narrower than it should be; else zero.
  Common::Duration NarrowPieceTime(Common::TimePoint now) const
  {
    return m_shared.downloads.NarrowPieceTime(now);
  }
  // How long a message to this instance may share a narrow link with pieces; zero on a good link.
  Common::Duration InboundDelay(Common::TimePoint now) const;
  const Swarm* Find(const Common::Digest& version) const;
  const std::map<Common::Digest, std::unique_ptr<Swarm>>& Versions() const { return m_swarms; }

private:
  // A piece whose bytes are still on the link.
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
