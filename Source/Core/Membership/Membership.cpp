// SPDX-License-Identifier: Apache-2.0
#include "Core/Membership/Membership.h"

#include <set>

namespace Holdpost::Membership
{
using Common::TimePoint;

void Membership::OnList(const std::vector<ListedInstance>& list, TimePoint now)
{
  std::set<std::string> names;
  for (const ListedInstance& listed : list)
  {
    if (listed.instance == m_self)
      continue;
    names.insert(listed.instance);
    auto [found, is_new] = m_members.try_emplace(listed.instance);
    Member& member = found->second;
    if (is_new)
      member.first_seen = now;
    member.is_listed = true;
    member.is_listed_as_leaving = listed.is_leaving;
    // What an instance says of itself goes before the list, which lags; but an instance that is
    // silent and listed elsewhere has been replaced.
    const bool is_moved = member.report.address != listed.address && !IsAlive(member, now);
    if (member.last_seen && !is_moved)
      continue;
    if (is_moved)
      member = Member{Report(), std::nullopt, std::nullopt, now, true, listed.is_leaving};
    member.report.instance = listed.instance;
    member.report.hall = listed.hall;
    member.report.pool = listed.pool;
    member.report.role = listed.role;
    member.report.address = listed.address;
  }
  for (auto entry = m_members.begin(); entry != m_members.end();)
  {
    const auto next = std::next(entry);
    if (!names.contains(entry->first))
    {
      entry->second.is_listed = false;
      if (!IsAlive(entry->second, now))
        m_members.erase(entry);
    }
    entry = next;
  }
}

bool Membership::OnReport(const Report& report, TimePoint now)
{
  if (report.instance == m_self)
    return false;
  auto [found, is_new] = m_members.try_emplace(report.instance);
  Member& member = found->second;
  if (!is_new && report.incarnation < member.report.incarnation)
    return false;
  if (is_new)
    member.first_seen = now;
  member.report = report;
  member.last_seen = now;
  member.unreachable_since.reset();
  return true;
}

void Membership::OnSeen(const std::string& instance, const Common::Address& address,
                        std::uint64_t incarnation, TimePoint now)
{
  const auto found = m_members.find(instance);
  if (found == m_members.end() || incarnation < found->second.report.incarnation)
    return;
  Member& member = found->second;
  member.report.address = address;
  member.report.incarnation = incarnation;
  member.unreachable_since.reset();
  if (member.last_seen)
    member.last_seen = now;
}

void Membership::OnUnreachable(const std::string& instance, TimePoint now)
{
  const auto found = m_members.find(instance);
  if (found != m_members.end())
    found->second.unreachable_since = now;
}

bool Membership::IsAlive(const Member& member, TimePoint now) const
{
  // After a while out of reach it is tried again.
  if (member.unreachable_since && now - *member.unreachable_since < m_dead_after)
    return false;
  if (member.last_seen)
    return now - *member.last_seen < m_dead_after;
  return member.is_listed;
}

bool Membership::IsUsable(const Member& member, TimePoint now) const
{
  return IsAlive(member, now) && !member.is_listed_as_leaving &&
         member.report.lifecycle != Lifecycle::Leaving;
}

const Member* Membership::Find(const std::string& instance) const
{
  const auto found = m_members.find(instance);
  return found == m_members.end() ? nullptr : &found->second;
}

std::vector<const Member*> Membership::Usable(Role role, const std::string& hall,
                                              TimePoint now) const
{
  std::vector<const Member*> usable;
  for (const auto& [name, member] : m_members)
  {
    if (member.report.role == role && member.report.hall == hall && IsUsable(member, now))
      usable.push_back(&member);
  }
  return usable;
}

std::vector<const Member*> Membership::UsableAgents(TimePoint now) const
{
  std::vector<const Member*> usable;
  for (const auto& [name, member] : m_members)
  {
    if (member.report.role != Role::Agent || member.is_listed_as_leaving ||
        member.report.lifecycle == Lifecycle::Leaving)
      continue;
    // Agents receive reports regularly from a few others only, so silence says nothing about the
    // rest.
    const bool is_out_of_reach =
        member.unreachable_since && now - *member.unreachable_since < m_dead_after;
    if (!is_out_of_reach && (member.is_listed || IsAlive(member, now)))
      usable.push_back(&member);
  }
  return usable;
}

const Member* Membership::FurthestAhead(Common::Offset own_position, TimePoint now) const
{
  const Member* furthest = nullptr;
  Common::Offset best = own_position;
  for (const auto& [name, member] : m_members)
  {
    if (member.report.position > best && IsAlive(member, now))
    {
      best = member.report.position;
      furthest = &member;
    }
  }
  return furthest;
}
} // namespace Holdpost::Membership
