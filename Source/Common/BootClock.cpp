// SPDX-License-Identifier: Apache-2.0
#include "Common/BootClock.h"

#include <ctime>

namespace Holdpost::Common
{
BootClock::Source BootClock::s_source = &BootClock::SystemTime;

void BootClock::SetSource(Source source)
{
  s_source = source ? source : &BootClock::SystemTime;
}

BootClock::time_point BootClock::SystemTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}
} // namespace Holdpost::Common
