// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "OperatorTool/LogStory.h"

// Sums up from the logs of gateways where requests were lost: when, of which service, and why.
namespace Holdpost::OperatorTool
{
// How many requests ended in one way, by what the log calls it.
using CountsByReason = std::map<std::string, std::uint32_t>;

struct LossReport
{
  std::chrono::seconds period{1};
  // By the second of the day at which the period begins, then by reason.
  std::map<std::int64_t, CountsByReason> by_time;
  std::map<std::string, CountsByReason> by_service;
  // Starts of answers of each service: expected and real time, in milliseconds. Only those whose
  // lines are in the logs, as gateways drop such lines under load.
  std::map<std::string, std::vector<std::pair<double, double>>> starts;
  // Lines of lost requests without a time of day, which stand in no period.
  std::uint32_t without_time = 0;
};

// Counts refused and cut requests. `period` is at least a second.
LossReport SumUpLosses(const std::vector<LogLine>& lines, std::chrono::seconds period);

// The report as text for a terminal.
std::string PrintLosses(const LossReport& report);
} // namespace Holdpost::OperatorTool
