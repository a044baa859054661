// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Common/Types.h"
#include "Core/Gateway/Target.h"
#include "Core/Gateway/TargetReach.h"

// How many requests come to this gateway and to those that send to the same targets, and how many
// are refused.
namespace Holdpost::Gateway
{
// Events a second, of about the last second.
class EventRate
{
public:
  void OnEvent(Common::TimePoint now);
  double At(Common::TimePoint now) const;

private:
  double m_rate = 0;
  Common::TimePoint m_updated{};
};

class DemandWatch
{
public:
  void OnArrival(const std::string& service, Common::TimePoint now);
  void OnRefused(const std::string& service, Common::TimePoint now);
  // What the agent beside a target of the own hall says of the gateways that send there.
  void OnTold(const std::string& service, const GatewayDemand& demand, Common::TimePoint now);

  double ArrivalsPerSecond(const std::string& service, Common::TimePoint now) const;
  double RefusedShare(const std::string& service, Common::TimePoint now) const;
  // What comes to all gateways of the hall and to those of others that send to one target here.
  GatewayDemand Around(const std::string& service, const GatewayCounts& gateways,
                       Common::TimePoint now) const;
  // Over 1 if this gateway refuses more than the others do, so that it comes first.
  double FairnessWeight(const std::string& service, Common::TimePoint now) const;

private:
  struct Service
  {
    EventRate arrivals;
    EventRate refusals;
    GatewayDemand told;
    Common::TimePoint told_at{};
  };

  const Service* Find(const std::string& service) const;

  std::map<std::string, Service> m_services;
};
} // namespace Holdpost::Gateway
