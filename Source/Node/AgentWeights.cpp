// SPDX-License-Identifier: Apache-2.0
#include "Node/AgentWeights.h"

#include <fmt/format.h>

#include "Common/Log.h"
#include "Core/Placement/Placement.h"

namespace Holdpost::Node
{
using Common::Bytes;
using Common::Digest;
using Common::Error;
using Common::ErrorKind;
using Common::EventLoop;
using Common::Result;

AgentWeights::AgentWeights(std::string self, const std::string& hall, std::uint64_t seed,
                           EventLoop& loop, InstancePeer::RpcTask& rpc,
                           PlatformPeer::PlatformClient& platform,
                           const Membership::Membership& membership, Common::Metrics& metrics,
                           Callbacks callbacks)
    : m_self(std::move(self)), m_exchange(m_self, hall, seed), m_rpc(rpc), m_platform(platform),
      m_membership(membership), m_metrics(metrics), m_callbacks(std::move(callbacks)),
      m_timer(loop.MakeTimer([this] { Tick(); }))
{
}

void AgentWeights::RefreshCandidates(const Settings::Tree& tree)
{
  std::vector<Placement::PlacedAgent> agents;
  std::map<std::string, std::string> halls;
  for (const Membership::Member* member : m_membership.UsableAgents(EventLoop::Now()))
  {
    const Membership::Report& report = member->report;
    agents.push_back({report.instance, report.hall, report.pool});
    halls[report.instance] = report.hall;
  }
  std::vector<Distribution::NeighbourCandidate> candidates;
  for (const auto& [instance, version] : Placement::WantedVersions(tree, agents))
    candidates.push_back({instance, halls[instance], version});
  if (candidates == m_candidates)
    return;
  m_candidates = candidates;
  Distribution::Actions actions;
  m_exchange.SetCandidates(std::move(candidates), EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::OnListRead()
{
  Distribution::Actions actions;
  m_exchange.OnViewConfirmed(EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::Want(const Digest& version)
{
  INFO_LOG(DISTRIBUTION, "Wants version {}.", version.Short());
  Distribution::Actions actions;
  m_exchange.Want(version, EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::KeepOnly(const std::vector<Digest>& versions)
{
  Distribution::Actions actions;
  m_exchange.KeepOnly(versions, &actions);
  Carry(std::move(actions));
}

void AgentWeights::OnAnnouncement(const InstancePeer::AnnouncementReceived& message)
{
  Distribution::Actions actions;
  m_exchange.OnAnnouncement(message.from, message.announcement, EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::OnPieceRequested(const InstancePeer::PieceRequested& message)
{
  Distribution::Actions actions;
  m_exchange.OnPieceRequest(message.tag, message.version, message.piece, EventLoop::Now(),
                            &actions);
  Carry(std::move(actions));
}

void AgentWeights::OnPieceFetched(const InstancePeer::PieceFetched& message)
{
  Distribution::Actions actions;
  m_exchange.OnFetched(message.id, message.result, EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::OnPeerLost(const std::string& instance)
{
  Distribution::Actions actions;
  m_exchange.OnPeerLost(instance, EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::Tick()
{
  Distribution::Actions actions;
  m_exchange.OnTick(EventLoop::Now(), &actions);
  Carry(std::move(actions));
}

void AgentWeights::Carry(Distribution::Actions actions)
{
  for (const Distribution::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
  const auto now = EventLoop::Now();
  if (const auto next = m_exchange.NextWakeup(now))
    m_timer->FireAfter(*next - now);
}

void AgentWeights::Do(const Distribution::FetchPiece& action)
{
  if (!action.peer.empty())
  {
    const Membership::Member* member = m_membership.Find(action.peer);
    if (!member)
    {
      OnPieceFetched({action.id, Error{ErrorKind::Unreachable, "the peer is not known"}});
      return;
    }
    m_rpc.Post(InstancePeer::FetchPiece{action.id, m_self, action.peer, member->report.address,
                                        action.version, action.piece});
    return;
  }
  const auto id = action.id;
  m_origin_calls[id] = m_platform.FetchPiece(action.version, action.piece,
                                             [this, id](const Result<Bytes>& result)
                                             {
                                               m_origin_calls.erase(id);
                                               OnPieceFetched({id, result});
                                             });
}

void AgentWeights::Do(const Distribution::CancelFetch& action)
{
  const auto call = m_origin_calls.extract(action.id);
  if (call)
    m_platform.Cancel(call.mapped());
  else
    m_rpc.Post(InstancePeer::CancelFetch{action.id});
}

void AgentWeights::Do(const Distribution::SendAnnouncement& action)
{
  const Membership::Member* member = m_membership.Find(action.peer);
  if (!member)
    return;
  m_metrics.Add("holdpost_announcements_sent_total");
  m_rpc.Post(InstancePeer::SendAnnouncement{m_self, action.peer, member->report.address,
                                            action.announcement});
}

void AgentWeights::Do(const Distribution::AnswerPiece& action)
{
  m_rpc.Post(InstancePeer::AnswerPiece{action.tag, action.result});
}

void AgentWeights::Do(const Distribution::VersionHeld& action)
{
  INFO_LOG(DISTRIBUTION, "Holds version {}, every piece verified.", action.version.Short());
  m_callbacks.on_held(action.version);
}

void AgentWeights::Do(const Distribution::CountTransfer& action)
{
  const std::string label =
      fmt::format("event=\"{}\"", Distribution::TransferEventName(action.event));
  m_metrics.Add("holdpost_transfers_total", label);
  if (action.bytes > 0)
    m_metrics.Add("holdpost_transfer_bytes_total", label, action.bytes);
}
} // namespace Holdpost::Node
