// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/Briefing.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Mesh
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds NEAR_PERIOD = Milliseconds(400);
// Traffic between halls is expensive, and sidecars of other halls have gateways of their own.
static constexpr Milliseconds FAR_PERIOD = Milliseconds(1000);
// A gateway that does not read the platform waits this long, plus jitter, before it sends a changed
// briefing, so that the gateway that reads the platform can send it first and the others do not all
// send at once.
static constexpr Milliseconds OTHERS_TIME = Milliseconds(200);
static constexpr int OTHERS_JITTER_MS = 400;
// A longer round trip is taken to be an error of one of the clocks.
static constexpr Milliseconds ROUND_TRIP_MOST = Milliseconds(60000);

// The value fits into 32 bits for 49 days and wraps around after that.
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

void Briefing::OnNews(TimePoint now)
{
  if (m_reads)
    return TellSoon();
  const auto more = std::uniform_int_distribution<int>(0, OTHERS_JITTER_MS)(m_random);
  m_others_due = now + OTHERS_TIME + Milliseconds(more);
}

void Briefing::SetPlan(const WeightsPlan& plan, Settings::DocumentVersion settings, TimePoint now)
{
  if (plan == m_plan)
    return;
  m_plan = plan;
  m_stamp.settings = settings;
  OnNews(now);
}

void Briefing::SetSidecars(const std::vector<Peer>& sidecars, Control::Position changed,
                           TimePoint now)
{
  if (sidecars == m_sidecars)
    return;
  m_sidecars = sidecars;
  m_stamp.targets = std::max(m_stamp.targets, changed);
  const auto is_here = [this](const Common::Address& address)
  { return std::ranges::find(m_sidecars, address, &Peer::address) != m_sidecars.end(); };
  std::erase_if(m_briefed, [&](const auto& entry) { return !is_here(entry.first); });
  m_has_new_sidecars = true;
  OnNews(now);
}

void Briefing::OnReported(const Common::Address& sidecar, const BriefingStamp& stamp, TimePoint now)
{
  const auto found = m_briefed.find(sidecar);
  if (found == m_briefed.end())
    return;
  found->second.stamp = stamp;
  found->second.reported_at = now;
}

void Briefing::SetWeights(const Control::NamedWeights& named, const Control::KnownSince& since)
{
  if (m_weights[named.model].Offer({named.version, since}))
    TellSoon();
}

// Appends the newest versions of the model with their ages at `now`.
static void AppendTold(const std::string& model, const Control::NamedVersions& versions,
                       TimePoint now, std::vector<ToldWeights>* told)
{
  const std::vector<Control::KnownVersion>& all = versions.All();
  for (std::size_t i = all.size() - std::min(all.size(), VERSIONS_TOLD); i < all.size(); ++i)
    told->push_back(ToldWeights::Of(model, all[i].version, all[i].since, now));
}

std::vector<ToldWeights> Briefing::ToldAt(TimePoint now) const
{
  std::vector<ToldWeights> told;
  for (const auto& [model, versions] : m_weights)
    AppendTold(model, versions, now, &told);
  return told;
}

Hello Briefing::MakeHello(TimePoint now) const
{
  Hello hello;
  hello.is_gateway = true;
  hello.clock = ClockOf(now);
  hello.settings = m_settings;
  hello.weights = ToldAt(now);
  hello.demand = m_use.demand;
  hello.near_gateways = m_use.near_gateways;
  return hello;
}

Hello Briefing::WholeHello(TimePoint now) const
{
  Hello hello = MakeHello(now);
  if (!m_plan.model.empty())
    AddWhole(&hello);
  return hello;
}

void Briefing::AddWhole(Hello* hello) const
{
  hello->plan = m_plan;
  hello->peers = m_sidecars;
  hello->stamp = m_stamp;
}

void Briefing::SetUse(TargetUse use)
{
  if (use.needs_other_halls && !m_use.needs_other_halls)
    m_far_due = {};
  m_use = std::move(use);
}

bool Briefing::IsUsed(const Peer& sidecar) const
{
  return m_use.sidecars.empty() || m_use.sidecars.contains(sidecar.address);
}

bool Briefing::WantsLoad(const Peer& sidecar) const
{
  return m_use.sidecars.contains(sidecar.address) &&
         (sidecar.hall == m_hall || m_use.needs_other_halls);
}

bool Briefing::NeedsWhole(const Peer& sidecar, TimePoint now) const
{
  if (sidecar.hall != m_hall || m_plan.model.empty())
    return false;
  const auto found = m_briefed.find(sidecar.address);
  if (found == m_briefed.end())
    return true;
  const Briefed& briefed = found->second;
  const bool is_told = briefed.told == m_stamp && now - briefed.told_at < NEAR_PERIOD;
  if (is_told || !briefed.stamp.IsBehind(m_stamp))
    return false;
  return m_reads || briefed.reported_at >= m_others_due;
}

void Briefing::Tell(const Peer& sidecar, const Hello& hello, TimePoint now,
                    std::vector<Outgoing>* outgoing)
{
  Hello own = hello;
  own.wants_load = WantsLoad(sidecar);
  if (NeedsWhole(sidecar, now))
  {
    AddWhole(&own);
    Briefed& briefed = m_briefed[sidecar.address];
    briefed.told = m_stamp;
    briefed.told_at = now;
  }
  outgoing->push_back({sidecar.address, std::move(own)});
}

void Briefing::TellNew(TimePoint now, std::vector<Outgoing>* outgoing)
{
  m_has_new_sidecars = false;
  const Hello hello = MakeHello(now);
  for (const Peer& sidecar : m_sidecars)
  {
    if (sidecar.hall == m_hall && IsUsed(sidecar) && !m_briefed.contains(sidecar.address))
      Tell(sidecar, hello, now, outgoing);
  }
}

void Briefing::TellUsed(bool is_near, TimePoint now, std::vector<Outgoing>* outgoing)
{
  const Hello hello = MakeHello(now);
  for (const Peer& sidecar : m_sidecars)
  {
    if ((sidecar.hall == m_hall) == is_near && IsUsed(sidecar))
      Tell(sidecar, hello, now, outgoing);
  }
}

void Briefing::OnTick(TimePoint now, std::vector<Outgoing>* outgoing)
{
  if (now >= m_near_due)
  {
    m_near_due = now + NEAR_PERIOD;
    m_has_new_sidecars = false;
    TellUsed(true, now, outgoing);
  }
  if (m_has_new_sidecars)
    TellNew(now, outgoing);
  if (now >= m_far_due)
  {
    m_far_due = now + FAR_PERIOD;
    TellUsed(false, now, outgoing);
  }
}

TimePoint Briefing::NextWakeup() const
{
  return m_has_new_sidecars ? TimePoint() : std::min(m_near_due, m_far_due);
}
} // namespace Holdpost::Mesh
