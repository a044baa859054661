// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"

namespace Holdpost::Control
{
// Remembers which record of each target is known. When the platform comes back from an older copy,
// records that were replaced or removed come back, too; they must not take the place of what is
// known. Within one era, the platform's order counts.
class TargetRecords
{
public:
  // Whether the record is older than the one that is known, which an earlier era had.
  bool IsOutdated(const Gateway::TargetId& id, const RecordVersion& version) const;
  void OnRecord(const Gateway::TargetId& id, const RecordVersion& version);
  // The target's record was removed.
  void OnRemoved(const Gateway::TargetId& id, Common::TimePoint now);
  RecordVersion VersionOf(const Gateway::TargetId& id) const;
  // The largest incarnation of earlier records that the known one has taken back; 0 if there is
  // none. An era's order counts, so a record may name a smaller incarnation than the one before.
  std::uint64_t SupersededIncarnation(const Gateway::TargetId& id) const;
  // The targets whose records were removed lately.
  std::vector<Gateway::TargetId> Removed() const;
  // Forgets targets whose records were removed so long ago that no copy has them.
  void ForgetRemoved(Common::TimePoint now);

private:
  struct Known
  {
    RecordVersion version;
    std::optional<Common::TimePoint> removed_at;
    std::uint64_t superseded_incarnation = 0;
  };

  std::map<Gateway::TargetId, Known> m_records;
};
} // namespace Holdpost::Control
