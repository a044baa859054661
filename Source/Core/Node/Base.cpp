// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Base.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Log.h"
#include "Common/Mailbox.h"

namespace Holdpost::NodeCore
{
using Common::Address;
using Common::Error;
using Common::Milliseconds;
using Common::TimePoint;
using Membership::Lifecycle;
using Membership::Member;
using Membership::Report;
using Membership::Role;
using Settings::Field;

static constexpr Milliseconds LONG_POLL_MOST = Milliseconds(1000);
static constexpr int READS_PER_LEASE = 10;
static constexpr Milliseconds LIST_PERIOD = Milliseconds(1000);
// Besides the entries of its hall, an instance reports to so many others, which passes the settings
// on while the platform is away.
static constexpr std::size_t GOSSIP_PEERS = 3;

Base::Base(Identity self, Role role, Common::Metrics& metrics)
    : m_self(std::move(self)), m_metrics(metrics),
      m_follower(Common::StableHash(m_self.instance, m_self.incarnation), metrics),
      m_membership(m_self.instance), m_role(role)
{
}

void Base::OnCaughtUp(TimePoint /*sent*/, TimePoint /*now*/, Actions* /*actions*/) {}

void Base::OnListRead(TimePoint /*now*/, Actions* /*actions*/) {}

void Base::Start(const Address& address, TimePoint now, Actions* actions)
{
  m_address = address;
  OnStart(address);
  m_follower.Start(actions);
  RefreshList(actions);
  m_report_due = now;
}

void Base::RefreshList(Actions* actions)
{
  ++m_list_reads;
  m_list_due.reset();
  actions->push_back(ReadList{});
}

Settings::Effective Base::SettingsAt(const std::string& service,
                                     const std::string& organisation) const
{
  const std::string region = Settings::RegionOf(Tree(), m_self.hall);
  return {Tree(), Settings::MakePlace(region, m_self.hall, service, organisation)};
}

void Base::OnTick(TimePoint now, Actions* actions)
{
  m_follower.OnTick(now, actions);
  if (m_list_due && now >= *m_list_due)
    RefreshList(actions);
  OnRoleTick(now, actions);
  if (now >= m_report_due)
    SendReports(now, actions);
  if (!m_is_leaving)
    return;
  if (MayQuit())
  {
    INFO_LOG(MEMBERSHIP, "Nothing runs any more: gone.");
    actions->push_back(Quit{0});
  }
  else if (now >= m_leave_deadline)
  {
    WARN_LOG(MEMBERSHIP, "The time to leave is over: stopping with what still runs.");
    actions->push_back(Quit{1});
  }
}

void Base::BeginLeaving(TimePoint now, Actions* actions)
{
  if (m_is_leaving)
  {
    WARN_LOG(MEMBERSHIP, "Asked to leave a second time: stopping with what still runs.");
    actions->push_back(Quit{1});
    return;
  }
  INFO_LOG(MEMBERSHIP, "Leaving: no new work, running requests go on.");
  m_is_leaving = true;
  m_leave_deadline = now + m_hall_settings.Time(Field::DrainMs);
  OnLeave(now, actions);
  SendReports(now, actions);
}

void Base::ApplySettings(TimePoint now, Actions* actions)
{
  const Common::Offset accepted = m_follower.Fold().AcceptedOffset();
  if (accepted != std::exchange(m_in_force, accepted))
    m_in_force_since = now;
  m_hall_settings = SettingsAt("");
  m_follower.SetSnapshotEvery(
      static_cast<Common::Offset>(m_hall_settings.Integer(Field::SnapshotRecords)));
  m_follower.SetLongPoll(
      std::min(LONG_POLL_MOST, m_hall_settings.Time(Field::LeaseMs) / READS_PER_LEASE));
  m_membership.SetDeadAfter(m_hall_settings.Time(Field::DeadAfterMs));
  OnSettings(now, actions);
}

Report Base::MakeReport() const
{
  Report report;
  report.instance = m_self.instance;
  report.hall = m_self.hall;
  report.role = m_role;
  report.incarnation = m_self.incarnation;
  report.address = m_address;
  report.lifecycle = m_is_leaving               ? Lifecycle::Leaving
                     : NotReadyReason().empty() ? Lifecycle::Serving
                                                : Lifecycle::Starting;
  report.position = m_follower.Fold().Position();
  report.accepted = m_follower.Fold().AcceptedOffset();
  FillReport(report);
  return report;
}

// The `most` members that rank first for this instance, so that all pairs are spread evenly and few
// change when a member comes or goes.
static std::vector<const Member*> RankFirst(const std::vector<const Member*>& members,
                                            const std::string& self, std::size_t most)
{
  const std::uint64_t seed = Common::StableHash(self);
  std::vector<std::pair<std::uint64_t, const Member*>> ranked;
  ranked.reserve(members.size());
  for (const Member* member : members)
    ranked.emplace_back(Common::StableHash(member->report.instance, seed), member);
  std::ranges::sort(ranked);
  ranked.resize(std::min(most, ranked.size()));
  std::vector<const Member*> first;
  first.reserve(ranked.size());
  for (const auto& [hash, member] : ranked)
    first.push_back(member);
  return first;
}

std::vector<const Member*> Base::ReportReceivers(TimePoint now) const
{
  std::vector<const Member*> entries;
  std::vector<const Member*> others;
  for (const auto& [name, member] : m_membership.All())
  {
    // One that is out of reach is tried again after a while, or a healed cut would go unseen.
    if (!m_membership.IsAlive(member, now) && !member.is_listed)
      continue;
    const bool is_entry_here =
        member.report.role == Role::Entry && member.report.hall == m_self.hall;
    (is_entry_here ? entries : others).push_back(&member);
  }
  const auto most = static_cast<std::size_t>(m_hall_settings.Integer(Field::ReportEntries));
  std::vector<const Member*> receivers = RankFirst(entries, m_self.instance, most);
  for (const Member* other : RankFirst(others, m_self.instance, GOSSIP_PEERS))
    receivers.push_back(other);
  return receivers;
}

void Base::SendReports(TimePoint now, Actions* actions)
{
  const Report report = MakeReport();
  const auto send = [&](const std::string& to, const Address& address)
  {
    Report addressed = report;
    FillReportTo(to, addressed);
    actions->push_back(SendReport{to, address, std::move(addressed)});
  };
  for (const Member* member : ReportReceivers(now))
    send(member->report.instance, member->report.address);
  // Before anything is known of the hall, the neighbours in the process's settings are asked.
  if (m_membership.All().empty())
  {
    for (const Address& address : m_self.neighbours)
      send(address.ToString(), address);
  }
  m_report_due = now + m_hall_settings.Time(Field::HeartbeatMs);
}

void Base::TakeList(const ListReadDone& done, TimePoint now, Actions* actions)
{
  --m_list_reads;
  m_list_due = now + LIST_PERIOD;
  // A read that left before the newest one may be older than what is waited for.
  if (m_list_reads > 0 || std::holds_alternative<Error>(done.result))
    return;
  if (const auto* list = std::get_if<std::vector<Membership::ListedInstance>>(&done.result))
    m_list = *list;
  m_membership.OnList(m_list, now);
  OnListRead(now, actions);
  const auto self =
      std::ranges::find(m_list, m_self.instance, &Membership::ListedInstance::instance);
  if (self != m_list.end() && self->is_leaving && !m_is_leaving)
    BeginLeaving(now, actions);
}

void Base::TakeLogRead(const LogReadDone& done, TimePoint now, Actions* actions)
{
  const Follower::Progress progress = m_follower.OnLogRead(done, now, actions);
  if (progress.has_folded)
    ApplySettings(now, actions);
  if (progress.caught_up_at)
    OnCaughtUp(*progress.caught_up_at, now, actions);
}

void Base::TakeReport(const Report& report, TimePoint now, Actions* actions)
{
  if (!m_membership.OnReport(report, now))
    return;
  const bool is_ahead = report.position > m_follower.Fold().Position();
  if (is_ahead && m_records_from.empty() && !m_follower.IsLogReachable())
  {
    m_records_from = report.instance;
    actions->push_back(FetchRecords{report.instance, report.address, m_follower.Fold().Position()});
  }
  OnPeerReport(report, now, actions);
}

bool Base::HandleShared(Event& event, TimePoint now, Actions* actions)
{
  return std::visit(
      Common::Overloaded{
          [&](LogReadDone& done)
          {
            TakeLogRead(done, now, actions);
            return true;
          },
          [&](ListReadDone& done)
          {
            TakeList(done, now, actions);
            return true;
          },
          [&](ReportReceived& received)
          {
            TakeReport(received.report, now, actions);
            Report own = MakeReport();
            FillReportTo(received.report.instance, own);
            actions->push_back(AnswerReport{received.tag, std::move(own)});
            return true;
          },
          [&](ReportAnswered& answered)
          {
            TakeReport(answered.report, now, actions);
            return true;
          },
          [&](PeerUnreachable& lost)
          {
            if (m_records_from == lost.instance)
              m_records_from.clear();
            m_membership.OnUnreachable(lost.instance, now);
            m_metrics.Add("holdpost_peer_unreachable_total");
            OnPeerUnreachable(lost.instance, now, actions);
            return true;
          },
          [&](RecordsRequested& request)
          {
            actions->push_back(AnswerRecords{request.tag, m_follower.StretchAfter(request.after)});
            return true;
          },
          [&](RecordsFetched& fetched)
          {
            m_records_from.clear();
            if (m_follower.OnStretch(fetched.stretch))
              ApplySettings(now, actions);
            return true;
          },
          [&](LeaveRequested&)
          {
            BeginLeaving(now, actions);
            return true;
          },
          [](auto&) { return false; }},
      event);
}
} // namespace Holdpost::NodeCore
