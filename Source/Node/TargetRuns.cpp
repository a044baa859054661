// SPDX-License-Identifier: Apache-2.0
#include "Node/TargetRuns.h"

namespace Holdpost::Node
{
using Common::Error;
using NodeCore::CallTag;

// Bytes of one answer that the entry has not taken yet; above this the target is held back.
static constexpr std::size_t BYTES_ON_THE_WAY_MOST = 256 << 10;

TargetRuns::TargetRuns(InstancePeer::RpcTask& rpc, EnginePeer::EngineClient& engine,
                       Handlers handlers)
    : m_rpc(rpc), m_engine(engine), m_handlers(std::move(handlers))
{
}

void TargetRuns::Start(const NodeCore::RunOnTarget& run)
{
  const CallTag tag = run.tag;
  m_open[tag];
  EnginePeer::RunCallbacks callbacks;
  callbacks.on_head =
      [this, tag](int status, const std::string& type, const Common::Digest& version)
  {
    if (m_open.contains(tag))
      m_handlers.on_answered(NodeCore::TargetAnswered{tag, status, type, version});
  };
  callbacks.on_chunk = [this, tag](std::string_view data) { OnChunk(tag, data); };
  callbacks.on_end = [this, tag](std::optional<Error> error)
  {
    if (m_open.erase(tag) > 0)
      m_handlers.on_ended(NodeCore::TargetRunEnded{tag, std::move(error)});
  };
  m_open[tag].call = m_engine.Run(run.request, callbacks);
}

void TargetRuns::Cancel(CallTag tag)
{
  if (const auto run = m_open.extract(tag))
    m_engine.CancelRun(run.mapped().call);
}

void TargetRuns::OnChunk(CallTag tag, std::string_view data)
{
  const auto found = m_open.find(tag);
  if (found == m_open.end() || data.empty())
    return;
  OpenRun& run = found->second;
  run.bytes_on_the_way += data.size();
  if (run.bytes_on_the_way > BYTES_ON_THE_WAY_MOST && !run.is_paused)
  {
    run.is_paused = true;
    m_engine.PauseRun(run.call);
  }
  m_rpc.Post(NodeCore::AnswerChunk{tag, std::string(data)});
}

void TargetRuns::OnDrained(CallTag tag)
{
  const auto found = m_open.find(tag);
  if (found == m_open.end())
    return;
  found->second.bytes_on_the_way = 0;
  if (!found->second.is_paused)
    return;
  found->second.is_paused = false;
  m_engine.ResumeRun(found->second.call);
}
} // namespace Holdpost::Node
