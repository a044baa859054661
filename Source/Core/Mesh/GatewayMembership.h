// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Gateway/TargetReach.h"
#include "Core/Mesh/GatewayCount.h"
#include "Core/Mesh/GatewayDirectory.h"
#include "Core/Mesh/HallGateways.h"
#include "Core/Mesh/MeshMessages.h"
#include "Core/Mesh/SeedSearch.h"

// What a gateway knows of the others: those of its own hall by address, those of all halls by
// count. Seeds name them after a start, and sidecars from then on.
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
  // Gateways of the own hall, as others name them or they do so themselves. Returns whether one of
  // them was not known.
  bool OnNamed(const std::vector<Common::Address>& gateways, Common::TimePoint now);
  // A sidecar has counted the gateways of all halls; returns the counts in force.
  Gateway::GatewayCounts OnCounted(std::size_t all, Common::TimePoint now);
  // A process asks for the gateways of its hall.
  TellGateways OnAsked(const Sender& from, const AskGateways& ask, Common::TimePoint now);

  // The others of the own hall.
  std::vector<Common::Address> Others(Common::TimePoint now) { return m_others.Others(now); }
  // Those of the own hall, this one included, when they were last counted.
  std::size_t Near() const { return m_near; }
  // Seeds to ask for the others, as long as no beat of a reader comes.
  std::vector<Common::Address> SeedsToAsk(bool knows_reader, Common::TimePoint now)
  {
    return m_search.OnTick(knows_reader, now);
  }
  Common::TimePoint NextWakeup() const { return m_search.NextWakeup(); }

private:
  Common::Address m_self;
  std::string m_hall;
  HallGateways m_others;
  GatewayCount m_count;
  std::size_t m_near = 1;
  GatewayDirectory m_directory;
  SeedSearch m_search;
};
} // namespace Holdpost::Mesh
