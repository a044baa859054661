// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Control/TargetRecords.h"

// The platform's target list. One process reads it from the platform and forwards it to the
// others; this class serves both.
namespace Holdpost::Control
{
class TargetList
{
public:
  // Returns true if the known state changes.
  bool OnRead(const TargetsRead& read, Common::TimePoint now);
  void OnReadFailed(Common::TimePoint now);
  // Applies changes that another process read. They are ignored if earlier changes are missing.
  bool Offer(const TargetListChanges& update, Common::TimePoint now);
  // Handles the news that another process has read the list up to `position` and that its last
  // change is at `changed`. Returns whether that process has to be asked for the list, because this
  // process lacks a change.
  bool OnPeerPosition(Position position, Position changed);

  bool IsKnown() const { return m_is_known; }
  std::size_t Size() const { return m_targets.size(); }
  std::vector<Gateway::ListedTarget> All() const;
  // The position up to which the list is known, and the position of its last change.
  Position KnownPosition() const { return m_known_position; }
  Position ChangedPosition() const { return m_changed_position; }
  // The changes of the last read, for processes that knew the list before it.
  const TargetListChanges& LastUpdate() const { return m_last_update; }
  // The full list, for processes that know none of it.
  TargetListChanges FullList() const;

private:
  using TargetsById = std::map<Gateway::TargetId, Gateway::ListedTarget>;

  // Applies one change. Returns the target if its record is gone, which may have lapsed.
  std::optional<Gateway::TargetId> Apply(const TargetChange& change, Position next,
                                         Common::TimePoint now);
  // Removes the targets from `gone` whose records presumably lapsed during an outage of the
  // platform, or were written after the copy from which it has come back.
  void KeepLapsed(std::set<Gateway::TargetId>* gone, bool is_restored, Common::TimePoint now);
  void KeepLapsed(const Gateway::TargetId& id, Common::TimePoint now);
  // Adds or changes the target of a record that has been noted.
  void Put(Gateway::ListedTarget target);
  void Remove(const Gateway::TargetId& id, Common::TimePoint now);
  // Drops the targets whose records lapsed and were not written again in time.
  void RemoveLapsed(Common::TimePoint now);
  void NoteAnswered(Common::TimePoint now);
  // The changes to forward to processes that know the list as it was before the read.
  TargetListChanges ChangesSince(const TargetsById& before, Position next) const;

  TargetsById m_targets;
  bool m_is_known = false;
  Position m_known_position = 0;
  Position m_changed_position = 0;
  TargetListChanges m_last_update;
  // The time since which the platform has not answered; empty while it answers.
  std::optional<Common::TimePoint> m_failing_since;
  // Records may have lapsed during an outage of the platform; until this time their targets may
  // write them again.
  Common::TimePoint m_lapse_tolerated_until{};
  std::set<Gateway::TargetId> m_lapsed;
  TargetRecords m_records;
};
} // namespace Holdpost::Control
