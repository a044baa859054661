// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>

#include "Common/EventLoop.h"
#include "Common/Metrics.h"
#include "Core/Distribution/Exchange.h"
#include "Core/Membership/Membership.h"
#include "Core/Settings/Tree.h"
#include "Peers/Instance/RpcTask.h"
#include "Peers/Platform/PlatformClient.h"

// Carries out what the exchange of weights decides: fetches from peers and the origin, answers to
// peers.
namespace Holdpost::Node
{
class AgentWeights
{
public:
  struct Callbacks
  {
    std::function<void(const Common::Digest& version)> on_held;
  };

  AgentWeights(std::string self, const std::string& hall, std::uint64_t seed,
               Common::EventLoop& loop, InstancePeer::RpcTask& rpc,
               PlatformPeer::PlatformClient& platform, const Membership::Membership& membership,
               Common::Metrics& metrics, Callbacks callbacks);

  void SetOptions(const Distribution::ExchangeOptions& options) { m_exchange.SetOptions(options); }
  // Looks anew who else wants which weights.
  void RefreshCandidates(const Settings::Tree& tree);
  // The candidates were refreshed from a list that has just been read.
  void OnListRead();
  void Want(const Common::Digest& version);
  void KeepOnly(const std::vector<Common::Digest>& versions);

  void OnAnnouncement(const InstancePeer::AnnouncementReceived& message);
  void OnPieceRequested(const InstancePeer::PieceRequested& message);
  void OnPieceFetched(const InstancePeer::PieceFetched& message);
  void OnPeerLost(const std::string& instance);

  const Distribution::Exchange& State() const { return m_exchange; }

private:
  void Carry(Distribution::Actions actions);
  void Do(const Distribution::FetchPiece& action);
  void Do(const Distribution::CancelFetch& action);
  void Do(const Distribution::SendAnnouncement& action);
  void Do(const Distribution::AnswerPiece& action);
  void Do(const Distribution::VersionHeld& action);
  void Do(const Distribution::CountTransfer& action);
  void Tick();

  std::string m_self;
  Distribution::Exchange m_exchange;
  InstancePeer::RpcTask& m_rpc;
  PlatformPeer::PlatformClient& m_platform;
  const Membership::Membership& m_membership;
  Common::Metrics& m_metrics;
  Callbacks m_callbacks;
  std::unique_ptr<Common::Watch> m_timer;
  std::map<Distribution::FetchId, Common::HttpClient::CallId> m_origin_calls;
  std::vector<Distribution::NeighbourCandidate> m_candidates;
};
} // namespace Holdpost::Node
