// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/RoutingReport.h"

#include <algorithm>

#include <fmt/format.h>

namespace Holdpost::Bench
{
static constexpr int WINDOW_SECONDS = 2;
static constexpr std::size_t WORST_WINDOWS = 2;

static double EarnedOf(const std::vector<const SettledRequest*>& requests)
{
  double worth = 0;
  double earned = 0;
  for (const SettledRequest* request : requests)
  {
    worth += request->worth;
    earned += request->earned;
  }
  return worth > 0 ? earned / worth : 1;
}

static double ShareOf(const std::vector<const SettledRequest*>& requests, Outcome outcome)
{
  const auto count = std::ranges::count(requests, outcome, &SettledRequest::outcome);
  return requests.empty() ? 0 : static_cast<double>(count) / static_cast<double>(requests.size());
}

static double QuantileMs(std::vector<Common::Duration> times, double quantile)
{
  if (times.empty())
    return 0;
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
  std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(index));
  return std::chrono::duration<double, std::milli>(times[index]).count();
}

static std::string Describe(const std::vector<const SettledRequest*>& requests)
{
  std::vector<Common::Duration> expected;
  std::vector<Common::Duration> starts;
  for (const SettledRequest* request : requests)
  {
    if (request->start == Common::Duration::zero())
      continue;
    expected.push_back(request->expected_start);
    starts.push_back(request->start);
  }
  return fmt::format("asked {:6} earned {:.3f} in aim {:.3f} after refusal {:.3f} late {:.3f} "
                     "refused {:.3f} failed {:.3f} | start ms p50 {:4.0f} p90 {:4.0f} expected "
                     "p50 {:4.0f} p90 {:4.0f}",
                     requests.size(), EarnedOf(requests), ShareOf(requests, Outcome::InAim),
                     ShareOf(requests, Outcome::InAimAfterRefusal),
                     ShareOf(requests, Outcome::Late), ShareOf(requests, Outcome::Refused),
                     ShareOf(requests, Outcome::Failed), QuantileMs(starts, 0.5),
                     QuantileMs(starts, 0.9), QuantileMs(expected, 0.5), QuantileMs(expected, 0.9));
}

std::map<int, std::vector<const SettledRequest*>> RoutingReport::ByWindow() const
{
  std::map<int, std::vector<const SettledRequest*>> windows;
  for (const SettledRequest& request : m_requests)
  {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(request.asked).count();
    windows[static_cast<int>(second) / WINDOW_SECONDS * WINDOW_SECONDS].push_back(&request);
  }
  return windows;
}

double RoutingReport::Earned() const
{
  std::vector<const SettledRequest*> all;
  for (const SettledRequest& request : m_requests)
    all.push_back(&request);
  return EarnedOf(all);
}

double RoutingReport::EarnedInWorstWindows() const
{
  std::vector<double> earned;
  for (const auto& [second, requests] : ByWindow())
    earned.push_back(EarnedOf(requests));
  std::ranges::sort(earned);
  earned.resize(std::min(earned.size(), WORST_WINDOWS));
  double sum = 0;
  for (const double part : earned)
    sum += part;
  return earned.empty() ? 0 : sum / static_cast<double>(earned.size());
}

std::string RoutingReport::Summary() const
{
  std::vector<const SettledRequest*> all;
  for (const SettledRequest& request : m_requests)
    all.push_back(&request);
  return fmt::format("{} reports near {} far {} worst windows {:.3f}", Describe(all), near_tells,
                     far_tells, EarnedInWorstWindows());
}

std::string RoutingReport::Windows() const
{
  std::string text;
  for (const auto& [second, requests] : ByWindow())
    text += fmt::format("from {:3} s: {}\n", second, Describe(requests));
  return text;
}
} // namespace Holdpost::Bench
