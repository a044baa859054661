// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/WaitLimit.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::ErrorKind;

// Of the time in which a request has to begin. Who comes late in a target's loading can still be in
// time.
static constexpr int LOADING_SHARE = 2;

static bool IsCrowded(const TargetSurvey& survey)
{
  return survey.open > 0 || survey.avoided > 0;
}

Duration WaitMost(const TargetSurvey& survey, std::size_t waiting, Duration pass,
                  Duration start_goal)
{
  // Whoever gets nothing within a pass is up against lasting overload: waiting on would only make
  // the refusal later.
  if (IsCrowded(survey))
    return pass;
  // No more wait than the targets that load weights can run once they have them: with one of 200
  // that loads, all others would wait for nothing.
  if (survey.switching > 0 && static_cast<double>(waiting) <= survey.switching_room)
    return start_goal / LOADING_SHARE;
  // A gateway that has just started is told of targets, and of their loads, within moments.
  if (survey.listed == 0 || survey.unreported > 0)
    return pass;
  // All have weights that are too old, or none, or are leaving: nothing is about to change.
  return Duration::zero();
}

ErrorKind RefusalReason(const TargetSurvey& survey)
{
  const bool lacks_weights =
      survey.switching + survey.old_weights + survey.without_weights > 0 && !IsCrowded(survey);
  return lacks_weights ? ErrorKind::NoWeights : ErrorKind::QueueFull;
}
} // namespace Holdpost::Gateway
