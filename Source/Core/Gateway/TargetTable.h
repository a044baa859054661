// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Gateway/DemandTracker.h"
#include "Core/Gateway/EngineCorrection.h"
#include "Core/Gateway/LeavingTargets.h"
#include "Core/Gateway/SpreadChoice.h"
#include "Core/Gateway/StartEstimate.h"
#include "Core/Gateway/Target.h"
#include "Core/Gateway/TargetLimit.h"
#include "Core/Gateway/TargetQuery.h"
#include "Core/Gateway/TargetRests.h"
#include "Core/Gateway/TargetSubset.h"

// The targets that a gateway may call, their load and health as far as they are known, and the
// choice between them.
namespace Holdpost::Gateway
{
class TargetTable
{
public:
  // `seed` determines the choices between equally good targets.
  explicit TargetTable(const std::string& hall, std::uint64_t seed = 0)
      : m_hall(hall), m_seed(seed), m_subset(hall, seed), m_rests(seed), m_random(seed)
  {
  }

  // Replaces the target list by the complete new list. Targets that are not on it get no new
  // requests.
  void SetList(const std::vector<ListedTarget>& list, Common::TimePoint now);
  // Sets the services that the settings name. A list entry of another service does not affect a
  // known target that has the same address.
  void SetServices(std::set<std::string> services) { m_services = std::move(services); }
  void SetEngine(const std::string& service, const std::optional<Settings::EngineProfile>& engine);
  bool HasEngine(const std::string& service) const { return m_engines.contains(service); }
  // Factor by which answers of the service's engines take longer than published; 1 if they are as
  // published.
  double CorrectionOf(const std::string& service) const;
  void OnLoadReport(const TargetLoad& load, Common::TimePoint now);

  // Sets the number of gateways: the gateways of this hall, including this gateway, choose targets
  // from the same load reports.
  void SetGateways(const GatewayCounts& gateways);
  // Chooses the target with the least expected time until the answer starts. Empty if there is no
  // target, or if other requests are expected to use up the remaining capacity.
  std::optional<TargetChoice> Choose(const TargetQuery& query, Common::TimePoint now);
  ServiceCapacity CapacityFor(const TargetQuery& query, Common::TimePoint now) const;
  TargetSummary SummaryOf(const TargetQuery& query, Common::TimePoint now) const;
  // The number of requests that wait or run at the service's targets, divided by the number of
  // their slots.
  double Utilization(const std::string& service, Common::TimePoint now) const;
  // The time until each target of the service has had the opportunity to start a new request: a
  // pass of an engine, or the time that a plain service takes for an answer.
  Common::Duration PassTimeOf(const std::string& service) const;
  // The mean time in which a full target finishes all its running requests.
  Common::Duration TurnoverTimeOf(const std::string& service) const;
  // The time from the start to the end of an answer while all slots of its target are in use; zero
  // for a plain service.
  Common::Duration GenerationTimeOf(const std::string& service, std::uint32_t answer_tokens) const;
  // Whether a connection that the target has just lost may be due to a crash: a target that is
  // leaving, or that has left the list while it still ran, ends as planned.
  bool MayHaveCrashed(const TargetId& id) const;
  // Whether this incarnation of the target is known to have ended.
  bool HasEnded(const TargetId& id, std::uint64_t incarnation) const;
  // The listed target at the address; empty if there is none.
  TargetId FindByAddress(const Common::Address& address) const;
  // The current network delay of a message to the target.
  Common::Duration NetworkDelayTo(const TargetId& id) const;
  // The version of the weights that the target is known to have; 0 if the version or the target is
  // not known.
  std::uint64_t WeightsAt(const TargetId& id) const;
  // Whether a recent report says that the target is switching to this version, or to a later one,
  // before it starts any other request.
  bool IsSwitchingTo(const TargetId& id, std::uint64_t version, Common::TimePoint now) const;
  // Whether an agent reports on the target.
  bool HasAgent(const TargetId& id) const;
  // Whether the target's agent reports at present.
  bool HasRecentReport(const TargetId& id, Common::TimePoint now) const;
  // Whether the target still has this incarnation: after a restart, a target has no state of
  // earlier requests.
  bool IsSameIncarnation(const TargetId& id, std::uint64_t incarnation) const;

  void OnArrival(const std::string& service, Common::TimePoint now)
  {
    m_demand.OnArrival(service, now);
  }
  void OnRefused(const std::string& service, Common::TimePoint now)
  {
    m_demand.OnRefused(service, now);
  }
  // The demand at this gateway for services that have engines.
  DemandReport CurrentDemand(Common::TimePoint now) const;
  // `request` identifies the request until it has ended.
  void OnDispatched(const TargetId& id, std::uint64_t request, std::uint32_t prompt_tokens,
                    Common::Duration expected_start, Common::TimePoint now);
  // Compares the measured start time of an answer with the engine's published times, or updates the
  // mean request time of a plain service.
  void OnStartMeasured(const std::string& service, const TargetChoice& choice,
                       Common::Duration measured, Common::TimePoint now);
  // Called when the answer, or its first event, has arrived.
  void OnStarted(const TargetId& id, std::uint64_t request, std::uint32_t prompt_tokens,
                 Common::TimePoint now);
  void OnEnded(const TargetId& id, std::uint64_t request, std::uint32_t unread_prompt_tokens);
  void OnSucceeded(const TargetId& id);
  // Called when the target could not be reached, or when its answer broke off.
  void OnFailed(const TargetId& id, Common::TimePoint now);
  // Called when an answer is overdue. A target of which nothing shows that it runs is avoided.
  // Returns whether it is such a target.
  bool OnOverdue(const TargetId& id, Common::TimePoint now);
  // Called when the target has answered that it is full.
  void OnFull(const TargetId& id, Common::TimePoint now);
  // Called when an answer of the target has named a rate limit, or none.
  void OnRateLimit(const TargetId& id, std::optional<double> per_second, Common::TimePoint now);
  bool IsLimited(const TargetId& id) const;
  // Called when the target has turned a request away and asked for rest. Returns the time at which
  // requests may be sent to it again.
  Common::TimePoint OnRestAsked(const TargetChoice& choice, Common::Duration rest,
                                Common::TimePoint now);
  // Called when the target has not turned the request away.
  void OnAccepted(const TargetId& id, std::uint64_t request);
  // Called when the target has said that it leaves. Returns false if it is known.
  bool OnLeaving(const LeavingTarget& target, Common::TimePoint now);
  // Called when a target at the address other than `id` has said that it leaves.
  void OnOtherLeaving(const Common::Address& address, const TargetId& id, Common::TimePoint now);
  std::vector<LeavingTarget> Leaving() const { return m_leaving.All(); }
  // Called when another target has the address of the target: the target has ended, though it may
  // still be on the target list.
  void OnReplaced(const TargetId& id, Common::TimePoint now);

  std::size_t Size() const { return m_targets.size(); }
  // The number of known targets of which a load report has arrived since this process started.
  std::size_t ReportedCount() const;
  // All targets that are listed and not replaced.
  std::vector<ListedTarget> Listed() const;
  // IsUsed() tells whether the listed target at the address belongs to the subset that this gateway
  // uses. UsedAddresses() returns the addresses of all targets of the subset that have agents.
  bool IsUsed(const Common::Address& address) const;
  std::vector<Common::Address> UsedAddresses() const;
  // Whether targets of other halls are needed, because the best target of this hall would start a
  // request too late.
  bool NeedsOtherHalls(Common::TimePoint now) const { return now < m_crowded_until; }
  // The unfinished work that this gateway has at the target.
  GatewayWork WorkAt(const TargetId& id) const;
  // The address of a target that has an agent beside it, to which this gateway can announce its
  // work; empty if the target has no agent.
  std::optional<Common::Address> AgentAddressOf(const TargetId& id) const;

private:
  struct Target
  {
    ListedTarget listed;
    // The target's agent reported the incarnation before the list did.
    bool is_incarnation_reported = false;
    bool is_on_list = false;
    // When the target first appeared on this gateway's target list.
    Common::TimePoint known_since{};
    // When the agent first reported the target, while the platform does not list it yet; empty once
    // the platform lists it.
    std::optional<Common::TimePoint> reported_at;
    // Whether the target belongs to the subset that this gateway uses.
    bool is_used = true;
    // Smaller than any real cost, so that each gateway prefers a different one of equally good
    // targets.
    Common::Duration tie_break{};
    // Another target has the address of this target. The record of this target may stay on the list
    // for a while; the target becomes available again with a new incarnation, or if its agent says
    // that it still runs.
    bool is_replaced = false;
    Common::TimePoint replaced_at{};
    std::uint32_t local_requests = 0;
    double unread_prompt_tokens = 0;
    // Prompt tokens of the requests that this gateway sent after the last load report.
    double unread_since_load = 0;
    // The last load report of the target's agent.
    std::optional<TargetLoad> load;
    std::uint32_t local_requests_at_load = 0;
    // Requests of this gateway whose answers had not started when the last load report arrived.
    std::size_t local_waiting_at_load = 0;
    Common::TimePoint load_received{};
    // When the first report arrived of an agent that started anew within a switch; empty once it
    // knows how the switch has ended.
    std::optional<Common::TimePoint> unchecked_since;
    // The unanswered requests, each with the time at which its answer was expected to start.
    std::map<std::uint64_t, Common::TimePoint> expected_starts;
    // The latest of these times among the answers that have started.
    Common::TimePoint latest_started = Common::TimePoint::min();
    // When the last request was sent.
    Common::TimePoint sent_at{};
    // When the last answer of the target started.
    Common::TimePoint answered_at = Common::TimePoint::min();
    // How much later than expected the recent answers started.
    Common::Duration lag{};
    Common::TimePoint lag_updated{};
    std::uint32_t failures = 0; // consecutive failures since the last success
    Common::TimePoint avoid_until{};
    // The target has rejected a request, and accepted none since.
    bool is_rejecting = false;
    TargetLimit limit;

    bool IsListed() const { return is_on_list && !is_replaced; }
  };

  // The age up to which a load report is used; an older one says nothing about the present.
  static constexpr Common::Duration LOAD_LIFETIME = Common::Milliseconds(2000);
  // A load report that is younger than this is recent enough to tell which requests the target has
  // received, and whether it is switching to another version.
  static constexpr Common::Duration FRESH_LOAD_AGE = Common::Milliseconds(500);

  struct Engine
  {
    Settings::EngineProfile published;
    EngineCorrection correction;
    // The published profile, corrected by the measured factor.
    Settings::EngineProfile corrected;
  };

  // Resets a target that has restarted under the same id: all that is known describes the earlier
  // incarnation.
  static void BeginIncarnation(Target& target, std::uint64_t incarnation, Common::TimePoint now);
  bool IsKnownService(const std::string& service) const
  {
    return m_services.empty() || m_services.contains(service);
  }
  // Whether the report shows that the target, which was taken for replaced, has run since.
  static bool IsShownToRun(const Target& target, const TargetLoad& load);
  void UpdateSubset();
  // Adds a target that its agent reports before the platform lists it.
  void AddReported(const TargetLoad& load, Common::TimePoint now);
  // A target at the address, if it has an agent. The target may have been replaced or may have left
  // the target list. Empty if there is none.
  TargetId FindPredecessor(const Common::Address& address) const;
  // Marks the earlier targets at the addresses of the added targets as replaced, because an address
  // belongs to one target at a time.
  void MarkReplacedAt(const std::map<Common::Address, TargetId>& added, Common::TimePoint now);
  const Settings::EngineProfile* EngineOf(const std::string& service) const;
  double LoadOf(const Target& target, Common::TimePoint now) const;
  // The load of a target without an agent. The requests that the other gateways have there are
  // estimated from the arrivals at this gateway.
  double PlainLoadOf(const Target& target, Common::TimePoint now) const;
  // The mean time that a plain service takes for an answer.
  Common::Duration PlainTimeOf(const std::string& service) const;
  Common::Duration ExpectedPlainStart(const Target& target, Common::TimePoint now) const;
  std::size_t ListedCount(const std::string& service) const;
  // Factor by which the target is slower than its engine profile, as its agent reports it.
  static double PaceOf(const Target& target) { return target.load ? target.load->pace : 1; }
  bool HasValidLoad(const Target& target, Common::TimePoint now) const;
  // The work that the target has, as far as is known.
  TargetWork WorkOf(const Target& target, const Settings::EngineProfile& engine,
                    Common::TimePoint now) const;
  // The targets that can accept a request, and the cost of each.
  struct Candidates
  {
    std::vector<TargetChoice> choices;
    std::vector<SpreadOption> options;
    // How long one more request delays the next one at a candidate, summed over all candidates.
    Common::Duration sum_of_delays{};
  };
  SpreadParameters SpreadParametersFor(const TargetQuery& query, const Candidates& candidates,
                                       Common::TimePoint now) const;
  // Which open targets are left out.
  struct CandidateFilter
  {
    bool excludes_rejecting = false;
    bool excludes_unproven = false;
    bool excludes_unconfirmed = false;
  };
  // The open targets in the subset that this gateway uses, or all open targets if none of the
  // subset is open.
  Candidates OpenCandidatesFor(const TargetQuery& query, Common::TimePoint now,
                               CandidateFilter filter) const;
  // Which targets the request should not go to while others have a free slot.
  CandidateFilter PreferredFor(const TargetQuery& query, Common::TimePoint now) const;
  // The open candidates. While another target has a free slot, a request that cannot be retried
  // does not go to a target that may reject it again, and a retry does not go to a target of which
  // nothing shows that it runs. A target within an unconfirmed switch is no candidate while another
  // one is reported to serve. If no target is open, the candidates are avoided targets that
  // qualify as a last resort.
  Candidates CandidatesFor(const TargetQuery& query, Common::TimePoint now) const;
  void AddCandidate(const TargetId& id, const Target& target, const TargetQuery& query,
                    Common::TimePoint now, Candidates* candidates) const;
  bool IsOpenFor(const TargetId& id, const Target& target, const TargetQuery& query,
                 Common::TimePoint now) const;
  // Whether the agent's last word of the target is that it switches, and nothing tells how the
  // switch has ended.
  bool IsSwitchUnconfirmed(const Target& target, Common::TimePoint now) const;
  // Called before the report takes the place of the last one.
  static void UpdateUnchecked(Target& target, const TargetLoad& load, Common::TimePoint now);
  // Whether the target's agent reports that it serves, and nothing is known that keeps it from
  // beginning the request, except that others may have filled it.
  bool IsReportedToServe(const Target& target, const TargetQuery& query,
                         Common::TimePoint now) const;
  // Whether targets within an unconfirmed switch are left out, because another one serves.
  bool ExcludesUnconfirmed(const TargetQuery& query, Common::TimePoint now) const;
  // Whether a plain service's target that is avoided after failures may be used because there is no
  // other target.
  bool IsLastResortFor(const TargetId& id, const Target& target, const TargetQuery& query,
                       Common::TimePoint now) const;
  // Whether the request may be sent now. If the targets cannot start all expected requests in time,
  // requests are admitted at random, with a probability that depends on the admitted share.
  bool IsAdmitted(const TargetQuery& query, const std::vector<SpreadOption>& options,
                  const SpreadParameters& spread, Common::TimePoint now);
  // A random number, uniformly distributed from 0 to 1.
  double RandomFraction();
  // Records when no target of this hall can start the request soon.
  void UpdateCrowding(const TargetQuery& query, const std::vector<SpreadOption>& options,
                      Common::TimePoint now);
  std::uint64_t WeightsOf(const Target& target) const;
  // A request is assumed to start at the target after at most twice the expected time plus this
  // margin.
  Common::Duration StartMargin(const Target& target, Common::TimePoint now) const;
  // Whether a request that is sent now, even if it starts late, would start with weights that meet
  // all switch deadlines that are due by its start.
  bool MeetsSwitchDeadlines(const Target& target, const TargetQuery& query, Common::Duration start,
                            Common::TimePoint now) const;
  // When the target is expected to have loaded weights with which the request may begin then; empty
  // if that is not known.
  struct ExpectedWeights
  {
    Common::Duration ready_in{};
    bool is_arriving = false;
    // The requests of this gateway for which the target has slots.
    double capacity = 0;
  };
  std::optional<ExpectedWeights> WeightsExpectedAt(const Target& target, const TargetQuery& query,
                                                   Common::TimePoint now) const;
  // The part of the target's slots that falls to this gateway.
  double CapacityShareOf(const Target& target) const;
  static WeightsOutlook OutlookOf(std::vector<ExpectedWeights> expected, std::size_t waiting);
  Common::Duration ExpectedStartAt(const Target& target, std::uint32_t prompt_tokens,
                                   Common::TimePoint now) const;
  Common::Duration LagOf(const Target& target, Common::TimePoint now) const;
  // The lag that the answers show that have started.
  Common::Duration MeasuredLagOf(const Target& target, Common::TimePoint now) const;
  // By how much the answers are late that have not started; zero if the target has since started an
  // answer that was expected later.
  static Common::Duration OverdueOf(const Target& target, Common::TimePoint now);
  // The target that is tried with this request although its unanswered requests let it look late,
  // as all targets look late and it has been sent nothing for a while; empty if there is none.
  std::optional<TargetChoice> ProbeFor(const TargetQuery& query,
                                       const std::vector<TargetChoice>& choices,
                                       Common::TimePoint now) const;
  static Common::Duration NetworkDelayTo(const Target& target);
  // Whether the target's agent has not reported since the target became known to this gateway,
  // while other agents report. The target has then probably ended, and its record has not expired
  // yet.
  bool IsUnreported(const Target& target, Common::TimePoint now) const;
  // Whether the target's agent has reported before, but has stopped reporting.
  static bool IsSilent(const Target& target, Common::TimePoint now);
  // Whether any agent has reported lately.
  bool HasRecentReports(Common::TimePoint now) const;
  // Whether neither a report nor an answer has shown lately that the target runs, while other
  // agents report.
  bool LacksProof(const Target& target, Common::TimePoint now) const;
  enum class Availability
  {
    Open,
    Leaving,
    Avoided,
    Switching,
    WithoutWeights,
    Unreported,
    Limited,
    Resting,
  };
  // Whether the target list or the target itself says that it leaves.
  bool IsLeaving(const Target& target) const;
  // The one place that decides whether a target may be sent a request, and if not, why.
  Availability AvailabilityOf(const Target& target, Common::TimePoint now) const;
  bool IsOpen(const Target& target, Common::TimePoint now) const;
  // How long the request, if it is sent to the target now, would delay the target's planned switch
  // to another version of the weights.
  Common::Duration SwitchDelay(const Target& target, const TargetQuery& query,
                               Common::TimePoint now) const;

  std::string m_hall;
  std::uint64_t m_seed;
  TargetSubset m_subset;
  GatewayCounts m_gateways;
  std::map<TargetId, Target> m_targets;
  // Targets that have left the target list but may still answer, with the time at which they left.
  std::map<TargetId, Common::TimePoint> m_departed_at;
  LeavingTargets m_leaving;
  TargetRests m_rests;
  std::set<std::string> m_services;
  std::map<std::string, Engine> m_engines;
  // The mean request time by service, for services without an engine.
  std::map<std::string, Common::Duration> m_plain_times;
  std::mt19937_64 m_random;
  DemandTracker m_demand;
  Common::TimePoint m_crowded_until{};
  // When the last report of any agent arrived.
  Common::TimePoint m_last_report = Common::TimePoint::min();
};
} // namespace Holdpost::Gateway
