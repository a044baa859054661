// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>

#include "Common/Types.h"

// Keeps a process from sending a peer the same large answer again while the first may still be on
// its way: peers ask anew when an answer takes long.
namespace Holdpost::Control
{
class AnswerPacing
{
public:
  // Whether the peer may be sent this version now; if so, it counts as sent.
  bool Take(const Common::Address& peer, std::uint64_t version, Common::TimePoint now)
  {
    std::erase_if(m_sent, [now](const auto& entry) { return now - entry.second.at >= PAUSE; });
    const auto found = m_sent.find(peer);
    if (found != m_sent.end() && found->second.version >= version)
      return false;
    m_sent[peer] = {version, now};
    return true;
  }

private:
  static constexpr Common::Milliseconds PAUSE = Common::Milliseconds(1500);

  struct Sent
  {
    std::uint64_t version = 0;
    Common::TimePoint at{};
  };

  std::map<Common::Address, Sent> m_sent;
};
} // namespace Holdpost::Control
