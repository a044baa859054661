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
static constexpr std::size_t MAX_PENDING = 512;
static constexpr std::size_t MAX_KNOWN_ENDS = 512;

static EngineRun EngineRunOf(const LostAttempt& lost)
{
  return Common::StableHash(lost.target, lost.incarnation);
}

static bool IsOf(const LostAttempt& lost, const EngineEnd& end)
{
  if (lost.address != end.target)
    return false;
  if (!end.id.empty() && end.id != lost.target)
    return false;
  return end.incarnation == 0 || lost.incarnation == 0 || end.incarnation == lost.incarnation;
}

void CrashTracker::OnLost(const LostAttempt& lost, bool has_ended, TimePoint now)
{
  const bool is_known_end =
      std::ranges::any_of(m_ends, [&](const KnownEnd& known)
                          { return now - known.at < END_NOTICE_TIME && IsOf(lost, known.end); });
  if (has_ended || is_known_end)
    return Count(lost, now);
  if (m_pending.size() >= MAX_PENDING)
    m_pending.erase(m_pending.begin());
  m_pending.push_back({lost, now});
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
  CountWhere([&](const LostAttempt& lost) { return IsOf(lost, end); }, now);
}

void CrashTracker::OnTargets(const HasEnded& has_ended, TimePoint now)
{
  if (!m_pending.empty())
    CountWhere(has_ended, now);
}

void CrashTracker::CountWhere(const HasEnded& condition, TimePoint now)
{
  std::erase_if(m_pending,
                [&](const Pending& pending)
                {
                  const bool is_counted = condition(pending.lost);
                  if (is_counted)
                    Count(pending.lost, now);
                  return is_counted;
                });
}

void CrashTracker::Count(const LostAttempt& lost, TimePoint now)
{
  if (!m_ledger.Add(lost.request, EngineRunOf(lost), now))
    return;
  LogEvent(Weight::Important, now, "crash.counted", "fingerprint", lost.request.Short(), "target",
           lost.target, "crashes", m_ledger.CrashesOf(lost.request));
}

void CrashTracker::OnAnswered(const RequestFingerprint& request, TimePoint now)
{
  if (const std::size_t cleared = m_ledger.Clear(request, now))
  {
    LogEvent(Weight::Ordinary, now, "crash.cleared", "fingerprint", request.Short(), "crashes",
             cleared);
  }
}

void CrashTracker::OnTick(TimePoint now)
{
  std::erase_if(m_pending,
                [now](const Pending& pending) { return now - pending.at >= END_NOTICE_TIME; });
  std::erase_if(m_ends, [now](const KnownEnd& known) { return now - known.at >= END_NOTICE_TIME; });
  m_ledger.Expire(now);
}

bool CrashTracker::IsSuspect(const RequestFingerprint& request) const
{
  const auto pending = static_cast<std::size_t>(std::ranges::count_if(
      m_pending, [&](const Pending& entry) { return entry.lost.request == request; }));
  return m_ledger.CrashesOf(request) + pending + 1 >= BLOCKING_CRASHES;
}
} // namespace Holdpost::Crashes
