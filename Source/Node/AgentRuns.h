// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>

#include "Common/Metrics.h"
#include "Core/Membership/Report.h"
#include "Core/Runs/Runs.h"
#include "Peers/Engine/EngineClient.h"
#include "Peers/Instance/RpcTask.h"

// Carries requests from entries to the target and answers back.
namespace Holdpost::Node
{
class AgentRuns
{
public:
  AgentRuns(InstancePeer::RpcTask& rpc, EnginePeer::EngineClient& engine, Common::Metrics& metrics);

  void OnRequested(InstancePeer::RunRequested message, const Membership::ServiceState& serving);
  void OnAbandoned(const InstancePeer::RunAbandoned& message);
  void OnDrained(const InstancePeer::RunDrained& message);
  void OnBarRequested(const InstancePeer::BarRequested& message);

  Runs::Runs& Account() { return m_runs; }
  const Runs::Runs& Account() const { return m_runs; }

private:
  struct OpenRun
  {
    Runs::RunKey key;
    Common::HttpClient::CallId call = 0;
    std::size_t bytes_on_the_way = 0;
    bool is_paused = false;
  };

  void Refuse(InstancePeer::CallTag tag, const Common::Error& error);
  void OnChunk(InstancePeer::CallTag tag, std::string_view data);
  void OnEnd(InstancePeer::CallTag tag, std::optional<Common::Error> error);

  InstancePeer::RpcTask& m_rpc;
  EnginePeer::EngineClient& m_engine;
  Common::Metrics& m_metrics;
  Runs::Runs m_runs;
  std::map<InstancePeer::CallTag, OpenRun> m_open;
};
} // namespace Holdpost::Node
