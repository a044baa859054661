// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Common/BootClock.h"

// The small value types that every module shares.
namespace Holdpost::Common
{
// Decisions never read a clock: each call is passed the present time on the boot clock.
using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// A position in the platform's log. The first record has offset 1; 0 means "none yet".
using Offset = std::uint64_t;

// Immutable bytes shared between tasks without copying.
using Bytes = std::shared_ptr<const std::string>;

inline Bytes MakeBytes(std::string data)
{
  return std::make_shared<const std::string>(std::move(data));
}

// An IP number and port, as "127.0.0.1:8080".
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  std::string ToString() const { return host + ":" + std::to_string(port); }
  bool IsSet() const { return !host.empty(); }
};
} // namespace Holdpost::Common
