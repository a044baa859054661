// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Membership/Report.h"

// One instance's view of the others: what they report, and the platform's list as a hint only.
namespace Holdpost::Membership
{
struct Member
{
  Report report; // only name, hall, pool, role and address until the first report
  std::optional<Common::TimePoint> last_seen;
  // When a call to it failed last without an answer since.
  std::optional<Common::TimePoint> unreachable_since;
  Common::TimePoint first_seen{};
  bool is_listed = false;
  bool is_listed_as_leaving = false;
};

class Membership
{
public:
  explicit Membership(std::string self) : m_self(std::move(self)) {}

  // A list replaces the one before. An instance that is on no list any more and silent is dropped.
  void OnList(const std::vector<ListedInstance>& list, Common::TimePoint now);
  // Returns false for a report of an earlier incarnation, which is dropped.
  bool OnReport(const Report& report, Common::TimePoint now);
  // A known instance has called, which shows where it is and that it runs.
  void OnSeen(const std::string& instance, const Common::Address& address,
              std::uint64_t incarnation, Common::TimePoint now);
  void OnUnreachable(const std::string& instance, Common::TimePoint now);
  void SetDeadAfter(Common::Duration dead_after) { m_dead_after = dead_after; }

  // Seen alive, or new on the list and not yet found out of reach; never the instance itself.
  bool IsAlive(const Member& member, Common::TimePoint now) const;
  // Alive and not leaving.
  bool IsUsable(const Member& member, Common::TimePoint now) const;
  const Member* Find(const std::string& instance) const;
  std::vector<const Member*> Usable(Role role, const std::string& hall,
                                    Common::TimePoint now) const;
  // All agents that a push may count on, in every hall, by name; without the instance itself.
  std::vector<const Member*> UsableAgents(Common::TimePoint now) const;
  const std::map<std::string, Member>& All() const { return m_members; }
  // The highest log position that any other instance has reported, and who did.
  const Member* FurthestAhead(Common::Offset own_position, Common::TimePoint now) const;

private:
  std::string m_self;
  Common::Duration m_dead_after = Common::Milliseconds(3000);
  std::map<std::string, Member> m_members;
};
} // namespace Holdpost::Membership
