// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

// How long a crash counts. A request that is blocked by mistake is served again after this time; a
// request that does crash engines costs them at most BLOCKING_CRASHES engines in this time.
static constexpr Milliseconds CRASH_LIFETIME = std::chrono::minutes(30);
// How long a record without crashes is kept, so that copies of the cleared crashes that are still
// under way do not count again.
static constexpr Milliseconds CLEARED_LIFETIME = std::chrono::minutes(1);
static constexpr Milliseconds EXPIRY_PERIOD = Milliseconds(1000);
static constexpr std::size_t MAX_RECORDS = 2048;

bool CrashLedger::AddCrash(Record& record, EngineRun engine, TimePoint at)
{
  if (record.cleared_at && at <= *record.cleared_at)
    return false;
  if (!record.crashes.try_emplace(engine, at).second)
    return false;
  if (record.crashes.size() <= BLOCKING_CRASHES)
    return true;
  // All replicas keep the same crashes: those with the smallest identifiers.
  const auto largest = std::prev(record.crashes.end());
  const bool is_kept = largest->first != engine;
  record.crashes.erase(largest);
  return is_kept;
}

bool CrashLedger::ClearBefore(Record& record, TimePoint at)
{
  if (record.cleared_at && *record.cleared_at >= at)
    return false;
  const bool was_cleared = record.cleared_at.has_value();
  record.cleared_at = at;
  const auto dropped =
      std::erase_if(record.crashes, [at](const auto& crash) { return crash.second <= at; });
  return !was_cleared || dropped > 0;
}

bool CrashLedger::Add(const RequestFingerprint& request, EngineRun engine, TimePoint now)
{
  const bool is_new = AddCrash(m_records[request], engine, now);
  if (is_new)
    OnChanged(request, now);
  EvictIfFull();
  UpdateStateHash();
  return is_new;
}

std::size_t CrashLedger::Clear(const RequestFingerprint& request, TimePoint now)
{
  const auto found = m_records.find(request);
  const std::size_t before = CrashesOf(request);
  if (before == 0 || !ClearBefore(found->second, now))
    return 0;
  OnChanged(request, now);
  UpdateStateHash();
  return before - CrashesOf(request);
}

bool CrashLedger::MergeOne(const CrashRecord& told, TimePoint now)
{
  Record& record = m_records[told.request];
  bool is_changed = told.cleared && ClearBefore(record, now - *told.cleared);
  for (const CrashRecord::Crash& crash : told.crashes)
  {
    if (crash.age < CRASH_LIFETIME)
      is_changed = AddCrash(record, crash.engine, now - crash.age) || is_changed;
  }
  return is_changed;
}

void CrashLedger::Merge(const std::vector<CrashRecord>& records, TimePoint now)
{
  for (const CrashRecord& told : records)
  {
    if (MergeOne(told, now))
      OnChanged(told.request, now);
  }
  EvictIfFull();
  UpdateStateHash();
}

void CrashLedger::OnChanged(const RequestFingerprint& request, TimePoint now)
{
  m_changed.insert(request);
  if (!m_changed_since)
    m_changed_since = now;
  if (!IsBlocked(request))
    m_blocked.erase(request);
  else if (m_blocked.insert(request).second)
    m_newly_blocked.push_back(request);
}

void CrashLedger::EvictIfFull()
{
  while (m_records.size() > MAX_RECORDS)
  {
    const auto weakest = std::ranges::min_element(
        m_records, {}, [](const auto& entry) { return entry.second.crashes.size(); });
    m_changed.erase(weakest->first);
    m_blocked.erase(weakest->first);
    m_records.erase(weakest);
  }
}

void CrashLedger::Expire(TimePoint now)
{
  if (now < m_expire_due)
    return;
  m_expire_due = now + EXPIRY_PERIOD;
  bool is_any_dropped = false;
  for (auto entry = m_records.begin(); entry != m_records.end();)
  {
    Record& record = entry->second;
    const auto dropped = std::erase_if(record.crashes, [now](const auto& crash)
                                       { return now - crash.second >= CRASH_LIFETIME; });
    is_any_dropped = is_any_dropped || dropped > 0;
    if (!IsBlocked(entry->first))
      m_blocked.erase(entry->first);
    const bool is_needed = !record.crashes.empty() ||
                           (record.cleared_at && now - *record.cleared_at < CLEARED_LIFETIME);
    is_any_dropped = is_any_dropped || !is_needed;
    if (!is_needed)
      m_changed.erase(entry->first);
    entry = is_needed ? std::next(entry) : m_records.erase(entry);
  }
  if (is_any_dropped)
    UpdateStateHash();
}

std::size_t CrashLedger::CrashesOf(const RequestFingerprint& request) const
{
  const auto found = m_records.find(request);
  return found == m_records.end() ? 0 : found->second.crashes.size();
}

std::vector<RequestFingerprint> CrashLedger::TakeNewlyBlocked()
{
  return std::exchange(m_newly_blocked, {});
}

bool CrashLedger::IsExpired(const CrashRecord& record)
{
  return std::ranges::all_of(record.crashes, [](const CrashRecord::Crash& crash)
                             { return crash.age >= CRASH_LIFETIME; });
}

CrashRecord CrashLedger::RecordOf(const RequestFingerprint& request, TimePoint now) const
{
  const auto found = m_records.find(request);
  return found == m_records.end() ? CrashRecord{request, {}, {}}
                                  : Describe(request, found->second, now);
}

CrashRecord CrashLedger::Describe(const RequestFingerprint& request, const Record& record,
                                  TimePoint now)
{
  const auto age = [now](TimePoint at)
  { return std::chrono::duration_cast<Milliseconds>(std::max(now, at) - at); };
  CrashRecord described{request, {}, {}};
  for (const auto& [engine, at] : record.crashes)
    described.crashes.push_back({engine, age(at)});
  if (record.cleared_at)
    described.cleared = age(*record.cleared_at);
  return described;
}

std::vector<CrashRecord> CrashLedger::All(TimePoint now) const
{
  std::vector<CrashRecord> all;
  all.reserve(m_records.size());
  for (const auto& [request, record] : m_records)
    all.push_back(Describe(request, record, now));
  return all;
}

std::vector<CrashRecord> CrashLedger::TakeChanged(TimePoint now)
{
  std::vector<CrashRecord> changed;
  for (const RequestFingerprint& request : std::exchange(m_changed, {}))
    changed.push_back(Describe(request, m_records.at(request), now));
  m_changed_since.reset();
  return changed;
}

void CrashLedger::UpdateStateHash()
{
  m_state_hash = 0;
  for (const auto& [request, record] : m_records)
  {
    if (record.crashes.empty() && !record.cleared_at)
      continue;
    const std::string_view bytes(reinterpret_cast<const char*>(request.bytes.data()),
                                 request.bytes.size());
    std::uint64_t hash = Common::StableHash(bytes, record.cleared_at ? 1 : 0);
    for (const auto& [engine, at] : record.crashes)
      hash = Common::MixHash(hash, engine);
    m_state_hash ^= hash;
  }
}
} // namespace Holdpost::Crashes
