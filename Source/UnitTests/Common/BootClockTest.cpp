// SPDX-License-Identifier: Apache-2.0
#include <ctime>

#include <doctest/doctest.h>

#include "Common/EventLoop.h"
#include "Core/Membership/Lease.h"
#include "UnitTests/Support/SuspendedMachine.h"

using namespace Holdpost;
using Common::EventLoop;
using Common::Milliseconds;
using Common::TimePoint;

TEST_CASE("The clock of decisions is the one that goes on while the machine is suspended")
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto boot_time = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  CHECK(EventLoop::Now().time_since_epoch() - boot_time < Milliseconds(1000));
  CHECK(EventLoop::Now().time_since_epoch() >= boot_time);
}

TEST_CASE("A lease that lapses while its holder's machine is suspended is not used after it")
{
  Testing::SuspendedMachine machine;
  Settings::Fold fold;
  Membership::Lease lease("t");
  lease.SetClaimId("mine");
  fold.Apply({1, Settings::EncodeRecord(Settings::TargetClaim{"mine", "t", "agent"})});
  lease.OnLogRead(fold, EventLoop::Now(), Milliseconds(10000));
  CHECK(lease.MayOrder(EventLoop::Now()));
  machine.SleepFor(Milliseconds(11000));
  CHECK_FALSE(lease.MayOrder(EventLoop::Now()));
}
