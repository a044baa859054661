// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>

#include "Common/Types.h"

// Limits how often a process sends the same large answer to a peer. A peer that waits long for an
// answer repeats its request; without the limit, the answer would be sent again while the first
// copy may still be in transit.
namespace Holdpost::Control
{
class AnswerThrottle
{
public:
  // Returns whether this version may be sent to the peer now. If so, the version is recorded as
  // sent.
  bool TryAcquire(const Common::Address& peer, std::uint64_t version, Common::TimePoint now)
  {
    std::erase_if(m_sent,
                  [now](const auto& entry) { return now - entry.second.at >= RESEND_PAUSE; });
    const auto found = m_sent.find(peer);
    if (found != m_sent.end() && found->second.version >= version)
      return false;
    m_sent[peer] = {version, now};
    return true;
  }

private:
  static constexpr Common::Milliseconds RESEND_PAUSE = Common::Milliseconds(1500);

  struct Sent
  {
    std::uint64_t version = 0;
    Common::TimePoint at{};
  };

  std::map<Common::Address, Sent> m_sent;
};
} // namespace Holdpost::Control
