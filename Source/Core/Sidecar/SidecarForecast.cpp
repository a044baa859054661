// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>

// Predicts when the target can begin requests with the version that the sidecar fetches.
namespace Holdpost::Sidecar
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// The time that the missing pieces take, as a multiple of the time that the link alone needs: the
// sidecars wait for each other's pieces.
static constexpr double EXCHANGE_TIME_FACTOR = 1.5;
// Pieces count as arriving until none has come for this many piece times, and for MIN_ARRIVAL_GAP
// at least.
static constexpr int ARRIVAL_GAP_PIECE_TIMES = 16;
static constexpr Duration MIN_ARRIVAL_GAP = Milliseconds(600);
// The time from the arrival of the last piece until the engine is ordered to load the version: the
// staged pieces are read back and verified.
static constexpr Duration STAGING_TIME = Milliseconds(100);

Duration Sidecar::ExpectedCopyTime(const Distribution::Swarm* swarm, TimePoint now) const
{
  const bool has_manifest = swarm && swarm->ManifestHeld();
  const std::uint32_t outside = has_manifest ? swarm->UnavailablePieces() : m_plan.pieces;
  const auto exchange =
      std::chrono::duration_cast<Duration>(EXCHANGE_TIME_FACTOR * RemainingCopyTime(swarm, now));
  return std::max<Duration>(exchange, outside * OriginPieceTime());
}

bool Sidecar::ArePiecesArriving(const Distribution::Swarm* swarm, TimePoint now) const
{
  if (swarm && swarm->IsHeld())
    return true;
  const Duration max_gap =
      std::max<Duration>(ARRIVAL_GAP_PIECE_TIMES * CurrentPieceTime(now), MIN_ARRIVAL_GAP);
  return m_last_piece_at && now - *m_last_piece_at < max_gap;
}

void Sidecar::OnPieceArrived(TimePoint now, Actions* actions)
{
  const bool is_first = !ArePiecesArriving(WantedSwarm(), now);
  m_last_piece_at = now;
  // Gateways refuse requests that could wait for the version until they know that it arrives.
  if (is_first)
    SendLoadReports(now, actions);
}

std::optional<Gateway::WeightsForecast> Sidecar::ForecastWeights(TimePoint now) const
{
  if (m_wanted == 0 || !m_report || LoadedVersion() >= m_wanted)
    return std::nullopt;
  const auto to_ms = [](Duration time)
  { return std::chrono::ceil<Milliseconds>(std::max(time, Duration::zero())); };
  if (m_loader.IsUnderWay())
    return Gateway::WeightsForecast{m_wanted, to_ms(m_loader.Since() + m_plan.warm_up - now), true};
  const Distribution::Swarm* swarm = WantedSwarm();
  const Duration until_held = ExpectedCopyTime(swarm, now) + STAGING_TIME;
  const Duration until_switch = SwitchAt(now).value_or(now) - now;
  return Gateway::WeightsForecast{m_wanted,
                                  to_ms(std::max(until_held, until_switch) + m_plan.warm_up),
                                  ArePiecesArriving(swarm, now)};
}
} // namespace Holdpost::Sidecar
