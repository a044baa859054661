// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Common/Types.h"

// One direction of a link with a limited rate. A transfer is booked and completes when a link of
// that rate would have carried it. Bytes over the budget are delayed, so they do not crowd out
// requests.
namespace Holdpost::Distribution
{
// Determines what limits the rate of a link.
enum class LinkPacing
{
  // The rate is the share of a faster link that the operator grants. A piece is sent whole, at
  // the time at which a link of the granted rate would have carried its last byte.
  Budget,
  // The physical link has the rate. A piece is sent when the pieces before it have left the link,
  // and received bytes are delivered without a further delay.
  Wire,
};

class LinkBudget
{
public:
  // Sets the rate in bytes per second; 0 means no limit.
  void SetRate(std::uint64_t bytes_per_second) { m_rate = bytes_per_second; }
  // Books a transfer that starts when the link is free; returns the time at which its last byte has
  // passed the link.
  Common::TimePoint BookSend(std::uint64_t bytes, Common::TimePoint now);
  // Books a transfer whose last byte has just arrived. The transfer used the link while the peer
  // sent it, so it is delayed only if other transfers used the link during that time.
  Common::TimePoint BookReceive(std::uint64_t bytes, Common::TimePoint now);
  // Cancels the bookings after `free_at`.
  void Rewind(Common::TimePoint free_at) { m_free_at = free_at; }
  // Returns the time at which all booked transfers have passed the link.
  Common::TimePoint FreeAt() const { return m_free_at; }

private:
  Common::Duration TimeFor(std::uint64_t bytes) const;

  std::uint64_t m_rate = 0;
  Common::TimePoint m_free_at{};
};
} // namespace Holdpost::Distribution
