// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CrashRecorder.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace Holdpost::Crashes
{
using Common::Error;
using Common::LogEvent;
using Common::TimePoint;
using Common::Weight;

void CrashRecorder::SetReading(bool is_reader)
{
  if (std::exchange(m_is_reader, is_reader) != is_reader && is_reader)
    m_has_read = false;
}

void CrashRecorder::SetEra(std::uint64_t era)
{
  if (std::exchange(m_era, era) == era)
    return;
  m_has_read = false;
  m_written.clear();
  m_to_drop.clear();
  m_is_call_outdated = m_is_waiting;
}

std::optional<CrashCause> CrashRecorder::NextToWrite(const CrashLedger& ledger) const
{
  const auto missing = std::ranges::find_if(ledger.Blocked(), [this](const auto& cause)
                                            { return !m_written.contains(cause); });
  if (missing == ledger.Blocked().end())
    return std::nullopt;
  return *missing;
}

void CrashRecorder::OnTick(const CrashLedger& ledger, TimePoint now, RecorderActions* actions)
{
  if (!m_is_reader || m_is_waiting || now < m_due)
    return;
  if (!m_has_read)
    actions->push_back(ReadRecords{});
  else if (!m_to_drop.empty())
    actions->push_back(DropRecord{m_to_drop.back()});
  else if (const auto cause = NextToWrite(ledger))
    actions->push_back(WriteRecord{ledger.RecordOf(*cause, now)});
  m_is_waiting = !actions->empty();
}

TimePoint CrashRecorder::NextWakeup(const CrashLedger& ledger) const
{
  const bool has_work = !m_has_read || !m_to_drop.empty() || NextToWrite(ledger);
  return m_is_reader && !m_is_waiting && has_work ? m_due : TimePoint::max();
}

bool CrashRecorder::OnAnswer(bool is_success, TimePoint now)
{
  m_is_waiting = false;
  if (is_success)
    m_backoff.Reset();
  m_due = is_success ? now : now + m_backoff.Next();
  const bool is_outdated = std::exchange(m_is_call_outdated, false);
  return is_success && !is_outdated;
}

std::vector<CrashRecord>
CrashRecorder::OnRead(const Common::Result<std::vector<CrashRecord>>& result, TimePoint now)
{
  const bool counts = OnAnswer(Common::Succeeded(result), now);
  if (const auto* error = std::get_if<Error>(&result))
    LogEvent(Weight::Important, now, "crash.records_unread", "reason", error->message);
  if (!counts)
    return {};
  m_has_read = true;
  std::vector<CrashRecord> counting;
  for (const CrashRecord& record : std::get<std::vector<CrashRecord>>(result))
  {
    if (CrashLedger::IsExpired(record))
    {
      m_to_drop.push_back(record.cause);
      continue;
    }
    m_written.insert(record.cause);
    counting.push_back(record);
  }
  if (!counting.empty())
    LogEvent(Weight::Important, now, "crash.records_read", "count", counting.size());
  return counting;
}

void CrashRecorder::OnWritten(const CrashCause& cause, bool is_written, TimePoint now)
{
  if (OnAnswer(is_written, now))
    m_written.insert(cause);
  else if (!is_written)
    LogEvent(Weight::Important, now, "crash.record_unwritten", "cause", KindName(cause),
             "fingerprint", ShortName(cause));
}

void CrashRecorder::OnDropped(bool is_dropped, TimePoint now)
{
  if (OnAnswer(is_dropped, now))
    m_to_drop.pop_back();
}
} // namespace Holdpost::Crashes
