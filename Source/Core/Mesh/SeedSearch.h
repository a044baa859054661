// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <vector>

#include "Common/Types.h"

// Asks seeds for the gateways of the own hall for as long as none that helps is known. A seed is
// the address of some gateway from the settings; it may be stale.
namespace Holdpost::Mesh
{
class SeedSearch
{
public:
  explicit SeedSearch(std::vector<Common::Address> seeds) : m_seeds(std::move(seeds)) {}

  void SetSeeds(std::vector<Common::Address> seeds) { m_seeds = std::move(seeds); }
  // The seeds that are to be asked now. `is_found`: a gateway that helps has sent something of
  // late.
  std::vector<Common::Address> OnTick(bool is_found, Common::TimePoint now);
  Common::TimePoint NextWakeup() const;

private:
  std::vector<Common::Address> m_seeds;
  // Since when nothing was found; empty while something is.
  std::optional<Common::TimePoint> m_since;
  Common::TimePoint m_due{};
};
} // namespace Holdpost::Mesh
