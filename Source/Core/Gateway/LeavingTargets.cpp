// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/LeavingTargets.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::TimePoint;

// More targets than leave in a day of a large deployment.
static constexpr std::size_t MAX_TARGETS = 8192;

static bool IsSameOrEarlier(std::uint64_t incarnation, std::uint64_t leaving)
{
  return incarnation == 0 || leaving == 0 || incarnation <= leaving;
}

bool LeavingTargets::Add(const LeavingTarget& target, TimePoint now)
{
  if (Contains(target.id, target.incarnation))
    return false;
  m_targets[target.id] = {target.incarnation, now};
  if (m_targets.size() > MAX_TARGETS)
    RemoveOldest();
  return true;
}

bool LeavingTargets::Contains(const TargetId& id, std::uint64_t incarnation) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && IsSameOrEarlier(incarnation, found->second.incarnation);
}

std::vector<LeavingTarget> LeavingTargets::All() const
{
  std::vector<LeavingTarget> all;
  all.reserve(m_targets.size());
  for (const auto& [id, entry] : m_targets)
    all.push_back({id, entry.incarnation});
  return all;
}

void LeavingTargets::RemoveOldest()
{
  const auto since = [](const auto& entry) { return entry.second.known_since; };
  m_targets.erase(std::ranges::min_element(m_targets, {}, since));
}
} // namespace Holdpost::Gateway
