// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Common/Metrics.h"
#include "Core/Gateway/ClosedAnswers.h"
#include "Core/Gateway/RetryAllowance.h"
#include "Core/Gateway/TrackedRequest.h"

// The log events and metrics that show the outcome of a request and the data behind each decision.
namespace Holdpost::Gateway
{
// What a gateway knows about the service of a request at the time at which it refuses the request.
struct ServiceView
{
  // The number of requests that wait or run at the service's targets, divided by the targets'
  // slots.
  double utilization = 0;
  ServiceCapacity capacity;
  TargetSummary targets;
  Settings::DocumentVersion settings = 0;
};

// An answer that began with weights that a newer named version replaces.
struct OldWeightsAnswer
{
  // The version that the answer began with, as reported by the target.
  std::uint64_t begun_on = 0;
  std::uint64_t replaced_by = 0;
  // Time until the switch deadline of the newer version; negative if the answer began too late.
  Common::Duration left{};
};

class RequestLog
{
public:
  explicit RequestLog(Common::Metrics& metrics) : m_metrics(metrics) {}

  void OnArrived();
  // The request was refused on arrival, before the gateway looked for a target.
  void OnRejected(const CallerRequest& request, const Common::ErrorAnswer& answer,
                  Settings::DocumentVersion settings, Common::TimePoint now);
  // No target can begin the request, but targets are expected to have loaded weights in time.
  void OnAwaitsWeights(const TrackedRequest& tracked, Common::Duration ready_in,
                       Common::TimePoint now);
  void OnSent(const TrackedRequest& tracked, Settings::DocumentVersion settings,
              Common::TimePoint now);
  void OnRetried(const TrackedRequest& tracked, std::string_view reason, Common::TimePoint now);
  // The request would have been tried at another target, but the allowance did not permit it.
  void OnRetryDenied(std::string_view reason);
  // A retry was taken or denied. Logs at most one line a second for each service.
  void OnRetryUsed(const std::string& service, const RetryUsage& usage, Common::TimePoint now);
  // The present target has sent its first event. `correction` is the factor by which the engine's
  // published times are multiplied.
  void OnStarted(const TrackedRequest& tracked, double correction, Common::TimePoint now);
  void OnAnswerHeadPassed(const TrackedRequest& tracked, Common::TimePoint now);
  // The answer began with weights that a newer named version replaces.
  void OnStartedWithOldWeights(const TrackedRequest& tracked, const OldWeightsAnswer& start,
                               Common::TimePoint now);
  // The request is cancelled at a target that has not begun it and whose weights are about to be
  // too old.
  void OnCancelledAtTarget(const TrackedRequest& tracked, Common::TimePoint now);
  void OnDone(const TrackedRequest& tracked, const AnswerEnded& event, Common::TimePoint now);
  // The target of an answer that closed is known to have run after that.
  void OnEndConfirmed(RunProof proof, Common::Duration held);
  // It is known to have ended, or did not become known in time.
  void OnEndRefuted(const TrackedRequest& tracked, const ClosedAnswer& answer, AttemptEnd reason,
                    Common::TimePoint now);
  void OnProbed();
  void OnCallerLeft(const TrackedRequest& tracked, Common::TimePoint now);
  void OnRefused(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
                 const ServiceView& view, Common::TimePoint now);
  void OnAnswerCut(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
                   Common::TimePoint now);
  // A target has turned requests away and asked for rest; `returns_in` includes the spread.
  void OnRestAsked(const TargetId& target, Common::Duration rest, Common::Duration returns_in,
                   Common::TimePoint now);
  // The cause has crashed so many engines that requests of it are sent to none any more.
  void OnBlocked(const Crashes::CrashCause& cause, std::size_t crashes, Common::TimePoint now);

private:
  void RecordTime(const TrackedRequest& tracked, std::string_view outcome, Common::TimePoint now);

  Common::Metrics& m_metrics;
  std::map<std::string, Common::TimePoint> m_usage_logged_at;
};
} // namespace Holdpost::Gateway
