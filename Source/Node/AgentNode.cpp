// SPDX-License-Identifier: Apache-2.0
#include "Node/AgentNode.h"

#include "Node/Status.h"

namespace Holdpost::Node
{
using Common::Result;

AgentNode::AgentNode(const AgentConfig& config)
    : NodeBase(config.node),
      m_core({MakeIdentity(), config.pool, config.target_name, config.target_checks_fence},
             m_metrics),
      m_engine(m_http, config.target),
      m_runs(m_rpc, m_engine,
             {[this](NodeCore::TargetAnswered answered) { Feed(std::move(answered)); },
              [this](NodeCore::TargetRunEnded ended) { Feed(std::move(ended)); }})
{
}

void AgentNode::DoOwn(NodeCore::Action& action)
{
  std::visit(
      Common::Overloaded{
          [this](NodeCore::LoadTarget& load) { Load(load); },
          [this](NodeCore::CancelLoad& cancel) { m_engine.CancelLoad(cancel.order); },
          [this](NodeCore::RunOnTarget& run) { m_runs.Start(run); },
          // The answer's head may be what is being handled, with its call still on the stack.
          [this](NodeCore::CancelTargetRun& cancel)
          { m_loop.Defer([this, tag = cancel.tag] { m_runs.Cancel(tag); }); },
          [](auto&) {}},
      action);
}

void AgentNode::Load(NodeCore::LoadTarget& load)
{
  const std::uint64_t order = load.order;
  m_engine.Load(
      std::move(load), [this] { return m_core.MayOrder(Now()); },
      [this, order](Result<std::monostate> result) {
        Feed(NodeCore::TargetLoaded{order, std::move(result)});
      });
}

void AgentNode::OnOwnRpc(InstancePeer::FromRpc& message)
{
  if (const auto* drained = std::get_if<NodeCore::RunDrained>(&message))
    m_runs.OnDrained(drained->tag);
}

std::string AgentNode::StatusJson() const
{
  return StatusOf(m_core);
}

void AgentNode::RefreshMetrics()
{
  m_metrics.Set("holdpost_runs_running", m_core.Account().Running());
  m_metrics.Set("holdpost_target_ready", m_core.TargetState().Serving().is_ready ? 1 : 0);
}
} // namespace Holdpost::Node
