// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

#include "Common/Types.h"

// The newest versions of a model that operators named, each with the time since which any process
// has known it.
namespace Holdpost::Control
{
// The time since which any process has known a version.
struct KnownSince
{
  Common::TimePoint time{};
  // No process that observed the naming has reported its time, so `time` is assumed: it is the
  // earliest time that matters for the switch deadline.
  bool is_assumed = false;

  bool operator==(const KnownSince&) const = default;
  // Whether this time replaces `known`: an observed time replaces an assumed one, and otherwise the
  // earlier time wins.
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
  // Returns whether the known state changes: the version is new, or the offered time replaces the
  // known one. Versions older than those that are kept are ignored.
  bool Offer(const KnownVersion& offered);
  bool IsKnown(std::uint64_t version) const;
  // All kept versions, oldest first.
  const std::vector<KnownVersion>& All() const { return m_known; }
  std::uint64_t Newest() const { return m_known.empty() ? 0 : m_known.back().version; }

private:
  std::vector<KnownVersion> m_known;
};
} // namespace Holdpost::Control
