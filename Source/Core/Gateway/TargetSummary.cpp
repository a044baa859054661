// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <utility>

// Counts the targets of a service by whether they accept a request, and tells when more of them are
// expected to.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::TimePoint;

// The part of a target's slots for which requests wait while it loads weights. The other slots go
// to requests that arrive afterwards and can still be in time.
static constexpr double WAITING_SLOT_SHARE = 0.5;

double TargetTable::CapacityShareOf(const Target& target) const
{
  return static_cast<double>(target.listed.slots) /
         static_cast<double>(std::max<std::size_t>(m_gateways.all, 1));
}

std::optional<TargetTable::ExpectedWeights>
TargetTable::WeightsExpectedAt(const Target& target, const TargetQuery& query, TimePoint now) const
{
  if (!HasValidLoad(target, now) || !target.load->weights_forecast || IsLeaving(target))
    return std::nullopt;
  const WeightsForecast& forecast = *target.load->weights_forecast;
  const TimePoint ready_at = std::max(target.load_received + forecast.ready_in, now);
  const bool is_usable = std::ranges::all_of(
      query.weights, [&](const SwitchDeadline& deadline)
      { return forecast.version >= deadline.version || ready_at < deadline.due; });
  if (!is_usable)
    return std::nullopt;
  return ExpectedWeights{ready_at - now, forecast.is_arriving, CapacityShareOf(target)};
}

WeightsOutlook TargetTable::OutlookOf(std::vector<ExpectedWeights> expected, std::size_t waiting)
{
  WeightsOutlook outlook;
  if (expected.empty())
    return outlook;
  std::ranges::sort(expected, {}, &ExpectedWeights::ready_in);
  outlook.first_in = expected.front().ready_in;
  double capacity = 0;
  for (const ExpectedWeights& next : expected)
  {
    if (!next.is_arriving)
      continue;
    capacity += WAITING_SLOT_SHARE * next.capacity;
    if (capacity < static_cast<double>(waiting))
      continue;
    outlook.enough_in = next.ready_in;
    break;
  }
  return outlook;
}

TargetSummary TargetTable::SummaryOf(const TargetQuery& query, TimePoint now) const
{
  TargetSummary summary;
  const bool excludes_unconfirmed = ExcludesUnconfirmed(query, now);
  std::vector<ExpectedWeights> expected_weights;
  for (const auto& [id, target] : m_targets)
  {
    if (target.listed.service != query.service || !target.IsListed())
      continue;
    ++summary.listed;
    if (const auto expected = WeightsExpectedAt(target, query, now))
      expected_weights.push_back(*expected);
    Availability availability = AvailabilityOf(target, now);
    if (availability == Availability::Open && excludes_unconfirmed &&
        IsSwitchUnconfirmed(target, now))
      availability = Availability::Switching;
    switch (availability)
    {
    case Availability::Open:
    {
      const Duration start = ExpectedStartAt(target, query.prompt_tokens, now);
      ++(MeetsSwitchDeadlines(target, query, start, now) ? summary.open : summary.old_weights);
      break;
    }
    case Availability::Leaving:
      ++summary.leaving;
      break;
    case Availability::Avoided:
      ++summary.avoided;
      break;
    case Availability::Switching:
      ++summary.switching;
      summary.switching_capacity += CapacityShareOf(target);
      break;
    case Availability::WithoutWeights:
      ++summary.without_weights;
      break;
    case Availability::Unreported:
      ++summary.unreported;
      break;
    case Availability::Limited:
      ++summary.limited;
      break;
    case Availability::Resting:
    {
      const Duration left =
          m_rests.TimeLeft(id, target.listed.incarnation, now).value_or(Duration());
      summary.next_return = std::min(summary.next_return.value_or(left), left);
      ++summary.resting;
      break;
    }
    }
  }
  summary.weights = OutlookOf(std::move(expected_weights), query.waiting);
  return summary;
}
} // namespace Holdpost::Gateway
