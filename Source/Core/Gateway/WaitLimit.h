// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Gateway/TargetTable.h"

// How long a request waits for a target, which is only as long as room may be expected: a caller
// that is refused at once can do something else, one that has waited for nothing cannot.
namespace Holdpost::Gateway
{
// `waiting` counts the requests that wait at this gateway, this one included. `pass` is how long it
// takes until each target has had the chance to begin something new, and `start_goal` how long
// after its arrival the request has to begin.
Common::Duration WaitMost(const TargetSurvey& survey, std::size_t waiting, Common::Duration pass,
                          Common::Duration start_goal);
// Why a request that has waited in vain is refused.
Common::ErrorKind RefusalReason(const TargetSurvey& survey);
} // namespace Holdpost::Gateway
