// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/GatewayDirectory.h"

namespace Holdpost::Mesh
{
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

// Gateways that read the platform send a request every two seconds, and two of these may be lost.
static constexpr Milliseconds LIFETIME = Milliseconds(6500);
// More addresses would not fit into one datagram, and a new process needs only some of them.
static constexpr std::size_t MAX_LISTED_GATEWAYS = 40;

void GatewayDirectory::OnGatewayRequest(const Sender& gateway, TimePoint now)
{
  m_requested_at[gateway.hall][gateway.address] = now;
}

std::vector<Address> GatewayDirectory::GatewaysOf(const std::string& hall, const Address& except,
                                                  TimePoint now)
{
  const auto found = m_requested_at.find(hall);
  if (found == m_requested_at.end())
    return {};
  std::erase_if(found->second, [now](const auto& entry) { return now - entry.second > LIFETIME; });
  std::vector<Address> listed;
  for (const auto& [gateway, requested_at] : found->second)
  {
    if (gateway != except && listed.size() < MAX_LISTED_GATEWAYS)
      listed.push_back(gateway);
  }
  return listed;
}
} // namespace Holdpost::Mesh
