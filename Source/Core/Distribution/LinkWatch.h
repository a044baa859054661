// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "Common/Types.h"

// Tells whether this instance's own link is narrower than it should be, from how long transfers
// take and how many share the link: a slow peer makes some of them long, a narrow link all of them.
namespace Holdpost::Distribution
{
class LinkTracker
{
public:
  // What a transfer takes on a link when nothing else is on it.
  void SetPieceTime(Common::Duration piece_time) { m_piece_time = piece_time; }
  // A transfer ended, or is known to take at least so long, while up to `at_once` went on.
  void OnTransfer(Common::Duration took, std::size_t concurrent, Common::TimePoint now)
  {
    const auto count = static_cast<Common::Duration::rep>(std::max<std::size_t>(concurrent, 1));
    m_samples[m_next] = {took / count, took > SLOW_FACTOR_HALVES * (count + MAX_REMOTE_SHARERS) *
                                                  m_piece_time / 2};
    m_next = (m_next + 1) % m_samples.size();
    m_count = std::min(m_count + 1, m_samples.size());
    m_last = now;
  }
  // Whether nearly all of the last few transfers took longer than a good link explains.
  bool IsNarrow(Common::TimePoint now) const
  {
    return m_count >= MIN_SAMPLES && now - m_last < SAMPLE_LIFETIME &&
           FastSamples() <= m_count / FAST_SAMPLE_DIVISOR;
  }
  // The link time of a piece, while the link is narrow; zero on one that is as it should be.
  Common::Duration NarrowPieceTime(Common::TimePoint now) const
  {
    if (!IsNarrow(now))
      return Common::Duration::zero();
    Common::Duration shortest = Common::Duration::max();
    for (std::size_t i = 0; i < m_count; ++i)
    {
      if (m_samples[i].is_slow)
        shortest = std::min(shortest, m_samples[i].link_time);
    }
    return shortest;
  }

private:
  struct Sample
  {
    Common::Duration link_time{};
    bool is_slow = false;
  };

  std::size_t FastSamples() const
  {
    return static_cast<std::size_t>(
        std::count_if(m_samples.begin(), m_samples.begin() + static_cast<std::ptrdiff_t>(m_count),
                      [](const Sample& sample) { return !sample.is_slow; }));
  }

  static constexpr std::size_t MIN_SAMPLES = 3;
  // One of so many may be fast, as when it was on the way before.
  static constexpr std::size_t FAST_SAMPLE_DIVISOR = 4;
  // The other end shares its link between so many on average, at most.
  static constexpr int MAX_REMOTE_SHARERS = 3;
  // In halves: what is over one and a half times what is explained is slow.
  static constexpr int SLOW_FACTOR_HALVES = 3;
  static constexpr Common::Milliseconds SAMPLE_LIFETIME = Common::Milliseconds(10000);

  Common::Duration m_piece_time{};
  std::array<Sample, 5> m_samples{};
  std::size_t m_next = 0;
  std::size_t m_count = 0;
  Common::TimePoint m_last{};
};
} // namespace Holdpost::Distribution
