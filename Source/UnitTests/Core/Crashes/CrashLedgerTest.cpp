// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/CrashLedger.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

RequestFingerprint MakeRequest(const std::string& body)
{
  return Gateway::FingerprintOf("firm", "api.example", Common::Sha256(body));
}
} // namespace

TEST_CASE("A request is blocked once three engines have crashed under it")
{
  const RequestFingerprint request = MakeRequest("crashes");
  CrashLedger ledger;
  CHECK(ledger.Add({request}, {1, START}, START).size() == 1);
  CHECK(ledger.Add({request}, {2, START}, START).size() == 1);
  SUBCASE("and the same engine counts once")
  {
    CHECK(ledger.Add({request}, {2, START + Milliseconds(10)}, START + Milliseconds(10)).empty());
    CHECK(ledger.CrashesOf(request) == 2);
    CHECK_FALSE(ledger.IsBlocked(request));
    CHECK(ledger.TakeNewlyBlocked().empty());
  }
  SUBCASE("which is told once")
  {
    ledger.Add({request}, {3, START}, START);
    CHECK(ledger.IsBlocked(request));
    CHECK(ledger.Blocked().size() == 1);
    CHECK(ledger.TakeNewlyBlocked() == std::vector<CrashCause>{request});
    ledger.Add({request}, {4, START}, START);
    CHECK(ledger.TakeNewlyBlocked().empty());
    CHECK_FALSE(ledger.IsBlocked(MakeRequest("harmless")));
  }
  SUBCASE("unless an engine has answered it whole in between")
  {
    ledger.Clear(request, START + Milliseconds(100), START + Milliseconds(100));
    ledger.Add({request}, {3, START + Milliseconds(200)}, START + Milliseconds(200));
    CHECK(ledger.CrashesOf(request) == 1);
    // Evidence from before, which another process still holds, does not come back.
    ledger.Merge({{request, {{1, Milliseconds(300)}, {2, Milliseconds(300)}}, {}}},
                 START + Milliseconds(300));
    CHECK(ledger.CrashesOf(request) == 1);
  }
  SUBCASE("and served again when the crashes are half an hour old")
  {
    ledger.Add({request}, {3, START}, START);
    ledger.Expire(START + std::chrono::minutes(29));
    CHECK(ledger.IsBlocked(request));
    ledger.Expire(START + std::chrono::minutes(31));
    CHECK_FALSE(ledger.IsBlocked(request));
    CHECK(ledger.Size() == 0);
    CHECK(ledger.StateHash() == 0);
  }
}

TEST_CASE("Replicas that have exchanged their records agree, in any order")
{
  const RequestFingerprint first = MakeRequest("first");
  const RequestFingerprint second = MakeRequest("second");
  CrashLedger one;
  CrashLedger other;
  one.Add({first}, {5, START}, START);
  one.Add({first}, {4, START}, START);
  one.Add({first}, {3, START}, START);
  one.Add({second}, {1, START}, START);
  other.Add({first}, {2, START}, START);
  other.Add({first}, {1, START}, START);
  other.Add({second}, {2, START}, START);
  other.Clear(second, START + Milliseconds(50), START + Milliseconds(50));
  const Common::TimePoint now = START + Milliseconds(100);
  const auto of_one = one.All(now);
  const auto of_other = other.All(now);
  CHECK(one.StateHash() != other.StateHash());

  one.Merge(of_other, now);
  other.Merge(of_one, now);
  CHECK(one.StateHash() == other.StateHash());
  CHECK(one.IsBlocked(first));
  CHECK(other.IsBlocked(first));
  CHECK(one.CrashesOf(second) == 0);
  CHECK(other.CrashesOf(second) == 0);

  SUBCASE("and records that arrive again change nothing")
  {
    one.TakeChanged(now);
    one.Merge(of_other, now + Milliseconds(50));
    CHECK(one.TakeChanged(now).empty());
    CHECK(one.StateHash() == other.StateHash());
  }
}

TEST_CASE("The size of a ledger is bounded, and requests with more crashes stay longer")
{
  CrashLedger ledger;
  const RequestFingerprint blocked = MakeRequest("blocked");
  for (EngineRun engine = 1; engine <= 3; ++engine)
    ledger.Add({blocked}, {engine, START}, START);
  for (int i = 0; i < 5000; ++i)
    ledger.Add({MakeRequest(std::to_string(i))}, {9, START}, START);
  CHECK(ledger.Size() == 2048);
  CHECK(ledger.IsBlocked(blocked));
}
