// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>

#include "Core/Deployment/Deployment.h"
#include "Core/Membership/Lease.h"
#include "Core/Node/AgentWeights.h"
#include "Core/Node/Base.h"
#include "Core/Runs/Runs.h"

// The decisions of the process in the slot at a target.
namespace Holdpost::NodeCore
{
struct AgentIdentity
{
  Identity node;
  std::string pool;
  // A name that stays when the agent is replaced; the claim in the log is made under it.
  std::string target_name;
  bool target_checks_fence = true;
};

class Agent final : public Base
{
public:
  Agent(AgentIdentity identity, Common::Metrics& metrics);

  void Handle(Event event, Common::TimePoint now, Actions* actions) override;
  std::optional<Common::TimePoint> NextWakeup(Common::TimePoint now) const override;
  std::string NotReadyReason() const override;

  // Whether an order may be given to the target at this moment.
  bool MayOrder(Common::TimePoint now) const;
  const Deployment::Deployment& TargetState() const { return m_deployment; }
  const Runs::Runs& Account() const { return m_runs; }
  const Distribution::Exchange& Weights() const { return m_weights.State(); }
  const Membership::Lease& TargetLease() const { return m_lease; }

private:
  void OnStart(const Common::Address& address) override { m_weights.SetAddress(address); }
  void OnSettings(Common::TimePoint now, Actions* actions) override;
  void OnCaughtUp(Common::TimePoint sent, Common::TimePoint now, Actions* actions) override;
  void OnListRead(Common::TimePoint now, Actions* actions) override;
  void OnPeerReport(const Membership::Report& report, Common::TimePoint now,
                    Actions* actions) override;
  void OnPeerUnreachable(const std::string& instance, Common::TimePoint now,
                         Actions* actions) override;
  void OnRoleTick(Common::TimePoint now, Actions* actions) override;
  void FillReport(Membership::Report& report) const override;
  void FillReportTo(const std::string& receiver, Membership::Report& report) const override;
  void OnLeave(Common::TimePoint now, Actions* actions) override;
  bool MayQuit() const override { return m_runs.Running() == 0; }

  void HandleOwn(Event& event, Common::TimePoint now, Actions* actions);
  void ClaimTarget(Actions* actions);
  // What entries may send here: nothing once another agent has the target.
  Membership::ServiceState Offered() const;
  void Replan(Common::TimePoint now, Actions* actions);
  std::optional<Placement::ServicePlan> OwnPlan(Common::TimePoint now) const;
  void TakeHeldVersions(Common::TimePoint now, Actions* actions);
  void Carry(const Deployment::Actions& made, Common::TimePoint now, Actions* actions);
  void OrderLoad(const Deployment::OrderLoad& order, Common::TimePoint now, Actions* actions);
  void OnLoaded(const TargetLoaded& loaded, Common::TimePoint now, Actions* actions);
  void OnRunRequested(const RunRequested& requested, Actions* actions);
  void OnAnswered(const TargetAnswered& answered, Common::TimePoint now, Actions* actions);
  void OnRunOver(CallTag tag, std::string_view how);

  // Whether the hall's limit on targets that load at once lets this one load.
  bool MaySwitch(Common::TimePoint now) const;

  AgentIdentity m_identity;
  AgentWeights m_weights;
  Deployment::Deployment m_deployment;
  Membership::Lease m_lease;
  Runs::Runs m_runs;
  struct OpenRun
  {
    Runs::RunKey key;
    // As the run began.
    std::optional<Deployment::Deployment::KnownVersion> known_version;
  };
  std::map<CallTag, OpenRun> m_open_runs;
  std::uint32_t m_switch_most = 0;
  // What the entries of the hall said last about loading, with the settings that they went by.
  struct LoadWord
  {
    bool may_load = false;
    Common::Offset accepted = 0;
    Common::TimePoint last_seen{};
  };
  std::map<std::string, LoadWord> m_load_words;
  Common::TimePoint m_candidates_due{};
  bool m_is_claiming = false;
  Common::TimePoint m_claim_not_before{};
};
} // namespace Holdpost::NodeCore
