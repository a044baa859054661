// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Common/Hash.h"

// Which version of the weights a sidecar fetches, and when its target is to take it.
namespace Holdpost::Sidecar
{
using Common::Digest;
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// From the last piece until all engines have loaded.
static constexpr Milliseconds SWITCH_TIME = Milliseconds(2500);
// A sidecar that starts beside an engine which has the newest version already needs its pieces for
// others only. When all processes of a hall start again, copies that fill the links of all targets
// would hold up the callers that come back.
static constexpr Milliseconds SETTLE_TIME = Milliseconds(10000);
// The engine's first report says whether it has the version.
static constexpr Milliseconds FIRST_REPORT_TIME = Milliseconds(100);

Duration Sidecar::CopyTime() const
{
  // Of the time that one link needs for one copy. A switch waits for its copy anyhow, and a smaller
  // figure lets who has one begin.
  static constexpr double OVER_LINK = 1.2;
  const double bytes = static_cast<double>(m_plan.pieces) * m_plan.piece_bytes;
  const auto rate =
      static_cast<double>(std::max<std::uint64_t>(m_options.link_bytes_per_second, 1));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(OVER_LINK * bytes / rate));
}

bool Sidecar::MayReplaceWanted(TimePoint now) const
{
  const Distribution::Swarm* swarm = WantedSwarm();
  if (m_loader.IsUnderWay() || (swarm && swarm->IsHeld()))
    return false;
  const TimePoint bound = m_named.at(m_wanted).time + m_options.switch_within;
  // A newer one that can take its place in time saves each target a switch. But the origin may go
  // away before it is here, and then what was fetched of the older one is all that there is.
  if (now + CopyTime() + SWITCH_TIME <= bound)
    return !IsWantedMostlyFetched(swarm);
  // One that is going to be late anyhow, and is not nearly here, is not worth its bytes.
  const Duration left = TimeToHold(swarm, now);
  return now + left > bound && left > WholeCopyTime(now) / 2;
}

bool Sidecar::IsWantedMostlyFetched(const Distribution::Swarm* swarm) const
{
  // What is left delays the newer version by up to a fifth of a copy, and each target may have to
  // switch twice: less than that is not worth it.
  static constexpr double MOSTLY = 0.8;
  // Halls learn of each other's pieces late. All of them know when the versions were named, so when
  // the gap was long enough for nearly a whole copy, half of it in sight is enough.
  static constexpr double NEARLY_WHOLE = 0.9;
  static constexpr double HALF = 0.5;
  if (!swarm || !swarm->ManifestHeld())
    return false;
  const auto pieces = static_cast<double>(swarm->ManifestHeld()->PieceCount());
  const double fetched = pieces - swarm->PiecesUnseen();
  if (fetched >= MOSTLY * pieces)
    return true;
  const std::chrono::duration<double> gap =
      m_named.rbegin()->second.time - m_named.at(m_wanted).time;
  const std::chrono::duration<double> copy =
      pieces * std::chrono::duration<double>(OriginPieceTime());
  return fetched >= HALF * pieces && gap >= NEARLY_WHOLE * copy;
}

Duration Sidecar::PieceTimeNow(TimePoint now) const
{
  return std::max(PieceTime(), m_exchange.NarrowPieceTime(now));
}

Duration Sidecar::WholeCopyTime(TimePoint now) const
{
  return static_cast<Duration::rep>(m_plan.pieces) * PieceTimeNow(now);
}

Duration Sidecar::TimeToHold(const Distribution::Swarm* swarm, TimePoint now) const
{
  const std::uint32_t held = swarm ? swarm->PiecesHeld() : 0;
  return static_cast<Duration::rep>(m_plan.pieces - std::min(held, m_plan.pieces)) *
         PieceTimeNow(now);
}

void Sidecar::ChooseVersion(TimePoint now, Actions* actions)
{
  if (m_plan.model.empty() || m_named.empty())
    return;
  const std::uint64_t newest = m_named.rbegin()->first;
  if (newest <= m_wanted || MayWaitWithFetching(newest, now))
    return;
  const bool is_wanted_done = m_wanted == 0 || LoadedVersion() >= m_wanted;
  if ((is_wanted_done && !m_loader.IsUnderWay()) || (!is_wanted_done && MayReplaceWanted(now)))
    return WantVersion(newest, now, actions);
  if (MayJumpAhead(now))
    return WantVersion(m_ahead, now, actions);
  const Distribution::Swarm* swarm = WantedSwarm();
  // Once all of a version is in the hall, the origin has nothing else to do.
  const bool is_fetched = swarm && swarm->ManifestHeld() && swarm->PiecesUnseen() == 0;
  if (newest > m_ahead && is_fetched)
    CopyAhead(newest, now, actions);
}

bool Sidecar::MayWaitWithFetching(std::uint64_t newest, TimePoint now) const
{
  if (m_wanted > 0 || !m_began)
    return false;
  const Duration running = now - *m_began;
  if (!m_report)
    return m_reports_failed == 0 && running < FIRST_REPORT_TIME;
  // Those that start together do not fetch together.
  const auto spread = static_cast<Milliseconds::rep>(
      Common::StableHash(m_options.address.ToString()) % SETTLE_TIME.count());
  return LoadedVersion() >= newest && running < SETTLE_TIME + Milliseconds(spread);
}

bool Sidecar::MayJumpAhead(TimePoint now) const
{
  // Until what was copied ahead is staged, proved and loaded.
  static constexpr Milliseconds JUMP_TIME = Milliseconds(1000);
  if (m_ahead <= m_wanted || m_loader.IsUnderWay() || LoadedVersion() >= m_wanted)
    return false;
  const Distribution::Swarm* swarm = m_exchange.Find(VersionDigest(m_plan.model, m_ahead));
  return swarm && swarm->IsHeld() && now + JUMP_TIME <= EarliestBound(m_wanted);
}

TimePoint Sidecar::EarliestBound(std::uint64_t newest) const
{
  TimePoint earliest = TimePoint::max();
  for (const auto& [version, since] : m_named)
  {
    if (version > LoadedVersion() && version <= newest)
      earliest = std::min(earliest, since.time + m_options.switch_within);
  }
  return earliest;
}

void Sidecar::CopyAhead(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.ahead", "version", version, "wanted", m_wanted);
  m_ahead = version;
  FetchVersion(version, now, actions);
}

void Sidecar::WantVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.wanted", "version", version, "before", m_wanted,
           "loaded", LoadedVersion(), "known_ms", now - m_named.at(version).time);
  // A copy that was given up must not go on taking the links.
  if (const Distribution::Swarm* swarm = WantedSwarm(); swarm && swarm->IsHeld())
    m_before = m_wanted;
  m_wanted = version;
  m_ahead = std::max(m_ahead, version);
  m_stage.Want(m_plan.model, version, m_plan.pieces);
  FetchVersion(version, now, actions);
}

void Sidecar::FetchVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  const Digest digest = VersionDigest(m_plan.model, version);
  m_versions[digest] = version;
  Distribution::Actions made;
  // The version before is kept for peers that still need it.
  m_exchange.KeepOnly(
      {digest, VersionDigest(m_plan.model, m_wanted), VersionDigest(m_plan.model, m_before)},
      &made);
  m_exchange.Want(digest, now, &made);
  Translate(std::move(made), now, actions);
  TellExchangeOfPeers(now, actions);
}

Sidecar::Urgency Sidecar::UrgencyAt(TimePoint now) const
{
  if (m_wanted == 0)
    return Urgency::Usual;
  if (LoadedVersion() >= m_wanted)
  {
    const bool has_looked = m_has_listed && m_found_staged.empty() && m_found_in_flight == 0;
    return has_looked ? Urgency::ForOthers : Urgency::FindsStaged;
  }
  // Nobody waits for answers of an engine that has no weights.
  if (LoadedVersion() == 0)
    return Urgency::Haste;
  const Distribution::Swarm* swarm = WantedSwarm();
  const bool is_held = swarm && swarm->IsHeld();
  const bool is_late = now + 2 * TimeToHold(swarm, now) + SWITCH_TIME > EarliestBound(m_wanted);
  return !is_held && is_late ? Urgency::Haste : Urgency::Usual;
}

std::optional<TimePoint> Sidecar::SwitchAt(TimePoint now) const
{
  if (m_wanted == 0 || LoadedVersion() >= m_wanted)
    return std::nullopt;
  // One that answers nothing has nothing to lose.
  if (LoadedVersion() == 0 || (m_report && m_report->running + m_report->queued == 0))
    return now;
  // One that skips a version has to come before the bound of that one.
  const TimePoint named = m_named.at(m_wanted).time;
  const SwitchWindow window{named, EarliestBound(m_wanted) - named, CopyTime()};
  const TimePoint planned =
      PlannedSwitch(window, SwitchRank(m_options.address, m_peers, m_wanted), m_peers.size());
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!swarm || swarm->IsHeld() || !swarm->ManifestHeld())
    return planned;
  const std::uint32_t left = swarm->ManifestHeld()->PieceCount() - swarm->PiecesHeld();
  return std::max(planned, now + CopyTime() * left / swarm->ManifestHeld()->PieceCount());
}
} // namespace Holdpost::Sidecar
