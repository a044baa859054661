// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <vector>

#include "Common/Types.h"

// Chooses between targets whose costs come from load reports that other gateways receive, too. If
// all gateways chose the cheapest target, it would get every request until the next reports arrive.
namespace Holdpost::Gateway
{
struct SpreadOption
{
  // The cost of the target for this gateway.
  Common::Duration cost{};
  // Whether the target is in this gateway's hall. For gateways of other halls, such a target costs
  // the penalty more.
  bool is_same_hall = true;
};

struct SpreadParameters
{
  // Requests that gateways of this hall, and of other halls, are expected to send before the next
  // reports arrive.
  double same_hall_arrivals = 0;
  double other_halls_arrivals = 0;
  // How much one request increases the cost of its target.
  Common::Duration cost_per_request{};
  // How much more a target in another hall costs.
  Common::Duration other_halls_penalty{};
  // The work that each target finishes before these requests arrive.
  Common::Duration finished_work{};
};

// The share of the expected requests, including the one to be sent, that the options can accept
// before the cost of each option exceeds `limit`. Gateways that see the same costs send at most
// this share of their requests; otherwise all requests would be late.
double AdmittedShare(const std::vector<SpreadOption>& options, const SpreadParameters& spread,
                     Common::Duration limit);

// Chooses an option at random and returns its index. The probability of an option is its share of
// the expected requests when these are distributed so that all options in use end up with the same
// cost. Without expected requests it is the cheapest option. `draw` is uniformly distributed from 0
// to 1. `options` must not be empty.
std::size_t ChooseOption(const std::vector<SpreadOption>& options, const SpreadParameters& spread,
                         double draw);
} // namespace Holdpost::Gateway
