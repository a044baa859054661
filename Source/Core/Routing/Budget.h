// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Common/Types.h"

// Limits that fill up again with time or with traffic.
namespace Holdpost::Routing
{
// An organisation's quota: so many tokens a second, and a burst.
class TokenQuota
{
public:
  // A rate of 0 means no limit.
  void SetLimits(std::int64_t tokens_per_second, std::int64_t burst);
  // Takes the tokens and returns zero, or takes nothing and returns how long until there are
  // enough.
  Common::Duration Take(std::int64_t tokens, Common::TimePoint now);

private:
  std::int64_t m_rate = 0;
  std::int64_t m_burst = 0;
  double m_level = 0;
  bool m_is_filled = false;
  Common::TimePoint m_updated{};
};

// Retries stay a share of requests, so that a failing target is not answered with more load.
class RetryBudget
{
public:
  void SetPercent(std::int64_t percent) { m_percent = percent; }
  void OnRequest();
  // True if one more retry is within the budget.
  bool TakeRetry();

private:
  std::int64_t m_percent = 20;
  // In hundredths of a retry; starts with a few so that the first requests may be retried.
  std::int64_t m_level = 1000;
};
} // namespace Holdpost::Routing
