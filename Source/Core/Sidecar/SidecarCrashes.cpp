// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

// A sidecar's part in finding requests that crash engines: it notices the end of its engine, and
// passes the gateways' crash records on to the others.
namespace Holdpost::Sidecar
{
using Common::Address;
using Common::TimePoint;

void Sidecar::ReportEngineEnd(Actions* actions) const
{
  for (const auto& [address, gateway] : m_gateways)
    actions->push_back(SendMessage{address, Mesh::EngineEnded{m_lost_engine}, true});
}

void Sidecar::CompareCrashes(const Address& gateway, std::uint64_t state_hash, TimePoint now,
                             Actions* actions)
{
  if (m_crash_exchange.OnPeerHash(gateway, state_hash, m_crashes, now))
    actions->push_back(SendMessage{gateway, Mesh::CrashRecords{m_crashes.All(now)}, true});
}

void Sidecar::SendCrashChanges(TimePoint now, Actions* actions)
{
  m_crashes.Expire(now);
  const Mesh::CrashRecords changes{m_crash_exchange.ChangesToSend(m_crashes, now)};
  if (changes.records.empty())
    return;
  for (const auto& [address, gateway] : m_gateways)
    actions->push_back(SendMessage{address, changes, true});
}
} // namespace Holdpost::Sidecar
