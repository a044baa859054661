// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <vector>

#include "Common/Types.h"

// Decides when to ask another process for settings and targets because the platform does not answer
// this process.
namespace Holdpost::Control
{
// How much this process knows without the platform.
enum class Knowledge
{
  // Not enough to serve callers.
  Partial,
  // The state that was in force when the platform last answered.
  Whole,
};

class PeerQuery
{
public:
  // The peers may be down or their addresses stale, so they are asked in turn.
  explicit PeerQuery(std::vector<Common::Address> peers) : m_peers(std::move(peers)) {}

  void SetPeers(std::vector<Common::Address> peers)
  {
    m_peers = std::move(peers);
    m_next = 0;
  }
  // Returns the peer to ask now; empty if no query is due.
  std::optional<Common::Address> OnTick(bool is_platform_reachable, Knowledge knowledge,
                                        Common::TimePoint now);
  Common::TimePoint NextWakeup() const;

private:
  std::vector<Common::Address> m_peers;
  std::size_t m_next = 0;
  // The time of the next query; empty while the platform answers.
  std::optional<Common::TimePoint> m_due;
};
} // namespace Holdpost::Control
