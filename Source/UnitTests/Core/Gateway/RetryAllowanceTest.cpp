// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <numeric>
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
  RetryAllowance allowance({Milliseconds(10000), 0.2, 100});
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

namespace
{
// Gateways that share the allowance, get different shares of the requests, and may start again. The
// retries and requests of all are counted in slots of 100 ms.
class SharedAllowance
{
public:
  static constexpr std::size_t GATEWAYS = 7;
  static constexpr double RATIO = 0.2;
  static constexpr double EXTRA = 102;

  explicit SharedAllowance(std::uint64_t seed) : m_random(seed)
  {
    for (std::size_t gateway = 0; gateway < GATEWAYS; ++gateway)
      m_gateways.push_back(StartAt({}));
  }
  std::uint64_t Below(std::uint64_t limit) { return m_random() % limit; }
  void Restart(std::size_t gateway) { m_gateways[gateway] = StartAt(Now()); }
  void RestartAll()
  {
    for (std::size_t gateway = 0; gateway < GATEWAYS; ++gateway)
      Restart(gateway);
  }
  // Plays 100 ms, in which requests ask for `attempts` retries each if they fail.
  void Play(bool fail, int attempts)
  {
    const Common::TimePoint now = Now();
    m_requests.push_back(0);
    m_retries.push_back(0);
    for (std::size_t gateway = 0; gateway < GATEWAYS; ++gateway)
    {
      const std::uint64_t count = Below(2 * gateway + 2);
      for (std::uint64_t i = 0; i < count; ++i)
      {
        m_gateways[gateway].OnRequest(now);
        ++m_requests.back();
        for (int attempt = 0; fail && attempt < attempts; ++attempt)
          m_retries.back() += m_gateways[gateway].Take(now) ? 1 : 0;
      }
    }
  }
  // The largest excess of retries over the limits in any window; negative if there is none.
  double LargestExcess() const
  {
    constexpr std::size_t WINDOW = 100;
    double largest = -EXTRA;
    for (std::size_t from = 0; from + WINDOW <= m_requests.size(); ++from)
    {
      const auto sum = [from](const std::vector<int>& counts)
      {
        const auto begin = counts.begin() + static_cast<std::ptrdiff_t>(from);
        return std::accumulate(begin, begin + WINDOW, 0);
      };
      largest = std::max(largest, sum(m_retries) - RATIO * sum(m_requests) - EXTRA);
    }
    return largest;
  }

private:
  static RetryAllowance StartAt(Common::TimePoint started)
  {
    RetryAllowance allowance({Milliseconds(10000), RATIO, EXTRA}, started);
    allowance.SetGateways(GATEWAYS);
    return allowance;
  }
  Common::TimePoint Now() const { return START + Milliseconds(100) * m_requests.size(); }

  std::mt19937_64 m_random;
  std::vector<RetryAllowance> m_gateways;
  std::vector<int> m_requests;
  std::vector<int> m_retries;
};
} // namespace

TEST_CASE("All gateways together stay within the limits in any window")
{
  SharedAllowance shared(1);
  SUBCASE("while all of them run")
  {
    for (int slot = 0; slot < 600; ++slot)
      shared.Play(true, static_cast<int>(shared.Below(4)));
  }
  // Regression: each life of a gateway had an allowance of its own within one window.
  SUBCASE("while all of them are started again every few seconds")
  {
    for (int slot = 0; slot < 600; ++slot)
    {
      if (slot >= 200 && slot % 35 == 0)
        shared.RestartAll();
      shared.Play(slot >= 170, 2);
    }
  }
  SUBCASE("when they are started again after they used in a moment what a calm window left")
  {
    for (int slot = 0; slot < 600; ++slot)
    {
      if (slot % 150 == 120)
        shared.RestartAll();
      shared.Play(slot % 150 >= 100, 3);
    }
  }
  SUBCASE("while one after the other is started again at random times")
  {
    for (int slot = 0; slot < 1200; ++slot)
    {
      if (shared.Below(8) == 0)
        shared.Restart(shared.Below(SharedAllowance::GATEWAYS));
      shared.Play(slot % 200 >= 100, 2);
    }
  }
  const double excess = shared.LargestExcess();
  MESSAGE("largest excess over the limits: " << excess);
  CHECK(excess <= 0);
}

TEST_CASE("A process in its first window has a small part of its share")
{
  RetryAllowance allowance({Milliseconds(10000), 0.2, 100}, START);
  allowance.SetGateways(1);
  const auto taken_at = [&allowance](Milliseconds since_start)
  {
    int taken = 0;
    while (allowance.Take(START + since_start))
      ++taken;
    return taken;
  };
  SUBCASE("at its start it has none, and it earns the part by the time that it runs")
  {
    CHECK(taken_at(Milliseconds(0)) == 0);
    const int in_half_a_window = taken_at(Milliseconds(5000));
    CHECK(in_half_a_window >= 5);
    CHECK(in_half_a_window <= 10);
  }
  SUBCASE("requests add to it")
  {
    for (int i = 0; i < 1000; ++i)
      allowance.OnRequest(START + Milliseconds(1000));
    const int taken = taken_at(Milliseconds(1000));
    CHECK(taken >= 20);
    CHECK(taken <= 40);
  }
  SUBCASE("after a window it has its whole share")
  {
    CHECK(taken_at(Milliseconds(10000)) >= 75);
  }
}

TEST_CASE("A gateway that has not counted the others has no fixed part")
{
  RetryAllowance allowance({Milliseconds(10000), 0.2, 100});
  CHECK_FALSE(allowance.Take(START));
  for (int i = 0; i < 100; ++i)
    allowance.OnRequest(START);
  CHECK(allowance.Take(START));
  allowance.SetGateways(10);
  CHECK(allowance.UsageAt(START).allowed > 20);
}

// Regression: a reload that changed the window forgot the retries that were taken before it.
TEST_CASE("A reload that changes the window keeps what was taken before")
{
  RetryAllowance allowance({Milliseconds(10000), 0.2, 100});
  allowance.SetGateways(1);
  const auto take_all = [&allowance](Common::TimePoint now)
  {
    int taken = 0;
    while (allowance.Take(now))
      ++taken;
    return taken;
  };
  const int taken = take_all(START);
  REQUIRE(taken > 70);
  SUBCASE("a shorter one")
  {
    allowance.SetLimits({Milliseconds(5000), 0.2, 100}, START + Milliseconds(500));
    CHECK(take_all(START + Milliseconds(4900)) == 0);
    CHECK(take_all(START + Milliseconds(5500)) == taken);
  }
  SUBCASE("a longer one, which reaches back to what is not known any more")
  {
    allowance.SetLimits({Milliseconds(20000), 0.2, 100}, START + Milliseconds(9000));
    CHECK(take_all(START + Milliseconds(9000)) == 0);
    // 1 s before the known part begins, 80 retries may have been taken.
    CHECK(take_all(START + Milliseconds(18000)) == 0);
    CHECK(take_all(START + Milliseconds(20500)) == taken);
  }
}
