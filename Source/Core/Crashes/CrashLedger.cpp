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

// How long a crash counts. A cause that is blocked by mistake is served again after this time; one
// that does crash engines costs them a few engines in this time.
static constexpr Milliseconds CRASH_LIFETIME = std::chrono::minutes(30);
// How long a record without crashes is kept, so that copies of the cleared crashes that are still
// under way do not count again.
static constexpr Milliseconds CLEARED_LIFETIME = std::chrono::minutes(1);
static constexpr Milliseconds EXPIRY_PERIOD = Milliseconds(1000);
static constexpr std::size_t MAX_RECORDS = 2048;
// Crashes of a record, so that those of a blocked cause are not counted against its bystanders.
static constexpr std::size_t MAX_CRASHES = 32;
// How long the evidence against a part has to be conclusive: within this time other gateways report
// whole answers, and requests of another cause that the same engines had.
static constexpr Milliseconds SETTLE_TIME = Milliseconds(150);
// Evidence that is older than this has settled in the process that it comes from.
static constexpr Milliseconds SETTLED_AGE = Milliseconds(2000);

bool CrashLedger::AddCrash(Record& record, const EngineCrash& crash)
{
  if (record.cleared_at && crash.at <= *record.cleared_at)
    return false;
  const auto [known, is_new] = record.crashes.try_emplace(crash.engine, crash);
  if (!is_new)
  {
    known->second.sent = std::max(known->second.sent, std::min(crash.sent, known->second.at));
    return false;
  }
  if (record.crashes.size() <= MAX_CRASHES)
    return true;
  // All replicas keep the same crashes: those with the smallest identifiers.
  const auto largest = std::prev(record.crashes.end());
  const bool is_kept = largest->first != crash.engine;
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
      std::erase_if(record.crashes, [at](const auto& crash) { return crash.second.at <= at; });
  if (dropped > 0)
    record.is_inferred_elsewhere = false;
  return !was_cleared || dropped > 0;
}

std::vector<CrashCause> CrashLedger::Add(const std::vector<CrashCause>& causes,
                                         const EngineCrash& crash, TimePoint now)
{
  std::vector<CrashCause> added;
  for (std::uint32_t position = 0; position < causes.size(); ++position)
  {
    const CrashCause& cause = causes[position];
    Record& record = m_records[cause];
    record.position = std::max(record.position, position);
    if (!AddCrash(record, crash))
      continue;
    OnChanged(cause, now);
    added.push_back(cause);
  }
  EvictIfFull();
  Reassess(now);
  return added;
}

std::size_t CrashLedger::Clear(const CrashCause& cause, TimePoint answered_at, TimePoint now)
{
  const auto found = m_records.find(cause);
  const std::size_t before = CrashesOf(cause);
  if (before == 0 || !ClearBefore(found->second, answered_at))
    return 0;
  OnChanged(cause, now);
  Reassess(now);
  return before - CrashesOf(cause);
}

bool CrashLedger::MergeOne(const CrashRecord& told, TimePoint now)
{
  Record& record = m_records[told.cause];
  record.position = std::max(record.position, told.position);
  bool is_changed = told.cleared && ClearBefore(record, now - *told.cleared);
  for (const CrashRecord::Crash& crash : told.crashes)
  {
    if (crash.age >= CRASH_LIFETIME)
      continue;
    const EngineCrash read{crash.engine, now - crash.age, now - std::max(crash.age, crash.sent_age),
                           crash.organisation};
    is_changed = AddCrash(record, read) || is_changed;
  }
  if (told.is_inferred && !record.crashes.empty())
    record.is_inferred_elsewhere = true;
  return is_changed;
}

void CrashLedger::Merge(const std::vector<CrashRecord>& records, TimePoint now)
{
  for (const CrashRecord& told : records)
  {
    if (MergeOne(told, now))
      OnChanged(told.cause, now);
  }
  EvictIfFull();
  Reassess(now);
}

void CrashLedger::OnChanged(const CrashCause& cause, TimePoint now)
{
  m_changed.insert(cause);
  if (!m_changed_since)
    m_changed_since = now;
}

bool CrashLedger::IsSettled(const CrashCause& cause, TimePoint now)
{
  const TimePoint since = m_conclusive_since.try_emplace(cause, now).first->second;
  const bool has_settled_elsewhere = m_records.at(cause).is_inferred_elsewhere;
  if (!IsPromptPart(cause) || has_settled_elsewhere || now - since >= SETTLE_TIME)
    return true;
  const bool is_old = std::ranges::all_of(m_records.at(cause).crashes, [now](const auto& crash)
                                          { return now - crash.second.at >= SETTLED_AGE; });
  if (!is_old)
    m_settle_due = std::min(m_settle_due.value_or(TimePoint::max()), since + SETTLE_TIME);
  return is_old;
}

std::vector<EngineCrash> CrashLedger::LostRequests() const
{
  std::vector<EngineCrash> lost;
  for (const auto& [cause, record] : m_records)
  {
    // Each lost request has a record of its own.
    if (IsPromptPart(cause))
      continue;
    for (const auto& [engine, crash] : record.crashes)
      lost.push_back(crash);
  }
  return lost;
}

std::vector<CauseEvidence> CrashLedger::Evidence() const
{
  std::vector<CauseEvidence> evidence;
  for (const auto& [cause, record] : m_records)
  {
    if (record.crashes.size() < std::min(BLOCKING_CRASHES, BLOCKING_TRIALS))
      continue;
    CauseEvidence& added = evidence.emplace_back(
        CauseEvidence{cause, {}, record.cleared_at, record.position, record.is_inferred_elsewhere});
    for (const auto& [engine, crash] : record.crashes)
      added.crashes.push_back(crash);
  }
  return evidence;
}

void CrashLedger::Block(const std::set<CrashCause>& causes, TimePoint now)
{
  m_settle_due.reset();
  std::erase_if(m_conclusive_since,
                [&](const auto& entry) { return !causes.contains(entry.first); });
  std::set<CrashCause> blocked;
  std::set<CrashCause> blocked_for_all;
  for (const CrashCause& cause : causes)
  {
    if (!IsSettled(cause, now))
      continue;
    blocked.insert(cause);
    if (IsForAll(m_records.at(cause)))
      blocked_for_all.insert(cause);
    const bool is_wider = blocked_for_all.contains(cause) && !m_blocked_for_all.contains(cause);
    if (m_blocked.contains(cause) && !is_wider)
      continue;
    m_newly_blocked.push_back(cause);
    // Processes that cannot infer it themselves take it over.
    OnChanged(cause, now);
  }
  m_blocked = std::move(blocked);
  m_blocked_for_all = std::move(blocked_for_all);
}

void CrashLedger::Reassess(TimePoint now)
{
  m_outcomes.lost = LostRequests();
  Inference inference = InferCauses(Evidence(), m_outcomes);
  m_explained = std::move(inference.explained);
  Block(inference.causes, now);
  UpdateStateHash();
}

bool CrashLedger::IsForAll(const Record& record)
{
  const OrganisationHash first = record.crashes.begin()->second.organisation;
  return std::ranges::any_of(record.crashes, [first](const auto& crash)
                             { return crash.second.organisation != first; });
}

bool CrashLedger::IsBlockedFor(const CrashCause& cause, OrganisationHash organisation) const
{
  if (!IsBlocked(cause))
    return false;
  // The organisation is part of a request's identity.
  if (!IsPromptPart(cause) || m_blocked_for_all.contains(cause))
    return true;
  return m_records.at(cause).crashes.begin()->second.organisation == organisation;
}

void CrashLedger::EvictIfFull()
{
  while (m_records.size() > MAX_RECORDS)
  {
    const auto weakest = std::ranges::min_element(
        m_records, {}, [](const auto& entry) { return entry.second.crashes.size(); });
    m_changed.erase(weakest->first);
    m_records.erase(weakest);
  }
}

void CrashLedger::OnTick(TimePoint now)
{
  if (m_settle_due && now >= *m_settle_due)
    Reassess(now);
  Expire(now);
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
                                       { return now - crash.second.at >= CRASH_LIFETIME; });
    const bool is_needed = !record.crashes.empty() ||
                           (record.cleared_at && now - *record.cleared_at < CLEARED_LIFETIME);
    is_any_dropped = is_any_dropped || dropped > 0 || !is_needed;
    if (!is_needed)
      m_changed.erase(entry->first);
    entry = is_needed ? std::next(entry) : m_records.erase(entry);
  }
  if (is_any_dropped)
    Reassess(now);
}

std::size_t CrashLedger::CrashesOf(const CrashCause& cause) const
{
  const auto found = m_records.find(cause);
  return found == m_records.end() ? 0 : found->second.crashes.size();
}

std::vector<EngineCrash> CrashLedger::UnexplainedCrashesOf(const CrashCause& cause) const
{
  std::vector<EngineCrash> crashes;
  const auto found = m_records.find(cause);
  if (found == m_records.end())
    return crashes;
  for (const auto& [engine, crash] : found->second.crashes)
  {
    if (!IsExplained(engine))
      crashes.push_back(crash);
  }
  return crashes;
}

std::vector<CrashCause> CrashLedger::TakeNewlyBlocked()
{
  return std::exchange(m_newly_blocked, {});
}

bool CrashLedger::IsExpired(const CrashRecord& record)
{
  return std::ranges::all_of(record.crashes, [](const CrashRecord::Crash& crash)
                             { return crash.age >= CRASH_LIFETIME; });
}

CrashRecord CrashLedger::RecordOf(const CrashCause& cause, TimePoint now) const
{
  const auto found = m_records.find(cause);
  return found == m_records.end() ? CrashRecord{cause, {}, {}}
                                  : Describe(cause, found->second, now);
}

CrashRecord CrashLedger::Describe(const CrashCause& cause, const Record& record,
                                  TimePoint now) const
{
  const auto age = [now](TimePoint at)
  { return std::chrono::duration_cast<Milliseconds>(std::max(now, at) - at); };
  CrashRecord described{
      cause, {}, {}, record.position, IsBlocked(cause) || record.is_inferred_elsewhere};
  for (const auto& [engine, crash] : record.crashes)
    described.crashes.push_back({engine, age(crash.at), age(crash.sent), crash.organisation});
  if (record.cleared_at)
    described.cleared = age(*record.cleared_at);
  return described;
}

std::vector<CrashRecord> CrashLedger::All(TimePoint now) const
{
  std::vector<CrashRecord> all;
  all.reserve(m_records.size());
  for (const auto& [cause, record] : m_records)
    all.push_back(Describe(cause, record, now));
  return all;
}

std::vector<CrashRecord> CrashLedger::TakeChanged(TimePoint now)
{
  std::vector<CrashRecord> changed;
  for (const CrashCause& cause : std::exchange(m_changed, {}))
    changed.push_back(Describe(cause, m_records.at(cause), now));
  m_changed_since.reset();
  return changed;
}

void CrashLedger::UpdateStateHash()
{
  m_state_hash = 0;
  for (const auto& [cause, record] : m_records)
  {
    if (record.crashes.empty() && !record.cleared_at)
      continue;
    const auto& identity = BytesOf(cause);
    const std::string_view bytes(reinterpret_cast<const char*>(identity.data()), identity.size());
    std::uint64_t hash = Common::StableHash(bytes, record.cleared_at ? 1 : 0);
    for (const auto& [engine, crash] : record.crashes)
      hash = Common::MixHash(hash, engine);
    m_state_hash ^= hash;
  }
}
} // namespace Holdpost::Crashes
