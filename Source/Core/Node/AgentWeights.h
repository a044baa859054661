// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Core/Distribution/Exchange.h"
#include "Core/Membership/Membership.h"
#include "Core/Node/Events.h"
#include "Core/Settings/Effective.h"

// An agent's part in the exchange of weights: who the candidates are, and the exchange's actions as
// messages to instances and the origin.
namespace Holdpost::NodeCore
{
class AgentWeights
{
public:
  // Where other instances reach this one; told to those that are announced to.
  void SetAddress(const Common::Address& address) { m_sender.address = address; }
  AgentWeights(std::string self, std::string hall, std::string pool, std::uint64_t seed,
               const Membership::Membership& membership, Common::Metrics& metrics);

  void ApplySettings(const Settings::Effective& hall_settings);
  // Looks anew who else wants which weights.
  void RefreshCandidates(const Settings::Tree& tree, Common::TimePoint now, Actions* actions);
  // The candidates were refreshed from a list that has just been read.
  void OnListRead(Common::TimePoint now, Actions* actions);
  void Want(const Common::Digest& version, Common::TimePoint now, Actions* actions);
  void KeepOnly(const std::vector<Common::Digest>& versions, Actions* actions);

  void Handle(const AnnouncementReceived& message, Common::TimePoint now, Actions* actions);
  void Handle(const PieceRequested& message, Common::TimePoint now, Actions* actions);
  void Handle(const PieceAbandoned& message, Common::TimePoint now, Actions* actions);
  void Handle(const PieceFetched& message, Common::TimePoint now, Actions* actions);
  void OnPeerLost(const std::string& instance, Common::TimePoint now, Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);

  const Distribution::Exchange& State() const { return m_exchange; }
  // Versions whose last piece came in since the last call.
  std::vector<Common::Digest> TakeHeld();

private:
  void Translate(Distribution::Actions made, Common::TimePoint now, Actions* actions);
  void FetchFromPeer(const Distribution::FetchPiece& fetch, Common::TimePoint now,
                     Actions* actions);

  std::string m_self;
  std::string m_hall;
  std::string m_pool;
  Sender m_sender;
  Distribution::Exchange m_exchange;
  const Membership::Membership& m_membership;
  Common::Metrics& m_metrics;
  std::vector<Distribution::NeighbourCandidate> m_candidates;
  std::vector<Common::Digest> m_newly_held;
};
} // namespace Holdpost::NodeCore
