// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include "Bench/Routing/RoutingWorldParts.h"

// Gateways: their events and what they decide.
namespace Holdpost::Bench
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr std::uint32_t ATTEMPTS_OF_CALLER = 2;
// The part of what is left of its time that a caller waits before it comes back.
static constexpr int COME_BACK_SHARE = 3;
// News of new work is passed on at once, but not more often.
static constexpr Milliseconds TELL_GAP{10};

void RoutingWorld::Carry(Node& node, const Gateway::Actions& actions)
{
  for (const Gateway::Action& action : actions)
    std::visit([&](const auto& typed) { Do(node, typed); }, action);
  ScheduleTick(node);
}

void RoutingWorld::ScheduleTick(Node& node)
{
  auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node.core);
  const auto next = core ? (*core)->NextWakeup() : std::nullopt;
  if (!next || (node.tick_due && *node.tick_due <= *next))
    return;
  node.tick_due = *next;
  After(std::max(*next - m_now, Duration::zero()),
        [this, &node, due = *next]
        {
          if (node.tick_due != due)
            return;
          node.tick_due.reset();
          Gateway::Actions actions;
          std::get<std::unique_ptr<Gateway::Gateway>>(node.core)->OnTick(m_now, &actions);
          Carry(node, actions);
        });
}

void RoutingWorld::Do(Node& node, const Gateway::Dispatch& dispatch)
{
  const auto found = m_requests.find(dispatch.number);
  if (found == m_requests.end())
    return;
  Request& request = *found->second;
  const auto place = std::ranges::find_if(m_targets, [&](const auto& target)
                                          { return target->listed.id == dispatch.target; });
  Target* target = place->get();
  request.target = target;
  request.expected_start = dispatch.expected_start;
  const EngineRequest work{dispatch.number, request.prompt_tokens, request.answer_tokens};
  const Duration way = Way(node.hall, target->listed.hall);
  After(way,
        [this, target, work, way, &node]
        {
          if (target->weights > 0 && target->engine.Submit(work))
            return StartPass(*target);
          After(way,
                [this, &node, number = work.id] {
                  Feed(node, Gateway::AnswerBegan{number, 503, true, true, false});
                });
        });
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::PassAnswer& pass)
{
  const auto found = m_requests.find(pass.number);
  if (found == m_requests.end())
    return;
  After(WAY_TO_CALLER,
        [this, number = pass.number]
        {
          const auto open = m_requests.find(number);
          if (open != m_requests.end())
            OnCallerSees(*open->second);
        });
}

void RoutingWorld::Do(Node& node, const Gateway::ReportWorkToAgent& tell)
{
  const auto place = std::ranges::find_if(m_targets, [&](const auto& target)
                                          { return target->listed.address == tell.target; });
  Target* target = place->get();
  After(Way(node.hall, target->listed.hall),
        [this, &node, target, work = tell.work]
        {
          const Gateway::GatewayWork before = std::exchange(target->work[&node], work);
          if (work.requests <= before.requests || target->tells_soon)
            return;
          target->tells_soon = true;
          const TimePoint due = std::max(m_now, target->last_told + TELL_GAP);
          After(due - m_now,
                [this, target]
                {
                  target->tells_soon = false;
                  TellLoad(*target);
                });
        });
}

void RoutingWorld::Do(Node& node, const Gateway::CancelAttempt& cancel)
{
  // The request may have been settled by now; then every engine is told.
  for (const auto& target : m_targets)
  {
    After(Way(node.hall, target->listed.hall),
          [raw = target.get(), number = cancel.number]
          {
            if (!raw->is_deaf)
              raw->engine.Cancel(number);
          });
  }
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::Refuse& refuse)
{
  const auto found = m_requests.find(refuse.number);
  if (found == m_requests.end())
    return;
  Request& request = *found->second;
  if (request.attempts >= ATTEMPTS_OF_CALLER || !refuse.error.retry_after)
    return Settle(request, Outcome::Refused);
  request.is_away = true;
  const Duration left = request.asked + DEADLINE - m_now;
  const Duration wait = std::min<Duration>(*refuse.error.retry_after, left / COME_BACK_SHARE);
  After(wait,
        [this, old = refuse.number]
        {
          auto open = m_requests.extract(old);
          if (!open)
            return;
          const std::uint64_t number = m_next_number++;
          open.key() = number;
          open.mapped()->number = number;
          m_requests.insert(std::move(open));
          SendToGateway(number);
        });
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::AbortAnswer& abort)
{
  const auto found = m_requests.find(abort.number);
  if (found != m_requests.end())
    Settle(*found->second, Outcome::Failed);
}
} // namespace Holdpost::Bench
