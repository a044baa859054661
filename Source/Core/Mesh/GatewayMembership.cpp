// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/GatewayMembership.h"

namespace Holdpost::Mesh
{
using Common::Address;
using Common::TimePoint;

bool GatewayMembership::OnGatewaysListed(const std::vector<Address>& gateways, TimePoint now)
{
  return m_others.OnListed(gateways, now);
}

Gateway::GatewayCounts GatewayMembership::OnGatewaysCounted(std::size_t all, TimePoint now)
{
  m_hall_gateway_count = m_others.Others(now).size() + 1;
  return {m_count.OnReported(all, now), m_hall_gateway_count, m_retry_sharers.OnReported(all, now)};
}

GatewaysReply GatewayMembership::OnGatewaysRequest(const Sender& from, const GatewaysRequest& ask,
                                                   TimePoint now)
{
  const bool is_same_hall = from.hall == m_hall;
  GatewaysReply answer{m_directory.GatewaysOf(from.hall, from.address, now)};
  if (is_same_hall)
    answer.gateways.push_back(m_self);
  if (ask.is_gateway)
    m_directory.OnGatewayRequest(from, now);
  if (ask.is_gateway && is_same_hall)
    m_others.OnListed({from.address}, now);
  return answer;
}
} // namespace Holdpost::Mesh
