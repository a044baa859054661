// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Gateway/TargetTable.h"

// Limits the time that a request waits for a target to the time in which capacity may be expected
// to become free. A caller that is refused at once can do something else; a caller that has waited
// in vain cannot.
namespace Holdpost::Gateway
{
// The maximum time that a request waits. `waiting` is the number of requests that wait at this
// gateway, including this one. `pass` is the time in which each target gets a chance to begin a new
// request. `start_goal` is the time after its arrival by which the request has to begin.
Common::Duration MaxWait(const TargetSummary& summary, std::size_t waiting, Common::Duration pass,
                         Common::Duration start_goal);
// Whether a request that no target can begin waits until targets have loaded weights. `left` is the
// time until the latest start that is of use to its caller.
bool MayAwaitWeights(const TargetSummary& summary, Common::Duration left);
// Whether a request that has waited for weights so far goes on waiting.
bool MayKeepAwaitingWeights(const TargetSummary& summary, Common::Duration left);
// The error kind with which a request that has waited in vain is refused.
Common::ErrorKind RefusalReason(const TargetSummary& summary);
} // namespace Holdpost::Gateway
