// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;
using Settings::EngineProfile;

// A report older than this says nothing of the present.
static constexpr Duration LOAD_LIFETIME = Milliseconds(2000);
// A target that has failed is left alone, twice as long each time in a row.
static constexpr Duration AVOID_LEAST = Milliseconds(250);
static constexpr std::uint32_t AVOID_DOUBLINGS = 4;
// A target that said it is full is left alone until it has probably ended a request.
static constexpr Duration FULL_PAUSE = Milliseconds(60);
// Agents report several times a second: one that is silent for so long may be cut off, and its
// target with it. Such a target is left alone for longer once a request could not be sent there.
static constexpr Duration SILENT_AFTER = Milliseconds(800);
static constexpr Duration AVOID_SILENT = Milliseconds(2000);
// Each answer moves the known lag by this part of what it was late.
static constexpr int LAG_SHARE = 4;
static constexpr std::uint64_t TIE_BREAK_MOST_NS = 1000;
// An answer of an engine is not late before that: its passes begin at any moment.
static constexpr Duration EXPECTED_LEAST = Milliseconds(150);
// The same for a plain service, of which some answers take several times as long as most.
static constexpr Duration PLAIN_EXPECTED_LEAST = Milliseconds(50);

// A target of which its agent tells is on the platform's list within so long, or it is not there.
static constexpr Duration LISTED_WITHIN = Milliseconds(5000);
// A target that has left the list may go on answering for so long, and get nothing new.
static constexpr Duration GONE_LIFETIME = std::chrono::minutes(2);

static void LogListed(const ListedTarget& listed, TimePoint now)
{
  const bool is_leaving = listed.state == TargetState::Leaving;
  LogEvent(Weight::Important, now, is_leaving ? "target.leaving" : "target.listed", "target",
           listed.id, "service", listed.service, "at", listed.address.ToString(), "hall",
           listed.hall, "weights", listed.weights_version);
}

void TargetTable::SetList(const std::vector<ListedTarget>& list, TimePoint now)
{
  const bool is_first = m_targets.empty();
  std::set<TargetId> before;
  for (auto& [id, target] : m_targets)
  {
    const bool is_awaited = target.reported_at && now - *target.reported_at < LISTED_WITHIN;
    if (!is_awaited && std::exchange(target.is_on_list, false))
      before.insert(id);
  }
  std::map<Common::Address, TargetId> added;
  for (const ListedTarget& listed : list)
  {
    Target& target = m_targets[listed.id];
    const bool was_listed = before.erase(listed.id) > 0;
    target.is_on_list = true;
    target.reported_at.reset();
    if (listed.incarnation < target.listed.incarnation)
      continue;
    // Also if it was off the list meanwhile, and was kept for the requests that it had.
    const std::uint64_t known = target.listed.incarnation;
    const bool is_new_life = known > 0 && listed.incarnation > known;
    if (is_new_life)
      BeginLife(target, listed.incarnation, now);
    if (!is_first && (!was_listed || target.listed.state != listed.state))
      LogListed(listed, now);
    if (!is_first && (!was_listed || is_new_life) && IsKnownService(listed.service))
      added[listed.address] = listed.id;
    target.listed = listed;
    target.tie_break =
        std::chrono::nanoseconds(Common::StableHash(listed.id, m_seed) % TIE_BREAK_MOST_NS);
  }
  for (const TargetId& id : before)
  {
    LogEvent(Weight::Important, now, "target.gone", "target", id);
    m_gone[id] = now;
  }
  std::erase_if(m_gone, [now](const auto& entry) { return now - entry.second > GONE_LIFETIME; });
  if (is_first && !list.empty())
    LogEvent(Weight::Important, now, "targets.known", "count", list.size());
  std::erase_if(m_targets, [](const auto& entry)
                { return !entry.second.is_on_list && entry.second.own == 0; });
  if (!added.empty())
    ReplaceThoseAt(added, now);
  UpdateReach();
}

void TargetTable::BeginLife(Target& target, std::uint64_t incarnation, TimePoint now)
{
  LogEvent(Weight::Important, now, "target.restarted", "target", target.listed.id, "at",
           target.listed.address.ToString(), "incarnation", incarnation, "before",
           target.listed.incarnation);
  Target next;
  next.listed = target.listed;
  next.listed.incarnation = incarnation;
  next.listed.weights_version = 0;
  next.is_on_list = target.is_on_list;
  next.is_used = target.is_used;
  next.tie_break = target.tie_break;
  target = std::move(next);
}

bool TargetTable::IsInLife(const TargetId& id, std::uint64_t incarnation) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.listed.incarnation == incarnation;
}

void TargetTable::UpdateReach()
{
  const std::set<TargetId> used = m_reach.Choose(Listed(), m_gateways);
  for (auto& [id, target] : m_targets)
    target.is_used = !target.listed.needs_weights || used.contains(id);
}

void TargetTable::SetGateways(const GatewayCounts& gateways)
{
  if (gateways == m_gateways)
    return;
  m_gateways = gateways;
  UpdateReach();
}

bool TargetTable::IsUsed(const Common::Address& address) const
{
  const TargetId id = FindByAddress(address);
  return !id.empty() && m_targets.at(id).is_used;
}

std::vector<Common::Address> TargetTable::Used() const
{
  std::vector<Common::Address> used;
  for (const auto& [id, target] : m_targets)
  {
    if (target.is_used && target.IsListed() && target.listed.needs_weights)
      used.push_back(target.listed.address);
  }
  return used;
}

OwnWork TargetTable::OwnWorkAt(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return {};
  return {found->second.own, static_cast<std::uint32_t>(found->second.unread_prompt_tokens)};
}

std::optional<Common::Address> TargetTable::AgentOf(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !found->second.listed.needs_weights)
    return std::nullopt;
  return found->second.listed.address;
}

OwnDemand TargetTable::DemandHere(TimePoint now) const
{
  OwnDemand all;
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

void TargetTable::ReplaceThoseAt(const std::map<Common::Address, TargetId>& added, TimePoint now)
{
  for (const auto& [id, target] : m_targets)
  {
    const auto next = added.find(target.listed.address);
    if (next != added.end() && next->second != id && target.IsListed())
      OnReplaced(id, now);
  }
}

TargetId TargetTable::FindBefore(const Common::Address& address) const
{
  const auto found = std::ranges::find_if(m_targets,
                                          [&](const auto& entry)
                                          {
                                            const Target& target = entry.second;
                                            return target.listed.address == address &&
                                                   target.listed.needs_weights &&
                                                   IsKnownService(target.listed.service);
                                          });
  return found == m_targets.end() ? TargetId() : found->first;
}

void TargetTable::AddReported(const TargetLoad& load, TimePoint now)
{
  if (load.id.empty() || m_targets.contains(load.id) || m_gone.contains(load.id))
    return;
  const TargetId before = FindBefore(load.address);
  if (before.empty())
    return;
  const Target& known = m_targets.at(before);
  Target added;
  added.listed = known.listed;
  added.listed.id = load.id;
  added.listed.state = TargetState::Ready;
  added.listed.weights_version = load.weights_version;
  added.listed.incarnation = load.incarnation;
  added.is_on_list = true;
  added.reported_at = now;
  added.is_used = known.is_used;
  added.tie_break = known.tie_break;
  m_targets[load.id] = std::move(added);
  LogEvent(Weight::Important, now, "target.reported", "target", load.id, "at",
           load.address.ToString(), "before", before);
  ReplaceThoseAt({{load.address, load.id}}, now);
}

void TargetTable::OnLoad(const TargetLoad& load, TimePoint now)
{
  AddReported(load, now);
  for (auto& [id, target] : m_targets)
  {
    const bool is_of_another = !load.id.empty() && load.id != id;
    if (target.listed.address != load.address || !target.IsListed() || is_of_another)
      continue;
    const std::uint64_t known = target.listed.incarnation;
    const bool is_told = load.incarnation > 0 && known > 0;
    if (is_told && load.incarnation < known)
      continue;
    if (is_told && load.incarnation > known)
      BeginLife(target, load.incarnation, now);
    target.own_at_load = target.own;
    target.unread_since_load = 0;
    target.own_waiting_at_load = target.expected.size();
    // Its agent is heard again, so the way there is open.
    if (IsSilent(target, now))
      target.avoid_until = std::min(target.avoid_until, now);
    target.load = load;
    target.load_heard = now;
    if (target.listed.hall == m_hall)
      m_demand.OnTold(target.listed.service, load.demand, now);
  }
}

bool TargetTable::HasFreshLoad(const Target& target, TimePoint now) const
{
  return target.load && now - target.load_heard <= LOAD_LIFETIME;
}

std::uint64_t TargetTable::WeightsOf(const Target& target) const
{
  if (target.load)
    return std::max(target.load->weights_version, target.listed.weights_version);
  return target.listed.weights_version;
}

bool TargetTable::IsSilent(const Target& target, TimePoint now)
{
  return target.load && now - target.load_heard > SILENT_AFTER;
}

TargetTable::Access TargetTable::AccessOf(const Target& target, TimePoint now) const
{
  if (target.listed.state != TargetState::Ready)
    return Access::Leaving;
  if (now < target.avoid_until)
    return Access::Avoided;
  if (target.load && target.load->is_switching && now - target.load_heard <= LOAD_LIFETIME)
    return Access::Switching;
  const bool has_weights = !target.listed.needs_weights || WeightsOf(target) > 0;
  return has_weights ? Access::Open : Access::WithoutWeights;
}

bool TargetTable::IsOpen(const Target& target, TimePoint now) const
{
  return target.IsListed() && AccessOf(target, now) == Access::Open;
}

bool TargetTable::IsAcceptable(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.IsListed() &&
         found->second.listed.state == TargetState::Ready;
}

TargetId TargetTable::FindByAddress(const Common::Address& address) const
{
  const auto found = std::ranges::find_if(m_targets,
                                          [&](const auto& entry)
                                          {
                                            const Target& target = entry.second;
                                            return target.IsListed() &&
                                                   target.listed.address == address &&
                                                   IsKnownService(target.listed.service);
                                          });
  return found == m_targets.end() ? TargetId() : found->first;
}

std::uint64_t TargetTable::WeightsAt(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? 0 : WeightsOf(found->second);
}

bool TargetTable::IsTaking(const TargetId& id, std::uint64_t version, TimePoint now) const
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end() || !found->second.load)
    return false;
  const TargetLoad& load = *found->second.load;
  const bool is_fresh = now - found->second.load_heard < FRESH_LOAD;
  return is_fresh && load.is_switching && load.next_version >= version;
}

void TargetTable::OnDispatched(const TargetId& id, std::uint64_t request,
                               std::uint32_t prompt_tokens, Duration expected_start, TimePoint now)
{
  Target& target = m_targets[id];
  ++target.own;
  const Duration least = EngineOf(target.listed.service) ? EXPECTED_LEAST : PLAIN_EXPECTED_LEAST;
  target.expected[request] = now + std::max(expected_start, least);
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
  target.unread_prompt_tokens = std::max(0.0, target.unread_prompt_tokens - prompt_tokens);
  const auto expected = target.expected.extract(request);
  if (!expected)
    return;
  // What was expected held the lag of that time already, so this is what comes on top of it.
  const Duration before = LagOf(target, now);
  const Duration late = now - expected.mapped();
  target.lag = std::max<Duration>(before + late / LAG_SHARE, Duration::zero());
  target.lag_updated = now;
}

void TargetTable::OnEnded(const TargetId& id, std::uint64_t request,
                          std::uint32_t unread_prompt_tokens)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  target.own -= std::min(target.own, 1U);
  target.expected.erase(request);
  target.unread_prompt_tokens = std::max(0.0, target.unread_prompt_tokens - unread_prompt_tokens);
  if (target.own == 0 && !target.is_on_list)
    m_targets.erase(found);
}

void TargetTable::OnSucceeded(const TargetId& id)
{
  if (const auto found = m_targets.find(id); found != m_targets.end())
    found->second.failures = 0;
}

void TargetTable::OnFailed(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  const std::uint32_t doublings = std::min(target.failures, AVOID_DOUBLINGS);
  ++target.failures;
  target.avoid_until = now + AVOID_LEAST * (1U << doublings);
  if (IsSilent(target, now))
    target.avoid_until = std::max(target.avoid_until, now + AVOID_SILENT);
  LogEvent(Weight::Important, now, "target.avoided", "target", id, "failures", target.failures,
           "for_ms", target.avoid_until - now);
}

void TargetTable::OnFull(const TargetId& id, TimePoint now)
{
  if (const auto found = m_targets.find(id); found != m_targets.end())
    found->second.avoid_until = std::max(found->second.avoid_until, now + FULL_PAUSE);
}

void TargetTable::OnReplaced(const TargetId& id, TimePoint now)
{
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  found->second.is_replaced = true;
  LogEvent(Weight::Important, now, "target.replaced", "target", id, "at",
           found->second.listed.address.ToString());
}

std::vector<ListedTarget> TargetTable::Listed() const
{
  std::vector<ListedTarget> listed;
  for (const auto& [id, target] : m_targets)
  {
    if (target.IsListed())
      listed.push_back(target.listed);
  }
  return listed;
}
} // namespace Holdpost::Gateway
