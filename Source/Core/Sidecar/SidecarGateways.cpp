// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>

// How a sidecar finds the gateways of its hall, and how it processes their hellos.
namespace Holdpost::Sidecar
{
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

// If no gateway of the hall sends a message for this time, the sidecar asks the platform.
static constexpr Milliseconds ISOLATION_TIMEOUT = Milliseconds(1500);
// Gateways send a hello to the sidecars of their hall every 400 ms. If no gateway of the hall has
// sent a message for this time, the sidecar searches for one.
static constexpr Milliseconds SEARCH_TIMEOUT = Milliseconds(900);
// A seed answers with a list of gateways. The sidecar asks at most this number of them for a
// briefing: more than one, because a gateway may have just ended.
static constexpr std::size_t MAX_BRIEFING_REQUESTS = 2;

void Sidecar::OnHello(const Mesh::Sender& from, const Mesh::Hello& hello, TimePoint now,
                      Actions* actions)
{
  if (!hello.is_gateway)
    return;
  KnownGateway& gateway = m_gateways[from.address];
  gateway.hall = from.hall;
  gateway.settings = hello.settings;
  gateway.clock = hello.clock;
  gateway.wants_load = hello.wants_load;
  gateway.demand = hello.demand;
  gateway.near_gateways = hello.near_gateways;
  gateway.last_seen = now;
  gateway.last_hello = now;
  CompareCrashes(from.address, hello.crashes, now, actions);
  OnBriefing(hello, now, actions);
  for (const Mesh::AdvertisedVersion& reported : hello.weights)
    OnWeights(reported.named, reported.Since(now));
  if (from.hall == m_options.hall && HasPlan())
    m_versions_reported_until = now;
  ChooseVersion(now, actions);
}

void Sidecar::OnBriefing(const Mesh::Hello& hello, TimePoint now, Actions* actions)
{
  if (hello.plan.model.empty())
    return;
  if (hello.stamp.settings >= m_stamp.settings)
  {
    m_stamp.settings = hello.stamp.settings;
    OnPlan(hello.plan, now);
  }
  if (hello.stamp.targets >= m_stamp.targets && !hello.peers.empty())
  {
    m_stamp.targets = hello.stamp.targets;
    OnPeers(hello.peers, now, actions);
  }
}

bool Sidecar::IsIsolated(TimePoint now) const
{
  // After the sidecar starts, gateways have the same time to send their first message.
  if (!m_started_at || now - *m_started_at < ISOLATION_TIMEOUT)
    return false;
  return !HasSeenGateway(ISOLATION_TIMEOUT, now);
}

bool Sidecar::HasSeenGateway(Common::Duration within, TimePoint now) const
{
  return std::ranges::any_of(
      m_gateways, [&](const auto& entry)
      { return entry.second.hall == m_options.hall && now - entry.second.last_seen < within; });
}

void Sidecar::SearchGateways(TimePoint now, Actions* actions)
{
  for (const Address& seed : m_search.OnTick(HasPlan() && HasSeenGateway(SEARCH_TIMEOUT, now), now))
    actions->push_back(SendMessage{seed, Mesh::GatewaysRequest{false}, true});
}

void Sidecar::RequestBriefings(const std::vector<Address>& gateways, Actions* actions)
{
  // Other sidecars of the hall send such requests, too, so each sidecar starts at a different
  // position of the list.
  const std::size_t first = Common::StableHash(m_options.address.ToString());
  for (std::size_t i = 0; i < std::min(gateways.size(), MAX_BRIEFING_REQUESTS); ++i)
  {
    const Address& gateway = gateways[(first + i) % gateways.size()];
    actions->push_back(SendMessage{gateway, Mesh::BriefingRequest{}, true});
  }
}
} // namespace Holdpost::Sidecar
