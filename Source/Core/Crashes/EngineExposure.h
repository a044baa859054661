// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Crashes/CauseInference.h"

// Tells a part that ends engines from one that engines had by coincidence when they ended. An
// engine that runs a crashing part ends soon after it gets it; one that is ended by something else
// had a sound part for some of its time only.
namespace Holdpost::Crashes
{
// The ends of engines since they first got a part, and the time for which they had requests.
struct EngineExposure
{
  // Engines that end together are one end. It is one with the part if each of them had it.
  std::size_t ends_with = 0;
  std::size_t ends_without = 0;
  // The time, summed over engines, for which an engine had requests of the part, and for which it
  // had other requests only.
  Common::Duration time_with{};
  Common::Duration time_without{};
  // The share of all engines known to have ended, also before they first got the part, that had it.
  double share_of_engines = 0;
};

// `crashes` are those of the part. Ends that are explained do not count. Empty if it is not known
// when the lost requests were sent.
std::optional<EngineExposure> ExposureTo(const std::vector<EngineCrash>& crashes,
                                         const FleetOutcomes& outcomes,
                                         const std::set<EngineRun>& explained);
// The probability that so many of the ends, or more, are ends with the part if engines end at the
// same rate with and without it.
double CoincidenceOf(const EngineExposure& exposure);
} // namespace Holdpost::Crashes
