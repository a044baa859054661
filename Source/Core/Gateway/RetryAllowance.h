// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>

#include "Common/Types.h"

// Limits this gateway's share of the retries that all gateways together may send to a service.
namespace Holdpost::Gateway
{
struct RetryLimits
{
  // In any period of length `window`, all gateways together may send as many retries as `ratio`
  // times the requests, plus `extra`.
  Common::Milliseconds window{10000};
  double ratio = 0.2;
  double extra = 10;

  bool operator==(const RetryLimits&) const = default;
};

// What a gateway has used of its share in the last window.
struct RetryUsage
{
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  // Retries that the limits did not permit.
  std::uint32_t denied = 0;
  // The largest number of retries that the limits permit for these requests.
  double allowed = 0;
  // Those that share the fixed part; 0 if they were not counted.
  std::size_t gateways = 0;
};

// All processes together stay within the limits without keeping anything beyond their own lives. A
// process does not know what its predecessor retried in the last window, so that in the first
// window of its life it uses a small part of its share only, which the others leave free.
class RetryAllowance
{
public:
  // `started` is the start of this process, before which it knows of no retries.
  explicit RetryAllowance(const RetryLimits& limits, Common::TimePoint started = {})
      : m_known_from(started), m_limits(limits)
  {
  }
  // A longer window than before reaches back to retries that are not known any more, as after a
  // start.
  void SetLimits(const RetryLimits& limits, Common::TimePoint now);
  // The number of gateways that share the fixed part of the allowance equally; 0 if it is not
  // known, in which case this gateway has none of it.
  void SetGateways(std::size_t gateways) { m_gateways = gateways; }

  void OnRequest(Common::TimePoint now);
  // Whether the limits permit a retry now.
  bool Permits(Common::TimePoint now) const;
  // Takes one retry from the allowance if the limits permit it, and counts it as denied otherwise;
  // returns whether they do.
  bool Take(Common::TimePoint now);
  RetryUsage UsageAt(Common::TimePoint now) const;

private:
  struct Slice
  {
    std::int64_t index = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
    std::uint32_t denied = 0;
  };
  // The length of a slice does not depend on the limits, so that a reload keeps what was counted.
  static constexpr Common::Milliseconds SLICE_TIME = Common::Milliseconds(250);

  static std::int64_t IndexAt(Common::TimePoint now) { return now.time_since_epoch() / SLICE_TIME; }
  Slice& SliceAt(Common::TimePoint now);
  // The part of the window for which retries are known.
  double KnownPartOfWindow(Common::TimePoint now) const;

  Common::TimePoint m_known_from;
  RetryLimits m_limits;
  std::size_t m_gateways = 0;
  // Those of the window, the oldest first.
  std::deque<Slice> m_slices;
};
} // namespace Holdpost::Gateway
