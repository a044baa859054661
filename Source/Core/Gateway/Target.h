// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Types.h"

// The state of the targets that a gateway calls directly, and of the gateways that send to them, as
// instances report it to each other.
namespace Holdpost::Gateway
{
// Unique among all targets. A target may restart under the same id; the new incarnation then has no
// state of the earlier one.
using TargetId = std::string;

enum class TargetState
{
  Ready,
  // Accepts no new requests; its running requests continue.
  Leaving,
};

// One entry of the platform's target list.
struct ListedTarget
{
  TargetId id;
  std::string service;
  std::string hall;
  Common::Address address;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Ready;
  // The version of the weights that the target has loaded; 0 while it has loaded none, or if its
  // service has no weights.
  std::uint64_t weights_version = 0;
  bool needs_weights = false;
  // Increases with each start of the target under its id; 0 if the platform does not report it.
  std::uint64_t incarnation = 0;
  // The largest incarnation that an earlier record of the target named although this one, which is
  // smaller, follows it in the list's order; 0 if there is none.
  std::uint64_t superseded_incarnation = 0;

  bool operator==(const ListedTarget&) const = default;
};

// The demand at all gateways that send to one target.
struct GatewayDemand
{
  // Arrivals per second at the gateways of the target's hall and at those of other halls.
  double same_hall_per_second = 0;
  double other_halls_per_second = 0;
  // The share of these requests that the gateways refused recently.
  double refused_share = 0;

  bool operator==(const GatewayDemand&) const = default;
};

// When a target is expected to have loaded the weights that its agent fetches.
struct WeightsForecast
{
  std::uint64_t version = 0;
  // The time until the target can begin requests with the version. While nothing arrives, it is the
  // least time: what remains would take so long if the transfers went on now.
  Common::Milliseconds ready_in{0};
  // Nothing is missing, or missing pieces are arriving.
  bool is_arriving = false;

  bool operator==(const WeightsForecast&) const = default;
};

// A load report on a target, made by the agent that runs beside it.
struct TargetLoad
{
  Common::Address address; // the target's address
  // Empty if the agent does not know the target's id.
  TargetId id = {};
  // The incarnation of the target that the report describes; 0 if the agent does not report it.
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  // Prompt tokens of requests whose answers have not started, as gateways announced them; empty if
  // no gateway announced any.
  std::optional<std::uint32_t> unread_prompt_tokens;
  std::uint64_t weights_version = 0;
  // The target is about to load another version of its weights, or is loading it, and accepts no
  // new requests.
  bool is_switching = false;
  // The version that the target switches to; 0 while it does not switch, or if the version is not
  // known.
  std::uint64_t next_version = 0;
  // Time until the target's planned switch to another version of its weights. A request that starts
  // before the switch has to end before it.
  std::optional<Common::Milliseconds> switch_in;
  // Factor by which the target is slower than its engine profile; 1 is the speed of the profile.
  double pace = 1;
  // How long a message to the target may be queued on a link that has less bandwidth than it should
  // have.
  Common::Milliseconds inbound_delay{0};
  // The current network round-trip time.
  Common::Milliseconds round_trip{0};
  GatewayDemand demand;
  // The rate limit that the target has named, and the number of requests that the receiver of the
  // report may send under it.
  std::optional<double> rate_limit = std::nullopt;
  std::uint32_t permits = 0;
  // The target has told its agent that it leaves.
  bool is_leaving = false;
  // The agent has not found out yet whether the weights are correct that the target loaded before
  // the agent started.
  bool is_load_unchecked = false;
  // Empty if the target has the newest weights that its agent knows of.
  std::optional<WeightsForecast> weights_forecast = std::nullopt;
  // The target ran then or later, by the clock of the report's receiver; empty if that is not
  // known.
  std::optional<Common::TimePoint> ran_at = std::nullopt;

  bool operator==(const TargetLoad&) const = default;
};

// An incarnation of a target that has said that it leaves.
struct LeavingTarget
{
  TargetId id;
  std::uint64_t incarnation = 0; // 0 if it is not known

  bool operator==(const LeavingTarget&) const = default;
};

// The unfinished work that one gateway has at a target.
struct GatewayWork
{
  std::uint32_t requests = 0;
  // Prompt tokens of the requests whose answers have not started.
  std::uint32_t unread_prompt_tokens = 0;

  bool operator==(const GatewayWork&) const = default;
};

// The demand at one gateway.
struct DemandReport
{
  double arrivals_per_second = 0;
  double refused_share = 0;
};
} // namespace Holdpost::Gateway
