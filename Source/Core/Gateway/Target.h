// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Types.h"

// What a gateway is told of the targets that it calls directly.
namespace Holdpost::Gateway
{
// Found nowhere else. A target may start again under its id: it then knows nothing of before.
using TargetId = std::string;

enum class TargetState
{
  Ready,
  // Takes no new requests; those that run go on.
  Leaving,
};

// One line of the platform's list of targets.
struct ListedTarget
{
  TargetId id;
  std::string service;
  std::string hall;
  Common::Address address;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Ready;
  // The version of its weights; 0 while it has none, or is a plain service.
  std::uint64_t weights_version = 0;
  bool needs_weights = false;
  // Grows with each start of the target under its id; 0 if that is not told.
  std::uint64_t incarnation = 0;

  bool operator==(const ListedTarget&) const = default;
};

// What comes to the gateways that send to a target.
struct GatewayDemand
{
  // Requests to gateways of its hall and of others.
  double near_per_second = 0;
  double far_per_second = 0;
  // The part of these that was refused of late.
  double refused_share = 0;

  bool operator==(const GatewayDemand&) const = default;
};

// What the agent beside a target says of it.
struct TargetLoad
{
  Common::Address address; // of the target
  // Empty if the agent does not know it.
  TargetId id = {};
  // The incarnation of the target that this is about; 0 if it is not told.
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  // Prompt tokens of requests that have not begun, as gateways told; empty if none did.
  std::optional<std::uint32_t> unread_prompt_tokens;
  std::uint64_t weights_version = 0;
  // The target is about to load other weights, or loads them, and takes nothing new.
  bool is_switching = false;
  // The version that it takes; 0 while it takes none, or if that is not known.
  std::uint64_t next_version = 0;
  // The target is going to take other weights then: what it begins has to end before.
  std::optional<Common::Milliseconds> switch_in;
  // How much slower than its profile it is; 1 is as expected.
  double pace = 1;
  // How long a message to the target may wait on a link that is narrower than it should be.
  Common::Milliseconds inbound_delay{0};
  // How long the way there and back takes at the moment.
  Common::Milliseconds round_trip{0};
  GatewayDemand demand;

  bool operator==(const TargetLoad&) const = default;
};

// What a gateway has at a target.
struct OwnWork
{
  std::uint32_t requests = 0;
  // Of those that have not begun.
  std::uint32_t unread_prompt_tokens = 0;

  bool operator==(const OwnWork&) const = default;
};

// What comes to one gateway.
struct OwnDemand
{
  double arrivals_per_second = 0;
  double refused_share = 0;
};
} // namespace Holdpost::Gateway
