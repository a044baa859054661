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

static double Ticks(Duration time)
{
  return static_cast<double>(time.count());
}

// The volume that gateways of other halls send to targets of this hall. They choose a target here
// only if it is cheaper for them than all targets in their own halls.
static double VolumeFromOtherHalls(const std::vector<SpreadOption>& options,
                                   const SpreadParameters& spread)
{
  if (spread.other_halls_arrivals <= 0)
    return 0;
  const double penalty = Ticks(spread.other_halls_penalty);
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const SpreadOption& option : options)
    costs.push_back(Ticks(option.cost) - (option.is_same_hall ? 0 : penalty));
  const double arrivals = spread.same_hall_arrivals + spread.other_halls_arrivals;
  const double level = FillLevel(costs, arrivals * Ticks(spread.cost_per_request));
  double volume = 0;
  for (const SpreadOption& option : options)
  {
    if (option.is_same_hall)
      volume += std::max(level - penalty - Ticks(option.cost), 0.0);
  }
  return volume;
}

double AdmittedShare(const std::vector<SpreadOption>& options, const SpreadParameters& spread,
                     Duration limit)
{
  const double request_cost = Ticks(spread.cost_per_request);
  const double volume =
      (1 + spread.same_hall_arrivals) * request_cost + VolumeFromOtherHalls(options, spread);
  double capacity = 0;
  for (const SpreadOption& option : options)
    capacity += std::max(Ticks(limit + spread.finished_work - option.cost), 0.0);
  return volume > 0 ? std::min(std::max(capacity, request_cost) / volume, 1.0) : 1.0;
}

std::size_t ChooseOption(const std::vector<SpreadOption>& options, const SpreadParameters& spread,
                         double draw)
{
  std::vector<double> costs;
  costs.reserve(options.size());
  for (const SpreadOption& option : options)
    costs.push_back(Ticks(option.cost));
  const double volume = spread.same_hall_arrivals * Ticks(spread.cost_per_request) +
                        VolumeFromOtherHalls(options, spread);
  const double level = FillLevel(costs, volume);
  double left = draw * volume;
  for (std::size_t i = 0; i < options.size(); ++i)
  {
    left -= std::max(level - Ticks(options[i].cost), 0.0);
    if (left < 0)
      return i;
  }
  return static_cast<std::size_t>(std::ranges::min_element(options, {}, &SpreadOption::cost) -
                                  options.begin());
}
} // namespace Holdpost::Gateway
