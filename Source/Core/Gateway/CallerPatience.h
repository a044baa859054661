// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

namespace Holdpost::Gateway
{
// The time without an event after which callers give a stream up, also before its first event. The
// users' callers behave like this.
inline Common::Milliseconds CallerPatience(const Settings::Route& stream)
{
  constexpr Common::Milliseconds MIN_PATIENCE(2000);
  constexpr int GOALS = 4;
  constexpr int PAUSE_GOALS = 8;
  return std::max({MIN_PATIENCE, GOALS * stream.goal, PAUSE_GOALS * stream.pause_goal});
}
} // namespace Holdpost::Gateway
