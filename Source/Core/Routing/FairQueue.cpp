// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/FairQueue.h"

#include <algorithm>

namespace Holdpost::Routing
{
// Tokens that a lane of weight 1 may spend in one round. Smaller is fairer over short times.
static constexpr std::int64_t QUANTUM = 256;

FairQueue::Lane& FairQueue::Activate(const std::string& organisation, std::int64_t weight)
{
  auto [found, is_new] = m_lanes.try_emplace(organisation);
  if (is_new)
    m_round.push_back(organisation);
  found->second.weight = std::max<std::int64_t>(weight, 1);
  return found->second;
}

void FairQueue::Add(const std::string& organisation, std::int64_t weight, Waiting waiting)
{
  Lane& lane = Activate(organisation, weight);
  lane.cost += waiting.cost;
  lane.waiting.push_back(waiting);
  ++m_size;
}

void FairQueue::AddFront(const std::string& organisation, std::int64_t weight, Waiting waiting)
{
  Lane& lane = Activate(organisation, weight);
  lane.cost += waiting.cost;
  lane.deficit += waiting.cost; // it was paid for once
  lane.waiting.push_front(waiting);
  ++m_size;
}

std::optional<Waiting> FairQueue::Take()
{
  while (!m_round.empty())
  {
    const std::string organisation = m_round.front();
    Lane& lane = m_lanes[organisation];
    if (lane.deficit < lane.waiting.front().cost)
    {
      lane.deficit += QUANTUM * lane.weight;
      m_round.splice(m_round.end(), m_round, m_round.begin());
      continue;
    }
    const Waiting next = lane.waiting.front();
    lane.waiting.pop_front();
    lane.deficit -= next.cost;
    lane.cost -= next.cost;
    --m_size;
    if (lane.waiting.empty())
    {
      // What is left of the deficit is lost, so that idling saves up nothing.
      m_lanes.erase(organisation);
      m_round.pop_front();
    }
    return next;
  }
  return std::nullopt;
}

void FairQueue::Remove(const std::string& organisation, std::uint64_t number)
{
  const auto found = m_lanes.find(organisation);
  if (found == m_lanes.end())
    return;
  Lane& lane = found->second;
  const auto waiting = std::ranges::find(lane.waiting, number, &Waiting::number);
  if (waiting == lane.waiting.end())
    return;
  lane.cost -= waiting->cost;
  lane.waiting.erase(waiting);
  --m_size;
  if (lane.waiting.empty())
  {
    m_lanes.erase(found);
    m_round.remove(organisation);
  }
}

std::size_t FairQueue::SizeOf(const std::string& organisation) const
{
  const auto found = m_lanes.find(organisation);
  return found == m_lanes.end() ? 0 : found->second.waiting.size();
}

std::int64_t FairQueue::CostAhead(const std::string& organisation, std::int64_t weight) const
{
  const auto own = m_lanes.find(organisation);
  const std::int64_t own_cost = own == m_lanes.end() ? 0 : own->second.cost;
  std::int64_t ahead = own_cost;
  for (const auto& [name, lane] : m_lanes)
  {
    if (name == organisation)
      continue;
    // While our lane empties, another one gets at most its share against ours, plus one round.
    const std::int64_t share =
        (own_cost + QUANTUM) * lane.weight / std::max<std::int64_t>(weight, 1);
    ahead += std::min(lane.cost, share);
  }
  return ahead;
}
} // namespace Holdpost::Routing
