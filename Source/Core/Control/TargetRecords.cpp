// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/TargetRecords.h"

#include <algorithm>
#include <tuple>

namespace Holdpost::Control
{
using Common::Duration;
using Common::TimePoint;

// A copy is seconds old, so a record that was removed so long ago does not come back.
static constexpr Duration REMOVED_LIFETIME = std::chrono::minutes(5);

bool TargetRecords::IsOutdated(const Gateway::TargetId& id, const RecordVersion& version) const
{
  const auto found = m_records.find(id);
  if (found == m_records.end())
    return false;
  const Known& known = found->second;
  const bool is_numbered = version.revision > 0 && known.version.revision > 0;
  if (!is_numbered || version.era <= known.version.era)
    return false;
  const std::tuple read(version.incarnation, version.revision);
  const std::tuple remembered(known.version.incarnation, known.version.revision);
  return known.removed_at ? read <= remembered : read < remembered;
}

void TargetRecords::OnRecord(const Gateway::TargetId& id, const RecordVersion& version)
{
  Known& known = m_records[id];
  std::uint64_t largest = known.superseded_incarnation;
  if (known.version.era == version.era)
    largest = std::max(largest, known.version.incarnation);
  known = {version, std::nullopt, largest > version.incarnation ? largest : 0};
}

std::uint64_t TargetRecords::SupersededIncarnation(const Gateway::TargetId& id) const
{
  const auto found = m_records.find(id);
  return found == m_records.end() ? 0 : found->second.superseded_incarnation;
}

void TargetRecords::OnRemoved(const Gateway::TargetId& id, TimePoint now)
{
  if (const auto found = m_records.find(id); found != m_records.end())
    found->second.removed_at = found->second.removed_at.value_or(now);
}

RecordVersion TargetRecords::VersionOf(const Gateway::TargetId& id) const
{
  const auto found = m_records.find(id);
  return found == m_records.end() ? RecordVersion{} : found->second.version;
}

std::vector<Gateway::TargetId> TargetRecords::Removed() const
{
  std::vector<Gateway::TargetId> removed;
  for (const auto& [id, known] : m_records)
  {
    if (known.removed_at)
      removed.push_back(id);
  }
  return removed;
}

void TargetRecords::ForgetRemoved(TimePoint now)
{
  std::erase_if(m_records,
                [now](const auto& entry)
                {
                  const auto& removed_at = entry.second.removed_at;
                  return removed_at && now - *removed_at > REMOVED_LIFETIME;
                });
}
} // namespace Holdpost::Control
