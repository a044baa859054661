// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"

// The set of known targets. It comes from the platform's target list, and from reports of engines
// that have restarted.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The time within which a target that only its agent has reported has to appear on the platform's
// target list. After that, the target is removed.
static constexpr Duration MAX_UNLISTED_TIME = Milliseconds(5000);
// The time for which a target that has left the target list may continue to answer; it gets no new
// requests.
static constexpr Duration DEPARTED_LIFETIME = std::chrono::minutes(2);
static constexpr std::uint64_t MAX_TIE_BREAK_NS = 1000;

static void LogListed(const ListedTarget& listed, TimePoint now)
{
  const bool is_leaving = listed.state == TargetState::Leaving;
  LogEvent(Weight::Important, now, is_leaving ? "target.leaving" : "target.listed", "target",
           listed.id, "service", listed.service, "at", listed.address.ToString(), "hall",
           listed.hall, "weights", listed.weights_version);
}

// Whether the list has taken the target's incarnation back: a record of another writer named it.
// The list may lag behind what the target's agent reports.
static bool IsTakenBack(const auto& target, const ListedTarget& listed)
{
  return !target.is_incarnation_reported &&
         target.listed.incarnation <= listed.superseded_incarnation;
}

void TargetTable::SetList(const std::vector<ListedTarget>& list, TimePoint now)
{
  const bool is_first = m_targets.empty();
  std::set<TargetId> previously_listed;
  for (auto& [id, target] : m_targets)
  {
    const bool is_awaited = target.reported_at && now - *target.reported_at < MAX_UNLISTED_TIME;
    if (!is_awaited && std::exchange(target.is_on_list, false))
      previously_listed.insert(id);
  }
  std::map<Common::Address, TargetId> added;
  for (const ListedTarget& listed : list)
  {
    Target& target = m_targets[listed.id];
    const bool was_listed = previously_listed.erase(listed.id) > 0;
    if (target.known_since == TimePoint())
      target.known_since = now;
    target.is_on_list = true;
    target.reported_at.reset();
    if (listed.incarnation < target.listed.incarnation && !IsTakenBack(target, listed))
      continue;
    // This also holds if the target was absent from the list in the meantime and was kept because
    // of its unfinished requests.
    const std::uint64_t known = target.listed.incarnation;
    const bool is_new_incarnation = known > 0 && listed.incarnation != known;
    if (is_new_incarnation)
      BeginIncarnation(target, listed.incarnation, now);
    if (!is_first && (!was_listed || target.listed.state != listed.state))
      LogListed(listed, now);
    if (!is_first && (!was_listed || is_new_incarnation) && IsKnownService(listed.service))
    {
      added[listed.address] = listed.id;
      // An older list may have replaced it by its predecessor meanwhile.
      target.is_replaced = false;
    }
    target.listed = listed;
    target.tie_break =
        std::chrono::nanoseconds(Common::StableHash(listed.id, m_seed) % MAX_TIE_BREAK_NS);
  }
  for (const TargetId& id : previously_listed)
  {
    LogEvent(Weight::Important, now, "target.gone", "target", id);
    m_departed_at[id] = now;
  }
  std::erase_if(m_departed_at,
                [now](const auto& entry) { return now - entry.second > DEPARTED_LIFETIME; });
  if (is_first && !list.empty())
    LogEvent(Weight::Important, now, "targets.known", "count", list.size());
  std::erase_if(m_targets, [](const auto& entry)
                { return !entry.second.is_on_list && entry.second.local_requests == 0; });
  if (!added.empty())
    MarkReplacedAt(added, now);
  UpdateSubset();
}

void TargetTable::BeginIncarnation(Target& target, std::uint64_t incarnation, TimePoint now)
{
  LogEvent(Weight::Important, now, "target.restarted", "target", target.listed.id, "at",
           target.listed.address.ToString(), "incarnation", incarnation, "before",
           target.listed.incarnation);
  Target next;
  next.listed = target.listed;
  next.listed.incarnation = incarnation;
  next.listed.weights_version = 0;
  next.is_on_list = target.is_on_list;
  next.known_since = target.known_since;
  next.is_used = target.is_used;
  next.tie_break = target.tie_break;
  target = std::move(next);
}

void TargetTable::UpdateSubset()
{
  const std::set<TargetId> used = m_subset.Choose(Listed(), m_gateways);
  for (auto& [id, target] : m_targets)
    target.is_used = !target.listed.needs_weights || used.contains(id);
}

void TargetTable::MarkReplacedAt(const std::map<Common::Address, TargetId>& added, TimePoint now)
{
  for (const auto& [id, target] : m_targets)
  {
    const auto next = added.find(target.listed.address);
    if (next != added.end() && next->second != id && target.IsListed())
      OnReplaced(id, now);
  }
}

TargetId TargetTable::FindPredecessor(const Common::Address& address) const
{
  const auto found = std::ranges::find_if(m_targets,
                                          [&](const auto& entry)
                                          {
                                            const Target& target = entry.second;
                                            return target.listed.address == address &&
                                                   target.listed.needs_weights &&
                                                   IsKnownService(target.listed.service);
                                          });
  return found == m_targets.end() ? TargetId() : found->first;
}

void TargetTable::AddReported(const TargetLoad& load, TimePoint now)
{
  if (load.id.empty() || m_targets.contains(load.id) || m_departed_at.contains(load.id))
    return;
  const TargetId predecessor = FindPredecessor(load.address);
  if (predecessor.empty())
    return;
  const Target& known = m_targets.at(predecessor);
  Target added;
  added.listed = known.listed;
  added.listed.id = load.id;
  added.listed.state = TargetState::Ready;
  added.listed.weights_version = load.weights_version;
  added.listed.incarnation = load.incarnation;
  added.is_on_list = true;
  added.reported_at = now;
  added.is_incarnation_reported = true;
  added.is_used = known.is_used;
  added.tie_break = known.tie_break;
  m_targets[load.id] = std::move(added);
  LogEvent(Weight::Important, now, "target.reported", "target", load.id, "at",
           load.address.ToString(), "before", predecessor);
}

TargetId TargetTable::FindByAddress(const Common::Address& address) const
{
  const auto found = std::ranges::find_if(m_targets,
                                          [&](const auto& entry)
                                          {
                                            const Target& target = entry.second;
                                            return target.IsListed() &&
                                                   target.listed.address == address &&
                                                   IsKnownService(target.listed.service);
                                          });
  return found == m_targets.end() ? TargetId() : found->first;
}

void TargetTable::OnReplaced(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  found->second.is_replaced = true;
  found->second.replaced_at = now;
  LogEvent(Weight::Important, now, "target.replaced", "target", id, "at",
           found->second.listed.address.ToString());
}

std::vector<ListedTarget> TargetTable::Listed() const
{
  std::vector<ListedTarget> listed;
  for (const auto& [id, target] : m_targets)
  {
    if (target.IsListed())
      listed.push_back(target.listed);
  }
  return listed;
}
} // namespace Holdpost::Gateway
