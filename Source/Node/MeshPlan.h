// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Core/Mesh/MeshMessages.h"
#include "Core/Settings/Document.h"

// What a settings file, a settings document and the list of targets mean for the mesh.
namespace Holdpost::Node
{
// The plan of the first service with a model, or of the one named.
std::optional<Mesh::WeightsPlan> PlanOf(const Settings::Document& document,
                                        const std::string& service = "");
// Where the seeds take mesh messages, `self` left out. Seeds name any port of their machine; all
// processes take mesh messages at the same one.
std::vector<Common::Address> MeshAddressesOf(const std::vector<Common::Address>& seeds,
                                             const Common::Address& self);
// The sidecars of the service's targets: each stands on its target's machine and listens on `port`.
std::vector<Mesh::Peer> SidecarsOf(const std::vector<Gateway::ListedTarget>& targets,
                                   const std::string& service, std::uint16_t port);
} // namespace Holdpost::Node
