// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/AnswerHistory.h"

#include <algorithm>

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds PERIOD = Milliseconds(50);
static constexpr Milliseconds LIFETIME = std::chrono::seconds(60);
// Other processes count for this share of the local one, as callers are spread unevenly.
static constexpr double OTHER_PROCESS_SHARE = 0.5;

void AnswerHistory::OnAnswered(TimePoint at)
{
  while (!m_answers.empty() && at - m_answers.front().begin >= LIFETIME)
    m_answers.pop_front();
  if (m_answers.empty() || at - m_answers.back().begin >= PERIOD)
    m_answers.push_back({at});
  ++m_answers.back().count;
}

double AnswerHistory::AnsweredSince(TimePoint since) const
{
  std::size_t answered = 0;
  for (auto entry = m_answers.rbegin(); entry != m_answers.rend() && entry->begin >= since; ++entry)
    answered += entry->count;
  const auto others = static_cast<double>(std::max<std::size_t>(m_process_count, 1) - 1);
  return static_cast<double>(answered) * (1 + OTHER_PROCESS_SHARE * others);
}
} // namespace Holdpost::Crashes
