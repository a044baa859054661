// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Entry.h"

#include <algorithm>
#include <utility>

#include "Core/Placement/Placement.h"

// The targets that an entry may send requests to, and which of them may load a new version.
namespace Holdpost::NodeCore
{
using Common::TimePoint;
using Membership::Role;

// An agent that was let load and neither loads nor has loaded after so long gives way to others.
static constexpr Common::Milliseconds GRANT_TIME = Common::Milliseconds(10000);

// Only agents that hold all of the version count: one that still fetches must not keep others
// waiting.
static bool HoldsWhole(const Membership::Report& report, const Common::Digest& version)
{
  return std::ranges::any_of(report.versions,
                             [&](const Membership::VersionState& state)
                             {
                               return state.version == version && state.pieces_total > 0 &&
                                      state.pieces_held == state.pieces_total;
                             });
}

void Entry::OnSettings(TimePoint now, Actions* /*actions*/)
{
  m_plans = Placement::PlansFor(Tree(), m_self.hall);
  PlanLoads(now);
}

void Entry::PlanLoads(TimePoint now)
{
  const auto granted = std::exchange(m_may_load, {});
  const std::vector<const Membership::Member*> agents =
      m_membership.Usable(Role::Agent, m_self.hall, now);
  std::vector<Placement::Candidate> candidates;
  candidates.reserve(agents.size());
  for (const Membership::Member* agent : agents)
    candidates.push_back({agent->report.instance, agent->report.pool});
  const auto placed = Placement::Place(m_plans, candidates);
  for (const Placement::ServicePlan& plan : m_plans)
  {
    std::vector<Placement::LoadCandidate> waiting;
    for (const Membership::Member* agent : agents)
    {
      const Membership::Report& report = agent->report;
      const auto place = placed.find(report.instance);
      if (place == placed.end() || place->second != plan.service ||
          !HoldsWhole(report, plan.version))
        continue;
      const bool has_it = !report.services.empty() && report.services.front().is_ready &&
                          report.services.front().version == plan.version;
      const bool is_loading = !report.services.empty() && report.services.front().is_loading;
      const auto grant = granted.find(report.instance);
      const bool is_granted = grant != granted.end();
      const bool is_overdue = is_granted && !is_loading && now - grant->second >= GRANT_TIME;
      // One that was told so may have begun, though it did not report it yet.
      if (!has_it)
        waiting.push_back({report.instance, is_loading || (is_granted && !is_overdue), is_overdue});
    }
    for (const std::string& name :
         Placement::MayLoadNow(std::move(waiting), plan.version, plan.switch_most))
    {
      const auto grant = granted.find(name);
      m_may_load[name] = grant == granted.end() ? now : grant->second;
    }
  }
}

void Entry::OnPeerReport(const Membership::Report& report, TimePoint now, Actions* actions)
{
  if (report.role != Role::Agent || report.hall != m_self.hall)
    return;
  PlanLoads(now);
  Routing::Actions made;
  const Membership::Member* member = m_membership.Find(report.instance);
  const bool is_offered = member && m_membership.IsUsable(*member, now) &&
                          !report.services.empty() && report.services.front().is_ready;
  if (is_offered)
  {
    const Membership::ServiceState& service = report.services.front();
    m_router.SetTarget(service.service, report.instance, {report.credits, service.version}, now,
                       &made);
  }
  else
    m_router.RemoveTarget(report.instance, now, &made);
  Carry(made, now, actions);
}

void Entry::OnPeerUnreachable(const std::string& instance, TimePoint now, Actions* actions)
{
  Routing::Actions made;
  m_router.RemoveTarget(instance, now, &made);
  Carry(made, now, actions);
}

void Entry::DropUnusableTargets(TimePoint now, Actions* actions)
{
  // A leaving mark on the list, or a silence, takes a target out.
  for (const auto& [name, member] : m_membership.All())
  {
    if (!m_membership.IsUsable(member, now))
      OnPeerUnreachable(name, now, actions);
  }
}

void Entry::OnListRead(TimePoint now, Actions* actions)
{
  DropUnusableTargets(now, actions);
}
} // namespace Holdpost::NodeCore
