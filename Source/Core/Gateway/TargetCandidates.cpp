// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>

// Which targets a request may be sent to, and what each of them would cost.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;
using Settings::EngineProfile;

// Added to the cost of a target in another hall, so that traffic stays in the same hall, where it
// is cheap.
static constexpr Duration OTHER_HALL_PENALTY = Milliseconds(10);
// Added to the cost of a target whose last load report is old. Agents of other halls report once a
// second until their targets are needed: a target that looked idle half a second ago is by now as
// busy as the others, because all gateways that read the same reports send requests to it.
static constexpr Duration OLD_REPORT_PENALTY = Milliseconds(150);
static constexpr Duration OLD_REPORT_AGE = Milliseconds(250);
// Added to the cost of a target whose agent does not report, while others do.
static constexpr Duration SILENCE_PENALTY = Milliseconds(400);
// How long the requests that other gateways send are missing from the load reports: their message
// travels to the agent, the agent reports at most once every 10 ms, and its report travels back.
// With a shorter time, gateways that see the same idle target send more requests there than it can
// start.
static constexpr Duration LOAD_REPORT_DELAY = Milliseconds(25);
// The divisor of the delay that a request would cause to a target's planned switch. The quotient is
// added to the cost of the target, because the delay affects other requests. If a larger fraction
// of the delay is added, the engine runs half empty before its switch; if nothing is added, long
// answers hold up switches until the switch deadline.
static constexpr int SWITCH_DELAY_DIVISOR = 6;
// The maximum number of consecutive failures of a plain service's target that the requests
// themselves may have caused: up to this number, the target is used if there is no other target.
static constexpr std::uint32_t MAX_TOLERATED_FAILURES = 2;

SpreadParameters TargetTable::SpreadParametersFor(const TargetQuery& query,
                                                  const Candidates& candidates, TimePoint now) const
{
  const EngineProfile* engine = EngineOf(query.service);
  if (!engine)
    return {};
  const GatewayDemand demand = m_demand.TotalDemand(query.service, m_gateways, now);
  const double local_arrivals = m_demand.ArrivalsPerSecond(query.service, now);
  // For each arrival per second at a gateway, the number of requests that it is about to send: the
  // arrivals since the last reports of the targets, and the waiting requests, because any report of
  // free capacity triggers their dispatch.
  const double report_delay_seconds = std::chrono::duration<double>(LOAD_REPORT_DELAY).count();
  const double pending_seconds =
      report_delay_seconds + static_cast<double>(query.waiting) / std::max(local_arrivals, 1.0);
  return {std::max(demand.same_hall_per_second - local_arrivals, 0.0) * pending_seconds,
          demand.other_halls_per_second * pending_seconds,
          candidates.sum_of_delays / static_cast<Duration::rep>(candidates.options.size()),
          OTHER_HALL_PENALTY, LOAD_REPORT_DELAY};
}

bool TargetTable::IsOpenFor(const TargetId& id, const Target& target, const TargetQuery& query,
                            TimePoint now) const
{
  return target.listed.service == query.service && IsOpen(target, now) && !query.tried.contains(id);
}

bool TargetTable::IsLastResortFor(const TargetId& id, const Target& target,
                                  const TargetQuery& query, TimePoint now) const
{
  return target.listed.service == query.service && !target.listed.needs_weights &&
         target.IsListed() && AvailabilityOf(target, now) == Availability::Avoided &&
         target.failures <= MAX_TOLERATED_FAILURES && !query.tried.contains(id);
}

void TargetTable::AddCandidate(const TargetId& id, const Target& target, const TargetQuery& query,
                               TimePoint now, Candidates* candidates) const
{
  const Duration start = ExpectedStartAt(target, query.prompt_tokens, now);
  if (!MeetsSwitchDeadlines(target, query, start, now))
    return;
  const bool is_in_this_hall = target.listed.hall == m_hall;
  Duration cost = start + SwitchDelay(target, query, now) / SWITCH_DELAY_DIVISOR + target.tie_break;
  if (!is_in_this_hall)
    cost += OTHER_HALL_PENALTY;
  if (IsSilent(target, now) || LacksProof(target, now))
    cost += SILENCE_PENALTY;
  else if (target.load && now - target.load_received > OLD_REPORT_AGE)
    cost += OLD_REPORT_PENALTY;
  const double load = LoadOf(target, now);
  TargetChoice choice;
  choice.id = id;
  choice.address = target.listed.address;
  choice.incarnation = target.listed.incarnation;
  choice.is_limited = target.limit.IsLimited();
  choice.weights_version = WeightsOf(target);
  choice.expected_start = start;
  choice.load = load;
  choice.has_free_slot = load < target.listed.slots;
  if (target.load)
    choice.report_age = now - target.load_received;
  candidates->choices.push_back(std::move(choice));
  candidates->options.push_back({cost, is_in_this_hall});
  if (const EngineProfile* engine = EngineOf(query.service))
    candidates->sum_of_delays += StartDelayPerRequest(*engine, load, PaceOf(target));
}

TargetTable::Candidates TargetTable::OpenCandidatesFor(const TargetQuery& query, TimePoint now,
                                                       CandidateFilter filter) const
{
  const auto is_candidate = [&](const TargetId& id, const Target& target)
  {
    return IsOpenFor(id, target, query, now) &&
           !(filter.excludes_rejecting && target.is_rejecting) &&
           !(filter.excludes_unproven && LacksProof(target, now)) &&
           !(filter.excludes_unconfirmed && IsSwitchUnconfirmed(target, now));
  };
  const bool is_subset_open = std::ranges::any_of(
      m_targets, [&](const auto& entry)
      { return entry.second.is_used && is_candidate(entry.first, entry.second); });
  Candidates candidates;
  for (const auto& [id, target] : m_targets)
  {
    if ((target.is_used || !is_subset_open) && is_candidate(id, target))
      AddCandidate(id, target, query, now, &candidates);
  }
  return candidates;
}

TargetTable::CandidateFilter TargetTable::PreferredFor(const TargetQuery& query,
                                                       TimePoint now) const
{
  CandidateFilter filter;
  if (!query.may_be_retried)
  {
    filter.excludes_rejecting =
        std::ranges::any_of(m_targets, [](const auto& entry) { return entry.second.is_rejecting; });
  }
  if (!query.tried.empty())
  {
    filter.excludes_unproven = std::ranges::any_of(m_targets, [&](const auto& entry)
                                                   { return LacksProof(entry.second, now); });
  }
  return filter;
}

TargetTable::Candidates TargetTable::CandidatesFor(const TargetQuery& query, TimePoint now) const
{
  const CandidateFilter required{.excludes_unconfirmed = ExcludesUnconfirmed(query, now)};
  CandidateFilter preferred = PreferredFor(query, now);
  preferred.excludes_unconfirmed = required.excludes_unconfirmed;
  if (preferred.excludes_rejecting || preferred.excludes_unproven)
  {
    Candidates candidates = OpenCandidatesFor(query, now, preferred);
    if (std::ranges::any_of(candidates.choices, &TargetChoice::has_free_slot))
      return candidates;
  }
  Candidates candidates = OpenCandidatesFor(query, now, required);
  if (!candidates.choices.empty())
    return candidates;
  for (const auto& [id, target] : m_targets)
  {
    if (IsLastResortFor(id, target, query, now))
      AddCandidate(id, target, query, now, &candidates);
  }
  return candidates;
}
} // namespace Holdpost::Gateway
