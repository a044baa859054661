// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/NamedVersions.h"

#include <algorithm>

namespace Holdpost::Control
{
using Common::Milliseconds;

static constexpr std::size_t MAX_KEPT_VERSIONS = 4;
// Times received from other processes are off by the network delay of the message, so smaller
// differences are not treated as changes.
static constexpr Milliseconds MIN_TIME_DIFFERENCE = Milliseconds(20);

bool KnownSince::Replaces(const KnownSince& known) const
{
  if (is_assumed != known.is_assumed)
    return known.is_assumed;
  return time < known.time;
}

bool NamedVersions::IsKnown(std::uint64_t version) const
{
  return std::ranges::find(m_known, version, &KnownVersion::version) != m_known.end();
}

bool NamedVersions::Offer(const KnownVersion& offered)
{
  const auto place = std::ranges::lower_bound(m_known, offered.version, {}, &KnownVersion::version);
  if (place != m_known.end() && place->version == offered.version)
  {
    KnownSince offered_with_margin = offered.since;
    offered_with_margin.time += MIN_TIME_DIFFERENCE;
    if (!offered_with_margin.Replaces(place->since))
      return false;
    place->since = offered.since;
    return true;
  }
  if (place == m_known.begin() && m_known.size() >= MAX_KEPT_VERSIONS)
    return false;
  m_known.insert(place, offered);
  if (m_known.size() > MAX_KEPT_VERSIONS)
    m_known.erase(m_known.begin());
  return true;
}
} // namespace Holdpost::Control
