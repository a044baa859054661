// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

#include "Common/Types.h"

// The last versions of a model that operators named, and since when each is known to any process.
namespace Holdpost::Control
{
struct KnownVersion
{
  std::uint64_t version = 0;
  Common::TimePoint since{};
};

class NamedVersions
{
public:
  // Returns whether this is news: a version that was not known, or that it was known earlier.
  // Versions before those that are kept are no news.
  bool Offer(std::uint64_t version, Common::TimePoint since);
  // The oldest one first.
  const std::vector<KnownVersion>& All() const { return m_known; }
  std::uint64_t Newest() const { return m_known.empty() ? 0 : m_known.back().version; }

private:
  std::vector<KnownVersion> m_known;
};
} // namespace Holdpost::Control
