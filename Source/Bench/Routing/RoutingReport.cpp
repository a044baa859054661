// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/RoutingReport.h"

#include <algorithm>

#include <fmt/format.h>

namespace Holdpost::Bench
{
static constexpr int WINDOW_SECONDS = 2;
static constexpr std::size_t WORST_WINDOWS = 2;
static constexpr double MEAN_WEIGHT = 0.48;
static constexpr double WINDOWS_WEIGHT = 0.2;
static constexpr double CLASS_WEIGHT = 0.12;
static constexpr double HALL_WEIGHT = 0.2;

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

void RoutingReport::AddBegunOnOldWeights(Common::Duration before_bound)
{
  m_begun_too_late += before_bound < Common::Duration::zero() ? 1 : 0;
  m_least_before_bound = std::min(m_least_before_bound.value_or(before_bound), before_bound);
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

double RoutingReport::EarnedInWorstHall() const
{
  std::map<std::string, std::vector<const SettledRequest*>> halls;
  for (const SettledRequest& request : m_requests)
    halls[request.hall].push_back(&request);
  double worst = 1;
  for (const auto& [hall, requests] : halls)
    worst = std::min(worst, EarnedOf(requests));
  return worst;
}

static double ServedOf(const std::vector<const SettledRequest*>& requests)
{
  const auto served = std::ranges::count_if(
      requests, [](const SettledRequest* request)
      { return request->outcome != Outcome::Refused && request->outcome != Outcome::Failed; });
  return static_cast<double>(served) / std::max<double>(1, static_cast<double>(requests.size()));
}

std::map<std::string, std::vector<const SettledRequest*>> RoutingReport::ByKind() const
{
  std::map<std::string, std::vector<const SettledRequest*>> kinds;
  for (const SettledRequest& request : m_requests)
    kinds[request.kind].push_back(&request);
  return kinds;
}

double RoutingReport::LargestServed() const
{
  double worst = 1;
  for (auto& [kind, requests] : ByKind())
  {
    const double all = ServedOf(requests);
    std::ranges::sort(requests, {}, &SettledRequest::size);
    const auto tenth = static_cast<std::ptrdiff_t>(requests.size() / 10);
    worst = std::min(worst, ServedOf({requests.end() - tenth, requests.end()}) / all);
  }
  return worst;
}

double RoutingReport::EarnedInWorstClass() const
{
  double worst = 1;
  for (auto& [kind, requests] : ByKind())
  {
    const auto tenth = static_cast<std::ptrdiff_t>(requests.size() / 10);
    std::ranges::sort(requests, {}, &SettledRequest::size);
    const auto end = requests.end();
    worst = std::min({worst, EarnedOf(requests), EarnedOf({end - tenth, end}),
                      EarnedOf({end - 3 * tenth, end - tenth})});
  }
  return worst;
}

double RoutingReport::Mark() const
{
  return MEAN_WEIGHT * Earned() + WINDOWS_WEIGHT * EarnedInWorstWindows() +
         CLASS_WEIGHT * EarnedInWorstClass() + HALL_WEIGHT * EarnedInWorstHall();
}

std::string RoutingReport::Summary() const
{
  std::vector<const SettledRequest*> all;
  for (const SettledRequest& request : m_requests)
    all.push_back(&request);
  std::string text =
      fmt::format("{} reports near {} far {} largest {:.3f} class {:.3f} hall {:.3f} windows "
                  "{:.3f} mark {:.3f}",
                  Describe(all), near_tells, far_tells, LargestServed(), EarnedInWorstClass(),
                  EarnedInWorstHall(), EarnedInWorstWindows(), Mark());
  if (m_least_before_bound)
  {
    text += fmt::format(" begun on old weights {:.0f} ms before the bound, {} after it",
                        std::chrono::duration<double, std::milli>(*m_least_before_bound).count(),
                        m_begun_too_late);
  }
  return text;
}

std::string RoutingReport::Windows() const
{
  std::string text;
  for (const auto& [second, requests] : ByWindow())
    text += fmt::format("from {:3} s: {}\n", second, Describe(requests));
  return text;
}
} // namespace Holdpost::Bench
