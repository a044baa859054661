// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Core/Deployment/Deployment.h"
#include "Core/Membership/Lease.h"
#include "Node/AgentRuns.h"
#include "Node/AgentWeights.h"
#include "Node/NodeBase.h"
#include "Peers/Engine/EngineClient.h"

// The process in the slot at a target: fetches, verifies and serves weights, gives its target
// fenced orders, carries requests to it, and drains.
namespace Holdpost::Node
{
class AgentNode final : public NodeBase
{
public:
  explicit AgentNode(AgentConfig config);

private:
  Common::Result<std::string> Listen() override { return std::string(); }
  void OnSettings() override;
  void OnLogRead(Common::TimePoint sent) override;
  void OnMembership() override;
  void OnTick(Common::TimePoint now) override;
  void OnRpc(InstancePeer::FromRpc message) override;
  void OnPeerUnreachable(const std::string& instance) override;
  void FillReport(Membership::Report& report) override;
  void FillReportTo(const std::string& receiver, Membership::Report& report) override;
  void OnPeerReport(const Membership::Report& report) override;
  std::string NotReadyReason() const override;
  std::string StatusJson() const override;
  void RefreshMetrics(Common::Metrics& metrics) override;
  void OnLeave() override;

  void ClaimTarget();
  void Replan();
  bool MayOrder() const;
  void Carry(Deployment::Actions actions);
  void Do(const Deployment::WantVersion& action);
  void Do(const Deployment::KeepVersions& action);
  void Do(const Deployment::OrderLoad& action);
  void Do(const Deployment::CancelOrder& action);
  void OnLoaded(std::uint64_t order, const Common::Result<std::monostate>& result);

  AgentConfig m_config;
  EnginePeer::EngineClient m_engine;
  AgentRuns m_runs;
  AgentWeights m_weights;
  Deployment::Deployment m_deployment;
  Membership::Lease m_lease;
  Common::TimePoint m_candidates_due{};
  bool m_is_claiming = false;
  Common::TimePoint m_claim_not_before{};
};
} // namespace Holdpost::Node
