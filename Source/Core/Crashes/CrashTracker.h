// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/Crashes/AnsweredParts.h"
#include "Core/Crashes/CrashLedger.h"
#include "Core/Gateway/Target.h"

// Decides which attempts of a gateway's requests are evidence of a crash, and which are evidence
// against one. A lost answer alone is none: connections are reset, answers break off and paths are
// cut while the engine runs on. It becomes evidence when the engine is known to have ended, by its
// agent, by the target list, or by a probe that does not find it at its address any more.
namespace Holdpost::Crashes
{
// An engine has ended without notice, as the agent beside it reports.
struct EngineEnd
{
  Common::Address target;
  // Empty if the agent does not know the target's id.
  Gateway::TargetId id;
  // 0 if the agent does not know it.
  std::uint64_t incarnation = 0;

  bool operator==(const EngineEnd&) const = default;
};

// An attempt of a request at a target, which may have run the request.
struct Attempt
{
  RequestCauses causes;
  Gateway::TargetId target;
  Common::Address address;
  std::uint64_t incarnation = 0;
  Common::TimePoint sent{};
  std::string request = {}; // its id, for the log
};

class CrashTracker
{
public:
  // Whether the engine that had the attempt is known to have ended.
  using HasEnded = std::function<bool(const Attempt&)>;

  // An attempt ended without a whole answer, at a target that was listed as ready, or that has been
  // replaced already.
  void OnLost(const Attempt& lost, bool has_ended, Common::TimePoint now);
  // The answer to an attempt at such a target looks whole, but nothing except the end of its
  // connection marked its end. It counts as lost if the engine ended then, and as whole once the
  // engine is known to have run on.
  void OnEndedWithConnection(const Attempt& attempt, bool has_ended, Common::TimePoint now);
  // An engine answered a request whole.
  void OnAnswered(const RequestCauses& causes, Common::TimePoint answered_at,
                  Common::TimePoint now);
  void OnEngineEnd(const EngineEnd& end, Common::TimePoint now);
  // The target was not at its address any more at the time or later.
  void OnTargetGone(const Gateway::TargetId& target, const Common::Address& address,
                    Common::TimePoint gone_since, Common::TimePoint now);
  // The agent beside an engine reports that this incarnation of it runs.
  void OnEngineRuns(const EngineEnd& engine, Common::TimePoint now);
  // The number of gateways that send to the same targets has changed.
  void SetGatewayCount(std::size_t count) { m_ledger.Answers().SetProcessCount(count); }
  // The known targets have changed.
  void OnTargets(const HasEnded& has_ended, Common::TimePoint now);
  // Another process knows of causes.
  void OnRecords(const std::vector<CrashRecord>& records, Common::TimePoint now);
  void OnTick(Common::TimePoint now);
  std::optional<Common::TimePoint> NextWakeup() const { return m_ledger.NextWakeup(); }

  // The first cause for which the request is not sent to any engine; empty if there is none.
  std::optional<CrashCause> BlockedBy(const RequestCauses& causes) const;
  bool IsBlocked(const RequestCauses& causes) const { return BlockedBy(causes).has_value(); }
  // Whether one more crash would block a cause of the request. Lost attempts count that are not
  // known to be crashes yet, because their outcome is known only after the next attempt would be
  // sent.
  bool IsSuspect(const RequestCauses& causes) const;
  // The number of answers that ended with their connection and whose target is known to have ended
  // since, so that they may have been incomplete.
  std::size_t AnswersEndedWithTarget() const { return m_answers_ended_with_target; }
  CrashLedger& Ledger() { return m_ledger; }
  const CrashLedger& Ledger() const { return m_ledger; }

private:
  struct Pending
  {
    Attempt attempt;
    Common::TimePoint at;
  };

  struct KnownEnd
  {
    EngineEnd end;
    Common::TimePoint at;
  };

  bool IsKnownEnd(const Attempt& attempt, Common::TimePoint now) const;
  bool IsSuspect(const CrashCause& cause) const;
  // Counts the attempt if its engine has ended, or adds it to those that wait for such news; the
  // oldest of these is forgotten if there are too many.
  void CountOrAwaitEnd(const Attempt& attempt, bool has_ended, Common::TimePoint now,
                       std::vector<Pending>* awaiting);
  void Count(const Pending& pending, Common::TimePoint now);
  // Logs an answer whose target has ended, and of which only the end of its connection marked the
  // end.
  void NoteEndedWithTarget(const Pending& answer, Common::TimePoint now);
  // Counts and forgets the pending attempts that meet the condition.
  void CountWhere(const HasEnded& condition, Common::TimePoint now);
  // Takes the answers into account that this process saw before it knew of the crashes.
  void ApplyAnswers(const CrashCause& cause, Common::TimePoint now);

  CrashLedger m_ledger;
  AnsweredParts m_answered;
  std::vector<Pending> m_lost;
  std::vector<Pending> m_ended_with_connection;
  std::vector<KnownEnd> m_ends;
  std::size_t m_answers_ended_with_target = 0;
  std::optional<Common::TimePoint> m_started;
};
} // namespace Holdpost::Crashes
