// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/NamedVersions.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Holdpost::Control
{
using Common::Milliseconds;
using Common::TimePoint;

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

bool NamedVersions::Offer(const KnownVersion& offered, Milliseconds switch_within)
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
  if (!IsRestricting(offered, LatestNaming(), switch_within))
    return false;
  m_known.insert(place, offered);
  Shrink(switch_within);
  return true;
}

bool NamedVersions::IsRestricting(const KnownVersion& known, TimePoint now,
                                  Milliseconds switch_within) const
{
  // An assumed time may still be replaced by a later one, so it makes no other version irrelevant.
  return std::ranges::none_of(m_known,
                              [&](const KnownVersion& other)
                              {
                                const bool is_deadline_passed =
                                    other.since.time + switch_within <= now;
                                return other.version > known.version && !other.since.is_assumed &&
                                       (is_deadline_passed || other.since.time <= known.since.time);
                              });
}

std::vector<KnownVersion> NamedVersions::RestrictingAt(TimePoint now,
                                                       Milliseconds switch_within) const
{
  std::vector<KnownVersion> restricting;
  std::ranges::copy_if(m_known, std::back_inserter(restricting),
                       [&](const KnownVersion& known)
                       { return IsRestricting(known, now, switch_within); });
  return restricting;
}

TimePoint NamedVersions::SinceOf(std::uint64_t version) const
{
  return std::ranges::lower_bound(m_known, version, {}, &KnownVersion::version)->since.time;
}

TimePoint NamedVersions::LatestNaming() const
{
  TimePoint latest{};
  for (const KnownVersion& known : m_known)
    latest = std::max(latest, known.since.time);
  return latest;
}

void NamedVersions::Shrink(Milliseconds switch_within)
{
  if (m_known.size() <= MAX_VERSIONS)
    return;
  m_known = RestrictingAt(LatestNaming(), switch_within);
  while (m_known.size() > MAX_VERSIONS)
    MergeClosest();
}

void NamedVersions::MergeClosest()
{
  const auto gap = [](const KnownVersion& older, const KnownVersion& newer)
  { return std::chrono::abs(newer.since.time - older.since.time); };
  auto closest = m_known.begin();
  for (auto older = m_known.begin(); older + 1 != m_known.end(); ++older)
  {
    if (gap(*older, *(older + 1)) < gap(*closest, *(closest + 1)))
      closest = older;
  }
  // The newer version at the earlier time is as strict as both. That time is not assumed, because a
  // later time that is reported for the newer version must not replace it.
  KnownVersion& newer = *(closest + 1);
  newer.since = {std::min(closest->since.time, newer.since.time)};
  m_known.erase(closest);
  ++m_merged;
}
} // namespace Holdpost::Control
