// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/EngineCorrection.h"

#include <algorithm>

namespace Holdpost::Gateway
{
// The minimum number of starts before a correction is applied.
static constexpr std::size_t MIN_STARTS = 8;
// Published times count as correct within this factor in both directions: the first event of a
// batch arrives up to half a pass earlier or later than the average.
static constexpr double TOLERATED_RATIO = 1.25;
// The maximum factor, and the reciprocal of the minimum: a larger error of the published times has
// another cause, such as a wrong unit.
static constexpr double MAX_FACTOR = 32;

void EngineCorrection::OnStart(Common::Duration published, Common::Duration measured)
{
  using Seconds = std::chrono::duration<double>;
  m_ratios[m_count % KEPT_STARTS] = Seconds(measured) / Seconds(published);
  ++m_count;
  if (m_count < MIN_STARTS)
    return;
  std::array<double, KEPT_STARTS> ratios = m_ratios;
  const auto end = ratios.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, KEPT_STARTS));
  const auto median = ratios.begin() + (end - ratios.begin()) / 2;
  std::nth_element(ratios.begin(), median, end);
  const bool is_tolerated = *median <= TOLERATED_RATIO && *median >= 1 / TOLERATED_RATIO;
  m_factor = is_tolerated ? 1 : std::clamp(*median, 1 / MAX_FACTOR, MAX_FACTOR);
}

bool EngineCorrection::IsNotable(double before, double after)
{
  static constexpr double NOTABLE_RATIO = 1.5;
  return std::max(before / after, after / before) >= NOTABLE_RATIO;
}

Settings::EngineProfile Corrected(const Settings::EngineProfile& published, double factor)
{
  Settings::EngineProfile corrected = published;
  corrected.step_ms *= factor;
  corrected.step_per_sequence_ms *= factor;
  corrected.step_per_context_ms *= factor;
  corrected.prompt_tokens_per_ms /= factor;
  corrected.prompt_pairs_ms *= factor;
  return corrected;
}
} // namespace Holdpost::Gateway
