// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CrashExchange.h"

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

// Collects the records of one crash, which several requests and several gateways report.
static constexpr Milliseconds CHANGES_DELAY = Milliseconds(100);
static constexpr Milliseconds MAX_DIFFERENCE_TIME = Milliseconds(1000);
static constexpr Milliseconds RESEND_PERIOD = Milliseconds(2000);
static constexpr Milliseconds PEER_LIFETIME = Milliseconds(10000);

std::optional<TimePoint> CrashExchange::NextWakeup(const CrashLedger& ledger)
{
  if (!ledger.ChangedSince())
    return std::nullopt;
  return *ledger.ChangedSince() + CHANGES_DELAY;
}

std::vector<CrashRecord> CrashExchange::ChangesToSend(CrashLedger& ledger, TimePoint now) const
{
  const auto due = NextWakeup(ledger);
  if (!due || now < *due)
    return {};
  return ledger.TakeChanged(now);
}

bool CrashExchange::OnPeerHash(const Common::Address& peer, std::uint64_t peer_hash,
                               const CrashLedger& ledger, TimePoint now)
{
  ForgetSilentPeers(now);
  Peer& known = m_peers[peer];
  known.heard_at = now;
  if (peer_hash == ledger.StateHash())
  {
    known.differs_since.reset();
    return false;
  }
  if (!known.differs_since)
    known.differs_since = now;
  const bool is_empty = peer_hash == 0;
  const bool is_late = now - *known.differs_since >= MAX_DIFFERENCE_TIME;
  const bool was_sent = known.sent_at && now - *known.sent_at < RESEND_PERIOD;
  if (ledger.Size() == 0 || was_sent || !(is_empty || is_late))
    return false;
  known.sent_at = now;
  return true;
}

void CrashExchange::ForgetSilentPeers(TimePoint now)
{
  if (now < m_forget_due)
    return;
  m_forget_due = now + PEER_LIFETIME;
  std::erase_if(m_peers,
                [now](const auto& entry) { return now - entry.second.heard_at >= PEER_LIFETIME; });
}
} // namespace Holdpost::Crashes
