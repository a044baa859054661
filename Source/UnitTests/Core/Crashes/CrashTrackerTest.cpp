// SPDX-License-Identifier: Apache-2.0
#include <string>

#include <doctest/doctest.h>

#include "Core/Crashes/CrashTracker.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const RequestFingerprint REQUEST =
    Gateway::FingerprintOf("firm", "api.example", Common::Sha256("body"));

Attempt LostAt(const std::string& target, std::uint16_t port)
{
  return {{REQUEST}, target, {"10.0.0.1", port}, 7};
}
} // namespace

TEST_CASE("A lost answer is evidence of a crash once its engine is known to have ended")
{
  CrashTracker tracker;
  const Attempt lost = LostAt("llm-1", 8001);
  tracker.OnLost(lost, false, START);
  CHECK(tracker.Ledger().CrashesOf(REQUEST) == 0);

  SUBCASE("by the agent beside it")
  {
    tracker.OnEngineEnd({lost.address, "llm-1", 7}, START + Milliseconds(300));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
    tracker.OnEngineEnd({lost.address, "llm-1", 7}, START + Milliseconds(400));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
  }
  SUBCASE("by an agent that does not know its id")
  {
    tracker.OnEngineEnd({lost.address, "", 0}, START + Milliseconds(300));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
  }
  SUBCASE("by the target list")
  {
    tracker.OnTargets([](const Attempt& attempt) { return attempt.target == "llm-1"; },
                      START + Milliseconds(4000));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
  }
  SUBCASE("but not by the end of another engine, or of another start of it")
  {
    tracker.OnEngineEnd({{"10.0.0.1", 8002}, "llm-2", 7}, START + Milliseconds(300));
    tracker.OnEngineEnd({lost.address, "llm-0", 7}, START + Milliseconds(300));
    tracker.OnEngineEnd({lost.address, "llm-1", 6}, START + Milliseconds(300));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 0);
  }
  SUBCASE("but not if the engine ends much later")
  {
    tracker.OnTick(START + Milliseconds(7000));
    tracker.OnEngineEnd({lost.address, "llm-1", 7}, START + Milliseconds(7000));
    CHECK(tracker.Ledger().CrashesOf(REQUEST) == 0);
  }
}

TEST_CASE("The end of an engine may be known before its answers are lost")
{
  CrashTracker tracker;
  const Attempt lost = LostAt("llm-1", 8001);
  tracker.OnEngineEnd({lost.address, "llm-1", 7}, START);
  tracker.OnLost(lost, false, START + Milliseconds(500));
  CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
}

TEST_CASE("A request is suspect if one more crash would block it")
{
  CrashTracker tracker;
  tracker.OnLost(LostAt("llm-1", 8001), true, START);
  CHECK_FALSE(tracker.IsSuspect(RequestCauses{REQUEST}));
  // Whether the second engine has ended is not known yet.
  tracker.OnLost(LostAt("llm-2", 8002), false, START);
  CHECK(tracker.IsSuspect(RequestCauses{REQUEST}));
  CHECK_FALSE(tracker.IsBlocked(RequestCauses{REQUEST}));
}

// Guards against limits that forget what the next retry is decided by.
TEST_CASE("A crash is counted however many answers and engines are lost at once" * doctest::skip())
{
  static constexpr int COUNT = 600;
  CrashTracker tracker;
  const Attempt lost = LostAt("llm-1", 8001);
  const auto others = [](const auto& act)
  {
    for (int i = 0; i < COUNT; ++i)
      act(LostAt("other-" + std::to_string(i), static_cast<std::uint16_t>(9000 + i)));
  };
  SUBCASE("answers are lost before the ends of their engines are known")
  {
    tracker.OnLost(lost, false, START);
    others([&](const Attempt& other) { tracker.OnLost(other, false, START); });
    tracker.OnEngineEnd({lost.address, lost.target, lost.incarnation}, START + Milliseconds(300));
  }
  SUBCASE("the ends of engines are known before their answers are lost")
  {
    tracker.OnEngineEnd({lost.address, lost.target, lost.incarnation}, START);
    others(
        [&](const Attempt& other) {
          tracker.OnEngineEnd({other.address, other.target, other.incarnation}, START);
        });
    tracker.OnLost(lost, false, START + Milliseconds(300));
  }
  CHECK(tracker.Ledger().CrashesOf(REQUEST) == 1);
}
