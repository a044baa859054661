// SPDX-License-Identifier: Apache-2.0
#include "Node/AgentNode.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Core/Placement/Placement.h"

namespace Holdpost::Node
{
using Common::Digest;
using Common::Error;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Membership::Role;
using Settings::Field;

// Silence takes an instance out of the candidates without any message.
static constexpr Milliseconds CANDIDATES_PERIOD = Milliseconds(500);
static constexpr Milliseconds CLAIM_RETRY = Milliseconds(1000);

AgentNode::AgentNode(AgentConfig config)
    : NodeBase(config.node, Role::Agent), m_config(std::move(config)),
      m_engine(m_http, m_config.target), m_runs(m_rpc, m_engine, m_metrics),
      m_weights(m_config.node.instance, m_config.node.hall, Incarnation(), m_loop, m_rpc,
                m_platform, m_membership, m_metrics,
                {[this](const Digest& version)
                 {
                   Deployment::Actions actions;
                   m_deployment.OnVersionHeld(version, Now(), &actions);
                   Carry(std::move(actions));
                 }}),
      m_lease(m_config.target_name, m_config.node.instance)
{
  m_lease.SetClaimId(fmt::format("{}.{}", m_config.node.instance, Incarnation()));
}

// Options of the exchange, as the hall's settings state them.
static Distribution::ExchangeOptions ExchangeOptionsFrom(const Settings::Effective& settings)
{
  Distribution::ExchangeOptions options;
  options.swarm.patience = settings.Time(Field::PatienceMs);
  options.swarm.stall = settings.Time(Field::StallMs);
  options.swarm.window_per_peer = static_cast<std::uint32_t>(settings.Integer(Field::WindowPieces));
  options.neighbours = static_cast<std::size_t>(settings.Integer(Field::Neighbours));
  options.upload_queue_most = static_cast<std::size_t>(settings.Integer(Field::UploadQueueMost));
  const std::int64_t share = 100 - settings.Integer(Field::ServingSharePercent);
  options.link_bytes_per_second =
      static_cast<std::uint64_t>(settings.Integer(Field::LinkBytesPerSecond) * share / 100);
  // Who weighs origin bytes more waits longer before a piece may be drawn a second time.
  if (settings.Text(Field::Weigh) == "origin_bytes")
  {
    options.swarm.patience *= 4;
    options.swarm.may_hedge = false;
  }
  return options;
}

void AgentNode::OnSettings()
{
  m_weights.SetOptions(ExchangeOptionsFrom(HallSettings()));
  m_weights.RefreshCandidates(Tree());
  Replan();
}

void AgentNode::OnMembership()
{
  m_weights.RefreshCandidates(Tree());
  m_weights.OnListRead();
  Replan();
}

void AgentNode::OnLogRead(TimePoint sent)
{
  m_lease.OnLogRead(m_follower->Fold(), sent, HallSettings().Time(Field::LeaseMs));
  if (m_lease.IsLost())
    WARN_LOG(AGENT, "Another agent has claimed the target {}.", m_config.target_name);
  if (!m_lease.HasClaim() && !m_lease.IsLost() && Now() >= m_claim_not_before)
    ClaimTarget();
}

void AgentNode::ClaimTarget()
{
  if (m_is_claiming || IsLeaving())
    return;
  m_is_claiming = true;
  const Settings::TargetClaim claim{fmt::format("{}.{}", m_config.node.instance, Incarnation()),
                                    m_config.target_name, m_config.node.instance};
  m_platform.Append(Settings::EncodeRecord(claim),
                    [this](const Result<Common::Offset>& result)
                    {
                      m_is_claiming = false;
                      // A claim whose answer was lost shows up in the log under its id; a second
                      // one under the same id does no harm.
                      m_claim_not_before = Now() + CLAIM_RETRY;
                      if (!Common::Succeeded(result))
                        m_metrics.Add("holdpost_claim_failed_total");
                    });
}

void AgentNode::Replan()
{
  if (!m_follower->HasState())
    return;
  const std::vector<Placement::ServicePlan> plans = Placement::PlansFor(Tree(), m_config.node.hall);
  std::vector<Placement::Candidate> candidates;
  if (!IsLeaving())
    candidates.push_back({m_config.node.instance, m_config.pool});
  for (const auto* member : m_membership.UsableAgents(Now()))
  {
    if (member->report.hall == m_config.node.hall)
      candidates.push_back({member->report.instance, member->report.pool});
  }
  const auto placed = Placement::Place(plans, candidates);
  const auto own = placed.find(m_config.node.instance);
  std::optional<Placement::ServicePlan> plan;
  if (own != placed.end())
    plan = *std::ranges::find(plans, own->second, &Placement::ServicePlan::service);
  // A leaving agent keeps what it has until it is gone.
  if (IsLeaving())
    return;
  Deployment::Actions actions;
  m_deployment.OnPlan(plan, Now(), &actions);
  Carry(std::move(actions));
  if (plan)
  {
    const std::string region = Settings::RegionOf(Tree(), m_config.node.hall);
    const Settings::Effective settings(
        Tree(), Settings::MakePlace(region, m_config.node.hall, plan->service));
    m_runs.Account().SetSlots(static_cast<std::uint32_t>(settings.Integer(Field::SlotsPerTarget)));
  }
}

bool AgentNode::MayOrder() const
{
  if (m_lease.IsLost() || !m_lease.HasClaim())
    return false;
  // A target that checks the fence refuses a stale order by itself, so it may be given orders while
  // the log is out of reach; another one only under a lease that was renewed in time.
  return m_config.target_checks_fence || m_lease.MayOrder(Now());
}

void AgentNode::OnTick(TimePoint now)
{
  if (now >= m_candidates_due)
  {
    m_weights.RefreshCandidates(Tree());
    m_candidates_due = now + CANDIDATES_PERIOD;
  }
  m_runs.Account().ForgetSilentEntries(now, HallSettings().Time(Field::DeadAfterMs));
  Deployment::Actions actions;
  m_deployment.OnTick(now, MayOrder(), true, &actions);
  Carry(std::move(actions));
  if (IsLeaving() && m_runs.Account().Running() == 0)
  {
    INFO_LOG(AGENT, "Nothing runs any more: gone.");
    Quit();
  }
}

void AgentNode::Carry(Deployment::Actions actions)
{
  for (const Deployment::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
}

void AgentNode::Do(const Deployment::WantVersion& action)
{
  m_weights.Want(action.version);
  // Who else wants it decides who draws what: look anew before anything is drawn.
  RefreshInstanceList();
  // It may have been held all along.
  const Distribution::Swarm* swarm = m_weights.State().Find(action.version);
  if (swarm && swarm->IsHeld())
  {
    Deployment::Actions actions;
    m_deployment.OnVersionHeld(action.version, Now(), &actions);
    Carry(std::move(actions));
  }
}

void AgentNode::Do(const Deployment::KeepVersions& action)
{
  m_weights.KeepOnly(action.versions);
}

void AgentNode::Do(const Deployment::CancelOrder& action)
{
  m_engine.CancelLoad(action.order);
}

void AgentNode::Do(const Deployment::OrderLoad& action)
{
  const Distribution::Swarm* swarm = m_weights.State().Find(action.version);
  if (!swarm || !swarm->IsHeld())
    return OnLoaded(action.order, Error{Common::ErrorKind::Internal, "the weights are gone"});
  INFO_LOG(ENGINE, "Orders the target to load version {}.", action.version.Short());
  EnginePeer::LoadOrder order;
  order.model = action.model;
  order.version = action.version;
  order.manifest = swarm->Piece(Distribution::MANIFEST_PIECE);
  for (std::uint32_t piece = 0; piece < swarm->ManifestHeld()->PieceCount(); ++piece)
    order.pieces.push_back(swarm->Piece(piece));
  order.fence = {m_lease.FencingToken(), m_follower->Fold().AcceptedOffset()};
  order.may_order = [this] { return MayOrder(); };
  m_engine.Load(action.order, std::move(order),
                [this, id = action.order](const Result<std::monostate>& result)
                { OnLoaded(id, result); });
}

void AgentNode::OnLoaded(std::uint64_t order, const Result<std::monostate>& result)
{
  if (const auto* error = std::get_if<Error>(&result))
  {
    WARN_LOG(ENGINE, "The target did not load: {}.", error->message);
    m_metrics.Add("holdpost_order_failed_total",
                  Common::Reason(Common::AnswerFor(error->kind).name));
  }
  Deployment::Actions actions;
  m_deployment.OnOrderDone(order, result, Now(), &actions);
  Carry(std::move(actions));
  if (m_deployment.Serving().is_ready)
  {
    INFO_LOG(AGENT, "Serves {} at version {}.", m_deployment.Serving().service,
             m_deployment.Serving().version.Short());
  }
  ReportNow();
}

void AgentNode::OnRpc(InstancePeer::FromRpc message)
{
  std::visit(
      Common::Overloaded{
          [this](InstancePeer::AnnouncementReceived& m) { m_weights.OnAnnouncement(m); },
          [this](InstancePeer::PieceRequested& m) { m_weights.OnPieceRequested(m); },
          [this](InstancePeer::PieceFetched& m) { m_weights.OnPieceFetched(m); },
          [this](InstancePeer::RunRequested& m)
          { m_runs.OnRequested(std::move(m), m_deployment.Serving()); },
          [this](InstancePeer::RunAbandoned& m) { m_runs.OnAbandoned(m); },
          [this](InstancePeer::RunDrained& m) { m_runs.OnDrained(m); },
          [this](InstancePeer::BarRequested& m) { m_runs.OnBarRequested(m); }, [](auto&) {}},
      message);
}

void AgentNode::OnPeerUnreachable(const std::string& instance)
{
  m_weights.OnPeerLost(instance);
}

void AgentNode::OnPeerReport(const Membership::Report& report)
{
  if (report.role == Role::Entry && report.hall == m_config.node.hall)
    m_runs.Account().OnDemand(report.instance, report.demand, Now());
}

void AgentNode::FillReport(Membership::Report& report)
{
  report.pool = m_config.pool;
  for (const auto& [version, swarm] : m_weights.State().Versions())
  {
    const auto& manifest = swarm->ManifestHeld();
    report.versions.push_back(
        {version, swarm->PiecesHeld(), manifest ? manifest->PieceCount() : 0});
  }
  if (m_deployment.Serving().service.empty())
    return;
  Membership::ServiceState state = m_deployment.Serving();
  state.is_ready = state.is_ready && !IsLeaving();
  state.running = m_runs.Account().Running();
  report.services.push_back(state);
}

void AgentNode::FillReportTo(const std::string& receiver, Membership::Report& report)
{
  report.credits = m_runs.Account().CreditsFor(receiver);
}

std::string AgentNode::NotReadyReason() const
{
  if (!m_follower->HasState())
    return "no settings yet";
  if (IsLeaving())
    return "leaving";
  return m_deployment.Serving().is_ready ? "" : "the target serves nothing yet";
}

std::string AgentNode::StatusJson() const
{
  nlohmann::json versions = nlohmann::json::array();
  for (const auto& [version, swarm] : m_weights.State().Versions())
  {
    const auto& manifest = swarm->ManifestHeld();
    versions.push_back({{"version", version.ToHex()},
                        {"pieces_held", swarm->PiecesHeld()},
                        {"pieces_total", manifest ? manifest->PieceCount() : 0}});
  }
  const auto& serving = m_deployment.Serving();
  return nlohmann::json{{"instance", m_config.node.instance},
                        {"hall", m_config.node.hall},
                        {"role", "agent"},
                        {"position", m_follower->Fold().Position()},
                        {"accepted", m_follower->Fold().AcceptedOffset()},
                        {"log_reachable", m_follower->IsLogReachable()},
                        {"leaving", IsLeaving()},
                        {"fence", m_lease.FencingToken()},
                        {"service", serving.service},
                        {"ready", serving.is_ready},
                        {"serving_version", serving.is_ready && !serving.version.IsZero()
                                                ? serving.version.ToHex()
                                                : ""},
                        {"running", m_runs.Account().Running()},
                        {"versions", versions}}
      .dump();
}

void AgentNode::RefreshMetrics(Common::Metrics& metrics)
{
  metrics.Set("holdpost_runs_running", m_runs.Account().Running());
  metrics.Set("holdpost_target_ready", m_deployment.Serving().is_ready ? 1 : 0);
}

void AgentNode::OnLeave()
{
  m_runs.Account().Leave();
}
} // namespace Holdpost::Node
