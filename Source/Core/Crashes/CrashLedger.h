// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Crashes/CauseInference.h"
#include "Core/Crashes/CrashCause.h"

// Replicated evidence of what crashes the engines that run it. Every gateway and every sidecar
// holds a replica. Merging is commutative and idempotent, so replicas that have exchanged their
// records agree, in whatever order the records arrived.
namespace Holdpost::Crashes
{
// What one process tells another about a possible cause. Times are ages, because processes have
// different clocks.
struct CrashRecord
{
  struct Crash
  {
    EngineRun engine = 0;
    Common::Milliseconds age{0};
    // How long ago the request was sent to the engine; taken for `age` if it is less.
    Common::Milliseconds sent_age{0};
    OrganisationHash organisation = 0;

    bool operator==(const Crash&) const = default;
  };

  CrashCause cause;
  // The engines that ended while they had a request of the cause.
  std::vector<Crash> crashes;
  // How long ago an engine last answered a request of the cause whole; crashes before that do not
  // count.
  std::optional<Common::Milliseconds> cleared;
  // The place of a part in its prompts.
  std::uint32_t position = 0;
  // The sender has inferred that the cause crashes engines.
  bool is_inferred = false;

  bool operator==(const CrashRecord&) const = default;
};

class CrashLedger
{
public:
  // Records that an engine ended while it had a request with these possible causes; parts are given
  // in the order of the prompt. Returns the causes of which that was not known.
  std::vector<CrashCause> Add(const std::vector<CrashCause>& causes, const EngineCrash& crash,
                              Common::TimePoint now);
  // An engine answered a request of the cause whole, so the cause did not cause its earlier
  // crashes. Returns how many of them no longer count.
  std::size_t Clear(const CrashCause& cause, Common::TimePoint answered_at, Common::TimePoint now);
  // Adds what another replica knows.
  void Merge(const std::vector<CrashRecord>& records, Common::TimePoint now);
  // The whole answers of this process; none in a process that sends no requests.
  AnswerHistory& Answers() { return m_outcomes.answers; }
  // Whether this process sees answers, and has done so for a while.
  void SetKnowsAnswers(bool knows_answers) { m_outcomes.knows_answers = knows_answers; }

  // The number of engines that crashed under the cause, up to a maximum.
  std::size_t CrashesOf(const CrashCause& cause) const;
  // Those of them that no blocked cause explains.
  std::vector<EngineCrash> UnexplainedCrashesOf(const CrashCause& cause) const;
  bool IsExplained(EngineRun engine) const { return m_explained.contains(engine); }
  // Whether the evidence against the cause is sufficient, also if it is not blocked yet.
  bool IsConclusive(const CrashCause& cause) const { return m_conclusive_since.contains(cause); }
  bool IsBlocked(const CrashCause& cause) const { return m_blocked.contains(cause); }
  // Whether the cause is blocked for an organisation: a part is if engines have ended under
  // requests of this organisation or of several others, so that none can have the part of another
  // one blocked by naming it.
  bool IsBlockedFor(const CrashCause& cause, OrganisationHash organisation) const;
  // The causes that have become blocked since the last call, or blocked for all organisations.
  std::vector<CrashCause> TakeNewlyBlocked();
  // Blocks what is conclusive for long enough, and drops evidence that is too old.
  void OnTick(Common::TimePoint now);
  // The time at which the next cause may become blocked without new evidence.
  const std::optional<Common::TimePoint>& NextWakeup() const { return m_settle_due; }

  // Equal for replicas with equal evidence; 0 for an empty replica.
  std::uint64_t StateHash() const { return m_state_hash; }
  std::vector<CrashRecord> All(Common::TimePoint now) const;
  CrashRecord RecordOf(const CrashCause& cause, Common::TimePoint now) const;
  // Whether all crashes of the record are too old to count.
  static bool IsExpired(const CrashRecord& record);
  // The records that have changed since the last call, and the time of the first change; empty if
  // there are none.
  std::vector<CrashRecord> TakeChanged(Common::TimePoint now);
  const std::optional<Common::TimePoint>& ChangedSince() const { return m_changed_since; }

  std::size_t Size() const { return m_records.size(); }
  const std::set<CrashCause>& Blocked() const { return m_blocked; }
  // Drops evidence that is too old.
  void Expire(Common::TimePoint now);

private:
  struct Record
  {
    std::map<EngineRun, EngineCrash> crashes;
    std::optional<Common::TimePoint> cleared_at;
    std::uint32_t position = 0;
    bool is_inferred_elsewhere = false;
  };

  CrashRecord Describe(const CrashCause& cause, const Record& record, Common::TimePoint now) const;
  // Adds one crash if it counts and is new; returns whether it is.
  static bool AddCrash(Record& record, const EngineCrash& crash);
  static bool ClearBefore(Record& record, Common::TimePoint at);
  static bool IsForAll(const Record& record);
  bool MergeOne(const CrashRecord& told, Common::TimePoint now);
  void OnChanged(const CrashCause& cause, Common::TimePoint now);
  void EvictIfFull();
  std::vector<EngineCrash> LostRequests() const;
  // Of the causes with enough crashes to be blocked.
  std::vector<CauseEvidence> Evidence() const;
  // Blocks those of the conclusive causes that have settled, and no others.
  void Block(const std::set<CrashCause>& causes, Common::TimePoint now);
  // Updates what follows from the records.
  void Reassess(Common::TimePoint now);
  // Whether a conclusive cause may be blocked now.
  bool IsSettled(const CrashCause& cause, Common::TimePoint now);
  void UpdateStateHash();

  std::map<CrashCause, Record> m_records;
  std::set<CrashCause> m_changed;
  std::optional<Common::TimePoint> m_changed_since;
  std::set<EngineRun> m_explained;
  std::map<CrashCause, Common::TimePoint> m_conclusive_since;
  std::optional<Common::TimePoint> m_settle_due;
  std::set<CrashCause> m_blocked;
  std::set<CrashCause> m_blocked_for_all;
  std::vector<CrashCause> m_newly_blocked;
  FleetOutcomes m_outcomes;
  std::uint64_t m_state_hash = 0;
  Common::TimePoint m_expire_due{};
};
} // namespace Holdpost::Crashes
