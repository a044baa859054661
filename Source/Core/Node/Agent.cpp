// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Agent.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/Mailbox.h"
#include "Core/Placement/Placement.h"

namespace Holdpost::NodeCore
{
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;
using Membership::Role;
using Settings::Field;

// Silence takes an instance out of the candidates without any message.
static constexpr Milliseconds CANDIDATES_PERIOD = Milliseconds(2000);
static constexpr Milliseconds CLAIM_RETRY = Milliseconds(1000);
// The status of an engine's answer while it has no weights.
static constexpr int NO_MODEL_STATUS = 503;

static std::string ClaimId(const Identity& self)
{
  return fmt::format("{}.{}", self.instance, self.incarnation);
}

Agent::Agent(AgentIdentity identity, Common::Metrics& metrics)
    : Base(identity.node, Role::Agent, metrics), m_identity(std::move(identity)),
      m_weights(m_self.instance, m_self.hall, m_identity.pool, m_self.incarnation, m_membership,
                metrics),
      m_lease(m_identity.target_name)
{
  m_lease.SetClaimId(ClaimId(m_self));
}

void Agent::Handle(Event event, TimePoint now, Actions* actions)
{
  if (!HandleShared(event, now, actions))
    HandleOwn(event, now, actions);
  TakeHeldVersions(now, actions);
}

void Agent::HandleOwn(Event& event, TimePoint now, Actions* actions)
{
  std::visit(Common::Overloaded{[&](const AnnouncementReceived& m)
                                {
                                  m_membership.OnSeen(m.from.instance, m.from.address,
                                                      m.from.incarnation, now);
                                  m_weights.Handle(m, now, actions);
                                },
                                [&](const PieceRequested& m) { m_weights.Handle(m, now, actions); },
                                [&](const PieceAbandoned& m) { m_weights.Handle(m, now, actions); },
                                [&](const PieceFetched& m) { m_weights.Handle(m, now, actions); },
                                [&](const RunRequested& m) { OnRunRequested(m, actions); },
                                [&](const RunAbandoned& m)
                                {
                                  if (m_open_runs.contains(m.tag))
                                    actions->push_back(CancelTargetRun{m.tag});
                                  OnRunOver(m.tag, "abandoned");
                                },
                                [&](const TargetAnswered& m) { OnAnswered(m, now, actions); },
                                [&](const TargetRunEnded& m)
                                {
                                  if (m.error)
                                    m_deployment.RequestCheck();
                                  OnRunOver(m.tag, m.error ? Common::AnswerFor(m.error->kind).name
                                                           : "whole");
                                  actions->push_back(AnswerRunEnd{m.tag, m.error});
                                },
                                [&](const KeyAsked& m)
                                {
                                  Claims::KeptAnswer lost;
                                  lost.state = Claims::KeyState::Lost;
                                  actions->push_back(AnswerKey{m.tag, lost});
                                },
                                [&](const BarRequested& m) {
                                  actions->push_back(AnswerBar{m.tag, m_runs.Bar(m.key)});
                                },
                                [&](const TargetLoaded& m) { OnLoaded(m, now, actions); },
                                [&](const AppendDone& m)
                                {
                                  if (m.purpose == AppendPurpose::WriteSnapshot)
                                    return m_follower.OnSnapshotWritten(m);
                                  // A claim whose answer was lost shows up in the log under its id;
                                  // a second one under the same id does no harm.
                                  m_is_claiming = false;
                                  m_claim_not_before = now + CLAIM_RETRY;
                                  if (!Common::Succeeded(m.result))
                                    m_metrics.Add("holdpost_claim_failed_total");
                                },
                                [](const auto&) {}},
             event);
}

void Agent::OnSettings(TimePoint now, Actions* actions)
{
  m_weights.ApplySettings(HallSettings());
  m_weights.RefreshCandidates(Tree(), now, actions);
  Replan(now, actions);
}

void Agent::OnListRead(TimePoint now, Actions* actions)
{
  m_weights.RefreshCandidates(Tree(), now, actions);
  m_weights.OnListRead(now, actions);
  Replan(now, actions);
}

void Agent::OnCaughtUp(TimePoint sent, TimePoint now, Actions* actions)
{
  const bool was_lost = m_lease.IsLost();
  m_lease.OnLogRead(m_follower.Fold(), sent, HallSettings().Time(Field::LeaseMs));
  if (m_lease.IsLost() && !was_lost)
  {
    WARN_LOG(AGENT, "Another agent has claimed the target {}.", m_identity.target_name);
    ReportSoon();
  }
  if (!m_lease.HasClaim() && !m_lease.IsLost() && now >= m_claim_not_before)
    ClaimTarget(actions);
}

Membership::ServiceState Agent::Offered() const
{
  Membership::ServiceState state = m_deployment.Serving();
  state.is_ready = state.is_ready && !m_lease.IsLost();
  return state;
}

void Agent::ClaimTarget(Actions* actions)
{
  if (m_is_claiming || IsLeaving())
    return;
  m_is_claiming = true;
  const Settings::TargetClaim claim{ClaimId(m_self), m_identity.target_name, m_self.instance};
  actions->push_back(AppendRecord{AppendPurpose::ClaimTarget, Settings::EncodeRecord(claim)});
}

std::optional<Placement::ServicePlan> Agent::OwnPlan(TimePoint now) const
{
  const std::vector<Placement::ServicePlan> plans = Placement::PlansFor(Tree(), m_self.hall);
  std::vector<Placement::Candidate> candidates = {{m_self.instance, m_identity.pool}};
  for (const Membership::Member* member : m_membership.UsableAgents(now))
  {
    if (member->report.hall == m_self.hall)
      candidates.push_back({member->report.instance, member->report.pool});
  }
  const auto placed = Placement::Place(plans, candidates);
  const auto own = placed.find(m_self.instance);
  if (own == placed.end())
    return std::nullopt;
  return *std::ranges::find(plans, own->second, &Placement::ServicePlan::service);
}

void Agent::Replan(TimePoint now, Actions* actions)
{
  // A leaving agent keeps what it has until it is gone.
  if (!m_follower.HasState() || IsLeaving())
    return;
  const auto plan = OwnPlan(now);
  Deployment::Actions made;
  m_deployment.OnPlan(plan, now, &made);
  Carry(made, now, actions);
  m_switch_most = plan ? plan->switch_most : 0;
  if (plan)
  {
    m_runs.SetSlots(
        static_cast<std::uint32_t>(SettingsAt(plan->service).Integer(Field::SlotsPerTarget)));
  }
}

bool Agent::MayOrder(TimePoint now) const
{
  if (m_lease.IsLost() || !m_lease.HasClaim())
    return false;
  // A target that checks the fence refuses a stale order by itself, so it may be given orders while
  // the log is out of reach; another one only under a lease that was renewed in time.
  return m_identity.target_checks_fence || m_lease.MayOrder(now);
}

bool Agent::MaySwitch(TimePoint now) const
{
  if (m_switch_most == 0)
    return true;
  // All entries that report must agree, and by these settings or newer ones. In a hall without
  // an entry nobody is served, so nothing can be switched off for callers.
  for (const auto& [entry, word] : m_load_words)
  {
    const bool is_fresh = now - word.last_seen < HallSettings().Time(Field::DeadAfterMs);
    if (is_fresh && (!word.may_load || word.accepted < m_follower.Fold().AcceptedOffset()))
      return false;
  }
  return true;
}

void Agent::OnRoleTick(TimePoint now, Actions* actions)
{
  if (now >= m_candidates_due)
  {
    m_weights.RefreshCandidates(Tree(), now, actions);
    m_candidates_due = now + CANDIDATES_PERIOD;
  }
  m_weights.OnTick(now, actions);
  TakeHeldVersions(now, actions);
  m_runs.ForgetSilentEntries(now, HallSettings().Time(Field::DeadAfterMs));
  Deployment::Actions made;
  m_deployment.OnTick(now, MayOrder(now), MaySwitch(now), &made);
  Carry(made, now, actions);
}

std::optional<TimePoint> Agent::NextWakeup(TimePoint now) const
{
  return m_weights.State().NextWakeup(now);
}

void Agent::TakeHeldVersions(TimePoint now, Actions* actions)
{
  for (const Common::Digest& version : m_weights.TakeHeld())
  {
    Deployment::Actions made;
    m_deployment.OnVersionHeld(version, now, &made);
    m_deployment.OnTick(now, MayOrder(now), MaySwitch(now), &made);
    Carry(made, now, actions);
  }
}

void Agent::Carry(const Deployment::Actions& made, TimePoint now, Actions* actions)
{
  for (const Deployment::Action& action : made)
  {
    std::visit(Common::Overloaded{[&](const Deployment::WantVersion& want)
                                  {
                                    m_weights.Want(want.version, now, actions);
                                    // Who else wants it decides who fetches what: look anew before
                                    // anything is fetched.
                                    RefreshList(actions);
                                    // It may have been held all along.
                                    const Distribution::Swarm* swarm =
                                        m_weights.State().Find(want.version);
                                    Deployment::Actions none;
                                    if (swarm && swarm->IsHeld())
                                      m_deployment.OnVersionHeld(want.version, now, &none);
                                  },
                                  [&](const Deployment::KeepVersions& keep)
                                  { m_weights.KeepOnly(keep.versions, actions); },
                                  [&](const Deployment::OrderLoad& order)
                                  { OrderLoad(order, now, actions); },
                                  [&](const Deployment::CancelOrder& cancel)
                                  { actions->push_back(CancelLoad{cancel.order}); }},
               action);
  }
}

void Agent::OrderLoad(const Deployment::OrderLoad& order, TimePoint now, Actions* actions)
{
  const Distribution::Swarm* swarm = m_weights.State().Find(order.version);
  if (!swarm || !swarm->IsHeld())
  {
    OnLoaded({order.order, Error{ErrorKind::Internal, "the weights are gone"}}, now, actions);
    return;
  }
  INFO_LOG(ENGINE, "{} version {}.",
           order.is_check ? "Asks whether the target still has" : "Orders the target to load",
           order.version.Short());
  LoadTarget load;
  load.order = order.order;
  load.model = order.model;
  load.version = order.version;
  load.is_check = order.is_check;
  load.manifest = swarm->Piece(Distribution::MANIFEST_PIECE);
  for (std::uint32_t piece = 0; piece < swarm->ManifestHeld()->PieceCount(); ++piece)
    load.pieces.push_back(swarm->Piece(piece));
  load.fence = {m_lease.FencingToken(), m_follower.Fold().AcceptedOffset()};
  actions->push_back(std::move(load));
  ReportSoon();
}

void Agent::OnLoaded(const TargetLoaded& loaded, TimePoint now, Actions* actions)
{
  if (const auto* error = std::get_if<Error>(&loaded.result))
  {
    WARN_LOG(ENGINE, "The target did not load: {}.", error->message);
    m_metrics.Add("holdpost_order_failed_total",
                  Common::Reason(Common::AnswerFor(error->kind).name));
  }
  Deployment::Actions made;
  m_deployment.OnOrderDone(loaded.order, loaded.result, now, &made);
  Carry(made, now, actions);
  if (Common::Succeeded(loaded.result) && m_deployment.Serving().is_ready)
  {
    INFO_LOG(AGENT, "Serves {} at version {}.", m_deployment.Serving().service,
             m_deployment.Serving().version.Short());
  }
  ReportSoon();
}

void Agent::OnRunRequested(const RunRequested& requested, Actions* actions)
{
  const Runs::Admission admission = m_runs.OnRequest(requested.request, Offered());
  if (const auto* error = std::get_if<Error>(&admission))
  {
    m_metrics.Add("holdpost_run_refused_total",
                  Common::Reason(Common::AnswerFor(error->kind).name));
    actions->push_back(AnswerRunEnd{requested.tag, *error});
    return;
  }
  m_metrics.Add("holdpost_runs_started_total");
  m_open_runs[requested.tag] = {requested.request.key, m_deployment.Known()};
  actions->push_back(RunOnTarget{requested.tag, requested.request});
}

void Agent::OnAnswered(const TargetAnswered& answered, TimePoint now, Actions* actions)
{
  const auto found = m_open_runs.find(answered.tag);
  if (found == m_open_runs.end())
    return;
  // Nothing is compared where an order was under way since the run began.
  const auto known = m_deployment.Known();
  const bool is_other = known && known == found->second.known_version &&
                        !answered.version.IsZero() && answered.version != known->version;
  if (!is_other)
  {
    if (answered.status == NO_MODEL_STATUS && answered.version.IsZero())
      m_deployment.RequestCheck();
    actions->push_back(
        AnswerHead{answered.tag, answered.status, answered.content_type, answered.version});
    return;
  }
  WARN_LOG(ENGINE, "The target answers with version {} instead of {}: it has to load again.",
           answered.version.Short(), known->version.Short());
  m_metrics.Add("holdpost_target_other_version_total");
  m_deployment.OnOtherVersion(now);
  actions->push_back(CancelTargetRun{answered.tag});
  OnRunOver(answered.tag, "other_version");
  actions->push_back(AnswerRunEnd{
      answered.tag, Error{ErrorKind::TargetFailed, "the target answered with another version"}});
  ReportSoon();
}

void Agent::OnRunOver(CallTag tag, std::string_view how)
{
  const auto found = m_open_runs.find(tag);
  if (found == m_open_runs.end())
    return;
  m_runs.OnEnded(found->second.key);
  m_open_runs.erase(found);
  m_metrics.Add("holdpost_runs_ended_total", Common::Reason(how));
}

void Agent::OnPeerUnreachable(const std::string& instance, TimePoint now, Actions* actions)
{
  m_weights.OnPeerLost(instance, now, actions);
}

void Agent::OnPeerReport(const Membership::Report& report, TimePoint now, Actions* /*actions*/)
{
  if (report.role == Role::Entry && report.hall == m_self.hall)
  {
    m_runs.OnDemand(report.instance, report.demand, now);
    m_load_words[report.instance] = {report.may_load, report.accepted, now};
  }
}

void Agent::FillReport(Membership::Report& report) const
{
  report.pool = m_identity.pool;
  for (const auto& [version, swarm] : m_weights.State().Versions())
  {
    const auto& manifest = swarm->ManifestHeld();
    report.versions.push_back(
        {version, swarm->PiecesHeld(), manifest ? manifest->PieceCount() : 0});
  }
  if (m_deployment.Serving().service.empty() && !m_deployment.IsLoading())
    return;
  Membership::ServiceState state = Offered();
  state.is_ready = state.is_ready && !IsLeaving();
  state.is_loading = m_deployment.IsLoading();
  state.running = m_runs.Running();
  report.services.push_back(state);
}

void Agent::FillReportTo(const std::string& receiver, Membership::Report& report) const
{
  report.credits = m_runs.CreditsFor(receiver);
}

std::string Agent::NotReadyReason() const
{
  if (!m_follower.HasState())
    return "no settings yet";
  if (IsLeaving())
    return "leaving";
  if (m_lease.IsLost())
    return "another agent has the target";
  return m_deployment.Serving().is_ready ? "" : "the target serves nothing yet";
}

void Agent::OnLeave(TimePoint /*now*/, Actions* /*actions*/)
{
  m_runs.Leave();
}
} // namespace Holdpost::NodeCore
