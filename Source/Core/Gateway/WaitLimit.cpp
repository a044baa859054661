// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/WaitLimit.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::ErrorKind;

// While targets load weights, a request waits at most for the start goal divided by this number.
// The wait helps a request that arrives shortly before the loading ends, because it can still begin
// in time.
static constexpr int LOADING_WAIT_DIVISOR = 2;

// The time from the end of the loading until a request that has waited for it begins.
static constexpr Duration START_AFTER_LOADING = Common::Milliseconds(300);

static bool HasUsableTargets(const TargetSummary& summary)
{
  return summary.open > 0 || summary.avoided > 0;
}

Duration MaxWait(const TargetSummary& summary, std::size_t waiting, Duration pass,
                 Duration start_goal)
{
  // If a request gets no target within a pass, the overload is lasting, and a longer wait would
  // only delay the refusal.
  if (HasUsableTargets(summary))
    return pass;
  // A request waits for the loading only if the targets that load weights can run all waiting
  // requests afterwards. If only 1 of 200 targets is loading, requests beyond its capacity would
  // wait in vain.
  if (summary.switching > 0 && static_cast<double>(waiting) <= summary.switching_capacity)
    return start_goal / LOADING_WAIT_DIVISOR;
  // A gateway that has just started receives the target list and the load reports within moments.
  if (summary.listed == 0 || summary.unreported > 0)
    return pass;
  // A target that is about to return from its rest accepts one request at first.
  if (summary.resting > 0 && summary.next_return && *summary.next_return < pass)
    return pass;
  // All targets have weights that are too old, have no weights, are leaving, or rest: no capacity
  // is about to become free.
  return Duration::zero();
}

bool MayAwaitWeights(const TargetSummary& summary, Duration left)
{
  return !HasUsableTargets(summary) && summary.weights.enough_in &&
         *summary.weights.enough_in + START_AFTER_LOADING <= left;
}

bool MayKeepAwaitingWeights(const TargetSummary& summary, Duration left)
{
  // The targets that have loaded the weights begin the waiting requests one after the other.
  if (HasUsableTargets(summary))
    return left >= START_AFTER_LOADING;
  return MayAwaitWeights(summary, left);
}

ErrorKind RefusalReason(const TargetSummary& summary)
{
  const bool lacks_weights =
      summary.switching + summary.old_weights + summary.without_weights > 0 &&
      !HasUsableTargets(summary);
  return lacks_weights ? ErrorKind::NoWeights : ErrorKind::QueueFull;
}
} // namespace Holdpost::Gateway
