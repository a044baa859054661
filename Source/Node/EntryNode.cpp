// SPDX-License-Identifier: Apache-2.0
#include "Node/EntryNode.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Core/Placement/Placement.h"

namespace Holdpost::Node
{
using Common::Error;
using Common::ErrorKind;
using Common::HttpExchange;
using Common::Result;
using Common::TimePoint;
using Membership::Role;
using Settings::Field;

// Bytes of one answer that wait for a slow caller before the target is held back.
static constexpr std::size_t BUFFERED_BYTES_MOST = 256 << 10;

EntryNode::EntryNode(EntryConfig config)
    : NodeBase(config.node, Role::Entry), m_config(std::move(config)),
      m_server(m_loop, Common::HttpServer::Limits{m_config.body_bytes_most, Common::Seconds(75)},
               [this](const std::shared_ptr<HttpExchange>& exchange) { OnCaller(exchange); }),
      m_router(Common::StableHash(m_config.node.instance, Incarnation()))
{
}

Result<std::string> EntryNode::Listen()
{
  const Result<Common::Address> address = m_server.Listen(m_config.caller_listen);
  if (const auto* error = std::get_if<Error>(&address))
    return *error;
  return fmt::format(" caller={}", std::get<Common::Address>(address).ToString());
}

void EntryNode::RefuseAtOnce(HttpExchange& exchange, const Error& error)
{
  m_metrics.Add("holdpost_refused_total", Common::Reason(Common::AnswerFor(error.kind).name));
  ReplyError(exchange, error);
}

void EntryNode::OnCaller(const std::shared_ptr<HttpExchange>& exchange)
{
  m_metrics.Add("holdpost_requests_total");
  if (IsLeaving())
    return RefuseAtOnce(*exchange, {ErrorKind::Leaving, "this entry is leaving"});
  if (!m_follower->HasState())
    return RefuseAtOnce(*exchange, {ErrorKind::NotReady, "this entry has no settings yet"});
  const auto request = CallerPeer::ParseCallerRequest(exchange->Request());
  if (const auto* error = std::get_if<Error>(&request))
    return RefuseAtOnce(*exchange, *error);
  if (const auto error = Admit(exchange, std::get<CallerPeer::CallerRequest>(request)))
    RefuseAtOnce(*exchange, *error);
}

std::optional<Error> EntryNode::Admit(const std::shared_ptr<HttpExchange>& exchange,
                                      const CallerPeer::CallerRequest& request)
{
  const std::string& hall = m_config.node.hall;
  const std::string service = request.model.empty()
                                  ? request.service
                                  : CallerPeer::ServiceForModel(Tree(), hall, request.model);
  const std::string organisation =
      CallerPeer::OrganisationFor(Tree(), hall, service, request.credential);
  // One answer for a service that is not there and one that the organisation may not use.
  if (organisation.empty())
    return Error{ErrorKind::BadCredential, "the credential is not known for this service"};
  if (!request.idempotency_key.empty())
  {
    return Error{ErrorKind::LogUnavailable,
                 "requests with Idempotency-Key are not taken by this version"};
  }
  const Settings::Effective settings(
      Tree(), Settings::MakePlace(Settings::RegionOf(Tree(), hall), hall, service, organisation));
  if (!settings.Flag(Field::Enabled))
    return Error{ErrorKind::NotFound, "the service is closed"};

  const TimePoint now = Now();
  const std::uint64_t number = m_next_number++;
  OpenRequest& open = m_open[number];
  open.exchange = exchange;
  open.arrived = now;
  open.answer_bytes_most = static_cast<std::size_t>(settings.Integer(Field::AnswerBytesMost));
  open.run = {{m_config.node.instance, Incarnation(), number},
              0,
              service,
              organisation,
              request.method,
              request.path,
              request.content_type,
              request.body,
              static_cast<std::uint32_t>(settings.Integer(Field::Priority))};
  exchange->OnGone([this, number] { OnCallerGone(number); });

  Routing::Request routed;
  routed.number = number;
  routed.organisation = organisation;
  routed.service = service;
  routed.cost = request.cost;
  if (!request.prompt_start.empty())
  {
    // Salted, so that no organisation can find out another's prompts by timing.
    routed.affinity =
        Common::StableHash(request.prompt_start, Common::StableHash(organisation + "/" + service));
  }
  routed.deadline = now + request.deadline.value_or(settings.Time(Field::DeadlineMs));
  routed.is_repeatable = settings.Flag(Field::Repeatable);
  routed.weight = settings.Integer(Field::Weight);
  routed.queue_most = static_cast<std::size_t>(settings.Integer(Field::QueueMost));
  m_router.SetQuota(organisation, settings.Integer(Field::TokensPerSecond),
                    settings.Integer(Field::BurstTokens));
  m_router.SetRetryPercent(service, settings.Integer(Field::RetryPercent));
  Routing::Actions actions;
  m_router.Submit(routed, now, &actions);
  Carry(std::move(actions));
  return std::nullopt;
}

void EntryNode::Carry(Routing::Actions actions)
{
  for (const Routing::Action& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
}

void EntryNode::Do(const Routing::Dispatch& action)
{
  const auto found = m_open.find(action.number);
  if (found == m_open.end())
    return;
  OpenRequest& open = found->second;
  open.target = action.target;
  open.run.settled_below = m_router.SettledBelow(m_next_number);
  const Membership::Member* member = m_membership.Find(action.target);
  if (!member)
  {
    OnRunEnded({action.number, Error{ErrorKind::NotReady, "the target is gone"}});
    return;
  }
  m_metrics.Observe("holdpost_queue_seconds", Now() - open.arrived);
  m_rpc.Post(InstancePeer::StartRun{action.target, member->report.address, open.run});
}

void EntryNode::Do(const Routing::Refuse& action)
{
  const auto found = m_open.find(action.number);
  if (found == m_open.end())
    return;
  const auto exchange = found->second.exchange;
  m_open.erase(found);
  exchange->OnGone(nullptr);
  RefuseAtOnce(*exchange, action.error);
}

void EntryNode::Do(const Routing::CancelRun& action)
{
  m_rpc.Post(InstancePeer::CancelRun{action.number});
}

void EntryNode::Do(const Routing::CountRetry& action)
{
  m_metrics.Add("holdpost_retries_total",
                Common::Reason(action.reason == Routing::RetryReason::TargetRefused
                                   ? "target_refused"
                                   : "unreachable"));
}

void EntryNode::OnCallerGone(std::uint64_t number)
{
  m_metrics.Add("holdpost_caller_gone_total");
  m_open.erase(number);
  Routing::Actions actions;
  m_router.OnCallerGone(number, Now(), &actions);
  Carry(std::move(actions));
}

void EntryNode::OnHead(const InstancePeer::RunHead& head)
{
  const auto found = m_open.find(head.number);
  if (found == m_open.end() || found->second.has_head)
  {
    m_metrics.Add("holdpost_late_parts_total");
    return;
  }
  OpenRequest& open = found->second;
  open.has_head = true;
  open.is_event_stream = head.content_type.starts_with("text/event-stream");
  m_router.OnStarted(head.number, Now());
  m_metrics.Observe("holdpost_first_byte_seconds", Now() - open.arrived);
  Common::HttpHeaders headers = {{"Holdpost-Target", open.target},
                                 {"Holdpost-Request", std::to_string(head.number)}};
  if (!head.content_type.empty())
    headers["Content-Type"] = head.content_type;
  if (!head.version.IsZero())
    headers["Holdpost-Version"] = head.version.ToHex();
  open.exchange->StartStream(head.status, headers);
}

void EntryNode::OnChunk(const InstancePeer::RunChunk& chunk)
{
  const auto found = m_open.find(chunk.number);
  if (found == m_open.end() || !found->second.has_head)
  {
    m_metrics.Add("holdpost_late_parts_total");
    return;
  }
  OpenRequest& open = found->second;
  open.answer_bytes += chunk.data.size();
  if (open.answer_bytes > open.answer_bytes_most)
  {
    m_rpc.Post(InstancePeer::CancelRun{chunk.number});
    CutAnswer(chunk.number, {ErrorKind::AnswerTooLarge, "the answer is larger than allowed"});
    return;
  }
  open.exchange->SendChunk(chunk.data);
  if (open.exchange->BufferedBytes() < BUFFERED_BYTES_MOST)
  {
    m_rpc.Post(InstancePeer::TakeNextPart{chunk.number});
    return;
  }
  open.exchange->OnDrained(
      [this, number = chunk.number]
      {
        const auto waiting = m_open.find(number);
        if (waiting == m_open.end())
          return;
        waiting->second.exchange->OnDrained(nullptr);
        m_rpc.Post(InstancePeer::TakeNextPart{number});
      });
}

void EntryNode::FinishRequest(std::uint64_t number)
{
  m_open.erase(number);
  Routing::Actions actions;
  m_router.OnEnded(number, Now(), &actions);
  Carry(std::move(actions));
}

void EntryNode::CutAnswer(std::uint64_t number, const Error& error)
{
  OpenRequest& open = m_open.at(number);
  m_metrics.Add("holdpost_answers_cut_total", Common::Reason(Common::AnswerFor(error.kind).name));
  if (open.is_event_stream)
    open.exchange->SendChunk(fmt::format("event: error\ndata: {}\n\n", ErrorBody(error)));
  open.exchange->OnGone(nullptr);
  open.exchange->Cut();
  FinishRequest(number);
}

void EntryNode::OnRunEnded(const InstancePeer::RunEnded& ended)
{
  const auto found = m_open.find(ended.number);
  if (found == m_open.end())
  {
    m_metrics.Add("holdpost_late_parts_total");
    return;
  }
  OpenRequest& open = found->second;
  if (!ended.error && open.has_head)
  {
    m_metrics.Add("holdpost_answers_whole_total");
    open.exchange->OnGone(nullptr);
    open.exchange->EndStream();
    FinishRequest(ended.number);
    return;
  }
  const Error error =
      ended.error.value_or(Error{ErrorKind::AnswerCut, "the target ended without an answer"});
  if (open.has_head)
    return CutAnswer(ended.number, {ErrorKind::AnswerCut, error.message});
  if (error.kind == ErrorKind::Unreachable)
  {
    // Ask once whether it started; a target that never got it bars it and says so.
    const Membership::Member* member = m_membership.Find(open.target);
    if (member)
    {
      m_rpc.Post(InstancePeer::AskToBar{open.target, member->report.address, open.run.key});
      return;
    }
  }
  OnRunFailed(ended.number, error);
}

void EntryNode::OnBarAnswered(const InstancePeer::BarAnswered& answered)
{
  const auto* standing = std::get_if<Runs::Standing>(&answered.standing);
  if (standing && *standing == Runs::Standing::Barred)
    return OnRunFailed(answered.number, {ErrorKind::TargetRefused, "the target did not get it"});
  OnRunFailed(answered.number, {ErrorKind::Unreachable, "lost the target while it may have run"});
}

void EntryNode::OnRunFailed(std::uint64_t number, const Error& error)
{
  Routing::Actions actions;
  if (Common::AnswerFor(error.kind).outcome == Common::Outcome::NotRun)
    m_router.OnNotRun(number, error, Now(), &actions);
  else
    m_router.OnOutcomeUnknown(number, error, Now(), &actions);
  Carry(std::move(actions));
}

void EntryNode::OnRpc(InstancePeer::FromRpc message)
{
  std::visit(
      Common::Overloaded{[this](InstancePeer::RunHead& m) { OnHead(m); },
                         [this](InstancePeer::RunChunk& m) { OnChunk(m); },
                         [this](InstancePeer::RunEnded& m) { OnRunEnded(m); },
                         [this](InstancePeer::BarAnswered& m) { OnBarAnswered(m); },
                         [this](InstancePeer::RunRequested& m)
                         {
                           m_rpc.Post(InstancePeer::AnswerRunEnd{
                               m.tag, Error{ErrorKind::NotReady, "entries run nothing"}});
                         },
                         [this](InstancePeer::PieceRequested& m)
                         {
                           m_rpc.Post(InstancePeer::AnswerPiece{
                               m.tag, Error{ErrorKind::PieceNotHeld, "entries hold no weights"}});
                         },
                         [this](InstancePeer::BarRequested& m) {
                           m_rpc.Post(InstancePeer::AnswerBar{m.tag, Runs::Standing::Barred});
                         },
                         [](auto&) {}},
      message);
}

void EntryNode::UpdateTarget(const Membership::Report& report)
{
  if (report.role != Role::Agent || report.hall != m_config.node.hall)
    return;
  const TimePoint now = Now();
  Routing::Actions actions;
  const Membership::Member* member = m_membership.Find(report.instance);
  const bool is_offered = member && m_membership.IsUsable(*member, now) &&
                          !report.services.empty() && report.services.front().is_ready;
  if (is_offered)
  {
    const Membership::ServiceState& service = report.services.front();
    m_router.SetTarget(service.service, report.instance, {report.credits, service.version}, now,
                       &actions);
  }
  else
    m_router.RemoveTarget(report.instance, now, &actions);
  Carry(std::move(actions));
}

void EntryNode::OnPeerReport(const Membership::Report& report)
{
  UpdateTarget(report);
}

void EntryNode::OnPeerUnreachable(const std::string& instance)
{
  Routing::Actions actions;
  m_router.RemoveTarget(instance, Now(), &actions);
  Carry(std::move(actions));
}

void EntryNode::OnMembership()
{
  // A leaving mark on the list, or a silence, takes a target out.
  for (const auto& [name, member] : m_membership.All())
  {
    if (!m_membership.IsUsable(member, Now()))
      OnPeerUnreachable(name);
  }
}

void EntryNode::OnSettings() {}

void EntryNode::OnTick(TimePoint now)
{
  Routing::Actions actions;
  m_router.OnTick(now, &actions);
  Carry(std::move(actions));
  OnMembership();
  if (IsLeaving() && m_open.empty())
  {
    INFO_LOG(ENTRY, "No request is open any more: gone.");
    Quit();
  }
}

void EntryNode::FillReport(Membership::Report& /*report*/) {}

void EntryNode::FillReportTo(const std::string& receiver, Membership::Report& report)
{
  const Membership::Member* member = m_membership.Find(receiver);
  if (member && !member->report.services.empty())
    report.demand = m_router.DemandFor(member->report.services.front().service);
}

std::string EntryNode::NotReadyReason() const
{
  if (!m_follower->HasState())
    return "no settings yet";
  return IsLeaving() ? "leaving" : "";
}

std::string EntryNode::StatusJson() const
{
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, member] : m_membership.All())
  {
    nlohmann::json row = {{"instance", name},
                          {"hall", member.report.hall},
                          {"role", member.report.role == Role::Entry ? "entry" : "agent"},
                          {"alive", m_membership.IsAlive(member, Now())},
                          {"accepted", member.report.accepted}};
    if (!member.report.services.empty())
    {
      const auto& service = member.report.services.front();
      row["service"] = service.service;
      row["ready"] = service.is_ready;
      row["serving_version"] = service.version.IsZero() ? "" : service.version.ToHex();
      row["running"] = service.running;
    }
    for (const auto& version : member.report.versions)
    {
      row["versions"].push_back({{"version", version.version.ToHex()},
                                 {"pieces_held", version.pieces_held},
                                 {"pieces_total", version.pieces_total}});
    }
    members.push_back(std::move(row));
  }
  return nlohmann::json{{"instance", m_config.node.instance},
                        {"hall", m_config.node.hall},
                        {"role", "entry"},
                        {"position", m_follower->Fold().Position()},
                        {"accepted", m_follower->Fold().AcceptedOffset()},
                        {"log_reachable", m_follower->IsLogReachable()},
                        {"leaving", IsLeaving()},
                        {"open_requests", m_open.size()},
                        {"instances", members}}
      .dump();
}

void EntryNode::RefreshMetrics(Common::Metrics& metrics)
{
  metrics.Set("holdpost_open_requests", static_cast<double>(m_open.size()));
}

void EntryNode::OnLeave()
{
  // New connections go elsewhere at once; requests on open ones are refused as not run.
  m_server.StopListening();
}
} // namespace Holdpost::Node
