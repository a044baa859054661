// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/Briefing.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Mesh
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds NEAR_PERIOD = Milliseconds(400);
// Bytes between halls are dear, and sidecars elsewhere have gateways of their own.
static constexpr Milliseconds FAR_PERIOD = Milliseconds(1000);
// A longer way than this is a mistake of one of the clocks.
static constexpr Milliseconds ROUND_TRIP_MOST = Milliseconds(60000);
// Versions of a model that are told, as a push of the one before may still be under way.
static constexpr std::size_t VERSIONS_TOLD = 2;

// Fits into 32 bits for 49 days, and wraps then.
Milliseconds ClockOf(TimePoint now)
{
  const auto ms = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  return Milliseconds(static_cast<std::uint32_t>(ms));
}

std::optional<Milliseconds> RoundTrip(const LoadReport& report, TimePoint now)
{
  if (report.echo == Milliseconds::zero())
    return std::nullopt;
  const auto since = static_cast<std::uint32_t>((ClockOf(now) - report.echo).count());
  const auto way = Milliseconds(since) - report.echo_age;
  if (way < Milliseconds::zero() || way > ROUND_TRIP_MOST)
    return std::nullopt;
  return way;
}

void Briefing::SetPlan(const WeightsPlan& plan)
{
  if (plan == m_plan)
    return;
  m_plan = plan;
  TellSoon();
}

void Briefing::SetSidecars(const std::vector<Peer>& sidecars)
{
  if (sidecars == m_sidecars)
    return;
  m_sidecars = sidecars;
  TellSoon();
}

void Briefing::SetWeights(const Control::NamedWeights& named, TimePoint known_since)
{
  if (m_weights[named.model].Offer(named.version, known_since))
    TellSoon();
}

// The last versions of the model, as they are told at the moment.
static void AppendTold(const std::string& model, const Control::NamedVersions& versions,
                       TimePoint now, std::vector<ToldWeights>* told)
{
  const std::vector<Control::KnownVersion>& all = versions.All();
  for (std::size_t i = all.size() - std::min(all.size(), VERSIONS_TOLD); i < all.size(); ++i)
  {
    const auto known = std::chrono::duration_cast<Milliseconds>(now - all[i].since);
    told->push_back({{model, all[i].version}, std::max(known, Milliseconds(0))});
  }
}

std::vector<ToldWeights> Briefing::ToldAt(TimePoint now) const
{
  std::vector<ToldWeights> told;
  for (const auto& [model, versions] : m_weights)
    AppendTold(model, versions, now, &told);
  return told;
}

Hello Briefing::MakeHello(TimePoint now, bool is_whole) const
{
  Hello hello;
  hello.is_gateway = true;
  hello.clock = ClockOf(now);
  hello.settings = m_settings;
  hello.weights = ToldAt(now);
  hello.demand = m_use.demand;
  if (!is_whole)
    return hello;
  hello.plan = m_plan;
  hello.peers = m_sidecars;
  return hello;
}

void Briefing::SetUse(TargetUse use)
{
  if (use.needs_other_halls && !m_use.needs_other_halls)
    m_needed_due = {};
  m_use = std::move(use);
}

bool Briefing::WantsLoad(const Peer& sidecar) const
{
  const bool is_used = m_use.sidecars.contains(sidecar.address);
  return is_used && (sidecar.hall == m_hall || m_use.needs_other_halls);
}

bool Briefing::IsIn(Audience audience, const Peer& sidecar) const
{
  const bool is_near = sidecar.hall == m_hall;
  if (audience == Audience::Near)
    return is_near;
  return !is_near && (audience == Audience::Far || m_use.sidecars.contains(sidecar.address));
}

void Briefing::TellAll(Audience audience, TimePoint now, std::vector<Outgoing>* outgoing) const
{
  Hello hello = MakeHello(now, audience == Audience::Near);
  for (const Peer& sidecar : m_sidecars)
  {
    if (!IsIn(audience, sidecar))
      continue;
    hello.wants_load = WantsLoad(sidecar);
    outgoing->push_back({sidecar.address, hello});
  }
}

void Briefing::OnTick(TimePoint now, std::vector<Outgoing>* outgoing)
{
  if (now >= m_near_due)
  {
    m_near_due = now + NEAR_PERIOD;
    TellAll(Audience::Near, now, outgoing);
  }
  if (now >= m_far_due)
  {
    m_far_due = now + FAR_PERIOD;
    TellAll(Audience::Far, now, outgoing);
  }
  else if (now >= m_needed_due)
    TellAll(Audience::FarUsed, now, outgoing);
  if (now >= m_needed_due)
    m_needed_due = TimePoint::max();
}
} // namespace Holdpost::Mesh
