// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Core/Crashes/CrashLedger.h"
#include "Core/Gateway/Target.h"

// Decides which lost attempts of a gateway's requests are evidence of a crash. A lost answer alone
// is none: connections are reset, answers break off and paths are cut while the engine runs on. It
// becomes evidence when the engine is known to have ended, by its agent or by the target list.
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

// An attempt that ended without a whole answer although the target may have run the request.
struct LostAttempt
{
  RequestFingerprint request;
  Gateway::TargetId target;
  Common::Address address;
  std::uint64_t incarnation = 0;
};

class CrashTracker
{
public:
  // Whether the engine that had the attempt is known to have ended.
  using HasEnded = std::function<bool(const LostAttempt&)>;

  // An attempt was lost at a target that was listed as ready, or that has been replaced already.
  void OnLost(const LostAttempt& lost, bool has_ended, Common::TimePoint now);
  void OnEngineEnd(const EngineEnd& end, Common::TimePoint now);
  // The known targets have changed.
  void OnTargets(const HasEnded& has_ended, Common::TimePoint now);
  void OnAnswered(const RequestFingerprint& request, Common::TimePoint now);
  void OnTick(Common::TimePoint now);

  bool IsBlocked(const RequestFingerprint& request) const { return m_ledger.IsBlocked(request); }
  // Whether one more crash would block the request. Lost attempts count that are not known to be
  // crashes yet, because their outcome is known only after the next attempt would be sent.
  bool IsSuspect(const RequestFingerprint& request) const;
  CrashLedger& Ledger() { return m_ledger; }
  const CrashLedger& Ledger() const { return m_ledger; }

private:
  struct Pending
  {
    LostAttempt lost;
    Common::TimePoint at;
  };

  struct KnownEnd
  {
    EngineEnd end;
    Common::TimePoint at;
  };

  void Count(const LostAttempt& lost, Common::TimePoint now);
  // Counts and forgets the pending attempts that meet the condition.
  void CountWhere(const HasEnded& condition, Common::TimePoint now);

  CrashLedger m_ledger;
  std::vector<Pending> m_pending;
  std::vector<KnownEnd> m_ends;
};
} // namespace Holdpost::Crashes
