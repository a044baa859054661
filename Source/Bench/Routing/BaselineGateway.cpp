// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/BaselineGateway.h"

#include <algorithm>

namespace Holdpost::Bench
{
using Gateway::Actions;
using Gateway::ListedTarget;
using Gateway::RequestNumber;
using Gateway::TargetId;

void BaselineGateway::SetTargets(const std::vector<ListedTarget>& list)
{
  m_targets.clear();
  std::ranges::copy_if(list, std::back_inserter(m_targets),
                       [](const ListedTarget& target) { return target.weights_version > 0; });
}

const ListedTarget* BaselineGateway::Choose(const std::set<TargetId>& tried)
{
  const ListedTarget* best = nullptr;
  for (std::size_t i = 0; i < m_targets.size(); ++i)
  {
    const ListedTarget& target = m_targets[(m_next + i) % m_targets.size()];
    if (tried.contains(target.id))
      continue;
    if (!best || m_in_flight[target.id] < m_in_flight[best->id])
      best = &target;
    if (m_choice == BaselineChoice::RoundRobin)
      break;
  }
  ++m_next;
  return best;
}

void BaselineGateway::Send(RequestNumber number, Open& open, Actions* actions)
{
  const ListedTarget* target = Choose(open.tried);
  if (!target)
  {
    actions->push_back(
        Gateway::Refuse{number, {Common::ErrorKind::QueueFull, "no target", std::nullopt}});
    m_open.erase(number);
    return;
  }
  open.target = target->id;
  open.tried.insert(target->id);
  ++m_in_flight[target->id];
  Gateway::Dispatch dispatch;
  dispatch.number = number;
  dispatch.target = target->id;
  dispatch.address = target->address;
  actions->push_back(std::move(dispatch));
}

void BaselineGateway::Forget(RequestNumber number)
{
  const auto found = m_open.find(number);
  if (found == m_open.end())
    return;
  --m_in_flight[found->second.target];
  m_open.erase(found);
}

void BaselineGateway::Handle(const Gateway::RequestArrived& event, Actions* actions)
{
  Send(event.number, m_open[event.number], actions);
}

void BaselineGateway::Handle(const Gateway::AnswerBegan& event, Actions* actions)
{
  const auto found = m_open.find(event.number);
  if (found == m_open.end())
    return;
  if (!event.is_not_run)
  {
    actions->push_back(Gateway::PassAnswer{event.number});
    return;
  }
  --m_in_flight[found->second.target];
  Send(event.number, found->second, actions);
}

void BaselineGateway::Handle(const Gateway::AnswerEnded& event, Actions* /*actions*/)
{
  Forget(event.number);
}

void BaselineGateway::Handle(const Gateway::CallerLeft& event, Actions* actions)
{
  if (!m_open.contains(event.number))
    return;
  actions->push_back(Gateway::CancelAttempt{event.number});
  Forget(event.number);
}
} // namespace Holdpost::Bench
