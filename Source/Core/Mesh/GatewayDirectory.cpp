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
static constexpr std::size_t NAMED_MOST = 40;

void GatewayDirectory::OnGatewayAsked(const Sender& gateway, TimePoint now)
{
  m_asked_at[gateway.hall][gateway.address] = now;
}

std::vector<Address> GatewayDirectory::Of(const std::string& hall, const Address& except,
                                          TimePoint now)
{
  const auto found = m_asked_at.find(hall);
  if (found == m_asked_at.end())
    return {};
  std::erase_if(found->second, [now](const auto& entry) { return now - entry.second > LIFETIME; });
  std::vector<Address> named;
  for (const auto& [gateway, asked_at] : found->second)
  {
    if (gateway != except && named.size() < NAMED_MOST)
      named.push_back(gateway);
  }
  return named;
}
} // namespace Holdpost::Mesh
