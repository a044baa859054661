// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/EventLog.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;
using Settings::EngineProfile;

// The divisor of an answer's lateness: each answer changes the target's lag by this fraction of it.
static constexpr int LAG_DIVISOR = 4;
// The minimum of an engine's expected start time: no answer counts as late before it, because the
// time until the engine's next pass starts varies.
static constexpr Duration MIN_EXPECTED_START = Milliseconds(150);
// The same minimum for a plain service, of which some answers take several times as long as most.
static constexpr Duration MIN_PLAIN_EXPECTED_START = Milliseconds(50);

bool TargetTable::IsSameIncarnation(const TargetId& id, std::uint64_t incarnation) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.listed.incarnation == incarnation;
}

void TargetTable::SetGateways(const GatewayCounts& gateways)
{
  if (gateways == m_gateways)
    return;
  m_gateways = gateways;
  UpdateSubset();
}

bool TargetTable::IsUsed(const Common::Address& address) const
{
  const TargetId id = FindByAddress(address);
  return !id.empty() && m_targets.at(id).is_used;
}

std::vector<Common::Address> TargetTable::UsedAddresses() const
{
  std::vector<Common::Address> used;
  for (const auto& [id, target] : m_targets)
  {
    if (target.is_used && target.IsListed() && target.listed.needs_weights)
      used.push_back(target.listed.address);
  }
  return used;
}

GatewayWork TargetTable::WorkAt(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return {};
  return {found->second.local_requests,
          static_cast<std::uint32_t>(found->second.unread_prompt_tokens)};
}

std::optional<Common::Address> TargetTable::AgentAddressOf(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !found->second.listed.needs_weights)
    return std::nullopt;
  return found->second.listed.address;
}

DemandReport TargetTable::CurrentDemand(TimePoint now) const
{
  DemandReport all;
  double refused = 0;
  for (const auto& [service, engine] : m_engines)
  {
    const double arrivals = m_demand.ArrivalsPerSecond(service, now);
    all.arrivals_per_second += arrivals;
    refused += arrivals * m_demand.RefusedShare(service, now);
  }
  if (all.arrivals_per_second > 0)
    all.refused_share = refused / all.arrivals_per_second;
  return all;
}

bool TargetTable::IsShownToRun(const Target& target, const TargetLoad& load)
{
  return target.is_replaced && target.listed.address == load.address && load.incarnation > 0 &&
         load.incarnation == target.listed.incarnation && load.ran_at &&
         *load.ran_at >= target.replaced_at;
}

void TargetTable::OnLoadReport(const TargetLoad& load, TimePoint now)
{
  m_last_report = now;
  AddReported(load, now);
  const auto named = m_targets.find(load.id);
  if (named != m_targets.end() && IsShownToRun(named->second, load))
  {
    LogEvent(Weight::Important, now, "target.not_replaced", "target", load.id);
    named->second.is_replaced = false;
  }
  const bool names_listed = named != m_targets.end() && named->second.IsListed();
  for (auto& [id, target] : m_targets)
  {
    if (target.listed.address != load.address || !target.IsListed())
      continue;
    if (!load.id.empty() && load.id != id)
    {
      // The list still names an earlier target at the address.
      if (names_listed)
        OnReplaced(id, now);
      continue;
    }
    const std::uint64_t known = target.listed.incarnation;
    const bool has_incarnations = load.incarnation > 0 && known > 0;
    if (has_incarnations && load.incarnation < known)
      continue;
    if (has_incarnations && load.incarnation > known)
    {
      BeginIncarnation(target, load.incarnation, now);
      target.is_incarnation_reported = true;
    }
    target.local_requests_at_load = target.local_requests;
    target.unread_since_load = 0;
    target.local_waiting_at_load = target.expected_starts.size();
    // The target's agent reports again, so the network path to it works.
    if (IsSilent(target, now))
      target.avoid_until = std::min(target.avoid_until, now);
    UpdateUnchecked(target, load, now);
    target.load = load;
    target.load_received = now;
    target.limit.OnReport(load.rate_limit, load.permits, now);
    if (load.is_leaving)
      OnLeaving({id, target.listed.incarnation}, now);
    if (target.listed.hall == m_hall)
      m_demand.OnDemandReport(target.listed.service, load.demand, now);
  }
}

void TargetTable::UpdateUnchecked(Target& target, const TargetLoad& load, TimePoint now)
{
  if (load.is_switching || !load.is_load_unchecked)
    return target.unchecked_since.reset();
  if (!target.load || !target.load->is_switching)
    return;
  target.unchecked_since = now;
  LogEvent(Weight::Important, now, "target.load_unchecked", "target", target.listed.id, "weights",
           load.weights_version);
}

bool TargetTable::HasValidLoad(const Target& target, TimePoint now) const
{
  return target.load && now - target.load_received <= LOAD_LIFETIME;
}

bool TargetTable::HasAgent(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && (found->second.load || found->second.listed.needs_weights);
}

bool TargetTable::HasRecentReport(const TargetId& id, TimePoint now) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.load && !IsSilent(found->second, now);
}

std::uint64_t TargetTable::WeightsOf(const Target& target) const
{
  if (target.load)
    return std::max(target.load->weights_version, target.listed.weights_version);
  return target.listed.weights_version;
}

std::size_t TargetTable::ReportedCount() const
{
  const auto is_reported = [](const auto& entry) { return entry.second.load.has_value(); };
  return static_cast<std::size_t>(std::ranges::count_if(m_targets, is_reported));
}

bool TargetTable::MayHaveCrashed(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || IsLeaving(found->second))
    return false;
  return found->second.is_on_list || found->second.is_replaced;
}

bool TargetTable::HasEnded(const TargetId& id, std::uint64_t incarnation) const
{
  const auto found = m_targets.find(id);
  return found == m_targets.end() || !found->second.IsListed() ||
         found->second.listed.incarnation != incarnation;
}

std::uint64_t TargetTable::WeightsAt(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? 0 : WeightsOf(found->second);
}

bool TargetTable::IsSwitchingTo(const TargetId& id, std::uint64_t version, TimePoint now) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !found->second.load)
    return false;
  const TargetLoad& load = *found->second.load;
  const bool is_fresh = now - found->second.load_received < FRESH_LOAD_AGE;
  return is_fresh && load.is_switching && load.next_version >= version;
}

void TargetTable::OnDispatched(const TargetId& id, std::uint64_t request,
                               std::uint32_t prompt_tokens, Duration expected_start, TimePoint now)
{
  Target& target = m_targets[id];
  target.limit.OnSent(m_gateways.all, now);
  m_rests.OnSent(id, request, now);
  ++target.local_requests;
  target.sent_at = now;
  const Duration min_start =
      EngineOf(target.listed.service) ? MIN_EXPECTED_START : MIN_PLAIN_EXPECTED_START;
  target.expected_starts[request] = now + std::max(expected_start, min_start);
  target.unread_prompt_tokens += prompt_tokens;
  target.unread_since_load += prompt_tokens;
}

void TargetTable::OnStarted(const TargetId& id, std::uint64_t request, std::uint32_t prompt_tokens,
                            TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  target.answered_at = now;
  target.unread_prompt_tokens = std::max(0.0, target.unread_prompt_tokens - prompt_tokens);
  const auto expected = target.expected_starts.extract(request);
  if (!expected)
    return;
  target.latest_started = std::max(target.latest_started, expected.mapped());
  // The expected time already included the lag at the time of the dispatch, so the lateness adds to
  // it.
  const Duration previous_lag = LagOf(target, now);
  const Duration lateness = now - expected.mapped();
  target.lag = std::max<Duration>(previous_lag + lateness / LAG_DIVISOR, Duration::zero());
  target.lag_updated = now;
}

void TargetTable::OnEnded(const TargetId& id, std::uint64_t request,
                          std::uint32_t unread_prompt_tokens)
{
  m_rests.OnEnded(id, request);
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  target.local_requests -= std::min(target.local_requests, 1U);
  target.expected_starts.erase(request);
  target.unread_prompt_tokens = std::max(0.0, target.unread_prompt_tokens - unread_prompt_tokens);
  if (target.local_requests == 0 && !target.is_on_list)
    m_targets.erase(found);
}

void TargetTable::OnSucceeded(const TargetId& id)
{
  if (const auto found = m_targets.find(id); found != m_targets.end())
    found->second.failures = 0;
}

} // namespace Holdpost::Gateway
