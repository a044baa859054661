// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

#include "Common/Types.h"

// The last versions of a model that operators named, and since when each is known to any process.
namespace Holdpost::Control
{
// Since when a version is known to any process.
struct KnownSince
{
  Common::TimePoint time{};
  // Who knew of the naming itself has not been heard of: the time is the earliest that matters.
  bool is_assumed = false;

  bool operator==(const KnownSince&) const = default;
  // What some process saw counts more than what was assumed, and otherwise the earlier time.
  bool Replaces(const KnownSince& known) const;
};

struct KnownVersion
{
  std::uint64_t version = 0;
  KnownSince since;

  bool operator==(const KnownVersion&) const = default;
};

class NamedVersions
{
public:
  // Returns whether this is news: a version that was not known, or more of when it was named.
  // Versions before those that are kept are no news.
  bool Offer(const KnownVersion& offered);
  bool IsKnown(std::uint64_t version) const;
  // The oldest one first.
  const std::vector<KnownVersion>& All() const { return m_known; }
  std::uint64_t Newest() const { return m_known.empty() ? 0 : m_known.back().version; }

private:
  std::vector<KnownVersion> m_known;
};
} // namespace Holdpost::Control
