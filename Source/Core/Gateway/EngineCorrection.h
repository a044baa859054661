// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstddef>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

// What the starts of answers show of an engine's published times. Times that are published wrongly
// would let a gateway refuse what could begin in time, or send what cannot.
namespace Holdpost::Gateway
{
class EngineCorrection
{
public:
  // A request began after `took`, where the published times foretold `published`.
  void OnStart(Common::Duration published, Common::Duration took);
  // What the published times are to be multiplied by.
  double Factor() const { return m_factor; }
  // Whether a change of the factor is worth a line in the log.
  static bool IsNotable(double before, double after);

private:
  // Of the last starts: the median of so many is within a tenth of the true one while single ones
  // differ by half, and a gateway with 16 starts a second sees them all in two seconds.
  static constexpr std::size_t STARTS_KEPT = 33;

  std::array<double, STARTS_KEPT> m_ratios{};
  std::size_t m_count = 0;
  double m_factor = 1;
};

// The profile with all of its times multiplied by the factor.
Settings::EngineProfile Corrected(const Settings::EngineProfile& published, double factor);
} // namespace Holdpost::Gateway
