// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Common/Hash.h"

// Decides which version of the weights a sidecar fetches, and when its target loads the version.
namespace Holdpost::Sidecar
{
using Common::Digest;
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The time from the arrival of the last piece until all engines have loaded the version.
static constexpr Milliseconds SWITCH_TIME = Milliseconds(2500);
// A sidecar that starts beside an engine with the newest version needs the pieces of this version
// only for its peers, so it waits for this time before it fetches them. When all processes of a
// hall restart, copies that fill the links of all targets would delay the returning callers.
static constexpr Milliseconds SETTLING_TIME = Milliseconds(10000);
// The time to wait for the engine's first report, which shows whether the engine has the version.
static constexpr Milliseconds FIRST_REPORT_TIME = Milliseconds(100);

Duration Sidecar::CopyTime() const
{
  // The copy time as a multiple of the time that the link alone needs for one copy. The planned
  // switches begin one copy time after the version is named. The factor is small because a target
  // whose copy is late waits for it in any case, while a larger factor would also delay the targets
  // that already have their copy.
  static constexpr double LINK_TIME_FACTOR = 1.2;
  const double bytes = static_cast<double>(m_plan.pieces) * m_plan.piece_bytes;
  const auto rate =
      static_cast<double>(std::max<std::uint64_t>(m_options.link_bytes_per_second, 1));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(LINK_TIME_FACTOR * bytes / rate));
}

bool Sidecar::MayReplaceWanted(TimePoint now) const
{
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!m_loader.MayBeReplaced(now) || (swarm && swarm->IsHeld()))
    return false;
  const TimePoint deadline = m_named.SinceOf(m_wanted) + m_options.switch_within;
  // A newer version that can replace the wanted one in time saves each target a switch. However,
  // the origin may fail before the newer version is complete, and then the pieces of the older
  // version are the only ones that the hall has.
  if (now + CopyTime() + SWITCH_TIME <= deadline)
    return !IsWantedMostlyFetched(swarm);
  // Completing the wanted version is not worth the transfers if the version will miss its switch
  // deadline in any case and more than half a copy of it is still missing.
  const Duration remaining = RemainingCopyTime(swarm, now);
  return now + remaining > deadline && remaining > CurrentCopyTime(now) / 2;
}

bool Sidecar::IsWantedMostlyFetched(const Distribution::Swarm* swarm) const
{
  // The missing pieces delay the newer version by up to a fifth of a copy, and each target may have
  // to switch twice: a smaller part of the wanted version does not justify these costs.
  static constexpr double MOSTLY_FETCHED_SHARE = 0.8;
  // A hall learns late which pieces the other halls hold, but all halls know when the versions were
  // named. So if the time between the two versions was sufficient for nearly a whole copy, it is
  // sufficient that half of the pieces are known to be held.
  static constexpr double MIN_GAP_IN_COPIES = 0.9;
  static constexpr double HALF_FETCHED_SHARE = 0.5;
  if (!swarm || !swarm->ManifestHeld())
    return false;
  const auto pieces = static_cast<double>(swarm->ManifestHeld()->PieceCount());
  const double fetched = pieces - swarm->UnavailablePieces();
  if (fetched >= MOSTLY_FETCHED_SHARE * pieces)
    return true;
  const std::chrono::duration<double> gap =
      m_named.SinceOf(m_named.Newest()) - m_named.SinceOf(m_wanted);
  const std::chrono::duration<double> copy =
      pieces * std::chrono::duration<double>(OriginPieceTime());
  return fetched >= HALF_FETCHED_SHARE * pieces && gap >= MIN_GAP_IN_COPIES * copy;
}

Duration Sidecar::CurrentPieceTime(TimePoint now) const
{
  return std::max(PieceTime(), m_exchange.NarrowLinkPieceTime(now));
}

Duration Sidecar::CurrentCopyTime(TimePoint now) const
{
  return static_cast<Duration::rep>(m_plan.pieces) * CurrentPieceTime(now);
}

Duration Sidecar::RemainingCopyTime(const Distribution::Swarm* swarm, TimePoint now) const
{
  const std::uint32_t held = swarm ? swarm->PiecesHeld() : 0;
  return static_cast<Duration::rep>(m_plan.pieces - std::min(held, m_plan.pieces)) *
         CurrentPieceTime(now);
}

void Sidecar::ChooseVersion(TimePoint now, Actions* actions)
{
  if (m_plan.model.empty() || m_named.Newest() == 0)
    return;
  const std::uint64_t newest = m_named.Newest();
  if (newest <= m_wanted || MayDelayFetching(newest, now))
    return;
  const bool is_wanted_done = m_wanted == 0 || LoadedVersion() >= m_wanted;
  if ((is_wanted_done && m_loader.MayBeReplaced(now)) || (!is_wanted_done && MayReplaceWanted(now)))
    return SetWantedVersion(newest, now, actions);
  if (MaySkipToPrefetched(now))
    return SetWantedVersion(m_prefetched, now, actions);
  const Distribution::Swarm* swarm = WantedSwarm();
  // Once the hall holds all pieces of a version, the origin has nothing else to send.
  const bool is_fetched = swarm && swarm->ManifestHeld() && swarm->UnavailablePieces() == 0;
  if (newest > m_prefetched && is_fetched)
    PrefetchVersion(newest, now, actions);
}

bool Sidecar::MayDelayFetching(std::uint64_t newest, TimePoint now) const
{
  // A load that has to be checked is checked at once.
  if (m_wanted > 0 || !m_started_at || m_has_inherited_load)
    return false;
  const Duration running = now - *m_started_at;
  if (!m_report)
    return m_reports_failed == 0 && running < FIRST_REPORT_TIME;
  return LoadedVersion() >= newest && !HasSettled(now);
}

bool Sidecar::HasSettled(TimePoint now) const
{
  // The delay differs between sidecars, so that sidecars that start together do not fetch together.
  const auto spread = static_cast<Milliseconds::rep>(
      Common::StableHash(m_options.address.ToString()) % SETTLING_TIME.count());
  return m_started_at && now - *m_started_at >= SETTLING_TIME + Milliseconds(spread);
}

bool Sidecar::MayUseOrigin(TimePoint now) const
{
  const bool is_only_checking =
      m_has_inherited_load && !m_unexplained_load_at && LoadedVersion() >= m_wanted;
  return !is_only_checking || HasSettled(now);
}

bool Sidecar::MaySkipToPrefetched(TimePoint now) const
{
  // The time until the version that was copied ahead is staged, verified and loaded.
  static constexpr Milliseconds SKIP_TIME = Milliseconds(1000);
  if (m_prefetched <= m_wanted || !m_loader.MayBeReplaced(now) || LoadedVersion() >= m_wanted)
    return false;
  const Distribution::Swarm* swarm = m_exchange.Find(VersionDigest(m_plan.model, m_prefetched));
  return swarm && swarm->IsHeld() && now + SKIP_TIME <= EarliestSwitchDeadline(m_wanted);
}

TimePoint Sidecar::EarliestSwitchDeadline(std::uint64_t newest) const
{
  TimePoint earliest = TimePoint::max();
  for (const Control::KnownVersion& known : m_named.All())
  {
    if (known.version > LoadedVersion())
      earliest = std::min(earliest, known.since.time + m_options.switch_within);
    // This is the newest version, or the one that has taken its place.
    if (known.version >= newest)
      break;
  }
  return earliest;
}

void Sidecar::PrefetchVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.ahead", "version", version, "wanted", m_wanted);
  m_prefetched = version;
  FetchVersion(version, now, actions);
}

void Sidecar::SetWantedVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.wanted", "version", version, "before", m_wanted,
           "loaded", LoadedVersion(), "known_ms", now - m_named.SinceOf(version));
  // A copy that was abandoned must not use the links any longer.
  if (const Distribution::Swarm* swarm = WantedSwarm(); swarm && swarm->IsHeld())
    m_previous = m_wanted;
  m_loader.GiveWay(now);
  m_wanted = version;
  m_prefetched = std::max(m_prefetched, version);
  m_stage.SetVersion(m_plan.model, version, m_plan.pieces);
  FetchVersion(version, now, actions);
}

void Sidecar::FetchVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  const Digest digest = VersionDigest(m_plan.model, version);
  Distribution::Actions new_actions;
  // The previous version is kept for peers that still need it.
  m_exchange.KeepOnly(
      {digest, VersionDigest(m_plan.model, m_wanted), VersionDigest(m_plan.model, m_previous)},
      &new_actions);
  m_exchange.Want(digest, now, &new_actions);
  Translate(std::move(new_actions), now, actions);
  UpdateExchangePeers(now, actions);
}

Sidecar::Urgency Sidecar::UrgencyAt(TimePoint now) const
{
  if (m_wanted == 0)
    return Urgency::Normal;
  if (m_loader.State() == LoaderState::Repairing)
    return Urgency::Urgent;
  if (LoadedVersion() >= m_wanted)
  {
    const bool is_stage_checked =
        m_has_listed_stage && m_found_staged.empty() && m_found_reads.empty();
    return is_stage_checked ? Urgency::ForPeers : Urgency::ChecksStage;
  }
  // An engine without weights answers no requests, so transfers at full rate delay nobody.
  if (LoadedVersion() == 0)
    return Urgency::Urgent;
  const Distribution::Swarm* swarm = WantedSwarm();
  const bool is_held = swarm && swarm->IsHeld();
  const bool is_late =
      now + 2 * RemainingCopyTime(swarm, now) + SWITCH_TIME > EarliestSwitchDeadline(m_wanted);
  return !is_held && is_late ? Urgency::Urgent : Urgency::Normal;
}

std::optional<TimePoint> Sidecar::SwitchAt(TimePoint now) const
{
  if (m_wanted == 0 || LoadedVersion() >= m_wanted)
    return std::nullopt;
  // An engine that serves no requests loses nothing by switching at once.
  if (LoadedVersion() == 0 || (m_report && m_report->running + m_report->queued == 0))
    return now;
  // A version that replaces a skipped one has to be in use before the switch deadline of the
  // skipped version.
  const TimePoint named = m_named.SinceOf(m_wanted);
  const SwitchWindow window{named, EarliestSwitchDeadline(m_wanted) - named, CopyTime()};
  const TimePoint planned = PlannedSwitchTime(
      window, SwitchOrderRank(m_options.address, m_peers, m_wanted), m_peers.size());
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!swarm || swarm->IsHeld() || !swarm->ManifestHeld())
    return planned;
  const std::uint32_t left = swarm->ManifestHeld()->PieceCount() - swarm->PiecesHeld();
  return std::max(planned, now + CopyTime() * left / swarm->ManifestHeld()->PieceCount());
}
} // namespace Holdpost::Sidecar
