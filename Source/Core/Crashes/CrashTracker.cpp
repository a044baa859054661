// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CrashTracker.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace Holdpost::Crashes
{
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// How long the end of the engine may become known after the attempt was lost: the record of an
// engine that ends without notice stays on the target list for three heartbeat intervals of 1.2 s,
// and the list is read several times in 2 s.
static constexpr Milliseconds END_NOTICE_TIME = Milliseconds(6000);
// An agent knows of the end of its engine within this time.
static constexpr Milliseconds AGENT_NOTICE_TIME = Milliseconds(600);
// After this time the answers of a process tell which parts are answered at all.
static constexpr Milliseconds MIN_ANSWERS_TIME = std::chrono::seconds(10);
static constexpr std::size_t MAX_PENDING = 512;
static constexpr std::size_t MAX_KNOWN_ENDS = 512;

static EngineRun EngineRunOf(const Attempt& attempt)
{
  return Common::StableHash(attempt.target, attempt.incarnation);
}

static bool IsOf(const Attempt& attempt, const EngineEnd& engine)
{
  if (attempt.address != engine.target)
    return false;
  if (!engine.id.empty() && engine.id != attempt.target)
    return false;
  return engine.incarnation == 0 || attempt.incarnation == 0 ||
         engine.incarnation == attempt.incarnation;
}

static bool Contains(const RequestCauses& causes, const CrashCause& cause)
{
  if (const auto* part = std::get_if<PromptPart>(&cause))
    return std::ranges::find(causes.parts, *part) != causes.parts.end();
  return causes.request == std::get<RequestFingerprint>(cause);
}

bool CrashTracker::IsKnownEnd(const Attempt& attempt, TimePoint now) const
{
  return std::ranges::any_of(m_ends,
                             [&](const KnownEnd& known) {
                               return now - known.at < END_NOTICE_TIME && IsOf(attempt, known.end);
                             });
}

void CrashTracker::CountOrAwaitEnd(const Attempt& attempt, bool has_ended, TimePoint now,
                                   std::vector<Pending>* awaiting)
{
  if (has_ended || IsKnownEnd(attempt, now))
    return Count({attempt, now}, now);
  if (awaiting->size() >= MAX_PENDING)
    awaiting->erase(awaiting->begin());
  awaiting->push_back({attempt, now});
}

void CrashTracker::OnLost(const Attempt& lost, bool has_ended, TimePoint now)
{
  CountOrAwaitEnd(lost, has_ended, now, &m_lost);
}

void CrashTracker::OnEndedWithConnection(const Attempt& attempt, bool has_ended, TimePoint now)
{
  if (has_ended || IsKnownEnd(attempt, now))
    NoteEndedWithTarget({attempt, now}, now);
  CountOrAwaitEnd(attempt, has_ended, now, &m_ended_with_connection);
}

void CrashTracker::OnEngineEnd(const EngineEnd& end, TimePoint now)
{
  const auto known = std::ranges::find(m_ends, end, &KnownEnd::end);
  if (known == m_ends.end())
  {
    if (m_ends.size() >= MAX_KNOWN_ENDS)
      m_ends.erase(m_ends.begin());
    m_ends.push_back({end, now});
  }
  CountWhere([&](const Attempt& attempt) { return IsOf(attempt, end); }, now);
}

void CrashTracker::OnTargetGone(const Gateway::TargetId& target, const Common::Address& address,
                                TimePoint gone_since, TimePoint now)
{
  CountWhere(
      [&](const Attempt& attempt) {
        return attempt.target == target && attempt.address == address && attempt.sent <= gone_since;
      },
      now);
}

void CrashTracker::OnEngineRuns(const EngineEnd& engine, TimePoint now)
{
  // Another start of the engine may have the same address.
  const bool is_identified = !engine.id.empty() || engine.incarnation != 0;
  if (!is_identified)
    return;
  std::erase_if(m_ended_with_connection,
                [&](const Pending& pending)
                {
                  const bool is_proved =
                      IsOf(pending.attempt, engine) && now - pending.at >= AGENT_NOTICE_TIME;
                  if (is_proved)
                    OnAnswered(pending.attempt.causes, pending.at, now);
                  return is_proved;
                });
}

void CrashTracker::OnTargets(const HasEnded& has_ended, TimePoint now)
{
  if (!m_lost.empty() || !m_ended_with_connection.empty())
    CountWhere(has_ended, now);
}

void CrashTracker::CountWhere(const HasEnded& condition, TimePoint now)
{
  const auto is_counted = [&](const Pending& pending)
  {
    if (!condition(pending.attempt))
      return false;
    Count(pending, now);
    return true;
  };
  std::erase_if(m_lost, is_counted);
  std::erase_if(m_ended_with_connection,
                [&](const Pending& answer)
                {
                  if (!is_counted(answer))
                    return false;
                  NoteEndedWithTarget(answer, now);
                  return true;
                });
}

void CrashTracker::NoteEndedWithTarget(const Pending& answer, TimePoint now)
{
  ++m_answers_ended_with_target;
  LogEvent(Weight::Important, now, "answer.ended_with_target", "request", answer.attempt.request,
           "target", answer.attempt.target, "incarnation", answer.attempt.incarnation,
           "ended_ms_ago", now - answer.at);
}

void CrashTracker::Count(const Pending& pending, TimePoint now)
{
  const Attempt& attempt = pending.attempt;
  const EngineCrash crash{EngineRunOf(attempt), pending.at, attempt.sent,
                          attempt.causes.organisation};
  for (const CrashCause& cause : m_ledger.Add(ListOf(attempt.causes), crash, now))
  {
    ApplyAnswers(cause, now);
    const std::size_t crashes = m_ledger.CrashesOf(cause);
    // Each part of all lost requests has a first crash, which says little.
    if (IsPromptPart(cause) && crashes < 2)
      continue;
    LogEvent(Weight::Important, now, "crash.counted", "cause", KindName(cause), "fingerprint",
             ShortName(cause), "target", attempt.target, "crashes", crashes);
  }
}

void CrashTracker::ApplyAnswers(const CrashCause& cause, TimePoint now)
{
  const auto* part = std::get_if<PromptPart>(&cause);
  if (!part)
    return;
  if (const auto answered_at = m_answered.LastAnswer(*part))
    m_ledger.Clear(cause, *answered_at, now);
}

void CrashTracker::OnRecords(const std::vector<CrashRecord>& records, TimePoint now)
{
  m_ledger.Merge(records, now);
  for (const CrashRecord& record : records)
    ApplyAnswers(record.cause, now);
}

void CrashTracker::OnAnswered(const RequestCauses& causes, TimePoint answered_at, TimePoint now)
{
  // Answers of targets that read no prompts show nothing of how engines fare.
  if (!causes.parts.empty())
    m_ledger.Answers().OnAnswered(answered_at);
  for (const PromptPart& part : causes.parts)
    m_answered.OnAnswered(part, answered_at);
  if (m_ledger.Size() == 0)
    return;
  for (const CrashCause& cause : ListOf(causes))
  {
    if (const std::size_t cleared = m_ledger.Clear(cause, answered_at, now))
    {
      LogEvent(Weight::Ordinary, now, "crash.cleared", "cause", KindName(cause), "fingerprint",
               ShortName(cause), "crashes", cleared);
    }
  }
}

void CrashTracker::OnTick(TimePoint now)
{
  if (!m_started)
    m_started = now;
  m_ledger.SetKnowsAnswers(now - *m_started >= MIN_ANSWERS_TIME);
  const auto is_over = [now](const auto& entry) { return now - entry.at >= END_NOTICE_TIME; };
  std::erase_if(m_lost, is_over);
  std::erase_if(m_ends, is_over);
  std::erase_if(m_ended_with_connection,
                [&](const Pending& pending)
                {
                  if (!is_over(pending))
                    return false;
                  OnAnswered(pending.attempt.causes, pending.at, now);
                  return true;
                });
  m_ledger.OnTick(now);
}

std::optional<CrashCause> CrashTracker::BlockedBy(const RequestCauses& causes) const
{
  if (m_ledger.Blocked().empty())
    return std::nullopt;
  for (const CrashCause& cause : ListOf(causes))
  {
    if (m_ledger.IsBlockedFor(cause, causes.organisation))
      return cause;
  }
  return std::nullopt;
}

bool CrashTracker::IsSuspect(const CrashCause& cause) const
{
  if (m_ledger.IsConclusive(cause))
    return true;
  std::vector<EngineCrash> crashes = m_ledger.UnexplainedCrashesOf(cause);
  for (const Pending& lost : m_lost)
  {
    const EngineRun engine = EngineRunOf(lost.attempt);
    if (Contains(lost.attempt.causes, cause) && !m_ledger.IsExplained(engine))
      crashes.push_back({engine, lost.at, lost.attempt.sent});
  }
  const auto* part = std::get_if<PromptPart>(&cause);
  if (!part)
    return crashes.size() + 1 >= BLOCKING_CRASHES;
  if (const auto answered_at = m_answered.LastAnswer(*part))
    std::erase_if(crashes, [&](const EngineCrash& crash) { return crash.at <= *answered_at; });
  return TrialsOf(std::move(crashes)) + 1 >= BLOCKING_TRIALS;
}

bool CrashTracker::IsSuspect(const RequestCauses& causes) const
{
  if (m_ledger.Size() == 0 && m_lost.empty())
    return false;
  return std::ranges::any_of(ListOf(causes),
                             [this](const CrashCause& cause) { return IsSuspect(cause); });
}
} // namespace Holdpost::Crashes
