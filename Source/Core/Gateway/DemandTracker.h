// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/Types.h"
#include "Core/Gateway/Target.h"
#include "Core/Gateway/TargetSubset.h"

// Tracks the rates of arrivals and refusals at this gateway, and at all gateways that send to the
// same targets.
namespace Holdpost::Gateway
{
// A rate of events per second, averaged over about the last second.
class EventRate
{
public:
  void OnEvent(Common::TimePoint now);
  double At(Common::TimePoint now) const;

private:
  double m_rate = 0;
  Common::TimePoint m_updated{};
};

class DemandTracker
{
public:
  void OnArrival(const std::string& service, Common::TimePoint now);
  void OnRefused(const std::string& service, Common::TimePoint now);
  // Records the demand at the gateways that send to a target of this hall, as the target's agent
  // reports it.
  void OnDemandReport(const std::string& service, const GatewayDemand& demand,
                      Common::TimePoint now);

  double ArrivalsPerSecond(const std::string& service, Common::TimePoint now) const;
  double RefusedShare(const std::string& service, Common::TimePoint now) const;
  // The demand at all gateways of this hall, and at the gateways of other halls that send to one
  // target of this hall.
  GatewayDemand TotalDemand(const std::string& service, const GatewayCounts& gateways,
                            Common::TimePoint now) const;
  // The weight of this gateway's requests in admission: above 1 if it refuses a larger share than
  // the other gateways, so that its requests are admitted more often.
  double FairnessWeight(const std::string& service, Common::TimePoint now) const;

private:
  struct Service
  {
    EventRate arrivals;
    EventRate refusals;
    GatewayDemand reported;
    Common::TimePoint reported_at{};
  };

  const Service* Find(const std::string& service) const;

  std::map<std::string, Service> m_services;
};
} // namespace Holdpost::Gateway
