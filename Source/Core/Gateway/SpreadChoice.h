// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <vector>

#include "Common/Types.h"

// Chooses between targets whose costs come from reports that other gateways have, too. If all took
// the cheapest one, it would get every request until the next reports.
namespace Holdpost::Gateway
{
struct SpreadOption
{
  // As this gateway sees it.
  Common::Duration cost{};
  // In the own hall; to gateways of other halls it costs the penalty more.
  bool is_near = true;
};

struct Spread
{
  // Requests that gateways of the own hall and of others are expected to place meanwhile.
  double near_arrivals = 0;
  double far_arrivals = 0;
  // By how much one request raises the cost of its target.
  Common::Duration cost_of_one{};
  // What a target in another hall costs more.
  Common::Duration far_penalty{};
  // What each target works off until these have come.
  Common::Duration worked_off{};
};

// The part of the arrivals, this request among them, that the options take before each of them
// costs more than `limit`. Gateways that see the same costs send no more than that part of what
// they have, or all would be late.
double AdmittedPart(const std::vector<SpreadOption>& options, const Spread& spread,
                    Common::Duration limit);

// The index of an option: likelier the more of the arrivals it takes until all options that take
// any cost the same. Without arrivals the cheapest one. `draw` is uniform from 0 to 1. There is at
// least one option.
std::size_t ChooseSpread(const std::vector<SpreadOption>& options, const Spread& spread,
                         double draw);
} // namespace Holdpost::Gateway
