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
  // Whether the target is in this gateway's hall. Gateways of other halls add the penalty to the
  // cost of such a target.
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

// Chooses an option at random and returns its index. The expected requests are distributed so that
// all options that get any of them end up with the same cost; the probability of an option is its
// share of these requests. Without expected requests, the cheapest option is chosen. `draw` is a
// random number, uniformly distributed from 0 to 1. `options` must not be empty.
std::size_t ChooseOption(const std::vector<SpreadOption>& options, const SpreadParameters& spread,
                         double draw);
} // namespace Holdpost::Gateway
