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

  // Returns whether one of them was not known.
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
  // A gateway that no sidecar tells of any more is left out after a while.
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
