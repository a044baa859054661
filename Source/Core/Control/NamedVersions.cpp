// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/NamedVersions.h"

#include <algorithm>

namespace Holdpost::Control
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr std::size_t VERSIONS_KEPT = 4;
// Times from others are off by how long their message took, so small differences are no news.
static constexpr Milliseconds EARLIER_LEAST = Milliseconds(20);

bool NamedVersions::Offer(std::uint64_t version, TimePoint since)
{
  const auto place = std::ranges::lower_bound(m_known, version, {}, &KnownVersion::version);
  if (place != m_known.end() && place->version == version)
  {
    if (since + EARLIER_LEAST > place->since)
      return false;
    place->since = since;
    return true;
  }
  if (place == m_known.begin() && m_known.size() >= VERSIONS_KEPT)
    return false;
  m_known.insert(place, {version, since});
  if (m_known.size() > VERSIONS_KEPT)
    m_known.erase(m_known.begin());
  return true;
}
} // namespace Holdpost::Control
