// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Common/Types.h"

// One direction of a link with a limited rate. Work is booked and comes out when the link would
// have carried it, so bytes over the budget wait instead of crowding out requests.
namespace Holdpost::Distribution
{
// How the rate of a link comes about.
enum class LinkPacing
{
  // The operator grants a part of a faster link: bytes come out when a link of that rate would have
  // carried them.
  Budget,
  // The wire itself has the rate: a piece is handed over once those before it are through, and what
  // has arrived has arrived.
  Wire,
};

class LinkBudget
{
public:
  // Bytes a second; 0 for no limit.
  void SetRate(std::uint64_t bytes_per_second) { m_rate = bytes_per_second; }
  // Books a transfer that starts when the link is free; returns when its last byte is through.
  Common::TimePoint BookSend(std::uint64_t bytes, Common::TimePoint now);
  // Books a transfer whose last byte has just come; it was on the link while it was being sent, so
  // it only waits if other transfers used the link meanwhile.
  Common::TimePoint BookReceive(std::uint64_t bytes, Common::TimePoint now);
  // Takes back what is booked after `free_at`.
  void Rewind(Common::TimePoint free_at) { m_free_at = free_at; }
  // The time by which all that is booked is through.
  Common::TimePoint FreeAt() const { return m_free_at; }

private:
  Common::Duration TimeFor(std::uint64_t bytes) const;

  std::uint64_t m_rate = 0;
  Common::TimePoint m_free_at{};
};
} // namespace Holdpost::Distribution
