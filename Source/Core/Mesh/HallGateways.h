// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <vector>

#include "Common/Types.h"

// The other gateways of a hall, as its sidecars tell of them.
namespace Holdpost::Mesh
{
class HallGateways
{
public:
  explicit HallGateways(Common::Address self) : m_self(std::move(self)) {}

  void OnListed(const std::vector<Common::Address>& gateways, Common::TimePoint now)
  {
    for (const Common::Address& gateway : gateways)
    {
      if (gateway != m_self)
        m_heard[gateway] = now;
    }
  }
  // A gateway that no sidecar tells of any more is left out after a while.
  std::vector<Common::Address> Others(Common::TimePoint now)
  {
    std::erase_if(m_heard, [now](const auto& entry) { return now - entry.second > LIFETIME; });
    std::vector<Common::Address> others;
    others.reserve(m_heard.size());
    for (const auto& [gateway, heard] : m_heard)
      others.push_back(gateway);
    return others;
  }

private:
  static constexpr Common::Milliseconds LIFETIME = Common::Milliseconds(4000);

  Common::Address m_self;
  std::map<Common::Address, Common::TimePoint> m_heard;
};
} // namespace Holdpost::Mesh
