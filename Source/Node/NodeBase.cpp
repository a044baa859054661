// SPDX-License-Identifier: Apache-2.0
#include "Node/NodeBase.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/Log.h"

namespace Holdpost::Node
{
using Common::Address;
using Common::Error;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Membership::Lifecycle;
using Membership::Member;
using Membership::Report;
using Membership::Role;
using Settings::Field;

static constexpr Milliseconds TICK = Milliseconds(50);
static constexpr Milliseconds LIST_PERIOD = Milliseconds(1000);
// Besides the entries of its hall, an instance reports to so many others, which passes the settings
// on while the platform is away.
static constexpr std::size_t GOSSIP_PEERS = 3;

// Later starts under one name must compare greater; the clock is only read here.
static std::uint64_t NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

NodeBase::NodeBase(NodeConfig config, Role role)
    : m_http(m_loop), m_platform(m_http, config.platform), m_membership(config.instance),
      m_config(std::move(config)), m_role(role), m_incarnation(NewIncarnation())
{
  const std::uint64_t seed = Common::StableHash(m_config.instance, m_incarnation);
  m_follower = std::make_unique<SettingsFollower>(
      m_loop, m_platform, m_metrics, seed,
      SettingsFollower::Callbacks{[this] { HandleFolded(); },
                                  [this](TimePoint sent) { OnLogRead(sent); }});
  m_admin = std::make_unique<OperatorPeer::AdminPages>(
      m_loop, m_metrics,
      OperatorPeer::AdminSource{
          [this](Common::Metrics& metrics)
          {
            metrics.Set("holdpost_settings_position",
                        static_cast<double>(m_follower->Fold().Position()));
            metrics.Set("holdpost_settings_accepted",
                        static_cast<double>(m_follower->Fold().AcceptedOffset()));
            metrics.Set("holdpost_log_reachable", m_follower->IsLogReachable() ? 1 : 0);
            RefreshMetrics(metrics);
          },
          [this] { return NotReadyReason(); }, [this] { return StatusJson(); }});
}

NodeBase::~NodeBase() = default;

void NodeBase::OnLogRead(TimePoint /*sent*/) {}

void NodeBase::OnPeerUnreachable(const std::string& /*instance*/) {}

void NodeBase::FillReportTo(const std::string& /*receiver*/, Report& /*report*/) {}

void NodeBase::OnPeerReport(const Report& /*report*/) {}

void NodeBase::RefreshMetrics(Common::Metrics& /*metrics*/) {}

int NodeBase::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  const Result<Address> rpc = m_rpc.Start(m_config.listen);
  const Result<Address> admin = m_admin->Listen(m_config.admin_listen);
  const Result<std::string> own = Listen();
  for (const Error* error :
       {std::get_if<Error>(&rpc), std::get_if<Error>(&admin), std::get_if<Error>(&own)})
  {
    if (error)
    {
      fmt::print(stderr, "E {}\n", error->message);
      return 1;
    }
  }
  m_address = std::get<Address>(rpc);
  fmt::print("listening instance={} rpc={} admin={}{}\n", m_config.instance, m_address.ToString(),
             std::get<Address>(admin).ToString(), std::get<std::string>(own));
  std::fflush(stdout);

  m_rpc_watch = m_loop.WatchReadable(m_rpc.Outbox().Fd(), [this] { HandleRpc(); });
  m_report_timer = m_loop.MakeTimer([this] { SendReports(); });
  m_list_timer = m_loop.MakeTimer([this] { ReadInstanceList(); });
  m_tick_timer = m_loop.MakeTimer([this] { Tick(); });
  for (const int signal_number : {SIGTERM, SIGINT})
    m_signals.push_back(m_loop.WatchSignal(signal_number, [this] { HandleStopSignal(); }));
  m_follower->Start();
  ReadInstanceList();
  SendReports();
  Tick();
  m_loop.Run();
  m_rpc.Stop();
  return m_exit_code;
}

void NodeBase::Quit()
{
  m_loop.Stop();
}

void NodeBase::HandleStopSignal()
{
  if (m_is_leaving)
  {
    WARN_LOG(MEMBERSHIP, "Second signal: stopping with what still runs.");
    m_exit_code = 1;
    Quit();
    return;
  }
  INFO_LOG(MEMBERSHIP, "Leaving: no new work, running requests go on.");
  m_is_leaving = true;
  m_leave_deadline = Now() + m_hall_settings.Time(Field::DrainMs);
  OnLeave();
  ReportNow();
}

void NodeBase::Tick()
{
  const TimePoint now = Now();
  OnTick(now);
  if (m_is_leaving && now >= m_leave_deadline)
  {
    WARN_LOG(MEMBERSHIP, "The time to leave is over: stopping with what still runs.");
    m_exit_code = 1;
    Quit();
  }
  m_tick_timer->FireAfter(TICK);
}

void NodeBase::HandleFolded()
{
  const std::string region = Settings::RegionOf(Tree(), m_config.hall);
  m_hall_settings = Settings::Effective(Tree(), Settings::MakePlace(region, m_config.hall));
  m_membership.SetDeadAfter(m_hall_settings.Time(Field::DeadAfterMs));
  OnSettings();
}

Report NodeBase::MakeReport()
{
  Report report;
  report.instance = m_config.instance;
  report.hall = m_config.hall;
  report.role = m_role;
  report.incarnation = m_incarnation;
  report.address = m_address;
  report.lifecycle = m_is_leaving               ? Lifecycle::Leaving
                     : NotReadyReason().empty() ? Lifecycle::Serving
                                                : Lifecycle::Starting;
  report.position = m_follower->Fold().Position();
  report.accepted = m_follower->Fold().AcceptedOffset();
  FillReport(report);
  return report;
}

std::vector<const Member*> NodeBase::ReportReceivers() const
{
  const TimePoint now = Now();
  std::vector<const Member*> receivers = m_membership.Usable(Role::Entry, m_config.hall, now);
  std::vector<std::pair<std::uint64_t, const Member*>> others;
  const std::uint64_t seed = Common::StableHash(m_config.instance);
  for (const auto& [name, member] : m_membership.All())
  {
    const bool is_entry_here =
        member.report.role == Role::Entry && member.report.hall == m_config.hall;
    const bool is_tried = m_membership.IsAlive(member, now) || member.is_listed;
    if (!is_entry_here && is_tried)
      others.emplace_back(Common::StableHash(name, seed), &member);
  }
  std::ranges::sort(others);
  for (std::size_t i = 0; i < std::min(GOSSIP_PEERS, others.size()); ++i)
    receivers.push_back(others[i].second);
  return receivers;
}

void NodeBase::SendReports()
{
  const Report report = MakeReport();
  const auto send = [&](const std::string& to, const Address& address)
  {
    Report addressed = report;
    FillReportTo(to, addressed);
    m_rpc.Post(InstancePeer::SendReport{to, address, std::move(addressed)});
  };
  for (const Member* member : ReportReceivers())
    send(member->report.instance, member->report.address);
  // Before anything is known of the hall, the neighbours in the process's settings are asked.
  if (m_membership.All().empty())
  {
    for (const Address& address : m_config.neighbours)
      send(address.ToString(), address);
  }
  m_report_timer->FireAfter(m_hall_settings.Time(Field::HeartbeatMs));
}

void NodeBase::ReportNow()
{
  m_report_timer->FireAfter(Milliseconds(0));
}

void NodeBase::RefreshInstanceList()
{
  ReadInstanceList();
}

void NodeBase::ReadInstanceList()
{
  const std::uint64_t read = ++m_list_read;
  m_platform.ListInstances(
      [this, read](const Result<std::vector<Membership::ListedInstance>>& result)
      {
        // A read that left before the newest one may be older than what is waited for.
        if (read != m_list_read)
          return;
        if (const auto* list = std::get_if<std::vector<Membership::ListedInstance>>(&result))
        {
          m_membership.OnList(*list, Now());
          OnMembership();
          const auto self =
              std::ranges::find(*list, m_config.instance, &Membership::ListedInstance::instance);
          if (self != list->end() && self->is_leaving && !m_is_leaving)
            HandleStopSignal();
        }
        m_list_timer->FireAfter(LIST_PERIOD);
      });
}

void NodeBase::TakeReport(const Report& report)
{
  if (!m_membership.OnReport(report, Now()))
    return;
  if (report.position > m_follower->Fold().Position() && !m_is_fetching_records &&
      !m_follower->IsLogReachable())
  {
    m_is_fetching_records = true;
    m_rpc.Post(
        InstancePeer::FetchRecords{report.instance, report.address, m_follower->Fold().Position()});
  }
  OnPeerReport(report);
}

void NodeBase::HandleShared(InstancePeer::FromRpc message)
{
  std::visit(
      Common::Overloaded{[this](InstancePeer::ReportReceived& received)
                         {
                           TakeReport(received.report);
                           Report own = MakeReport();
                           FillReportTo(received.report.instance, own);
                           m_rpc.Post(InstancePeer::AnswerReport{received.tag, std::move(own)});
                         },
                         [this](InstancePeer::ReportAnswered& answered)
                         { TakeReport(answered.report); },
                         [this](InstancePeer::PeerUnreachable& lost)
                         {
                           m_is_fetching_records = false;
                           m_membership.OnUnreachable(lost.instance, Now());
                           m_metrics.Add("holdpost_peer_unreachable_total");
                           OnPeerUnreachable(lost.instance);
                         },
                         [this](InstancePeer::RecordsRequested& request) {
                           m_rpc.Post(InstancePeer::AnswerRecords{
                               request.tag, m_follower->StretchAfter(request.after)});
                         },
                         [this](InstancePeer::RecordsFetched& fetched)
                         {
                           m_is_fetching_records = false;
                           m_follower->OnStretch(fetched.stretch);
                         },
                         [this, &message](auto&) { OnRpc(std::move(message)); }},
      message);
}

void NodeBase::HandleRpc()
{
  for (InstancePeer::FromRpc& message : m_rpc.Outbox().TakeAll())
    HandleShared(std::move(message));
}
} // namespace Holdpost::Node
