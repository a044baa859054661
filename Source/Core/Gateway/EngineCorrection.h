// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <array>
#include <cstddef>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

// Measures by how much an engine's published times differ from the times at which its answers
// start. With wrong published times a gateway would refuse requests that can start in time, or send
// requests that cannot.
namespace Holdpost::Gateway
{
class EngineCorrection
{
public:
  // Records that an answer started after `measured`, where the published times predict `published`.
  void OnStart(Common::Duration published, Common::Duration measured);
  // The factor by which the published times have to be multiplied.
  double Factor() const { return m_factor; }
  // Whether a change of the factor is large enough for a log event.
  static bool IsNotable(double before, double after);

private:
  // The number of most recent starts whose ratios are kept. The median of this many ratios is
  // within a tenth of the true value while single ratios differ by half, and a gateway with 16
  // starts per second collects this many in about two seconds.
  static constexpr std::size_t KEPT_STARTS = 33;

  std::array<double, KEPT_STARTS> m_ratios{};
  std::size_t m_count = 0;
  double m_factor = 1;
};

// Returns the profile with all its times multiplied by the factor.
Settings::EngineProfile Corrected(const Settings::EngineProfile& published, double factor);
} // namespace Holdpost::Gateway
