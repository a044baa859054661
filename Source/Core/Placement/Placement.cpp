// SPDX-License-Identifier: Apache-2.0
#include "Core/Placement/Placement.h"

#include <algorithm>
#include <tuple>

#include "Core/Settings/Effective.h"

namespace Holdpost::Placement
{
using Settings::Field;

std::vector<ServicePlan> PlansFor(const Settings::Tree& tree, const std::string& hall)
{
  std::vector<ServicePlan> plans;
  const std::string region = Settings::RegionOf(tree, hall);
  for (const std::string& service : Settings::ServicesOf(tree, hall))
  {
    const Settings::Effective effective(tree, Settings::MakePlace(region, hall, service));
    if (!effective.Flag(Field::Enabled))
      continue;
    ServicePlan plan;
    plan.service = service;
    plan.pool = effective.Text(Field::Pool);
    plan.replicas = static_cast<std::uint32_t>(effective.Integer(Field::Replicas));
    plan.is_model = effective.Text(Field::Kind) == "model";
    plan.model = effective.Text(Field::Model);
    plan.switch_most = static_cast<std::uint32_t>(effective.Integer(Field::SwitchMost));
    if (plan.is_model)
      plan.version = effective.DigestAt(Field::Version);
    plans.push_back(std::move(plan));
  }
  return plans;
}

std::map<std::string, std::string> Place(const std::vector<ServicePlan>& plans,
                                         const std::vector<Candidate>& candidates)
{
  std::map<std::string, std::string> placed;
  for (const ServicePlan& plan : plans)
  {
    const std::uint64_t seed = Common::StableHash(plan.service);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const Candidate& candidate : candidates)
    {
      if (candidate.pool == plan.pool && !placed.contains(candidate.instance))
        ranked.emplace_back(Common::StableHash(candidate.instance, seed), candidate.instance);
    }
    std::ranges::sort(ranked, std::greater<>());
    const std::size_t count =
        plan.replicas == 0 ? ranked.size() : std::min<std::size_t>(plan.replicas, ranked.size());
    for (std::size_t i = 0; i < count; ++i)
      placed[ranked[i].second] = plan.service;
  }
  return placed;
}

std::vector<std::string> MayLoadNow(std::vector<LoadCandidate> waiting,
                                    const Common::Digest& version, std::uint32_t most)
{
  const std::uint64_t seed = Common::StableHash(version.ToHex());
  const auto rank = [seed](const LoadCandidate& candidate)
  {
    return std::make_tuple(!candidate.is_loading, candidate.is_overdue,
                           Common::StableHash(candidate.instance, seed));
  };
  std::ranges::sort(waiting, {}, rank);
  if (most > 0 && waiting.size() > most)
    waiting.resize(most);
  std::vector<std::string> names;
  names.reserve(waiting.size());
  for (const LoadCandidate& candidate : waiting)
    names.push_back(candidate.instance);
  return names;
}

std::map<std::string, Common::Digest> WantedVersions(const Settings::Tree& tree,
                                                     const std::vector<PlacedAgent>& agents)
{
  std::map<std::string, std::vector<Candidate>> by_hall;
  for (const PlacedAgent& agent : agents)
    by_hall[agent.hall].push_back({agent.instance, agent.pool});
  std::map<std::string, Common::Digest> wanted;
  for (const auto& [hall, candidates] : by_hall)
  {
    std::map<std::string, Common::Digest> versions;
    const std::vector<ServicePlan> plans = PlansFor(tree, hall);
    for (const ServicePlan& plan : plans)
      versions[plan.service] = plan.version;
    for (const auto& [instance, service] : Place(plans, candidates))
    {
      if (!versions[service].IsZero())
        wanted[instance] = versions[service];
    }
  }
  return wanted;
}
} // namespace Holdpost::Placement
