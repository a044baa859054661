// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>

#include "Peers/Engine/EngineClient.h"
#include "Peers/Instance/RpcTask.h"

// Carries running requests between the RPC task and the target, and holds a target back whose
// answer is not taken fast enough.
namespace Holdpost::Node
{
class TargetRuns
{
public:
  using OnEnded = std::function<void(NodeCore::TargetRunEnded)>;

  TargetRuns(InstancePeer::RpcTask& rpc, EnginePeer::EngineClient& engine, OnEnded on_ended);

  void Start(const NodeCore::RunOnTarget& run);
  void Cancel(NodeCore::CallTag tag);
  // The entry has taken everything sent so far.
  void OnDrained(NodeCore::CallTag tag);

private:
  struct OpenRun
  {
    Common::HttpClient::CallId call = 0;
    std::size_t bytes_on_the_way = 0;
    bool is_paused = false;
  };

  void OnChunk(NodeCore::CallTag tag, std::string_view data);

  InstancePeer::RpcTask& m_rpc;
  EnginePeer::EngineClient& m_engine;
  OnEnded m_on_ended;
  std::map<NodeCore::CallTag, OpenRun> m_open;
};
} // namespace Holdpost::Node
