// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/RequestLog.h"

#include <algorithm>

#include <fmt/ranges.h>

#include "Common/EventLog.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// Each answer with old weights is logged if it begins less than this time before the switch
// deadline, or later.
static constexpr Milliseconds NEAR_DEADLINE_PERIOD = Milliseconds(500);

// The period at which the use of a service's allowance of retries is logged while it is used.
static constexpr Milliseconds RETRY_USAGE_PERIOD = Milliseconds(1000);

// How many of a prompt's parts are logged.
static constexpr std::size_t MAX_LOGGED_PARTS = 4;

static std::string FirstParts(const CallerRequest& request)
{
  const auto& parts = request.shared_parts;
  const auto count = static_cast<std::ptrdiff_t>(std::min(parts.size(), MAX_LOGGED_PARTS));
  return fmt::format("{}", fmt::join(parts.begin(), parts.begin() + count, ","));
}

// The event of a failure has all data of the last attempt, because ordinary events are dropped
// under load.
template <typename... Fields>
static void LogFailure(const TrackedRequest& tracked, TimePoint now, std::string_view event,
                       const Fields&... fields)
{
  if (!tracked.last_attempt)
  {
    return LogEvent(Weight::Important, now, event, "request", tracked.request.id, "fingerprint",
                    tracked.causes.request.Short(), "parts", FirstParts(tracked.request), fields...,
                    "attempts", 0);
  }
  const TargetChoice& choice = tracked.last_attempt->choice;
  LogEvent(Weight::Important, now, event, "request", tracked.request.id, "fingerprint",
           tracked.causes.request.Short(), "parts", FirstParts(tracked.request), fields...,
           "attempts", tracked.sends, "target", choice.id, "at", choice.address.ToString(),
           "sent_ms_ago", now - tracked.last_attempt->sent, "answer_status",
           tracked.last_attempt->answer_status, "ended_by",
           AttemptEndName(tracked.last_attempt->end), "load", choice.load, "report_age_ms",
           choice.report_age.value_or(Milliseconds(-1)), "expected_ms", choice.expected_start,
           "weights", choice.weights_version);
}

void RequestLog::RecordTime(const TrackedRequest& tracked, std::string_view outcome, TimePoint now)
{
  m_metrics.Record("holdpost_request_seconds", now - tracked.arrived,
                   Common::ServiceOutcome(tracked.service, outcome));
}

void RequestLog::OnArrived()
{
  m_metrics.Add("holdpost_requests_total");
}

void RequestLog::OnRejected(const CallerRequest& request, const Common::ErrorAnswer& answer,
                            Settings::DocumentVersion settings, TimePoint now)
{
  m_metrics.Add("holdpost_requests_refused_total", Common::Reason(answer.name));
  LogEvent(Weight::Important, now, "request.refused", "request", request.id, "reason", answer.name,
           "status", answer.http_status, "host", request.host, "path", request.path, "parts",
           FirstParts(request), "settings", settings);
}

void RequestLog::OnAwaitsWeights(const TrackedRequest& tracked, Duration ready_in, TimePoint now)
{
  m_metrics.Add("holdpost_waits_for_weights_total");
  LogEvent(Weight::Ordinary, now, "request.awaits_weights", "request", tracked.request.id,
           "service", tracked.service, "ready_in_ms", ready_in, "deadline_in_ms",
           tracked.deadline - now);
}

void RequestLog::OnSent(const TrackedRequest& tracked, Settings::DocumentVersion settings,
                        TimePoint now)
{
  const TargetChoice& choice = tracked.last_attempt->choice;
  m_metrics.Record("holdpost_queue_seconds", now - tracked.arrived,
                   Common::ServiceOutcome(tracked.service, "sent"));
  LogEvent(Weight::Ordinary, now, "request.sent", "request", tracked.request.id, "fingerprint",
           tracked.causes.request.Short(), "service", tracked.service, "target", choice.id, "at",
           choice.address.ToString(), "attempt", tracked.sends, "waited_ms", now - tracked.arrived,
           "load", choice.load, "report_age_ms", choice.report_age.value_or(Milliseconds(-1)),
           "expected_ms", choice.expected_start, "weights", choice.weights_version, "settings",
           settings);
}

void RequestLog::OnRetried(const TrackedRequest& tracked, std::string_view reason, TimePoint now)
{
  m_metrics.Add("holdpost_retries_total", Common::Reason(reason));
  LogFailure(tracked, now, "request.retry", "reason", reason, "runs", tracked.runs, "passed",
             tracked.was_head_passed);
}

void RequestLog::OnRetryDenied(std::string_view reason)
{
  m_metrics.Add("holdpost_retries_denied_total", Common::Reason(reason));
}

void RequestLog::OnRetryUsed(const std::string& service, const RetryUsage& usage, TimePoint now)
{
  const auto [logged_at, is_first] = m_usage_logged_at.try_emplace(service, now);
  if (!is_first && now - logged_at->second < RETRY_USAGE_PERIOD)
    return;
  logged_at->second = now;
  LogEvent(Weight::Important, now, "retries.used", "service", service, "requests", usage.requests,
           "retries", usage.retries, "denied", usage.denied, "allowed", usage.allowed, "gateways",
           usage.gateways);
}

void RequestLog::OnStarted(const TrackedRequest& tracked, double correction, TimePoint now)
{
  const LastAttempt& attempt = *tracked.last_attempt;
  const std::string label = Common::ServiceOutcome(tracked.service, "started");
  m_metrics.Record("holdpost_start_expected_seconds", attempt.choice.expected_start, label);
  m_metrics.Record("holdpost_start_seconds", now - attempt.sent, label);
  LogEvent(Weight::Ordinary, now, "request.started", "request", tracked.request.id, "service",
           tracked.service, "target", tracked.target, "expected_ms", attempt.choice.expected_start,
           "published_ms", attempt.choice.published_start, "took_ms", now - attempt.sent,
           "correction", correction);
}

void RequestLog::OnAnswerHeadPassed(const TrackedRequest& tracked, TimePoint now)
{
  m_metrics.Record("holdpost_first_event_seconds", now - tracked.arrived,
                   Common::ServiceOutcome(tracked.service, "begun"));
}

void RequestLog::OnStartedWithOldWeights(const TrackedRequest& tracked,
                                         const OldWeightsAnswer& start, TimePoint now)
{
  const std::string label = Common::ServiceOutcome(tracked.service, "begun");
  if (start.left < Duration::zero())
    m_metrics.Add("holdpost_begun_too_late_total", label);
  else
    m_metrics.Record("holdpost_old_weights_left_seconds", start.left, label);
  if (start.left < NEAR_DEADLINE_PERIOD)
  {
    LogFailure(tracked, now, "request.old_weights", "begun_on", start.begun_on, "replaced_by",
               start.replaced_by, "left_ms", start.left);
  }
}

void RequestLog::OnCancelledAtTarget(const TrackedRequest& tracked, TimePoint now)
{
  m_metrics.Add("holdpost_taken_back_total", Common::Reason("old_weights"));
  LogFailure(tracked, now, "request.taken_back", "reason", "old_weights");
}

void RequestLog::OnDone(const TrackedRequest& tracked, const AnswerEnded& event, TimePoint now)
{
  m_metrics.Add("holdpost_answers_whole_total");
  if (event.ends_with_connection)
    m_metrics.Add("holdpost_answers_ended_with_connection_total");
  RecordTime(tracked, "done", now);
  const int status = tracked.last_attempt->answer_status;
  if (status >= MIN_FAILURE_STATUS)
  {
    return LogFailure(tracked, now, "request.done", "first_ms",
                      tracked.answer_passed_at - tracked.arrived, "took_ms", now - tracked.arrived);
  }
  LogEvent(Weight::Ordinary, now, "request.done", "request", tracked.request.id, "target",
           tracked.target, "first_ms", tracked.answer_passed_at - tracked.arrived, "took_ms",
           now - tracked.arrived, "attempts", tracked.sends, "answer_status", status, "last_event",
           event.last_event.value_or(0), "ended_with",
           event.ends_with_connection ? "connection" : "mark");
}

void RequestLog::OnEndConfirmed(RunProof proof, Duration held)
{
  m_metrics.Add("holdpost_ends_confirmed_total", Common::Reason(RunProofName(proof)));
  m_metrics.Record("holdpost_end_held_seconds", held);
}

void RequestLog::OnEndRefuted(const TrackedRequest& tracked, const ClosedAnswer& answer,
                              AttemptEnd reason, TimePoint now)
{
  m_metrics.Add("holdpost_ends_refuted_total", Common::Reason(AttemptEndName(reason)));
  LogEvent(Weight::Important, now, "answer.end_refuted", "request", tracked.request.id, "service",
           tracked.service, "target", answer.target, "incarnation", answer.incarnation, "at",
           answer.address.ToString(), "reason", AttemptEndName(reason), "held_ms",
           now - answer.closed_at, "passed", tracked.was_head_passed);
}

void RequestLog::OnProbed()
{
  m_metrics.Add("holdpost_end_probes_total");
}

void RequestLog::OnCallerLeft(const TrackedRequest& tracked, TimePoint now)
{
  m_metrics.Add("holdpost_callers_left_total");
  RecordTime(tracked, "left", now);
  LogEvent(Weight::Ordinary, now, "request.left", "request", tracked.request.id, "target",
           tracked.target, "after_ms", now - tracked.arrived);
}

void RequestLog::OnRefused(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
                           const ServiceView& view, TimePoint now)
{
  RecordTime(tracked, "refused", now);
  m_metrics.Add("holdpost_requests_refused_total", Common::Reason(answer.name));
  LogFailure(
      tracked, now, "request.refused", "reason", answer.name, "status", answer.http_status,
      "service", tracked.service, "waited_ms", now - tracked.arrived, "deadline_ms",
      tracked.request.deadline.value_or(Milliseconds(-1)), "runs", tracked.runs, "utilization",
      view.utilization, "best_expected_ms", view.capacity.best_start, "goal_ms", tracked.route.goal,
      "admitted_part", view.capacity.admitted_part, "arrivals_per_second",
      view.capacity.demand.same_hall_per_second + view.capacity.demand.other_halls_per_second,
      "refused_share", view.capacity.demand.refused_share, "settings", view.settings, "targets",
      view.targets.listed, "open", view.targets.open, "leaving", view.targets.leaving, "avoided",
      view.targets.avoided, "switching", view.targets.switching, "without_weights",
      view.targets.without_weights, "old_weights", view.targets.old_weights, "weights_in_ms",
      view.targets.weights.enough_in.value_or(Milliseconds(-1)), "weights_at_best_ms",
      view.targets.weights.first_in.value_or(Milliseconds(-1)), "unreported",
      view.targets.unreported, "limited", view.targets.limited, "resting", view.targets.resting);
}

void RequestLog::OnAnswerCut(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
                             TimePoint now)
{
  RecordTime(tracked, "cut", now);
  m_metrics.Add("holdpost_answers_cut_total", Common::Reason(answer.name));
  LogFailure(tracked, now, "request.cut", "reason", answer.name, "service", tracked.service, "runs",
             tracked.runs, "after_ms", now - tracked.arrived, "last_event",
             tracked.last_event.value_or(0));
}

void RequestLog::OnRestAsked(const TargetId& target, Duration rest, Duration returns_in,
                             TimePoint now)
{
  m_metrics.Add("holdpost_rests_asked_total");
  LogEvent(Weight::Important, now, "target.resting", "target", target, "asked_ms", rest,
           "returns_in_ms", returns_in);
}

void RequestLog::OnBlocked(const Crashes::CrashCause& cause, std::size_t crashes, TimePoint now)
{
  const std::string_view kind = Crashes::KindName(cause);
  m_metrics.Add("holdpost_requests_blocked_total", Common::Reason(kind));
  LogEvent(Weight::Important, now, "crash.blocked", "cause", kind, "fingerprint",
           Crashes::ShortName(cause), "crashes", crashes);
}
} // namespace Holdpost::Gateway
