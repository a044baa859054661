// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Core/Node/Agent.h"
#include "Node/NodeBase.h"
#include "Node/TargetRuns.h"
#include "Peers/Engine/EngineClient.h"

// The process in the slot at a target.
namespace Holdpost::Node
{
class AgentNode final : public NodeBase
{
public:
  explicit AgentNode(const AgentConfig& config);

private:
  NodeCore::Base& Core() override { return m_core; }
  Common::Result<std::string> Listen() override { return std::string(); }
  std::string StatusJson() const override;
  void RefreshMetrics() override;
  void DoOwn(NodeCore::Action& action) override;
  void OnOwnRpc(InstancePeer::FromRpc& message) override;

  void Load(NodeCore::LoadTarget& load);

  NodeCore::Agent m_core;
  EnginePeer::EngineClient m_engine;
  TargetRuns m_runs;
};
} // namespace Holdpost::Node
