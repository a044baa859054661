// SPDX-License-Identifier: Apache-2.0
#include "Node/MeshPlan.h"

#include <algorithm>

namespace Holdpost::Node
{
std::optional<Mesh::WeightsPlan> PlanOf(const Settings::Document& document,
                                        const std::string& service)
{
  for (const Settings::ServiceSettings& settings : document.services)
  {
    if (settings.models.empty() || (!service.empty() && settings.name != service))
      continue;
    const Settings::ModelSettings& model = settings.models.front();
    Mesh::WeightsPlan plan{
        settings.name, model.name, model.pieces, model.piece_bytes, model.warm_up, {}, ""};
    if (document.origin)
    {
      plan.origin = document.origin->address;
      plan.origin_hall = document.origin->hall;
      plan.origin_bytes_per_second = document.origin->bytes_per_second;
    }
    plan.health_path = settings.health_path;
    plan.layers = model.layers;
    return plan;
  }
  return std::nullopt;
}

std::vector<Mesh::Peer> SidecarsOf(const std::vector<Gateway::ListedTarget>& targets,
                                   const std::string& service, std::uint16_t port)
{
  std::vector<Mesh::Peer> peers;
  for (const Gateway::ListedTarget& target : targets)
  {
    if (target.service == service)
      peers.push_back({{target.address.host, port}, target.hall});
  }
  std::ranges::sort(peers);
  peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
  return peers;
}

std::vector<Common::Address> MeshAddressesOf(const std::vector<Common::Address>& seeds,
                                             const Common::Address& self)
{
  std::vector<Common::Address> peers;
  for (const Common::Address& seed : seeds)
  {
    if (seed.host != self.host)
      peers.push_back({seed.host, self.port});
  }
  return peers;
}
} // namespace Holdpost::Node
