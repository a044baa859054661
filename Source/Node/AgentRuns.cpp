// SPDX-License-Identifier: Apache-2.0
#include "Node/AgentRuns.h"

#include "Common/Log.h"

namespace Holdpost::Node
{
using Common::Error;
using InstancePeer::CallTag;

// Parts of one answer that the entry has not taken yet; above this the target is held back.
static constexpr std::size_t BYTES_ON_THE_WAY_MOST = 256 << 10;

AgentRuns::AgentRuns(InstancePeer::RpcTask& rpc, EnginePeer::EngineClient& engine,
                     Common::Metrics& metrics)
    : m_rpc(rpc), m_engine(engine), m_metrics(metrics)
{
}

void AgentRuns::Refuse(CallTag tag, const Error& error)
{
  m_metrics.Add("holdpost_run_refused_total", Common::Reason(Common::AnswerFor(error.kind).name));
  m_rpc.Post(InstancePeer::AnswerRunEnd{tag, error});
}

void AgentRuns::OnRequested(InstancePeer::RunRequested message,
                            const Membership::ServiceState& serving)
{
  const CallTag tag = message.tag;
  const Runs::Admission admission = m_runs.OnRequest(message.request, serving);
  if (const auto* error = std::get_if<Error>(&admission))
    return Refuse(tag, *error);
  m_metrics.Add("holdpost_runs_started_total");
  m_open[tag].key = message.request.key;
  EnginePeer::RunCallbacks callbacks;
  callbacks.on_head = [this, tag](int status, const std::string& type,
                                  const Common::Digest& version) {
    m_rpc.Post(InstancePeer::AnswerHead{tag, status, type, version});
  };
  callbacks.on_chunk = [this, tag](std::string_view data) { OnChunk(tag, data); };
  callbacks.on_end = [this, tag](std::optional<Error> error) { OnEnd(tag, std::move(error)); };
  m_open[tag].call = m_engine.Run(message.request, std::move(callbacks));
}

void AgentRuns::OnChunk(CallTag tag, std::string_view data)
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
  m_rpc.Post(InstancePeer::AnswerChunk{tag, std::string(data)});
}

void AgentRuns::OnEnd(CallTag tag, std::optional<Error> error)
{
  const auto found = m_open.find(tag);
  if (found == m_open.end())
    return;
  m_runs.OnEnded(found->second.key);
  m_open.erase(found);
  m_metrics.Add("holdpost_runs_ended_total",
                Common::Reason(error ? Common::AnswerFor(error->kind).name : "whole"));
  m_rpc.Post(InstancePeer::AnswerRunEnd{tag, std::move(error)});
}

void AgentRuns::OnDrained(const InstancePeer::RunDrained& message)
{
  const auto found = m_open.find(message.tag);
  if (found == m_open.end())
    return;
  found->second.bytes_on_the_way = 0;
  if (!found->second.is_paused)
    return;
  found->second.is_paused = false;
  m_engine.ResumeRun(found->second.call);
}

void AgentRuns::OnAbandoned(const InstancePeer::RunAbandoned& message)
{
  const auto found = m_open.find(message.tag);
  if (found == m_open.end())
    return;
  m_engine.CancelRun(found->second.call);
  m_runs.OnEnded(found->second.key);
  m_open.erase(found);
  m_metrics.Add("holdpost_runs_ended_total", Common::Reason("abandoned"));
}

void AgentRuns::OnBarRequested(const InstancePeer::BarRequested& message)
{
  m_rpc.Post(InstancePeer::AnswerBar{message.tag, m_runs.Bar(message.key)});
}
} // namespace Holdpost::Node
