// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Gateway/TargetSubset.h"
#include "Core/Mesh/GatewayCount.h"
#include "Core/Mesh/GatewayDirectory.h"
#include "Core/Mesh/HallGateways.h"
#include "Core/Mesh/MeshMessages.h"
#include "Core/Mesh/SeedSearch.h"

// What a gateway knows of the other gateways: the addresses of those in its own hall, and the
// number of those in all halls. After a start the addresses come from seeds, later from sidecars.
namespace Holdpost::Mesh
{
class GatewayMembership
{
public:
  GatewayMembership(const Common::Address& self, std::string hall,
                    std::vector<Common::Address> seeds)
      : m_self(self), m_hall(std::move(hall)), m_others(self), m_search(std::move(seeds))
  {
  }

  void SetSeeds(std::vector<Common::Address> seeds) { m_search.SetSeeds(std::move(seeds)); }
  // Adds gateways of the local hall, as other processes list them or as they announce themselves.
  // Returns whether one of them was not known.
  bool OnGatewaysListed(const std::vector<Common::Address>& gateways, Common::TimePoint now);
  // Applies a sidecar's count of the gateways of all halls; returns the counts that are in use.
  Gateway::GatewayCounts OnGatewaysCounted(std::size_t all, Common::TimePoint now);
  // Answers a process that asks for the gateways of its hall.
  GatewaysReply OnGatewaysRequest(const Sender& from, const GatewaysRequest& ask,
                                  Common::TimePoint now);

  // The other gateways of the local hall.
  std::vector<Common::Address> Others(Common::TimePoint now) { return m_others.Others(now); }
  // The number of gateways of the local hall, including this one, at the time of the last count.
  std::size_t HallGatewayCount() const { return m_hall_gateway_count; }
  // The seeds to ask for other gateways now, as long as no reader's heartbeat is received.
  std::vector<Common::Address> SeedsToAsk(bool knows_reader, Common::TimePoint now)
  {
    return m_search.OnTick(knows_reader, now);
  }
  Common::TimePoint NextWakeup() const { return m_search.NextWakeup(); }

private:
  static constexpr Common::Milliseconds COUNT_WINDOW = Common::Milliseconds(2000);
  static constexpr Common::Duration RETRY_SHARERS_WINDOW = std::chrono::minutes(15);

  Common::Address m_self;
  std::string m_hall;
  HallGateways m_others;
  GatewayCount m_count{COUNT_WINDOW};
  // Gateways that are cut off go on using their shares, for as long as the cut lasts.
  GatewayCount m_retry_sharers{RETRY_SHARERS_WINDOW};
  std::size_t m_hall_gateway_count = 1;
  GatewayDirectory m_directory;
  SeedSearch m_search;
};
} // namespace Holdpost::Mesh
