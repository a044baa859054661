// SPDX-License-Identifier: Apache-2.0

#include "Bench/Routing/RoutingWorldParts.h"

// Targets: their engines, and the agents that report their load.
namespace Holdpost::Bench
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds PAUSE_MOST{400};
static constexpr Milliseconds REPORT_PERIOD_ACROSS{1000};
static constexpr Milliseconds SWITCH_HORIZON{3000};
static constexpr Milliseconds SWITCH_ANNOUNCE{30};

void RoutingWorld::StartPass(Target& target)
{
  if (target.engine.IsInPass() || target.phase == Target::Phase::Loading)
    return;
  if (const auto time = target.engine.BeginPass())
    After(*time, [this, &target] { FinishPass(target); });
}

void RoutingWorld::FinishPass(Target& target)
{
  for (const EngineEvent& event : target.engine.EndPass())
    OnEngineEvent(target, event);
  if (target.phase == Target::Phase::Ending && target.engine.Running() == 0)
  {
    target.phase = Target::Phase::Loading;
    After(m_options.warm_up,
          [this, &target]
          {
            target.phase = Target::Phase::Serving;
            target.is_switching = false;
            target.switch_at.reset();
            target.weights = PUSHED_VERSION;
            target.engine.Admit();
            target.told.clear();
            StartPass(target);
          });
    return;
  }
  StartPass(target);
}

void RoutingWorld::NoteBegun(const Target& target)
{
  if (!m_options.push_at || target.weights >= PUSHED_VERSION)
    return;
  const TimePoint named = m_start + *m_options.push_at;
  if (m_now >= named)
    m_report.AddBegunOnOldWeights(named + m_options.switch_within - m_now);
}

void RoutingWorld::OnEngineEvent(Target& target, const EngineEvent& event)
{
  if (event.is_first)
    NoteBegun(target);
  const auto found = m_requests.find(event.id);
  if (found == m_requests.end())
    return;
  Node* node = found->second->node;
  const Duration way = Way(node->hall, target.listed.hall);
  if (event.is_first)
    After(way,
          [this, node, id = event.id] {
            Feed(*node, Gateway::AnswerBegan{id, 200, false, false, false});
          });
  else
    After(way + WAY_TO_CALLER,
          [this, id = event.id]
          {
            const auto open = m_requests.find(id);
            if (open != m_requests.end())
              OnCallerSees(*open->second);
          });
  if (!event.is_last)
    return;
  After(way + WAY_TO_CALLER,
        [this, node, id = event.id]
        {
          const auto open = m_requests.find(id);
          if (open == m_requests.end())
            return;
          Request& request = *open->second;
          const Duration took = *request.first_seen - request.sent;
          request.is_late = request.is_late || took > request.kind->goal;
          if (request.is_late)
            Settle(request, Outcome::Late);
          else
            Settle(request, request.attempts > 1 ? Outcome::InAimAfterRefusal : Outcome::InAim);
          Feed(*node, Gateway::AnswerEnded{id});
        });
}

void RoutingWorld::OnCallerSees(Request& request)
{
  if (!request.first_seen)
    request.first_seen = m_now;
  else if (m_now - request.last_seen > PAUSE_MOST)
    request.is_late = true;
  request.last_seen = m_now;
}

void RoutingWorld::CheckSwitch(Target& target)
{
  target.is_switching = true;
  target.told.clear();
  After(SWITCH_ANNOUNCE,
        [this, &target]
        {
          target.engine.StopAdmitting();
          target.phase = Target::Phase::Ending;
          if (!target.engine.IsInPass())
            FinishPass(target);
        });
}

void RoutingWorld::ReportLoad(Target& target)
{
  After(REPORT_PERIOD, [this, &target] { ReportLoad(target); });
  TellLoad(target);
}

Gateway::GatewayDemand RoutingWorld::DemandAt(const Target& target) const
{
  Gateway::GatewayDemand all;
  double refused = 0;
  for (const auto& node : m_nodes)
  {
    const auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core);
    const bool is_near = node->hall == target.listed.hall;
    if (!core || !(*core)->Targets().IsUsed(target.listed.address))
      continue;
    if (!is_near && !(*core)->Targets().NeedsOtherHalls(m_now))
      continue;
    const Gateway::DemandReport demand = (*core)->Targets().CurrentDemand(m_now);
    (is_near ? all.same_hall_per_second : all.other_halls_per_second) += demand.arrivals_per_second;
    refused += demand.arrivals_per_second * demand.refused_share;
  }
  if (const double arrivals = all.same_hall_per_second + all.other_halls_per_second; arrivals > 0)
    all.refused_share = refused / arrivals;
  return all;
}

void RoutingWorld::TellLoad(Target& target)
{
  target.last_told = m_now;
  Gateway::TargetLoad load;
  load.address = target.listed.address;
  load.running = target.engine.Running();
  load.queued = target.engine.Queued();
  std::uint32_t unread = 0;
  for (const auto& [node, work] : target.work)
    unread += work.unread_prompt_tokens;
  load.unread_prompt_tokens = unread;
  load.demand = DemandAt(target);
  load.weights_version = target.weights;
  load.is_switching = target.is_switching;
  if (target.switch_at && !target.is_switching && *target.switch_at - m_now < SWITCH_HORIZON)
    load.switch_in = std::chrono::duration_cast<Milliseconds>(*target.switch_at - m_now);
  for (const auto& node : m_nodes)
  {
    auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core);
    const bool is_near = node->hall == target.listed.hall;
    const auto told = target.told.find(node.get());
    const bool is_early =
        told != target.told.end() && !is_near && m_now - told->second < REPORT_PERIOD_ACROSS;
    if (!core || !(*core)->Targets().IsUsed(target.listed.address))
      continue;
    if (is_early && !(*core)->Targets().NeedsOtherHalls(m_now))
      continue;
    ++(is_near ? m_report.near_tells : m_report.far_tells);
    target.told[node.get()] = m_now;
    After(Way(node->hall, target.listed.hall),
          [this, core = core->get(), raw = node.get(), load]
          {
            Gateway::Actions actions;
            core->OnTargetLoad(load, m_now, &actions);
            Carry(*raw, actions);
          });
  }
}
} // namespace Holdpost::Bench
