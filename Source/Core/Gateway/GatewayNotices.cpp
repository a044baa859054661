// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

// The part of the gateway that reads what targets say of themselves in the heads of their answers.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::TimePoint;

void Gateway::OnLeavingTargets(const std::vector<LeavingTarget>& targets, TimePoint now)
{
  for (const LeavingTarget& target : targets)
    m_targets.OnLeaving(target, now);
}

void Gateway::Handle(const AnswerHead& event, TimePoint now, Actions* actions)
{
  const Tracked* tracked = Find(event.number);
  if (!tracked || !tracked->last_attempt)
    return;
  const TargetChoice& choice = tracked->last_attempt->choice;
  if (!event.is_foreign && !event.is_other_target)
    OnClosedTargetAnswered(*tracked, now, actions);
  if (event.is_other_target)
  {
    if (event.is_leaving)
      m_targets.OnOtherLeaving(choice.address, choice.id, now);
    return;
  }
  const LeavingTarget target{choice.id, choice.incarnation};
  if (event.is_leaving && m_targets.OnLeaving(target, now))
    actions->push_back(ReportLeaving{target});
  if (event.rest)
    BeginRest(choice, *event.rest, now, actions);
  else if (!event.is_rejected && !event.is_foreign)
    m_targets.OnAccepted(choice.id, event.number);
}

void Gateway::BeginRest(const TargetChoice& choice, Duration rest, TimePoint now, Actions* actions)
{
  const TimePoint until = m_targets.OnRestAsked(choice, rest, now);
  m_log.OnRestAsked(choice.id, rest, until - now, now);
  m_timers.push({until, NO_REQUEST});
  actions->push_back(RecallConnecting{choice.id});
}
} // namespace Holdpost::Gateway
