// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Types.h"
#include "Core/Crashes/CrashLedger.h"

// When a process sends records of its ledger to others. Changes are sent to all neighbours soon
// after they happen. The periodic messages between gateways and sidecars carry the hash of the
// ledger, so that a lost message, a start or the end of a cut is noticed and made up for.
namespace Holdpost::Crashes
{
class CrashExchange
{
public:
  // The changes that are to be sent to all neighbours now; empty if there are none.
  std::vector<CrashRecord> ChangesToSend(CrashLedger& ledger, Common::TimePoint now) const;
  // The time at which changes are to be sent; empty if there are none.
  static std::optional<Common::TimePoint> NextWakeup(const CrashLedger& ledger);
  // A peer has sent the hash of its ledger. Returns whether it is to be sent all records now,
  // because it has differed for longer than changes take to arrive.
  bool OnPeerHash(const Common::Address& peer, std::uint64_t peer_hash, const CrashLedger& ledger,
                  Common::TimePoint now);

private:
  struct Peer
  {
    // Since when the peer's ledger is known to differ; empty while it is equal.
    std::optional<Common::TimePoint> differs_since;
    std::optional<Common::TimePoint> sent_at;
    Common::TimePoint heard_at{};
  };

  void ForgetSilentPeers(Common::TimePoint now);

  std::map<Common::Address, Peer> m_peers;
  Common::TimePoint m_forget_due{};
};
} // namespace Holdpost::Crashes
