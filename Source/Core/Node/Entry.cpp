// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Entry.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Mailbox.h"
#include "Core/Placement/Placement.h"
#include "Core/Routing/Access.h"

namespace Holdpost::NodeCore
{
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;
using Membership::Role;
using Settings::Field;

Entry::Entry(Identity identity, Common::Metrics& metrics)
    : Base(std::move(identity), Role::Entry, metrics),
      m_router(Common::StableHash(m_self.instance, m_self.incarnation)),
      m_keyed(m_self.instance, m_self.incarnation)
{
  m_follower.SetReader({[this](const Settings::LogRecord& record) { m_keyed.OnRecord(record); },
                        [this](Common::Offset first) { m_keyed.OnLogFirst(first); },
                        [this] { return m_keyed.Ledger().Position(); }});
}

void Entry::Handle(Event event, TimePoint now, Actions* actions)
{
  if (!HandleShared(event, now, actions))
    HandleOwn(event, now, actions);
}

void Entry::HandleOwn(Event& event, TimePoint now, Actions* actions)
{
  std::visit(
      Common::Overloaded{[&](CallerArrived& m) { OnCaller(m, now, actions); },
                         [&](CallerGone& m) { OnCallerGone(m, now, actions); },
                         [&](RunHead& m) { OnHead(m, now, actions); },
                         [&](RunChunk& m) { OnChunk(m, now, actions); },
                         [&](RunEnded& m) { OnRunEnded(m, now, actions); },
                         [&](BarAnswered& m) { OnBarAnswered(m, now, actions); },
                         [&](RunRequested& m) {
                           actions->push_back(AnswerRunEnd{
                               m.tag, Error{ErrorKind::NotReady, "entries run nothing"}});
                         },
                         [&](PieceRequested& m)
                         {
                           actions->push_back(AnswerPiece{
                               m.tag, Error{ErrorKind::PieceNotHeld, "entries hold no weights"}});
                         },
                         [&](BarRequested& m) {
                           actions->push_back(AnswerBar{m.tag, Runs::Standing::Barred});
                         },
                         [&](AppendDone& m)
                         {
                           if (m.purpose == AppendPurpose::ClaimKeys)
                             m_keyed.OnAppendDone();
                           else
                             m_follower.OnSnapshotWritten(m);
                         },
                         [&](KeyAsked& m) { OnKeyAsked(m, actions); },
                         [&](KeyAnswered& m)
                         {
                           Claims::Actions made;
                           m_keyed.OnHolderSaid(m.number, m.answer, &made);
                           CarryClaims(made, now, actions);
                         },
                         [](auto&) {}},
      event);
}

void Entry::Refuse(std::uint64_t number, const Error& error, Actions* actions)
{
  m_metrics.Add("holdpost_refused_total", Common::Reason(Common::AnswerFor(error.kind).name));
  actions->push_back(RefuseCaller{number, error});
}

void Entry::OnCaller(CallerArrived& caller, TimePoint now, Actions* actions)
{
  m_metrics.Add("holdpost_requests_total");
  m_next_number = std::max(m_next_number, caller.number + 1);
  if (const auto error = Admit(caller, now, actions))
    Refuse(caller.number, *error, actions);
}

std::optional<Error> Entry::Admit(CallerArrived& caller, TimePoint now, Actions* actions)
{
  Routing::CallerRequest& request = caller.request;
  if (IsLeaving())
    return Error{ErrorKind::Leaving, "this entry is leaving"};
  if (!m_follower.HasState())
    return Error{ErrorKind::NotReady, "this entry has no settings yet"};
  const std::string service =
      request.model.empty() ? request.service : Routing::ServiceForModel(m_plans, request.model);
  const std::string organisation =
      Routing::OrganisationFor(Tree(), m_self.hall, service, request.credential);
  // One answer for a service that is not there and one that the organisation may not use.
  if (organisation.empty())
    return Error{ErrorKind::BadCredential, "the credential is not known for this service"};
  const std::string key = request.idempotency_key;
  OpenRequest& open = m_open[caller.number];
  open = Prepare(caller, service, organisation, SettingsAt(service, organisation), now);
  if (key.empty())
  {
    Submit(open, now, actions);
    return std::nullopt;
  }
  open.is_keyed = true;
  const Runs::RunRequest& run = open.run;
  const Claims::KeyedRequest keyed{
      caller.number,
      {organisation + "/" + service, Common::Sha256(key).ToHex()},
      organisation,
      Common::Sha256(run.method + " " + run.path + "\n" + run.body).ToHex(),
      open.routed.deadline};
  Claims::Actions made;
  m_keyed.Begin(keyed, CanClaim(), now, &made);
  CarryClaims(made, now, actions);
  return std::nullopt;
}

Entry::OpenRequest Entry::Prepare(CallerArrived& caller, const std::string& service,
                                  const std::string& organisation,
                                  const Settings::Effective& settings, TimePoint now) const
{
  Routing::CallerRequest& request = caller.request;
  OpenRequest open;
  open.arrived = now;
  open.answer_bytes_most = static_cast<std::size_t>(settings.Integer(Field::AnswerBytesMost));
  open.kept_bytes_most = static_cast<std::size_t>(settings.Integer(Field::KeptAnswerBytes));
  open.run = {{m_self.instance, m_self.incarnation, caller.number},
              0,
              service,
              organisation,
              std::move(request.method),
              std::move(request.path),
              std::move(request.content_type),
              std::move(request.body),
              static_cast<std::uint32_t>(settings.Integer(Field::Priority))};
  Routing::Request& routed = open.routed;
  routed.number = caller.number;
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
  // A keyed request is one that may not run twice, whatever its service says.
  routed.is_repeatable = settings.Flag(Field::Repeatable) && request.idempotency_key.empty();
  routed.weight = settings.Integer(Field::Weight);
  routed.queue_most = static_cast<std::size_t>(settings.Integer(Field::QueueMost));
  return open;
}

void Entry::Submit(const OpenRequest& open, TimePoint now, Actions* actions)
{
  const Settings::Effective settings = SettingsAt(open.run.service, open.run.organisation);
  m_router.SetQuota(open.run.organisation, settings.Integer(Field::TokensPerSecond),
                    settings.Integer(Field::BurstTokens));
  m_router.SetRetryPercent(open.run.service, settings.Integer(Field::RetryPercent));
  const Routing::Request routed = open.routed; // the open request may be gone before Submit returns
  Routing::Actions made;
  m_router.Submit(routed, now, &made);
  Carry(made, now, actions);
}

void Entry::Carry(const Routing::Actions& made, TimePoint now, Actions* actions)
{
  for (const Routing::Action& action : made)
  {
    std::visit(
        Common::Overloaded{
            [&](const Routing::Dispatch& dispatch) { Dispatch(dispatch, now, actions); },
            [&](const Routing::Refuse& refuse)
            { RefuseOpen(refuse.number, refuse.error, now, actions); },
            [&](const Routing::CancelRun& cancel) { actions->push_back(CancelRun{cancel.number}); },
            [&](const Routing::CountRetry& retry) {
              m_metrics.Add("holdpost_retries_total",
                            Common::Reason(Routing::RetryReasonName(retry.reason)));
            }},
        action);
  }
}

void Entry::RefuseOpen(std::uint64_t number, const Error& error, TimePoint now, Actions* actions)
{
  if (m_open.erase(number) == 0)
    return;
  const bool is_not_run = Common::AnswerFor(error.kind).outcome == Common::Outcome::NotRun;
  m_keyed.OnOver(number, is_not_run ? Claims::KeyState::NeverRan : Claims::KeyState::Lost, now);
  Refuse(number, error, actions);
}

void Entry::Dispatch(const Routing::Dispatch& dispatch, TimePoint now, Actions* actions)
{
  const auto found = m_open.find(dispatch.number);
  if (found == m_open.end())
    return;
  OpenRequest& open = found->second;
  open.target = dispatch.target;
  open.is_asking = false;
  open.run.settled_below = m_router.SettledBelow(m_next_number);
  const Membership::Member* member = m_membership.Find(dispatch.target);
  if (!member)
  {
    OnRunFailed(dispatch.number, {ErrorKind::NotReady, "the target is gone"}, now, actions);
    return;
  }
  m_metrics.Observe("holdpost_queue_seconds", now - open.arrived);
  actions->push_back(StartRun{dispatch.target, member->report.address, open.run});
}

void Entry::OnCallerGone(const CallerGone& gone, TimePoint now, Actions* actions)
{
  if (m_open.erase(gone.number) == 0)
    return;
  m_keyed.OnCallerGone(gone.number);
  // Its run is stopped; how far it came is not known.
  m_keyed.OnOver(gone.number, Claims::KeyState::Lost, now);
  m_metrics.Add("holdpost_caller_gone_total");
  Routing::Actions made;
  m_router.OnCallerGone(gone.number, now, &made);
  Carry(made, now, actions);
}

void Entry::OnHead(const RunHead& head, TimePoint now, Actions* actions)
{
  const auto found = m_open.find(head.number);
  if (found == m_open.end() || found->second.has_head)
  {
    m_metrics.Add("holdpost_late_parts_total");
    return;
  }
  found->second.has_head = true;
  m_router.OnStarted(head.number, now);
  m_keyed.OnHead(head.number, head.status, head.content_type, head.version);
  m_metrics.Observe("holdpost_first_byte_seconds", now - found->second.arrived);
  actions->push_back(
      StartAnswer{head.number, head.status, head.content_type, head.version, found->second.target});
}

void Entry::OnChunk(RunChunk& chunk, TimePoint now, Actions* actions)
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
    actions->push_back(CancelRun{chunk.number});
    Cut(chunk.number, {ErrorKind::AnswerTooLarge, "the answer is larger than allowed"}, now,
        actions);
    return;
  }
  if (open.is_keyed)
    m_keyed.OnPart(chunk.number, chunk.data, open.kept_bytes_most);
  actions->push_back(PassPart{chunk.number, std::move(chunk.data)});
}

void Entry::Finish(std::uint64_t number, TimePoint now, Actions* actions)
{
  m_open.erase(number);
  Routing::Actions made;
  m_router.OnEnded(number, now, &made);
  Carry(made, now, actions);
}

void Entry::Cut(std::uint64_t number, const Error& error, TimePoint now, Actions* actions)
{
  m_metrics.Add("holdpost_answers_cut_total", Common::Reason(Common::AnswerFor(error.kind).name));
  m_keyed.OnOver(number, Claims::KeyState::Lost, now);
  actions->push_back(CutAnswer{number, error});
  Finish(number, now, actions);
}

void Entry::OnRunEnded(const RunEnded& ended, TimePoint now, Actions* actions)
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
    m_keyed.OnOver(ended.number, Claims::KeyState::Whole, now);
    actions->push_back(EndAnswer{ended.number});
    Finish(ended.number, now, actions);
    return;
  }
  const Error error =
      ended.error.value_or(Error{ErrorKind::AnswerCut, "the target ended without an answer"});
  if (open.has_head)
  {
    Cut(ended.number, {ErrorKind::AnswerCut, error.message}, now, actions);
    return;
  }
  const Membership::Member* member = m_membership.Find(open.target);
  if (error.kind == ErrorKind::Unreachable && member)
  {
    // Ask once whether it started; a target that never got it bars it and says so.
    open.is_asking = true;
    actions->push_back(AskToBar{open.target, member->report.address, open.run.key});
    return;
  }
  OnRunFailed(ended.number, error, now, actions);
}

void Entry::OnBarAnswered(const BarAnswered& answered, TimePoint now, Actions* actions)
{
  const auto found = m_open.find(answered.number);
  if (found == m_open.end() || !found->second.is_asking)
    return;
  const auto* standing = std::get_if<Runs::Standing>(&answered.standing);
  const bool is_barred = standing && *standing == Runs::Standing::Barred;
  OnRunFailed(answered.number,
              is_barred ? Error{ErrorKind::TargetRefused, "the target did not get it"}
                        : Error{ErrorKind::Unreachable, "lost the target while it may have run"},
              now, actions);
}

void Entry::OnRunFailed(std::uint64_t number, const Error& error, TimePoint now, Actions* actions)
{
  Routing::Actions made;
  if (Common::AnswerFor(error.kind).outcome == Common::Outcome::NotRun)
    m_router.OnNotRun(number, error, now, &made);
  else
    m_router.OnOutcomeUnknown(number, error, now, &made);
  Carry(made, now, actions);
}

void Entry::OnRoleTick(TimePoint now, Actions* actions)
{
  Claims::Actions claims;
  m_keyed.OnTick(CanClaim(), now, &claims);
  CarryClaims(claims, now, actions);
  m_keyed.Kept().Expire(now, HallSettings().Time(Field::KeptAnswerMs));
  Routing::Actions made;
  m_router.OnTick(now, &made);
  Carry(made, now, actions);
  DropUnusableTargets(now, actions);
}

void Entry::FillReportTo(const std::string& receiver, Membership::Report& report) const
{
  report.may_load = m_may_load.contains(receiver);
  const Membership::Member* member = m_membership.Find(receiver);
  if (member && !member->report.services.empty())
    report.demand = m_router.DemandFor(member->report.services.front().service);
}

std::string Entry::NotReadyReason() const
{
  if (!m_follower.HasState())
    return "no settings yet";
  return IsLeaving() ? "leaving" : "";
}
} // namespace Holdpost::NodeCore
