// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/Gateway.h"

// The part of the gateway that passes on the end of an answer that nothing but the close of its
// connection marks.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// Agents report several times a second, at no cost for the target; it is probed if no report has
// come by then.
static constexpr Duration REPORT_PATIENCE = Milliseconds(300);
// The time in which other answers of a target without an agent may prove that it runs.
static constexpr Duration ANSWER_PATIENCE = Milliseconds(15);

// The maximum time from the close of a stream to its proof if it could go on at once: callers
// wait for about twice this time for the next event of a stream that is resumed then.
static constexpr Duration MAX_STREAM_WAIT = Milliseconds(1000);
// The same for all other answers. A full target answers probes and requests as late as it begins
// them.
static constexpr Duration MAX_ANSWER_WAIT = Milliseconds(3000);
// How often it is looked again whether a stream that is held longer could go on.
static constexpr Duration RESUME_CHECK_PERIOD = Milliseconds(100);
// How long a target that lost an answer is probed. The listening socket of one that ends may be
// closed after its connections.
static constexpr Duration LOST_PATIENCE = Milliseconds(500);

const std::string& Gateway::HealthPathOf(const std::string& service) const
{
  static const std::string NONE;
  for (const Settings::ServiceSettings& settings : m_document->services)
  {
    if (settings.name == service)
      return settings.health_path;
  }
  return NONE;
}

void Gateway::Handle(const AnswerClosed& event, TimePoint now, Actions* actions)
{
  Tracked* tracked = Find(event.number);
  if (!tracked || tracked->state == State::Waiting)
    return;
  tracked->closed_at = now;
  const TargetChoice& choice = tracked->last_attempt->choice;
  if (!m_targets.HasAgent(choice.id) && HealthPathOf(tracked->service).empty())
  {
    m_log.OnEndConfirmed(RunProof::Unprovable, Duration::zero());
    actions->push_back(EndClosedAnswer{event.number});
    return;
  }
  const bool has_agent = m_targets.HasRecentReport(choice.id, now);
  m_closed_answers.Add({event.number, choice.id, choice.address, choice.incarnation, now,
                        now + (has_agent ? REPORT_PATIENCE : ANSWER_PATIENCE),
                        now + (tracked->route.is_stream ? MAX_STREAM_WAIT : MAX_ANSWER_WAIT),
                        HealthPathOf(tracked->service)});
  ProbeClosed(now, actions);
}

void Gateway::ProbeClosed(TimePoint now, Actions* actions)
{
  for (ProbeTarget& probe : m_closed_answers.TakeDueProbes(now))
  {
    m_log.OnProbed();
    actions->push_back(std::move(probe));
  }
}

void Gateway::ProbeLost(const Tracked& tracked, TimePoint now)
{
  const TargetChoice& choice = tracked.last_attempt->choice;
  const std::string& path = HealthPathOf(tracked.service);
  if (path.empty() || m_targets.HasRecentReport(choice.id, now))
    return;
  m_closed_answers.AddLost({choice.id, choice.address, path}, now + ANSWER_PATIENCE,
                           now + LOST_PATIENCE);
}

void Gateway::ConfirmClosed(const std::vector<ClosedAnswer>& answers, RunProof proof, TimePoint now,
                            Actions* actions)
{
  for (const ClosedAnswer& answer : answers)
  {
    if (!Find(answer.number))
      continue;
    m_log.OnEndConfirmed(proof, now - answer.closed_at);
    actions->push_back(EndClosedAnswer{answer.number});
  }
}

void Gateway::RefuteClosed(const std::vector<ClosedAnswer>& answers, AttemptEnd reason,
                           TimePoint now, Actions* actions)
{
  for (const ClosedAnswer& answer : answers)
  {
    const Tracked* tracked = Find(answer.number);
    if (!tracked)
      continue;
    m_log.OnEndRefuted(*tracked, answer, reason, now);
    actions->push_back(EndClosedAnswer{answer.number, reason});
  }
}

void Gateway::Handle(const ProbeEnded& event, TimePoint now, Actions* actions)
{
  const auto sent_at = m_closed_answers.OnProbeEnded(event.target, now);
  if (!sent_at)
    return;
  if (event.outcome != ProbeOutcome::Unknown)
    m_closed_answers.ForgetLost(event.target, *sent_at);
  switch (event.outcome)
  {
  case ProbeOutcome::Runs:
    ConfirmClosed(m_closed_answers.TakeProved(event.target, 0, *sent_at), RunProof::Probe, now,
                  actions);
    break;
  case ProbeOutcome::Ended:
    RefuteClosed(m_closed_answers.TakeEnded(event.address, event.target, 0),
                 AttemptEnd::TargetEnded, now, actions);
    m_crashes.OnTargetGone(event.target, event.address, *sent_at, now);
    StopBlockedRequests(now, actions);
    break;
  case ProbeOutcome::Unknown:
    break;
  }
  ReviewClosed(now, actions);
}

void Gateway::OnClosedTargetReported(const TargetLoad& load, TimePoint now, Actions* actions)
{
  if (m_closed_answers.IsEmpty())
    return;
  if (load.ran_at)
  {
    ConfirmClosed(
        m_closed_answers.TakeProvedAt(load.address, load.id, load.incarnation, *load.ran_at),
        RunProof::Report, now, actions);
  }
  RefuteClosed(
      m_closed_answers.TakeReplacedAt(load.address, load.id, load.incarnation, load.ran_at),
      AttemptEnd::TargetEnded, now, actions);
}

void Gateway::OnClosedTargetAnswered(const Tracked& tracked, TimePoint now, Actions* actions)
{
  const LastAttempt& attempt = *tracked.last_attempt;
  ConfirmClosed(
      m_closed_answers.TakeProved(attempt.choice.id, attempt.choice.incarnation, attempt.sent),
      RunProof::Answer, now, actions);
}

bool Gateway::MayGoOnAtOnce(const Tracked& tracked, TimePoint now)
{
  if (!MayResume(tracked) || !MayRunAgain(tracked))
    return false;
  TargetQuery query = QueryFor(tracked, now);
  // Its own target counts, too: with a free slot it would have answered a probe.
  query.tried.clear();
  const auto choice = m_targets.Choose(query, now);
  return choice && choice->has_free_slot;
}

void Gateway::ReviewClosed(TimePoint now, Actions* actions)
{
  if (m_closed_answers.IsEmpty())
    return;
  std::vector<ClosedAnswer> unproved;
  for (ClosedAnswer& answer : m_closed_answers.TakeExpired(now))
  {
    const TimePoint last = answer.closed_at + MAX_ANSWER_WAIT;
    const Tracked* tracked = Find(answer.number);
    if (!tracked || now >= last || MayGoOnAtOnce(*tracked, now))
    {
      unproved.push_back(std::move(answer));
      continue;
    }
    answer.expires = std::min(last, now + RESUME_CHECK_PERIOD);
    m_closed_answers.Add(std::move(answer));
  }
  RefuteClosed(unproved, AttemptEnd::UnprovedEnd, now, actions);
  ProbeClosed(now, actions);
}
} // namespace Holdpost::Gateway
