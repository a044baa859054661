// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Hash.h"
#include "Core/Settings/Tree.h"

// Which instances of a hall serve which service. Everyone computes it alone from the tree and the
// hall's own view; rendezvous hashing moves little when one instance goes.
namespace Holdpost::Placement
{
// A service as the tree states it for one hall.
struct ServicePlan
{
  std::string service;
  std::string pool;
  std::uint32_t replicas = 0; // 0: the whole pool
  bool is_model = true;
  std::string model;
  Common::Digest version; // zero for plain services

  bool operator==(const ServicePlan&) const = default;
};

struct Candidate
{
  std::string instance;
  std::string pool;
};

// The enabled services of a hall, by name.
std::vector<ServicePlan> PlansFor(const Settings::Tree& tree, const std::string& hall);

// The service of each instance. An instance serves one service at a time: engines hold one model's
// weights. Services take their instances in the order of their names.
std::map<std::string, std::string> Place(const std::vector<ServicePlan>& plans,
                                         const std::vector<Candidate>& candidates);

// An agent anywhere in the deployment.
struct PlacedAgent
{
  std::string instance;
  std::string hall;
  std::string pool;
};

// The version of weights that the tree wants at each agent of every hall; agents that want none are
// left out.
std::map<std::string, Common::Digest> WantedVersions(const Settings::Tree& tree,
                                                     const std::vector<PlacedAgent>& agents);
} // namespace Holdpost::Placement
