// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/TargetList.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace Holdpost::Control
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// After a platform outage of at least this length, records may have lapsed although their targets
// are alive. Such targets write their records again within about two seconds of the platform's
// return.
static constexpr Duration MIN_OUTAGE = Milliseconds(1000);
static constexpr Duration RECOVERY_TIME = Milliseconds(2200);

void TargetList::NoteAnswered(TimePoint now)
{
  if (m_failing_since && now - *m_failing_since >= MIN_OUTAGE)
    m_lapse_tolerated_until = now + RECOVERY_TIME;
  m_failing_since.reset();
}

void TargetList::OnReadFailed(TimePoint now)
{
  if (!m_failing_since)
    m_failing_since = now;
}

bool TargetList::OnRead(const TargetsRead& read, TimePoint now)
{
  NoteAnswered(now);
  // A newer list that another process read may have been applied in the meantime.
  if (read.next < m_known_position)
    return false;
  const bool is_first = !std::exchange(m_is_known, true);
  const bool is_restored = !is_first && EraOf(read.next) > EraOf(m_known_position);
  if (is_restored)
    m_lapse_tolerated_until = now + RECOVERY_TIME;
  const TargetsById before = m_targets;
  std::set<Gateway::TargetId> gone;
  if (read.is_whole)
  {
    for (const auto& [id, target] : m_targets)
      gone.insert(id);
  }
  for (const TargetChange& change : read.changes)
  {
    gone.erase(change.id);
    if (const auto lapsed = Apply(change, read.next, now))
      gone.insert(*lapsed);
  }
  KeepLapsed(&gone, is_restored, now);
  for (const Gateway::TargetId& id : gone)
    Remove(id, now);
  RemoveLapsed(now);
  m_records.ForgetRemoved(now);
  m_known_position = read.next;
  if (before == m_targets && !is_first)
    return false;
  m_last_update = read.is_whole ? FullList() : ChangesSince(before, read.next);
  m_changed_position = read.next;
  return true;
}

std::optional<Gateway::TargetId> TargetList::Apply(const TargetChange& change, Position next,
                                                   TimePoint now)
{
  if (!change.target)
  {
    if (change.removal == Removal::Gone)
      return change.id;
    Remove(change.id, now);
    return std::nullopt;
  }
  const RecordVersion version{EraOf(next), change.target->incarnation, change.version.revision};
  if (m_records.IsOutdated(change.id, version))
  {
    LogEvent(Weight::Important, now, "target.record_outdated", "target", change.id, "revision",
             version.revision, "known", m_records.VersionOf(change.id).revision);
    return std::nullopt;
  }
  m_lapsed.erase(change.id);
  m_records.OnRecord(change.id, version);
  Put(*change.target);
  return std::nullopt;
}

void TargetList::Put(Gateway::ListedTarget target)
{
  target.superseded_incarnation = m_records.SupersededIncarnation(target.id);
  const Gateway::TargetId id = target.id;
  m_targets[id] = std::move(target);
}

void TargetList::Remove(const Gateway::TargetId& id, TimePoint now)
{
  m_targets.erase(id);
  m_lapsed.erase(id);
  m_records.OnRemoved(id, now);
}

void TargetList::KeepLapsed(const Gateway::TargetId& id, TimePoint now)
{
  if (m_lapsed.insert(id).second)
  {
    LogEvent(Weight::Important, now, "target.lapsed", "target", id, "waits_ms",
             m_lapse_tolerated_until - now);
  }
}

void TargetList::KeepLapsed(std::set<Gateway::TargetId>* gone, bool is_restored, TimePoint now)
{
  if (now >= m_lapse_tolerated_until)
    return;
  if (is_restored)
  {
    for (const Gateway::TargetId& id : *gone)
      KeepLapsed(id, now);
    return gone->clear();
  }
  struct Count
  {
    std::size_t ready = 0;
    std::size_t gone = 0;
  };
  std::map<std::string, Count> services;
  for (const auto& [id, target] : m_targets)
  {
    if (target.state != Gateway::TargetState::Ready)
      continue;
    ++services[target.service].ready;
    services[target.service].gone += gone->contains(id) ? 1 : 0;
  }
  std::erase_if(*gone,
                [&](const Gateway::TargetId& id)
                {
                  const auto found = m_targets.find(id);
                  if (found == m_targets.end() ||
                      found->second.state != Gateway::TargetState::Ready)
                    return false;
                  // If only a few records are gone, their targets have left while this process
                  // could not reach the platform.
                  const Count& count = services[found->second.service];
                  if (2 * count.gone < count.ready)
                    return false;
                  KeepLapsed(id, now);
                  return true;
                });
}

void TargetList::RemoveLapsed(TimePoint now)
{
  if (now < m_lapse_tolerated_until)
    return;
  for (const Gateway::TargetId& id : std::exchange(m_lapsed, {}))
    Remove(id, now);
}

// Most records of the target list only confirm that a target is still present, and one read may
// contain several records of the same target. Only the resulting differences are forwarded.
TargetListChanges TargetList::ChangesSince(const TargetsById& before, Position next) const
{
  TargetListChanges update{m_changed_position, next, {}};
  for (const auto& [id, target] : m_targets)
  {
    const auto previous = before.find(id);
    if (previous == before.end() || previous->second != target)
      update.changes.push_back({id, target, Removal::Gone, m_records.VersionOf(id)});
  }
  for (const auto& [id, target] : before)
  {
    if (!m_targets.contains(id))
      update.changes.push_back({id, std::nullopt, Removal::Gone, m_records.VersionOf(id)});
  }
  return update;
}

TargetListChanges TargetList::FullList() const
{
  TargetListChanges update{0, m_known_position, {}};
  update.changes.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets)
    update.changes.push_back({id, target, Removal::Gone, m_records.VersionOf(id)});
  // Whoever reads next has to know them, too, if the platform comes back from an older copy.
  for (const Gateway::TargetId& id : m_records.Removed())
    update.changes.push_back({id, std::nullopt, Removal::Gone, m_records.VersionOf(id)});
  return update;
}

bool TargetList::Offer(const TargetListChanges& update, TimePoint now)
{
  const bool is_whole = update.base == 0;
  if (update.position <= m_known_position || (!is_whole && m_known_position < update.base))
    return false;
  if (is_whole)
  {
    for (const auto& [id, target] : std::exchange(m_targets, {}))
      m_records.OnRemoved(id, now);
  }
  // The process that read the list does the waiting for targets whose records lapsed.
  m_lapsed.clear();
  for (const TargetChange& change : update.changes)
  {
    m_records.OnRecord(change.id, change.version);
    if (change.target)
      Put(*change.target);
    else
      Remove(change.id, now);
  }
  m_records.ForgetRemoved(now);
  m_known_position = update.position;
  m_changed_position = update.position;
  m_is_known = true;
  return true;
}

bool TargetList::OnPeerPosition(Position position, Position changed)
{
  if (m_known_position < changed || !m_is_known)
    return position > m_known_position;
  m_known_position = std::max(m_known_position, position);
  return false;
}

std::vector<Gateway::ListedTarget> TargetList::All() const
{
  std::vector<Gateway::ListedTarget> list;
  list.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets)
    list.push_back(target);
  return list;
}
} // namespace Holdpost::Control
