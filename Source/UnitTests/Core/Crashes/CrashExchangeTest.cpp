// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/CrashExchange.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const Common::Address PEER{"10.0.0.9", 7700};
const RequestFingerprint REQUEST =
    Gateway::FingerprintOf("firm", "api.example", Common::Sha256("body"));
} // namespace

TEST_CASE("Changes of a crash ledger are sent together, soon after the first")
{
  CrashLedger ledger;
  CrashExchange exchange;
  CHECK_FALSE(CrashExchange::NextWakeup(ledger).has_value());
  ledger.Add({REQUEST}, {1, START}, START);
  ledger.Add({REQUEST}, {2, START + Milliseconds(60)}, START + Milliseconds(60));
  CHECK(CrashExchange::NextWakeup(ledger) == START + Milliseconds(100));
  CHECK(exchange.ChangesToSend(ledger, START + Milliseconds(90)).empty());
  const auto changes = exchange.ChangesToSend(ledger, START + Milliseconds(100));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].crashes.size() == 2);
  CHECK(exchange.ChangesToSend(ledger, START + Milliseconds(300)).empty());
}

TEST_CASE("A peer that lacks records gets all of them")
{
  CrashLedger ledger;
  CrashExchange exchange;
  ledger.Add({REQUEST}, {1, START}, START);

  SUBCASE("at once if it has none, as after its start, and not again while they are under way")
  {
    CHECK(exchange.OnPeerHash(PEER, 0, ledger, START));
    CHECK_FALSE(exchange.OnPeerHash(PEER, 0, ledger, START + Milliseconds(100)));
    CHECK(exchange.OnPeerHash(PEER, 0, ledger, START + Milliseconds(2100)));
  }
  SUBCASE("if it still differs when changes must have arrived, as after a cut")
  {
    CHECK_FALSE(exchange.OnPeerHash(PEER, 77, ledger, START));
    CHECK_FALSE(exchange.OnPeerHash(PEER, 78, ledger, START + Milliseconds(900)));
    CHECK(exchange.OnPeerHash(PEER, 79, ledger, START + Milliseconds(1000)));
  }
  SUBCASE("but not if it has been equal in between")
  {
    CHECK_FALSE(exchange.OnPeerHash(PEER, 77, ledger, START));
    CHECK_FALSE(exchange.OnPeerHash(PEER, ledger.StateHash(), ledger, START + Milliseconds(500)));
    CHECK_FALSE(exchange.OnPeerHash(PEER, 77, ledger, START + Milliseconds(1100)));
  }
  SUBCASE("and nothing is sent from an empty ledger")
  {
    const CrashLedger empty;
    CHECK_FALSE(exchange.OnPeerHash(PEER, 77, empty, START));
    CHECK_FALSE(exchange.OnPeerHash(PEER, 77, empty, START + Milliseconds(5000)));
  }
}
