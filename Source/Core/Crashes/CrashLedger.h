// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Gateway/RequestFingerprint.h"

// Replicated evidence of which requests crash the engines that run them. Every gateway and every
// sidecar holds a replica. Merging is commutative and idempotent, so replicas that have exchanged
// their records agree, in whatever order the records arrived.
namespace Holdpost::Crashes
{
using Gateway::RequestFingerprint;

// Identifies one start of one engine, the same in all processes.
using EngineRun = std::uint64_t;

// A request with this number of crashes is blocked: it is sent to no engine any more.
inline constexpr std::size_t BLOCKING_CRASHES = 3;

// What one process tells another about a request. Times are ages, because processes have different
// clocks.
struct CrashRecord
{
  struct Crash
  {
    EngineRun engine = 0;
    Common::Milliseconds age{0};

    bool operator==(const Crash&) const = default;
  };

  RequestFingerprint request;
  // The engines that ended while they had the request; at most BLOCKING_CRASHES.
  std::vector<Crash> crashes;
  // How long ago an engine answered the request whole; crashes before that do not count.
  std::optional<Common::Milliseconds> cleared;

  bool operator==(const CrashRecord&) const = default;
};

class CrashLedger
{
public:
  // Records that an engine ended while it had the request. Returns whether that was not known.
  bool Add(const RequestFingerprint& request, EngineRun engine, Common::TimePoint now);
  // An engine answered the request whole, so the request did not cause its earlier crashes. Returns
  // how many of them no longer count.
  std::size_t Clear(const RequestFingerprint& request, Common::TimePoint now);
  // Adds what another replica knows.
  void Merge(const std::vector<CrashRecord>& records, Common::TimePoint now);

  // The number of engines that crashed under the request, up to BLOCKING_CRASHES.
  std::size_t CrashesOf(const RequestFingerprint& request) const;
  bool IsBlocked(const RequestFingerprint& request) const
  {
    return CrashesOf(request) >= BLOCKING_CRASHES;
  }
  // The requests that have become blocked since the last call.
  std::vector<RequestFingerprint> TakeNewlyBlocked();

  // Equal for replicas with equal evidence; 0 for an empty replica.
  std::uint64_t StateHash() const { return m_state_hash; }
  std::vector<CrashRecord> All(Common::TimePoint now) const;
  CrashRecord RecordOf(const RequestFingerprint& request, Common::TimePoint now) const;
  // Whether all crashes of the record are too old to count.
  static bool IsExpired(const CrashRecord& record);
  // The records that have changed since the last call, and the time of the first change; empty if
  // there are none.
  std::vector<CrashRecord> TakeChanged(Common::TimePoint now);
  const std::optional<Common::TimePoint>& ChangedSince() const { return m_changed_since; }

  std::size_t Size() const { return m_records.size(); }
  const std::set<RequestFingerprint>& Blocked() const { return m_blocked; }
  // Drops evidence that is too old.
  void Expire(Common::TimePoint now);

private:
  struct Record
  {
    std::map<EngineRun, Common::TimePoint> crashes;
    std::optional<Common::TimePoint> cleared_at;
  };

  static CrashRecord Describe(const RequestFingerprint& request, const Record& record,
                              Common::TimePoint now);
  // Adds one crash if it counts and is new; returns whether it is.
  static bool AddCrash(Record& record, EngineRun engine, Common::TimePoint at);
  static bool ClearBefore(Record& record, Common::TimePoint at);
  bool MergeOne(const CrashRecord& told, Common::TimePoint now);
  void OnChanged(const RequestFingerprint& request, Common::TimePoint now);
  void EvictIfFull();
  void UpdateStateHash();

  std::map<RequestFingerprint, Record> m_records;
  std::set<RequestFingerprint> m_changed;
  std::optional<Common::TimePoint> m_changed_since;
  std::set<RequestFingerprint> m_blocked;
  std::vector<RequestFingerprint> m_newly_blocked;
  std::uint64_t m_state_hash = 0;
  Common::TimePoint m_expire_due{};
};
} // namespace Holdpost::Crashes
