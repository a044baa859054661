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
  struct Handlers
  {
    std::function<void(NodeCore::TargetAnswered)> on_answered;
    std::function<void(NodeCore::TargetRunEnded)> on_ended;
  };

  TargetRuns(InstancePeer::RpcTask& rpc, EnginePeer::EngineClient& engine, Handlers handlers);

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
  Handlers m_handlers;
  std::map<NodeCore::CallTag, OpenRun> m_open;
};
} // namespace Holdpost::Node
