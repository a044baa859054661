// SPDX-License-Identifier: Apache-2.0
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "Core/Gateway/RetryAllowance.h"

using namespace Holdpost;
using Common::Milliseconds;
using Gateway::RetryAllowance;

namespace
{
const Common::TimePoint START{std::chrono::hours(5)};
}

TEST_CASE("Retries are limited to a share of the requests plus a fixed part")
{
  RetryAllowance allowance;
  allowance.SetLimits({Milliseconds(10000), 0.2, 100});
  allowance.SetGateways(10);
  SUBCASE("the fixed part is divided between the gateways")
  {
    int taken = 0;
    while (allowance.Take(START))
      ++taken;
    CHECK(taken <= 10);
    CHECK(taken >= 5);
  }
  SUBCASE("requests add to the allowance")
  {
    for (int i = 0; i < 1000; ++i)
      allowance.OnRequest(START);
    int taken = 0;
    while (allowance.Take(START))
      ++taken;
    CHECK(taken <= 210);
    CHECK(taken >= 150);
  }
  SUBCASE("the allowance is available again after the window")
  {
    while (allowance.Take(START))
    {
    }
    CHECK_FALSE(allowance.Take(START + Milliseconds(9000)));
    CHECK(allowance.Take(START + Milliseconds(11000)));
  }
}

TEST_CASE("All gateways together stay within the limits in any window")
{
  // The gateways get different shares of the requests.
  constexpr int GATEWAYS = 7;
  constexpr double RATIO = 0.2;
  constexpr double EXTRA = 102;
  std::mt19937_64 random(1);
  std::vector<RetryAllowance> gateways(GATEWAYS);
  for (RetryAllowance& gateway : gateways)
  {
    gateway.SetLimits({Milliseconds(10000), RATIO, EXTRA});
    gateway.SetGateways(GATEWAYS);
  }
  std::vector<int> requests(600, 0);
  std::vector<int> retries(600, 0);
  for (std::size_t slot = 0; slot < requests.size(); ++slot)
  {
    const Common::TimePoint now = START + Milliseconds(100) * slot;
    for (std::size_t g = 0; g < gateways.size(); ++g)
    {
      const auto count = random() % (2 * g + 2);
      for (std::uint64_t i = 0; i < count; ++i)
      {
        gateways[g].OnRequest(now);
        ++requests[slot];
        while (random() % 2 == 0 && gateways[g].Take(now))
          ++retries[slot];
      }
    }
  }
  for (std::size_t from = 0; from + 100 <= requests.size(); ++from)
  {
    int window_requests = 0;
    int window_retries = 0;
    for (std::size_t slot = from; slot < from + 100; ++slot)
    {
      window_requests += requests[slot];
      window_retries += retries[slot];
    }
    CHECK(window_retries <= RATIO * window_requests + EXTRA);
  }
}
