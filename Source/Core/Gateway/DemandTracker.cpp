// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/DemandTracker.h"

#include <algorithm>
#include <cmath>

namespace Holdpost::Gateway
{
using Common::TimePoint;

static constexpr double RATE_DECAY_SECONDS = 1;
// The age up to which reports on the other gateways' demand are used.
static constexpr Common::Milliseconds REPORT_LIFETIME = Common::Milliseconds(2000);
// With fewer arrivals per second, the refused share is too uncertain to be used.
static constexpr double MIN_ARRIVALS_PER_SECOND = 1;
// The fairness weight is the ratio of the share of requests that the other gateways serve to the
// share that this gateway serves, raised to this exponent and limited to this maximum, and to its
// reciprocal as the minimum.
static constexpr double FAIRNESS_EXPONENT = 2;
static constexpr double MAX_FAIRNESS_WEIGHT = 10;
// Added to each served share of all requests, so that a gateway that serves none can be compared.
static constexpr double SERVED_SHARE_OFFSET = 0.05;

void EventRate::OnEvent(TimePoint now)
{
  m_rate = At(now) + 1 / RATE_DECAY_SECONDS;
  m_updated = now;
}

double EventRate::At(TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - m_updated).count();
  return m_rate * std::exp(-age / RATE_DECAY_SECONDS);
}

const DemandTracker::Service* DemandTracker::Find(const std::string& service) const
{
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : &found->second;
}

void DemandTracker::OnArrival(const std::string& service, TimePoint now)
{
  m_services[service].arrivals.OnEvent(now);
}

void DemandTracker::OnRefused(const std::string& service, TimePoint now)
{
  m_services[service].refusals.OnEvent(now);
}

void DemandTracker::OnDemandReport(const std::string& service, const GatewayDemand& demand,
                                   TimePoint now)
{
  Service& tracked = m_services[service];
  tracked.reported = demand;
  tracked.reported_at = now;
}

double DemandTracker::ArrivalsPerSecond(const std::string& service, TimePoint now) const
{
  const Service* tracked = Find(service);
  return tracked ? tracked->arrivals.At(now) : 0;
}

double DemandTracker::RefusedShare(const std::string& service, TimePoint now) const
{
  const Service* tracked = Find(service);
  if (!tracked || tracked->arrivals.At(now) < MIN_ARRIVALS_PER_SECOND)
    return 0;
  return std::min(tracked->refusals.At(now) / tracked->arrivals.At(now), 1.0);
}

GatewayDemand DemandTracker::TotalDemand(const std::string& service, const GatewayCounts& gateways,
                                         TimePoint now) const
{
  const Service* tracked = Find(service);
  if (tracked && now - tracked->reported_at <= REPORT_LIFETIME &&
      tracked->reported.same_hall_per_second > 0)
    return tracked->reported;
  // Without reports, each other gateway is assumed to have as many arrivals as this one.
  const double local_arrivals = ArrivalsPerSecond(service, now);
  return {local_arrivals * static_cast<double>(gateways.same_hall),
          local_arrivals * static_cast<double>(gateways.OtherHallGatewaysPerTarget()),
          RefusedShare(service, now)};
}

double DemandTracker::FairnessWeight(const std::string& service, TimePoint now) const
{
  const Service* tracked = Find(service);
  if (!tracked || now - tracked->reported_at > REPORT_LIFETIME)
    return 1;
  const double served_by_others = 1 - tracked->reported.refused_share + SERVED_SHARE_OFFSET;
  const double served_locally = 1 - RefusedShare(service, now) + SERVED_SHARE_OFFSET;
  return std::clamp(std::pow(served_by_others / served_locally, FAIRNESS_EXPONENT),
                    1 / MAX_FAIRNESS_WEIGHT, MAX_FAIRNESS_WEIGHT);
}
} // namespace Holdpost::Gateway
