// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Metrics.h"
#include "Core/Gateway/DeadlineWatch.h"
#include "Core/Gateway/Messages.h"
#include "Core/Gateway/RequestLog.h"
#include "Core/Gateway/RetryAllowance.h"
#include "Core/Gateway/RouteTable.h"
#include "Core/Gateway/TargetTable.h"
#include "Core/Gateway/TrackedRequest.h"
#include "Core/Gateway/WeightsBounds.h"
#include "Core/Routing/FairQueue.h"
#include "Core/Settings/Document.h"

// The decisions of a gateway: an entry that calls targets directly, by the routes of a settings
// document. Takes events with the present time and returns actions.
namespace Holdpost::Gateway
{
struct GatewayOptions
{
  std::string hall;
  RetryLimits retries;
  // New weights have to be in use everywhere so long after they were named.
  Common::Milliseconds switch_within{8000};
  // For choices between targets that are as good.
  std::uint64_t seed = 0;
};

class Gateway
{
public:
  Gateway(GatewayOptions options, Common::Metrics& metrics);

  // Puts the document in force if it is newer; returns whether it was.
  bool OfferDocument(const std::shared_ptr<const Settings::Document>& document,
                     Common::TimePoint now);
  Settings::DocumentVersion Version() const { return m_document ? m_document->version : 0; }
  const std::shared_ptr<const Settings::Document>& InForce() const { return m_document; }

  void SetTargets(const std::vector<ListedTarget>& list, Common::TimePoint now, Actions* actions);
  void OnTargetLoad(const TargetLoad& load, Common::TimePoint now, Actions* actions);
  // New weights of a model were named, or more is known of when they were.
  void OnWeightsNamed(const std::string& model, const Control::KnownVersion& known,
                      Common::TimePoint now);
  void SetGateways(const GatewayCounts& gateways, Common::TimePoint now);
  // New requests and versions are held to these from now on.
  void SetRetryLimits(const RetryLimits& limits);
  void SetSwitchWithin(Common::Milliseconds within) { m_weights.SetSwitchWithin(within); }
  // From now on new requests are refused: the process is about to end.
  void StopTaking() { m_takes_requests = false; }

  void Handle(RequestArrived event, Common::TimePoint now, Actions* actions);
  void Handle(const CallerLeft& event, Common::TimePoint now, Actions* actions);
  void Handle(const AnswerBegan& event, Common::TimePoint now, Actions* actions);
  void Handle(const AnswerEnded& event, Common::TimePoint now, Actions* actions);
  void Handle(const AttemptFailed& event, Common::TimePoint now, Actions* actions);
  void OnTick(Common::TimePoint now, Actions* actions);
  // When OnTick is due next; empty while nothing waits for a time.
  std::optional<Common::TimePoint> NextWakeup() const;

  std::size_t OpenRequests() const { return m_requests.size(); }
  const TargetTable& Targets() const { return m_targets; }

private:
  using State = RequestState;
  using Tracked = TrackedRequest;

  struct Timer
  {
    Common::TimePoint at;
    RequestNumber number;
    bool operator>(const Timer& other) const { return at > other.at; }
  };

  struct ServiceQueue
  {
    // By priority, the most urgent first.
    std::map<int, Routing::FairQueue> waiting;
    RetryAllowance retries;
  };

  ServiceQueue& QueueOf(const std::string& service);
  void Enqueue(Tracked& tracked, bool is_retry, Common::TimePoint now, Actions* actions);
  // The same for a request that has not run: it waits only as long as room may be expected.
  void EnqueueNotRun(Tracked& request, bool is_retry, Common::TimePoint now, Actions* actions);
  void Pump(const std::string& service, Common::TimePoint now, Actions* actions);
  void PumpAll(Common::TimePoint now, Actions* actions);
  TargetWish WishOf(const Tracked& tracked) const;
  // The same for a request that is not sent unless it can begin in time.
  TargetWish WishInTime(const Tracked& tracked, Common::TimePoint now) const;
  std::size_t WaitingFor(const std::string& service) const;
  // How long after its caller's first try a request may be expected to begin for its goal to be
  // met.
  static Common::Duration StartGoal(const Tracked& tracked);
  // By when, from now on, a request that was not run is to begin, or it is not sent.
  static Common::Duration StartMost(const Tracked& tracked, Common::TimePoint now);
  // Whether it can only be late, as its caller came back when the goal was over.
  static bool IsLate(const Tracked& tracked, Common::TimePoint now);
  bool TryDispatch(Tracked& tracked, Common::TimePoint now, Actions* actions);
  bool IsWorthSending(const Tracked& tracked, const TargetChoice& choice,
                      Common::TimePoint now) const;
  // Tells the target's agent what this gateway has there now.
  void TellWork(const TargetId& id, Actions* actions) const;
  // The weights that requests of the service have to begin on, and from when on.
  const std::vector<WeightsBound>& WeightsFor(const std::string& service) const;
  // The model whose weights the service's targets have; empty for a plain service.
  const std::string& ModelOf(const std::string& service) const;
  void LeaveTarget(Tracked& tracked, Actions* actions);
  // The target of a sent request; empty if it has started again since, and knows nothing of it.
  TargetId LivingTarget(const Tracked& tracked) const;
  void SetEngine(const Settings::ServiceSettings& service, Common::TimePoint now);
  void TryAgain(Tracked& tracked, std::string_view reason, const Common::Error& otherwise,
                Common::TimePoint now, Actions* actions);
  // Looks for another target; the retry has been taken from the allowance.
  void Retry(Tracked& tracked, std::string_view reason, Common::TimePoint now, Actions* actions);
  bool MayRunAgain(const Tracked& tracked) const;
  // Takes a request that has not begun away from its target and looks for another one; returns
  // whether it may be sent again.
  bool Move(Tracked& tracked, std::string_view reason, Common::TimePoint now, Actions* actions);
  // The same for requests of the reported target if its weights do not do for them any more.
  void LeaveReported(const TargetLoad& load, Common::TimePoint now, Actions* actions);
  // The same for all requests of a target that takes other weights now: they would wait for that.
  void LeaveSwitching(const TargetId& target, Common::TimePoint now, Actions* actions);
  // Logs an answer that began on weights that a named version replaces.
  void NoteWeights(const Tracked& tracked, std::uint64_t version, Common::TimePoint now);
  // Whether the target may begin the request on weights that are too old by then.
  bool MayBeginOnOldWeights(const Tracked& tracked, Common::TimePoint now) const;
  // The same for targets whose weights are about to be too old; what cannot be moved is given up.
  void LeaveOldWeights(Common::TimePoint now, Actions* actions);
  // The same for one target after the bound, if it does not take new weights as it said.
  void LeaveIfNotTaking(const TargetId& target, Common::TimePoint now, Actions* actions);
  // Requests that have not begun and meet the condition. What is done to one may settle others.
  std::vector<RequestNumber> SentThat(const std::function<bool(const Tracked&)>& condition) const;
  // Moves requests that have not begun away from their targets, or gives them up.
  void TakeBack(const std::vector<RequestNumber>& requests, Common::TimePoint now,
                Actions* actions);
  void MoveIfOverdue(Tracked& tracked, Common::TimePoint now, Actions* actions);
  void OnNotRun(Tracked& tracked, std::string_view reason, Common::TimePoint now, Actions* actions);
  void GiveUp(Tracked& tracked, Common::Error error, Common::TimePoint now, Actions* actions);
  void OnTimer(Tracked& tracked, Common::TimePoint now, Actions* actions);
  void Forget(RequestNumber number);
  // For the log.
  ServiceView ViewOf(const Tracked& tracked, Common::TimePoint now) const;
  Common::Milliseconds ComeBackAfter(const Tracked& tracked) const;
  Tracked* Find(RequestNumber number);
  void RefuseArrival(const RequestArrived& event, Common::Error error, Common::TimePoint now,
                     Actions* actions);

  GatewayOptions m_options;
  RequestLog m_log;
  std::shared_ptr<const Settings::Document> m_document;
  RouteTable m_routes;
  DeadlineWatch m_deadlines;
  TargetTable m_targets;
  WeightsBounds m_weights;
  std::map<std::string, ServiceQueue> m_queues;
  std::unordered_map<RequestNumber, Tracked> m_requests;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  GatewayCounts m_gateways;
  bool m_takes_requests = true;
};
} // namespace Holdpost::Gateway
