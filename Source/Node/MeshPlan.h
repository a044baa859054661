// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Mesh/MeshMessages.h"
#include "Core/Settings/Document.h"

// What sidecars need to know of a settings document and of the list of targets.
namespace Holdpost::Node
{
// The plan of the first service with a model, or of the one named.
std::optional<Mesh::WeightsPlan> PlanOf(const Settings::Document& document,
                                        const std::string& service = "");
// The sidecars of the service's targets: each stands on its target's machine and listens on `port`.
std::vector<Mesh::Peer> SidecarsOf(const std::vector<Gateway::ListedTarget>& targets,
                                   const std::string& service, std::uint16_t port);
} // namespace Holdpost::Node
