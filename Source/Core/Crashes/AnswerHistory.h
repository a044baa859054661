// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <deque>

#include "Common/Types.h"

// How many requests were answered whole lately. Each process counts its own answers, and takes the
// other processes that send to the same engines to have about as many.
namespace Holdpost::Crashes
{
class AnswerHistory
{
public:
  // The number of processes that send to the same engines, including this one.
  void SetProcessCount(std::size_t count) { m_process_count = count; }
  void OnAnswered(Common::TimePoint at);
  // An estimate, on the low side, of the whole answers of all processes since the time.
  double AnsweredSince(Common::TimePoint since) const;

private:
  // Whole answers within one period.
  struct Answers
  {
    Common::TimePoint begin;
    std::size_t count = 0;
  };

  std::size_t m_process_count = 1;
  std::deque<Answers> m_answers;
};
} // namespace Holdpost::Crashes
