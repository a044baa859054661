// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/Targets.h"

#include <algorithm>
#include <cmath>

namespace Holdpost::Routing
{
// A target takes affine requests until its load is this much over the average.
static constexpr double LOAD_BOUND = 1.25;

void Targets::Set(const std::string& name, const TargetState& state)
{
  auto [found, is_new] = m_targets.try_emplace(name);
  found->second.state = state;
  if (!is_new)
    return;
  if (const auto leftover = m_leftover.extract(name))
    found->second.in_use = leftover.mapped();
}

void Targets::Remove(const std::string& name)
{
  const auto found = m_targets.find(name);
  if (found == m_targets.end())
    return;
  if (found->second.in_use > 0)
    m_leftover[name] = found->second.in_use;
  m_targets.erase(found);
}

void Targets::OnDispatched(const std::string& name)
{
  ++m_targets[name].in_use;
}

void Targets::OnEnded(const std::string& name)
{
  if (const auto found = m_targets.find(name); found != m_targets.end())
  {
    if (found->second.in_use > 0)
      --found->second.in_use;
    return;
  }
  const auto leftover = m_leftover.find(name);
  if (leftover != m_leftover.end() && --leftover->second == 0)
    m_leftover.erase(leftover);
}

void Targets::OnRefused(const std::string& name)
{
  if (const auto found = m_targets.find(name); found != m_targets.end())
    found->second.state.credits = std::min(found->second.state.credits, found->second.in_use);
}

bool Targets::HasOther(const std::set<std::string>& tried) const
{
  return std::ranges::any_of(m_targets,
                             [&](const auto& entry) { return !tried.contains(entry.first); });
}

std::uint32_t Targets::FreeCredits() const
{
  std::uint32_t credits = 0;
  for (const auto& [name, target] : m_targets)
    credits += target.Free();
  return credits;
}

std::uint32_t Targets::InUse() const
{
  std::uint32_t in_use = 0;
  for (const auto& [name, target] : m_targets)
    in_use += target.in_use;
  return in_use;
}

bool Targets::IsNearAverage(const Target& target) const
{
  const double average = (InUse() + 1.0) / static_cast<double>(m_targets.size());
  return target.in_use + 1.0 <= std::ceil(LOAD_BOUND * average);
}

std::string Targets::Choose(std::uint64_t affinity, const std::set<std::string>& tried,
                            std::mt19937_64& random) const
{
  std::vector<const std::pair<const std::string, Target>*> open;
  for (const auto& entry : m_targets)
  {
    if (entry.second.Free() > 0 && !tried.contains(entry.first))
      open.push_back(&entry);
  }
  if (open.empty())
    return "";
  if (affinity != 0)
  {
    const auto score = [&](const auto* entry)
    { return Common::StableHash(entry->first, affinity); };
    const auto* preferred = *std::ranges::max_element(open, {}, score);
    if (IsNearAverage(preferred->second))
      return preferred->first;
  }
  const auto* first = open[random() % open.size()];
  const auto* second = open[random() % open.size()];
  return first->second.Free() >= second->second.Free() ? first->first : second->first;
}
} // namespace Holdpost::Routing
