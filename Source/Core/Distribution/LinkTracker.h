// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "Common/Types.h"

// Detects a local link that is slower (narrower) than expected from the durations of the transfers
// and the number of concurrent transfers. A slow peer prolongs some transfers, a narrow local link
// prolongs all of them.
namespace Holdpost::Distribution
{
class LinkTracker
{
public:
  // Sets the expected duration of one transfer on an otherwise idle link.
  void SetPieceTime(Common::Duration piece_time) { m_piece_time = piece_time; }
  // Records a transfer that ended after `took`, or that has been open for `took` without an end. Up
  // to `concurrent` transfers were open at the same time.
  void OnTransfer(Common::Duration took, std::size_t concurrent, Common::TimePoint now)
  {
    const auto count = static_cast<Common::Duration::rep>(std::max<std::size_t>(concurrent, 1));
    m_samples[m_next] = {took / count, took > SLOW_FACTOR_TIMES_TWO * (count + MAX_REMOTE_SHARERS) *
                                                  m_piece_time / 2};
    m_next = (m_next + 1) % m_samples.size();
    m_count = std::min(m_count + 1, m_samples.size());
    m_last = now;
  }
  // Returns whether nearly all of the last few transfers took longer than a link of the expected
  // rate explains.
  bool IsNarrow(Common::TimePoint now) const
  {
    return m_count >= MIN_SAMPLES && now - m_last < SAMPLE_LIFETIME &&
           FastSamples() <= m_count / FAST_SAMPLE_DIVISOR;
  }
  // Returns the transfer time of one piece while the link is narrow, otherwise zero.
  Common::Duration NarrowLinkPieceTime(Common::TimePoint now) const
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
  // On a narrow link, up to 1 of this number of samples may be fast, for example a transfer that
  // started before the link became narrow.
  static constexpr std::size_t FAST_SAMPLE_DIVISOR = 4;
  // Maximum of the average number of transfers that share the link at the remote end.
  static constexpr int MAX_REMOTE_SHARERS = 3;
  // A transfer is slow if it takes more than 1.5 times (3 halves) the explained duration.
  static constexpr int SLOW_FACTOR_TIMES_TWO = 3;
  static constexpr Common::Milliseconds SAMPLE_LIFETIME = Common::Milliseconds(10000);

  Common::Duration m_piece_time{};
  std::array<Sample, 5> m_samples{};
  std::size_t m_next = 0;
  std::size_t m_count = 0;
  Common::TimePoint m_last{};
};
} // namespace Holdpost::Distribution
