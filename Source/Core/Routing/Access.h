// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Core/Placement/Placement.h"
#include "Core/Settings/Tree.h"

// Who may ask for what, as the tree states it.
namespace Holdpost::Routing
{
// The organisation that a credential belongs to at a hall and service; empty if it is nobody's or
// the organisation is barred there. Compares the hash of the credential only.
std::string OrganisationFor(const Settings::Tree& tree, const std::string& hall,
                            const std::string& service, const std::string& credential);
// The service that answers for a model, of a hall's services; empty if none does.
std::string ServiceForModel(const std::vector<Placement::ServicePlan>& plans,
                            const std::string& model);
} // namespace Holdpost::Routing
