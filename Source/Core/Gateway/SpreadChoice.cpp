// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/SpreadChoice.h"

#include <algorithm>

namespace Holdpost::Gateway
{
using Common::Duration;

// The cost level that the cheapest options reach when the volume is added to them (water filling).
// Sorts the costs.
static double FillLevel(std::vector<double>& costs, double volume)
{
  std::ranges::sort(costs);
  double level = costs.front();
  double sum = 0;
  for (std::size_t i = 0; i < costs.size(); ++i)
  {
    sum += costs[i];
    level = (volume + sum) / static_cast<double>(i + 1);
    if (i + 1 == costs.size() || level <= costs[i + 1])
      break;
  }
  return level;
}

static double Count(Duration time)
{
  return static_cast<double>(time.count());
}

// The volume that gateways of other halls send to targets of this hall. They choose a target here
// only if it is cheaper for them than all targets in their own halls.
static double VolumeFromFar(const std::vector<SpreadOption>& options, const Spread& spread)
{
  if (spread.far_arrivals <= 0)
    return 0;
  const double penalty = Count(spread.far_penalty);
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const SpreadOption& option : options)
    costs.push_back(Count(option.cost) - (option.is_near ? 0 : penalty));
  const double arrivals = spread.near_arrivals + spread.far_arrivals;
  const double level = FillLevel(costs, arrivals * Count(spread.cost_of_one));
  double volume = 0;
  for (const SpreadOption& option : options)
  {
    if (option.is_near)
      volume += std::max(level - penalty - Count(option.cost), 0.0);
  }
  return volume;
}

double AdmittedPart(const std::vector<SpreadOption>& options, const Spread& spread, Duration limit)
{
  const double one = Count(spread.cost_of_one);
  const double volume = (1 + spread.near_arrivals) * one + VolumeFromFar(options, spread);
  double room = 0;
  for (const SpreadOption& option : options)
    room += std::max(Count(limit + spread.worked_off - option.cost), 0.0);
  return volume > 0 ? std::min(std::max(room, one) / volume, 1.0) : 1.0;
}

std::size_t ChooseSpread(const std::vector<SpreadOption>& options, const Spread& spread,
                         double draw)
{
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const SpreadOption& option : options)
    costs.push_back(Count(option.cost));
  const double volume =
      spread.near_arrivals * Count(spread.cost_of_one) + VolumeFromFar(options, spread);
  const double level = FillLevel(costs, volume);
  double left = draw * volume;
  for (std::size_t i = 0; i < options.size(); ++i)
  {
    left -= std::max(level - Count(options[i].cost), 0.0);
    if (left < 0)
      return i;
  }
  return static_cast<std::size_t>(std::ranges::min_element(options, {}, &SpreadOption::cost) -
                                  options.begin());
}
} // namespace Holdpost::Gateway
