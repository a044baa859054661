// SPDX-License-Identifier: Apache-2.0
#include "Node/GatewayControl.h"

#include <algorithm>

#include "Common/EventLog.h"

// How a gateway shares with others what crashes engines.
namespace Holdpost::Node
{
using Common::Address;
using Common::EventLoop;
using Common::LogEvent;
using Common::TimePoint;
using Common::Weight;

void GatewayControl::SendCrashChanges(TimePoint now)
{
  const Mesh::CrashRecords changes{m_crash_exchange.ChangesToSend(m_handlers.crash_ledger(), now)};
  if (changes.records.empty())
    return;
  for (const Address& gateway : m_membership.Others(now))
    m_mesh.SendDatagram(gateway, changes);
  for (const Address& sidecar : m_sidecars_in_use)
    m_mesh.SendDatagram(sidecar, changes);
}

bool GatewayControl::CatchUp(TimePoint now)
{
  std::vector<Address> replicas(m_sidecars_in_use.begin(), m_sidecars_in_use.end());
  std::ranges::shuffle(replicas, m_random);
  m_catch_up.Begin(replicas, now);
  return m_catch_up.IsUnderWay(now);
}

void GatewayControl::AskForCrashRecords(TimePoint now)
{
  for (const Address& replica : m_catch_up.OnTick(now))
    m_mesh.SendDatagram(replica, Mesh::CrashRecordsRequest{});
}

void GatewayControl::OnCrashRecords(const std::vector<Crashes::CrashRecord>& records)
{
  // What was sent while the process stood still has waited since, so that its ages are too small:
  // an old whole answer would clear later crashes. The answers that are awaited hold all of it.
  if (!m_catch_up.IsUnderWay(EventLoop::Now()))
    m_handlers.on_crash_records(records);
}

void GatewayControl::OnCrashRecordsAnswer(const Mesh::Sender& from,
                                          const Mesh::CrashRecordsAnswer& tell)
{
  m_handlers.on_crash_records(tell.records);
  if (!m_catch_up.OnAnswer(from.address))
    return;
  LogEvent(Weight::Important, EventLoop::Now(), "process.caught_up", "records",
           m_handlers.crash_ledger().Size());
  m_handlers.on_caught_up();
}

void GatewayControl::RecordCrashes(TimePoint now)
{
  m_crash_recorder.SetReading(m_duty.IsReader());
  m_crash_recorder.SetEra(m_follower.Era());
  Crashes::RecorderActions actions;
  m_crash_recorder.OnTick(m_handlers.crash_ledger(), now, &actions);
  for (const Crashes::RecorderAction& action : actions)
    std::visit([this](const auto& typed) { Do(typed); }, action);
}

void GatewayControl::Do(const Crashes::ReadRecords& /*read*/)
{
  m_control.ReadCrashRecords(
      [this](const Common::Result<std::vector<Crashes::CrashRecord>>& result)
      {
        const auto records = m_crash_recorder.OnRead(result, EventLoop::Now());
        if (!records.empty())
          m_handlers.on_crash_records(records);
        m_handlers.on_wakeup();
      });
}

void GatewayControl::Do(const Crashes::WriteRecord& write)
{
  m_control.WriteCrashRecord(write.record,
                             [this, cause = write.record.cause](bool is_written)
                             {
                               m_crash_recorder.OnWritten(cause, is_written, EventLoop::Now());
                               m_handlers.on_wakeup();
                             });
}

void GatewayControl::Do(const Crashes::DropRecord& drop)
{
  m_control.DropCrashRecord(drop.cause,
                            [this](bool is_dropped)
                            {
                              m_crash_recorder.OnDropped(is_dropped, EventLoop::Now());
                              m_handlers.on_wakeup();
                            });
}
} // namespace Holdpost::Node
