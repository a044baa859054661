// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/Access.h"

#include <set>

#include "Common/Hash.h"
#include "Core/Settings/Effective.h"

namespace Holdpost::Routing
{
using Settings::Field;

std::string OrganisationFor(const Settings::Tree& tree, const std::string& hall,
                            const std::string& service, const std::string& credential)
{
  const std::string hash = Common::Sha256(credential).ToHex();
  const std::string region = Settings::RegionOf(tree, hall);
  // Only an organisation for which some node states the credential can have it here.
  std::set<std::string> candidates;
  for (const auto& [path, node] : tree)
  {
    const auto stated = node.values.find(Field::CredentialSha256);
    if (stated != node.values.end() && Settings::ValueText(stated->second) == hash)
      candidates.insert(path.Segment(Settings::Level::Organisation));
  }
  for (const std::string& organisation : candidates)
  {
    const Settings::Effective effective(tree,
                                        Settings::MakePlace(region, hall, service, organisation));
    if (effective.Text(Field::CredentialSha256) == hash && effective.Flag(Field::Enabled))
      return organisation;
  }
  return "";
}

std::string ServiceForModel(const std::vector<Placement::ServicePlan>& plans,
                            const std::string& model)
{
  for (const Placement::ServicePlan& plan : plans)
  {
    if (plan.is_model && plan.model == model)
      return plan.service;
  }
  return "";
}
} // namespace Holdpost::Routing
