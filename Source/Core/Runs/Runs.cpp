// SPDX-License-Identifier: Apache-2.0
#include "Core/Runs/Runs.h"

#include <algorithm>

#include <fmt/format.h>

namespace Holdpost::Runs
{
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;

void Runs::Prune(Ledger& ledger, std::uint64_t settled_below)
{
  if (settled_below <= ledger.settled_below)
    return;
  ledger.settled_below = settled_below;
  std::erase_if(ledger.standings, [&](const auto& entry)
                { return entry.first < settled_below && entry.second != Standing::Running; });
}

Admission Runs::OnRequest(const RunRequest& request, const Membership::ServiceState& serving)
{
  Ledger& ledger = m_ledgers[{request.key.entry, request.key.incarnation}];
  Prune(ledger, request.settled_below);
  if (request.key.number < ledger.settled_below || ledger.standings.contains(request.key.number))
    return Error{ErrorKind::TargetRefused, "the request's number was used before"};
  Standing& standing = ledger.standings[request.key.number];
  standing = Standing::Barred;
  if (m_is_leaving)
    return Error{ErrorKind::Leaving, "the target is leaving"};
  if (!serving.is_ready || serving.service != request.service)
    return Error{ErrorKind::NotReady, fmt::format("the target does not serve {}", request.service)};
  if (m_running >= m_slots)
    return Error{ErrorKind::TargetRefused, "the target has no free slot"};
  standing = Standing::Running;
  ++m_running;
  return RunStart{};
}

void Runs::OnEnded(const RunKey& key)
{
  const auto ledger = m_ledgers.find({key.entry, key.incarnation});
  if (ledger == m_ledgers.end())
    return;
  const auto found = ledger->second.standings.find(key.number);
  if (found == ledger->second.standings.end() || found->second != Standing::Running)
    return;
  --m_running;
  found->second = Standing::Ended;
  if (key.number < ledger->second.settled_below)
    ledger->second.standings.erase(found);
}

Standing Runs::Bar(const RunKey& key)
{
  Ledger& ledger = m_ledgers[{key.entry, key.incarnation}];
  return ledger.standings.try_emplace(key.number, Standing::Barred).first->second;
}

void Runs::OnDemand(const std::string& entry, std::uint32_t demand, TimePoint now)
{
  m_demands[entry] = {demand, now};
}

void Runs::ForgetSilentEntries(TimePoint now, Common::Duration silence)
{
  std::erase_if(m_demands,
                [&](const auto& entry) { return now - entry.second.last_seen > silence; });
}

std::uint32_t Runs::CreditsFor(const std::string& entry) const
{
  if (m_is_leaving)
    return 0;
  // One slot for each entry, so that a new request finds one at once; the rest by demand.
  const auto entries = static_cast<std::uint32_t>(std::max<std::size_t>(m_demands.size(), 1));
  if (m_slots <= entries)
    return 1;
  std::uint64_t total = 0;
  for (const auto& [name, demand] : m_demands)
    total += demand.requests;
  const std::uint32_t spare = m_slots - entries;
  const auto found = m_demands.find(entry);
  if (total == 0 || found == m_demands.end())
    return 1 + spare / entries;
  // Half by demand, half evenly: what nobody asks for is still there for a sudden burst.
  const std::uint64_t by_demand = spare / 2 * std::uint64_t(found->second.requests) / total;
  return static_cast<std::uint32_t>(1 + by_demand + (spare - spare / 2) / entries);
}
} // namespace Holdpost::Runs
