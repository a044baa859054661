// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/AnsweredParts.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds GENERATION_TIME = std::chrono::seconds(30);
static constexpr std::size_t MAX_GENERATION_SIZE = 8192;

void AnsweredParts::OnAnswered(const PromptPart& part, TimePoint at)
{
  const bool is_over =
      at - m_present_since >= GENERATION_TIME || m_present.size() >= MAX_GENERATION_SIZE;
  if (is_over)
  {
    m_earlier = std::exchange(m_present, {});
    m_present_since = at;
  }
  TimePoint& last = m_present[part];
  last = std::max(last, at);
}

std::optional<TimePoint> AnsweredParts::LastAnswer(const PromptPart& part) const
{
  for (const Times* times : {&m_present, &m_earlier})
  {
    if (const auto found = times->find(part); found != times->end())
      return found->second;
  }
  return std::nullopt;
}
} // namespace Holdpost::Crashes
