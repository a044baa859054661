// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

#include "Common/Metrics.h"
#include "Core/Gateway/TrackedRequest.h"

// The lines and counters that tell afterwards what became of a request, and what it was decided by.
namespace Holdpost::Gateway
{
// What a gateway believes of a request's service as it refuses the request.
struct ServiceView
{
  // Requests that wait or run at its targets, over their slots.
  double utilization = 0;
  ServiceRoom room;
  TargetSurvey targets;
  Settings::DocumentVersion settings = 0;
};

// An answer that began on weights that are to be replaced.
struct OldWeightsStart
{
  // As the target tells.
  std::uint64_t begun_on = 0;
  std::uint64_t replaced_by = 0;
  // Until that version has to be in use everywhere; below zero if the answer began too late.
  Common::Duration left{};
};

class RequestLog
{
public:
  explicit RequestLog(Common::Metrics& metrics) : m_metrics(metrics) {}

  void OnArrived();
  // Refused before anything was looked for.
  void OnRejected(const CallerRequest& request, const Common::ErrorAnswer& answer,
                  Settings::DocumentVersion settings, Common::TimePoint now);
  void OnSent(const TrackedRequest& tracked, Settings::DocumentVersion settings,
              Common::TimePoint now);
  void OnRetried(const TrackedRequest& tracked, std::string_view reason, Common::TimePoint now);
  // The first event has come from the present target; `correction` is what the engine's published
  // times are multiplied by.
  void OnStarted(const TrackedRequest& tracked, double correction, Common::TimePoint now);
  void OnBegun(const TrackedRequest& tracked, Common::TimePoint now);
  // The answer began on weights that a named version replaces.
  void OnBegunOnOldWeights(const TrackedRequest& tracked, const OldWeightsStart& start,
                           Common::TimePoint now);
  // It had not begun at a target whose weights are about to be too old, and is taken away from it.
  void OnTakenBack(const TrackedRequest& tracked, Common::TimePoint now);
  void OnDone(const TrackedRequest& tracked, Common::TimePoint now);
  void OnLeft(const TrackedRequest& tracked, Common::TimePoint now);
  void OnRefused(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
                 const ServiceView& view, Common::TimePoint now);
  void OnCut(const TrackedRequest& tracked, const Common::ErrorAnswer& answer,
             Common::TimePoint now);

private:
  void RecordTime(const TrackedRequest& tracked, std::string_view outcome, Common::TimePoint now);

  Common::Metrics& m_metrics;
};
} // namespace Holdpost::Gateway
