// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>

// The monotonic clock of all decisions.
namespace Holdpost::Common
{
// Counts the time since the machine's start, with the time for which the machine was suspended
// (CLOCK_BOOTTIME). The standard steady clock stands still while a machine is suspended, so that
// leases, deadlines and ages would be taken to be younger than they are.
class BootClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  using Source = time_point (*)();
  static constexpr bool is_steady = true;

  static time_point now() { return s_source(); }
  // Replaces the system's clock in tests; null restores it.
  static void SetSource(Source source);

private:
  static time_point SystemTime();

  static Source s_source;
};
} // namespace Holdpost::Common
