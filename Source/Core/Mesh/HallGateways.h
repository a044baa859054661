// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <vector>

#include "Common/Types.h"

// The other gateways of a hall, as the sidecars of the hall list them.
namespace Holdpost::Mesh
{
class HallGateways
{
public:
  explicit HallGateways(Common::Address self) : m_self(std::move(self)) {}

  // Adds gateways or renews their time; returns whether one of them was not known.
  bool OnListed(const std::vector<Common::Address>& gateways, Common::TimePoint now)
  {
    bool is_any_new = false;
    for (const Common::Address& gateway : gateways)
    {
      if (gateway == m_self)
        continue;
      const bool is_new = m_last_seen.insert_or_assign(gateway, now).second;
      is_any_new = is_any_new || is_new;
    }
    return is_any_new;
  }
  // Returns the other gateways, without those that no sidecar has listed for LIFETIME.
  std::vector<Common::Address> Others(Common::TimePoint now)
  {
    std::erase_if(m_last_seen, [now](const auto& entry) { return now - entry.second > LIFETIME; });
    std::vector<Common::Address> others;
    others.reserve(m_last_seen.size());
    for (const auto& [gateway, seen] : m_last_seen)
      others.push_back(gateway);
    return others;
  }

private:
  static constexpr Common::Milliseconds LIFETIME = Common::Milliseconds(4000);

  Common::Address m_self;
  std::map<Common::Address, Common::TimePoint> m_last_seen;
};
} // namespace Holdpost::Mesh
