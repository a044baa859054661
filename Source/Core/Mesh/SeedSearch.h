// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <vector>

#include "Common/Types.h"

// Asks seeds for the gateways of the local hall until a gateway is known that can help. A seed is
// the address of a gateway from the settings; it may be stale.
namespace Holdpost::Mesh
{
class SeedSearch
{
public:
  explicit SeedSearch(std::vector<Common::Address> seeds) : m_seeds(std::move(seeds)) {}

  void SetSeeds(std::vector<Common::Address> seeds) { m_seeds = std::move(seeds); }
  // Returns the seeds to ask now. `is_gateway_known` means that a gateway that can help has sent a
  // message recently.
  std::vector<Common::Address> OnTick(bool is_gateway_known, Common::TimePoint now);
  Common::TimePoint NextWakeup() const;

private:
  std::vector<Common::Address> m_seeds;
  // The time since which no such gateway is known; empty while one is.
  std::optional<Common::TimePoint> m_searching_since;
  Common::TimePoint m_due{};
};
} // namespace Holdpost::Mesh
