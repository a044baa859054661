// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/Types.h"

// The versions of a model that operators named, each with the time since which any process has
// known it. Each version has a switch deadline, a fixed time after its naming: from then on,
// requests have to start with this version or a newer one. The number of versions that are kept is
// limited, but the limit makes no switch deadline later.
namespace Holdpost::Control
{
// The time from the naming of a version to its switch deadline, unless the settings name another.
inline constexpr Common::Milliseconds DEFAULT_SWITCH_WITHIN{8000};

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
  static constexpr std::size_t MAX_VERSIONS = 16;

  // Returns whether the known state changes: the version is new, or the offered time replaces the
  // known one. A version that restricts no request, because of a newer one, is ignored.
  // `switch_within` is the time from the naming of a version to its switch deadline.
  bool Offer(const KnownVersion& offered, Common::Milliseconds switch_within);
  bool IsKnown(std::uint64_t version) const;
  // All kept versions, oldest first.
  const std::vector<KnownVersion>& All() const { return m_known; }
  // The kept versions whose switch deadlines restrict requests at `now` or later, oldest first. The
  // newest version is always one of them.
  std::vector<KnownVersion> RestrictingAt(Common::TimePoint now,
                                          Common::Milliseconds switch_within) const;
  // The time since which the version is known, or the newer one that has taken its place. The
  // version must not be newer than the newest one.
  Common::TimePoint SinceOf(std::uint64_t version) const;
  std::uint64_t Newest() const { return m_known.empty() ? 0 : m_known.back().version; }
  // The number of versions that were merged into newer ones because the list was full.
  std::uint64_t MergedCount() const { return m_merged; }

private:
  bool IsRestricting(const KnownVersion& known, Common::TimePoint now,
                     Common::Milliseconds switch_within) const;
  // The latest time at which a version was named. Switch deadlines before it have passed.
  Common::TimePoint LatestNaming() const;
  void Shrink(Common::Milliseconds switch_within);
  void MergeClosest();

  std::vector<KnownVersion> m_known;
  std::uint64_t m_merged = 0;
};
} // namespace Holdpost::Control
