// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/GatewayMembership.h"

namespace Holdpost::Mesh
{
using Common::Address;
using Common::TimePoint;

bool GatewayMembership::OnNamed(const std::vector<Address>& gateways, TimePoint now)
{
  return m_others.OnListed(gateways, now);
}

Gateway::GatewayCounts GatewayMembership::OnCounted(std::size_t all, TimePoint now)
{
  m_near = m_others.Others(now).size() + 1;
  return {m_count.OnReported(all, now), m_near};
}

TellGateways GatewayMembership::OnAsked(const Sender& from, const AskGateways& ask, TimePoint now)
{
  const bool is_near = from.hall == m_hall;
  TellGateways answer{m_directory.Of(from.hall, from.address, now)};
  if (is_near)
    answer.gateways.push_back(m_self);
  if (ask.is_gateway)
    m_directory.OnGatewayAsked(from, now);
  if (ask.is_gateway && is_near)
    m_others.OnListed({from.address}, now);
  return answer;
}
} // namespace Holdpost::Mesh
