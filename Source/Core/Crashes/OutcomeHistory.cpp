// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/OutcomeHistory.h"

#include <algorithm>

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds PERIOD = Milliseconds(50);
static constexpr Milliseconds LIFETIME = std::chrono::seconds(60);
static constexpr std::size_t MAX_LOST = 4096;
// With fewer outcomes the share says little.
static constexpr std::size_t MIN_OUTCOMES = 6;

void OutcomeHistory::OnAnswered(TimePoint at)
{
  Forget(at);
  if (m_answers.empty() || at - m_answers.back().begin >= PERIOD)
    m_answers.push_back({at});
  ++m_answers.back().count;
}

void OutcomeHistory::OnLost(EngineRun engine, TimePoint at)
{
  Forget(at);
  if (m_lost.size() >= MAX_LOST)
    m_lost.pop_front();
  m_lost.push_back({engine, at});
}

void OutcomeHistory::Forget(TimePoint now)
{
  while (!m_answers.empty() && now - m_answers.front().begin >= LIFETIME)
    m_answers.pop_front();
  while (!m_lost.empty() && now - m_lost.front().at >= LIFETIME)
    m_lost.pop_front();
}

std::optional<double>
OutcomeHistory::LossShare(TimePoint since, const std::function<bool(EngineRun)>& is_counted) const
{
  std::size_t answered = 0;
  for (auto entry = m_answers.rbegin(); entry != m_answers.rend() && entry->begin >= since; ++entry)
    answered += entry->count;
  const auto lost = static_cast<std::size_t>(std::ranges::count_if(
      m_lost, [&](const Lost& entry) { return entry.at >= since && is_counted(entry.engine); }));
  if (answered + lost < MIN_OUTCOMES)
    return std::nullopt;
  // Laplace's rule: a few outcomes never make a loss impossible or certain.
  return static_cast<double>(lost + 1) / static_cast<double>(answered + lost + 2);
}
} // namespace Holdpost::Crashes
