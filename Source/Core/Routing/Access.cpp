// SPDX-License-Identifier: Apache-2.0
#include "Core/Routing/Access.h"

#include "Common/Hash.h"
#include "Core/Placement/Placement.h"
#include "Core/Settings/Effective.h"

namespace Holdpost::Routing
{
using Settings::Field;

std::string OrganisationFor(const Settings::Tree& tree, const std::string& hall,
                            const std::string& service, const std::string& credential)
{
  const std::string hash = Common::Sha256(credential).ToHex();
  const std::string region = Settings::RegionOf(tree, hall);
  for (const std::string& organisation : Settings::OrganisationsOf(tree, hall, service))
  {
    const Settings::Effective effective(tree,
                                        Settings::MakePlace(region, hall, service, organisation));
    if (effective.Text(Field::CredentialSha256) == hash && effective.Flag(Field::Enabled))
      return organisation;
  }
  return "";
}

std::string ServiceForModel(const Settings::Tree& tree, const std::string& hall,
                            const std::string& model)
{
  for (const Placement::ServicePlan& plan : Placement::PlansFor(tree, hall))
  {
    if (plan.is_model && plan.model == model)
      return plan.service;
  }
  return "";
}
} // namespace Holdpost::Routing
