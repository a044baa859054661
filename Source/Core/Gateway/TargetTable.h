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
#include "Core/Gateway/DemandWatch.h"
#include "Core/Gateway/EngineCorrection.h"
#include "Core/Gateway/SpreadChoice.h"
#include "Core/Gateway/StartEstimate.h"
#include "Core/Gateway/Target.h"
#include "Core/Gateway/TargetReach.h"

// The targets that a gateway may call, what it knows of their load and health, and the choice
// between them.
namespace Holdpost::Gateway
{
// Weights that every request has to begin on from a time on.
struct WeightsBound
{
  std::uint64_t version = 0;
  Common::TimePoint due = Common::TimePoint::max();
  Control::KnownSince since = {};
  // Requests that may begin on older weights are looked for until then.
  Common::TimePoint sweep_until = {};
};

// A request that looks for a target.
struct TargetWish
{
  std::string service;
  std::uint32_t prompt_tokens = 0;
  // As the caller guesses, or the most.
  std::uint32_t answer_tokens = 0;
  // Targets that had it already.
  std::set<TargetId> tried;
  // Weights that are bound to be in use, the one due first in front.
  std::vector<WeightsBound> weights;
  // How many others wait for the service at this gateway.
  std::size_t waiting = 0;
  // A start later than that is of no use.
  std::optional<Common::Duration> start_most = std::nullopt;
};

struct TargetChoice
{
  TargetId id;
  Common::Address address;
  std::uint64_t weights_version = 0;
  // Until the first event, or the answer.
  Common::Duration expected_start{};
  // What the engine's published times alone foretell; zero if it has none. Compared with what
  // comes, it shows whether these times are right.
  Common::Duration published_start{};
  // Requests there, as far as is known.
  double load = 0;
  // How old the last report of it is; empty if there was none.
  std::optional<Common::Duration> report_age;
  bool has_free_slot = false;
  // The incarnation of the target that is meant.
  std::uint64_t incarnation = 0;
};

// What there is for a request at the moment.
struct ServiceRoom
{
  // When the best target would begin it; below zero if there is none.
  Common::Duration best_start = Common::Milliseconds(-1);
  // The part of all that is about to be sent that can begin in time.
  double admitted_part = 0;
  // What comes to the gateways that send to the same targets.
  GatewayDemand demand;
};

// Why targets of a service take no requests, or not this one. Each listed target counts once.
struct TargetSurvey
{
  std::uint32_t listed = 0;
  std::uint32_t open = 0;
  std::uint32_t leaving = 0;
  // Failed, or said that they have no room, a moment ago.
  std::uint32_t avoided = 0;
  // Take other weights now, and the requests that they can run then, for each gateway.
  std::uint32_t switching = 0;
  double switching_room = 0;
  std::uint32_t without_weights = 0;
  // Are on the list, but their agents have not reported yet, though others have.
  std::uint32_t unreported = 0;
  // Would begin it on weights that are too old by then.
  std::uint32_t old_weights = 0;
};

class TargetTable
{
public:
  // `seed` is for choices between targets that are as good.
  explicit TargetTable(const std::string& hall, std::uint64_t seed = 0)
      : m_hall(hall), m_seed(seed), m_reach(hall, seed), m_random(seed)
  {
  }

  // The whole list. Targets that are not on it get no new requests.
  void SetList(const std::vector<ListedTarget>& list, Common::TimePoint now);
  // The services that the settings name: an entry of another one says nothing of a known target.
  void SetServices(std::set<std::string> services) { m_services = std::move(services); }
  void SetEngine(const std::string& service, const std::optional<Settings::EngineProfile>& engine);
  bool HasEngine(const std::string& service) const { return m_engines.contains(service); }
  // By how much answers of the service's engines take longer than published; 1 if as published.
  double CorrectionOf(const std::string& service) const;
  void OnLoad(const TargetLoad& load, Common::TimePoint now);

  // Those of the own hall, this one included, choose from the same reports.
  void SetGateways(const GatewayCounts& gateways);
  // The target with the least expected time until an answer begins; empty if there is none, or if
  // others are expected to take what room there is.
  std::optional<TargetChoice> Choose(const TargetWish& wish, Common::TimePoint now);
  ServiceRoom RoomFor(const TargetWish& wish, Common::TimePoint now) const;
  TargetSurvey SurveyOf(const TargetWish& wish, Common::TimePoint now) const;
  // Requests that wait or run at the service's targets, over their slots.
  double Utilization(const std::string& service, Common::TimePoint now) const;
  // How long it takes until each target of the service has had the chance to begin something new: a
  // pass of an engine, or an answer of a plain service.
  Common::Duration PassTimeOf(const std::string& service) const;
  // The mean time in which a full target ends all that it runs.
  Common::Duration TurnoverOf(const std::string& service) const;
  bool IsAcceptable(const TargetId& id) const;
  // The listed target at the address; empty if there is none.
  TargetId FindByAddress(const Common::Address& address) const;
  // How long a message to the target may take at the moment.
  Common::Duration WayTo(const TargetId& id) const;
  // The weights that the target is known to have; 0 if it is not known.
  std::uint64_t WeightsAt(const TargetId& id) const;
  // Whether a fresh report says that the target takes this version, or a later one, before it
  // begins anything.
  bool IsTaking(const TargetId& id, std::uint64_t version, Common::TimePoint now) const;
  // Whether the target has not started again since: a later incarnation knows nothing of earlier
  // requests.
  bool IsSameIncarnation(const TargetId& id, std::uint64_t incarnation) const;

  void OnArrival(const std::string& service, Common::TimePoint now)
  {
    m_demand.OnArrival(service, now);
  }
  void OnRefused(const std::string& service, Common::TimePoint now)
  {
    m_demand.OnRefused(service, now);
  }
  // What comes to this gateway for services with engines.
  OwnDemand DemandHere(Common::TimePoint now) const;
  // `request` names the request until it has ended.
  void OnDispatched(const TargetId& id, std::uint64_t request, std::uint32_t prompt_tokens,
                    Common::Duration expected_start, Common::TimePoint now);
  // What the start of an answer shows of the engine's published times, or of how long the answers
  // of a plain service take.
  void OnStartMeasured(const std::string& service, const TargetChoice& choice,
                       Common::Duration took, Common::TimePoint now);
  // The answer, or its first event, has come.
  void OnStarted(const TargetId& id, std::uint64_t request, std::uint32_t prompt_tokens,
                 Common::TimePoint now);
  void OnEnded(const TargetId& id, std::uint64_t request, std::uint32_t unread_prompt_tokens);
  void OnSucceeded(const TargetId& id);
  // Could not be reached, or broke off.
  void OnFailed(const TargetId& id, Common::TimePoint now);
  // Said that it has no room.
  void OnFull(const TargetId& id, Common::TimePoint now);
  // Another target has its address: this one is gone, though it may still be on the list.
  void OnReplaced(const TargetId& id, Common::TimePoint now);

  std::size_t Size() const { return m_targets.size(); }
  // How many of them have been reported since this process started.
  std::size_t Reported() const;
  // Addresses of the listed targets of services that need weights, with their halls.
  std::vector<ListedTarget> Listed() const;
  // Whether this gateway sends to the target at the address as long as it can, and all of those
  // that have agents.
  bool IsUsed(const Common::Address& address) const;
  std::vector<Common::Address> Used() const;
  // Whether targets of other halls are needed: the best one here would begin too late.
  bool NeedsOtherHalls(Common::TimePoint now) const { return now < m_crowded_until; }
  // What this gateway has at the target.
  OwnWork OwnWorkAt(const TargetId& id) const;
  // The address of a target that has an agent beside it, which can be told of work; empty if it
  // has none.
  std::optional<Common::Address> AgentOf(const TargetId& id) const;

private:
  struct Target
  {
    ListedTarget listed;
    bool is_on_list = false;
    // When it was first on the list that this gateway knows.
    Common::TimePoint known_since{};
    // Since when its agent alone tells of it; empty once the platform lists it.
    std::optional<Common::TimePoint> reported_at;
    // In reach of this gateway.
    bool is_used = true;
    // Less than any real cost: between equal targets each gateway has a choice of its own.
    Common::Duration tie_break{};
    // Another one has its address. Its record may stay on the list for a while; it comes back with
    // a new incarnation only.
    bool is_replaced = false;
    std::uint32_t own = 0;
    double unread_prompt_tokens = 0;
    // Those of requests that were sent after the last report.
    double unread_since_load = 0;
    // From the last report of its agent.
    std::optional<TargetLoad> load;
    std::uint32_t own_at_load = 0;
    // Own requests that had not begun then.
    std::size_t own_waiting_at_load = 0;
    Common::TimePoint load_received{};
    // Requests without an answer yet, by the time at which one was expected.
    std::map<std::uint64_t, Common::TimePoint> expected;
    // How much later than expected answers came of late.
    Common::Duration lag{};
    Common::TimePoint lag_updated{};
    std::uint32_t failures = 0; // since the last success
    Common::TimePoint avoid_until{};

    bool IsListed() const { return is_on_list && !is_replaced; }
  };

  // A report that is younger tells what its target does at this moment.
  static constexpr Common::Duration FRESH_LOAD = Common::Milliseconds(500);

  struct Engine
  {
    Settings::EngineProfile published;
    EngineCorrection correction;
    // As corrected.
    Settings::EngineProfile present;
  };

  // The target has started again under its id: all that is known is about the incarnation before.
  static void BeginIncarnation(Target& target, std::uint64_t incarnation, Common::TimePoint now);
  bool IsKnownService(const std::string& service) const
  {
    return m_services.empty() || m_services.contains(service);
  }
  void UpdateReach();
  // Takes in a target that its agent tells of, before the platform lists it.
  void AddReported(const TargetLoad& load, Common::TimePoint now);
  // The listed target at the address that has an agent, whatever became of it; empty if none.
  TargetId FindBefore(const Common::Address& address) const;
  // An address belongs to one target at a time: who had those of the added ones is gone.
  void ReplaceThoseAt(const std::map<Common::Address, TargetId>& added, Common::TimePoint now);
  const Settings::EngineProfile* EngineOf(const std::string& service) const;
  double LoadOf(const Target& target, Common::TimePoint now) const;
  // Of a target without an agent: what the other gateways have there is worked out from what comes
  // to this one.
  double PlainLoadOf(const Target& target, Common::TimePoint now) const;
  // How long answers of a plain service take, as a mean.
  Common::Duration PlainTimeOf(const std::string& service) const;
  Common::Duration PlainStart(const Target& target, Common::TimePoint now) const;
  std::size_t ListedCount(const std::string& service) const;
  // How much slower than its profile it is, as its agent says.
  static double PaceOf(const Target& target) { return target.load ? target.load->pace : 1; }
  bool HasFreshLoad(const Target& target, Common::TimePoint now) const;
  // What the target has to do, as far as is known.
  TargetWork WorkOf(const Target& target, const Settings::EngineProfile& engine,
                    Common::TimePoint now) const;
  // Targets that would do, and what each of them costs.
  struct Candidates
  {
    std::vector<TargetChoice> choices;
    std::vector<SpreadOption> options;
    // Of all of them, what one more request at a target puts off the next one by.
    Common::Duration delays_of_one{};
  };
  Spread SpreadOf(const TargetWish& wish, const Candidates& candidates,
                  Common::TimePoint now) const;
  // Those in reach, or all if none of these is open.
  Candidates CandidatesFor(const TargetWish& wish, Common::TimePoint now) const;
  void AddCandidate(const TargetId& id, const Target& target, const TargetWish& wish,
                    Common::TimePoint now, Candidates* candidates) const;
  bool IsOpenFor(const TargetId& id, const Target& target, const TargetWish& wish,
                 Common::TimePoint now) const;
  // Whether a target that has failed is used all the same, as there is no other one.
  bool IsLastResortFor(const TargetId& id, const Target& target, const TargetWish& wish,
                       Common::TimePoint now) const;
  // Whether the request is sent now, of all that compete for what room there is.
  bool IsAdmitted(const TargetWish& wish, const std::vector<SpreadOption>& options,
                  const Spread& spread, Common::TimePoint now);
  // Uniform from 0 to 1.
  double Draw();
  // Notes whether the own hall can begin a usual request in time.
  void NoteCrowding(const TargetWish& wish, const std::vector<SpreadOption>& options,
                    Common::TimePoint now);
  std::uint64_t WeightsOf(const Target& target) const;
  // How much later than twice the expected time a request may begin there.
  Common::Duration StartMargin(const Target& target, Common::TimePoint now) const;
  // Whether a request that is sent now would begin in time on weights that are good enough.
  bool HasGoodWeights(const Target& target, const TargetWish& wish, Common::Duration start,
                      Common::TimePoint now) const;
  Common::Duration ExpectedStartAt(const Target& target, std::uint32_t prompt_tokens,
                                   Common::TimePoint now) const;
  Common::Duration LagOf(const Target& target, Common::TimePoint now) const;
  static Common::Duration WayTo(const Target& target);
  // Whether its agent has not reported since the target is known here, though others do: it has
  // probably ended, and its record has not lapsed yet.
  bool IsUnreported(const Target& target, Common::TimePoint now) const;
  // Whether its agent has reported before, and does not any more.
  static bool IsSilent(const Target& target, Common::TimePoint now);
  enum class Access
  {
    Open,
    Leaving,
    Avoided,
    Switching,
    WithoutWeights,
    Unreported,
  };
  Access AccessOf(const Target& target, Common::TimePoint now) const;
  bool IsOpen(const Target& target, Common::TimePoint now) const;
  // By how much a request that begins there now would hold up the target's planned switch to other
  // weights.
  Common::Duration SwitchDelay(const Target& target, const TargetWish& wish,
                               Common::TimePoint now) const;

  std::string m_hall;
  std::uint64_t m_seed;
  TargetReach m_reach;
  GatewayCounts m_gateways;
  std::map<TargetId, Target> m_targets;
  // Targets that were on the list once and are not any more, though they may still answer.
  std::map<TargetId, Common::TimePoint> m_gone;
  std::set<std::string> m_services;
  std::map<std::string, Engine> m_engines;
  // By service without an engine.
  std::map<std::string, Common::Duration> m_plain_times;
  std::mt19937_64 m_random;
  DemandWatch m_demand;
  Common::TimePoint m_crowded_until{};
  // The last report of any agent.
  Common::TimePoint m_last_report = Common::TimePoint::min();
};
} // namespace Holdpost::Gateway
