// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"

// The platform's list of targets, as one process reads it for others and they follow.
namespace Holdpost::Control
{
class TargetList
{
public:
  // Returns true if something new is known.
  bool OnRead(const TargetsRead& read, Common::TimePoint now);
  void OnReadFailed(Common::TimePoint now);
  // What another process read; of no use if something before it is missing.
  bool Offer(const TargetsNews& news);
  // Another process has read the list up to `position`, and `changed` was the last change in it.
  // Returns whether that process is to be asked, as a change is missing here.
  bool Misses(Position position, Position changed);

  bool IsKnown() const { return m_is_known; }
  std::size_t Size() const { return m_targets.size(); }
  std::vector<Gateway::ListedTarget> All() const;
  // How far the list is known, and the last change in it.
  Position Known() const { return m_known; }
  Position Changed() const { return m_changed; }
  // What the last read changed, for processes that knew the list before it.
  const TargetsNews& LastNews() const { return m_news; }
  // The whole list, for processes that know none of it.
  TargetsNews Whole() const;

private:
  using TargetsById = std::map<Gateway::TargetId, Gateway::ListedTarget>;

  // Takes those out of `gone` whose records have lapsed, as it seems, while the platform was away.
  void KeepLapsed(std::set<Gateway::TargetId>* gone, Common::TimePoint now);
  // Targets of which the record lapsed and that are not back in time.
  void RemoveLapsed(Common::TimePoint now);
  void NoteAnswered(Common::TimePoint now);
  // What others have to be told, who know the list as it was before the read.
  TargetsNews ChangesSince(const TargetsById& before, Position next) const;

  TargetsById m_targets;
  bool m_is_known = false;
  Position m_known = 0;
  Position m_changed = 0;
  TargetsNews m_news;
  // Since when the platform does not answer; empty while it does.
  std::optional<Common::TimePoint> m_failing_since;
  // Records may have lapsed while the platform was away: until then they can come back.
  Common::TimePoint m_lapses_until{};
  std::set<Gateway::TargetId> m_lapsed;
};
} // namespace Holdpost::Control
