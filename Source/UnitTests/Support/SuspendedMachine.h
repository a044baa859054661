// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/BootClock.h"

namespace Holdpost::Testing
{
// Plays a machine that is suspended: time passes for the clock, and nothing runs meanwhile. The
// system's clock is back when the object ends.
class SuspendedMachine
{
public:
  SuspendedMachine()
  {
    s_now = Common::BootClock::now();
    Common::BootClock::SetSource([] { return s_now; });
  }
  ~SuspendedMachine() { Common::BootClock::SetSource(nullptr); }
  SuspendedMachine(const SuspendedMachine&) = delete;
  SuspendedMachine& operator=(const SuspendedMachine&) = delete;

  void SleepFor(Common::BootClock::duration time) { s_now += time; }

private:
  static inline Common::BootClock::time_point s_now;
};
} // namespace Holdpost::Testing
