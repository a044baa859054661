// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Gateway/DemandTracker.h"
#include "Core/Gateway/Target.h"

// What a gateway asks its targets about for a request, and what it is told.
namespace Holdpost::Gateway
{
// A version of the weights that every request has to start with from a switch deadline on.
struct SwitchDeadline
{
  std::uint64_t version = 0;
  Common::TimePoint due = Common::TimePoint::max();
  Control::KnownSince since = {};
  // Until this time, the gateway looks for requests that it has sent and that may still start with
  // older weights.
  Common::TimePoint sweep_until = {};
};

// The properties of a request for which a target is needed.
struct TargetQuery
{
  std::string service;
  std::uint32_t prompt_tokens = 0;
  // The length of the answer as the caller estimates it, or the maximum.
  std::uint32_t answer_tokens = 0;
  // Targets to which the request has been sent already.
  std::set<TargetId> tried;
  // Versions of the weights with a switch deadline, in the order of their deadlines.
  std::vector<SwitchDeadline> weights;
  // How many other requests wait for the service at this gateway.
  std::size_t waiting = 0;
  // The maximum time until the start: a later start is useless.
  std::optional<Common::Duration> max_start = std::nullopt;
  // Whether the request could be sent to another target if the first one turns it away.
  bool may_be_retried = true;
  // The request may crash its target: the target with the least other work is chosen.
  bool prefers_idle = false;
};

struct TargetChoice
{
  TargetId id;
  Common::Address address;
  std::uint64_t weights_version = 0;
  // Expected time until the first event, or until the answer.
  Common::Duration expected_start{};
  // The expected start time according to the engine's published times alone; zero if the service
  // has none. The difference from the measured start time shows whether the published times are
  // correct.
  Common::Duration published_start{};
  // Requests at the target, as far as is known.
  double load = 0;
  // The age of the last load report on the target; empty if there was none.
  std::optional<Common::Duration> report_age;
  bool has_free_slot = false;
  // The incarnation of the chosen target.
  std::uint64_t incarnation = 0;
  // The target was known to limit its rate.
  bool is_limited = false;
  // The request tests whether the target answers, as earlier requests to it are unanswered.
  bool is_probe = false;
};

// The capacity that a service has for a request at present.
struct ServiceCapacity
{
  // Time until the best target would start the request; negative if there is no target.
  Common::Duration best_start = Common::Milliseconds(-1);
  // The share of all requests that are about to be sent that can start in time.
  double admitted_part = 0;
  // The demand at the gateways that send to the same targets.
  GatewayDemand demand;
};

// When targets without usable weights are expected to load usable ones.
struct WeightsOutlook
{
  // The time until so many targets have loaded them that half of their slots suffice for all
  // waiting requests; empty if that is not to be expected.
  std::optional<Common::Duration> enough_in;
  // The time until the first target has, at best: it may be waiting for a source of weights.
  std::optional<Common::Duration> first_in;
};

// Counts the targets of a service by whether they accept a request, and if not, by the reason. Each
// listed target counts once.
struct TargetSummary
{
  std::uint32_t listed = 0;
  std::uint32_t open = 0;
  std::uint32_t leaving = 0;
  // Targets that recently failed, or answered that they are full.
  std::uint32_t avoided = 0;
  // Targets that are switching to another version of the weights, and their capacity after the
  // switch, in requests per gateway.
  std::uint32_t switching = 0;
  double switching_capacity = 0;
  std::uint32_t without_weights = 0;
  // Targets on the target list whose agents have not reported yet, while other agents have.
  std::uint32_t unreported = 0;
  // Targets that have named a rate limit, under which this gateway may send nothing now.
  std::uint32_t limited = 0;
  // Targets that have asked this gateway for rest, and the time until the first of them may be sent
  // a request again.
  std::uint32_t resting = 0;
  std::optional<Common::Duration> next_return;
  // Targets that may start the request after a switch deadline without having its version.
  std::uint32_t old_weights = 0;
  WeightsOutlook weights;
};
} // namespace Holdpost::Gateway
