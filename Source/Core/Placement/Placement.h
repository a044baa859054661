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
  Common::Digest version;        // zero for plain services
  std::uint32_t switch_most = 0; // 0: no limit

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

// An agent as an entry of its hall sees it, for the order of loading.
struct LoadCandidate
{
  std::string instance;
  bool is_loading = false;
  // It was let load before and did not get done in time.
  bool is_overdue = false;
};

// Who of those that still have to load a version may do so now. Those that load already come first,
// those that are overdue last, the rest in an order that all entries compute alike; at most `most`
// in all, 0 for no limit.
std::vector<std::string> MayLoadNow(std::vector<LoadCandidate> waiting,
                                    const Common::Digest& version, std::uint32_t most);

// The version of weights that the tree wants at each agent of every hall; agents that want none are
// left out.
std::map<std::string, Common::Digest> WantedVersions(const Settings::Tree& tree,
                                                     const std::vector<PlacedAgent>& agents);
} // namespace Holdpost::Placement
