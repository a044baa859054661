// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/DemandWatch.h"

#include <algorithm>
#include <cmath>

namespace Holdpost::Gateway
{
using Common::TimePoint;

static constexpr double RATE_LIFETIME_SECONDS = 1;
// The age up to which reports on the other gateways' demand are used.
static constexpr Common::Milliseconds TOLD_LIFETIME = Common::Milliseconds(2000);
// With fewer arrivals per second, the refused share is too uncertain to be used.
static constexpr double ARRIVALS_LEAST = 1;
// The exponent of the fairness weight, which favours a gateway that serves a smaller share than the
// other gateways, and the maximum of that weight.
static constexpr double FAIRNESS_POWER = 2;
static constexpr double FAIRNESS_MOST = 10;
// Added to each served share of all requests, so that a gateway that serves none can be compared.
static constexpr double SERVED_LEAST = 0.05;

void EventRate::OnEvent(TimePoint now)
{
  m_rate = At(now) + 1 / RATE_LIFETIME_SECONDS;
  m_updated = now;
}

double EventRate::At(TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - m_updated).count();
  return m_rate * std::exp(-age / RATE_LIFETIME_SECONDS);
}

const DemandWatch::Service* DemandWatch::Find(const std::string& service) const
{
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

void DemandWatch::OnArrival(const std::string& service, TimePoint now)
{
  m_services[service].arrivals.OnEvent(now);
}

void DemandWatch::OnRefused(const std::string& service, TimePoint now)
{
  m_services[service].refusals.OnEvent(now);
}

void DemandWatch::OnTold(const std::string& service, const GatewayDemand& demand, TimePoint now)
{
  Service& watched = m_services[service];
  watched.told = demand;
  watched.told_at = now;
}

double DemandWatch::ArrivalsPerSecond(const std::string& service, TimePoint now) const
{
  const Service* watched = Find(service);
  return watched ? watched->arrivals.At(now) : 0;
}

double DemandWatch::RefusedShare(const std::string& service, TimePoint now) const
{
  const Service* watched = Find(service);
  if (!watched || watched->arrivals.At(now) < ARRIVALS_LEAST)
    return 0;
  return std::min(watched->refusals.At(now) / watched->arrivals.At(now), 1.0);
}

GatewayDemand DemandWatch::Around(const std::string& service, const GatewayCounts& gateways,
                                  TimePoint now) const
{
  const Service* watched = Find(service);
  if (watched && now - watched->told_at <= TOLD_LIFETIME && watched->told.near_per_second > 0)
    return watched->told;
  // Without reports, each other gateway is assumed to have as many arrivals as this one.
  const double own = ArrivalsPerSecond(service, now);
  return {own * static_cast<double>(gateways.near),
          own * static_cast<double>(gateways.FarUsersOfTarget()), RefusedShare(service, now)};
}

double DemandWatch::FairnessWeight(const std::string& service, TimePoint now) const
{
  const Service* watched = Find(service);
  if (!watched || now - watched->told_at > TOLD_LIFETIME)
    return 1;
  const double others = 1 - watched->told.refused_share + SERVED_LEAST;
  const double own = 1 - RefusedShare(service, now) + SERVED_LEAST;
  return std::clamp(std::pow(others / own, FAIRNESS_POWER), 1 / FAIRNESS_MOST, FAIRNESS_MOST);
}
} // namespace Holdpost::Gateway
