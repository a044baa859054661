// SPDX-License-Identifier: Apache-2.0
#include "Core/Mesh/BriefingSender.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Mesh
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds LOCAL_HALL_PERIOD = Milliseconds(400);
// Traffic between halls is expensive, and sidecars of other halls have gateways of their own.
static constexpr Milliseconds OTHER_HALLS_PERIOD = Milliseconds(1000);
// A gateway that does not read the platform waits this long, plus jitter, before it sends a changed
// briefing, so that the gateway that reads the platform can send it first and the others do not all
// send at once.
static constexpr Milliseconds READER_HEAD_START = Milliseconds(200);
static constexpr int NON_READER_JITTER_MS = 400;
// A longer round trip is taken to be an error of one of the clocks.
static constexpr Milliseconds MAX_ROUND_TRIP = Milliseconds(60000);

// Covers the whole milliseconds in which clocks are told, and clocks of different rates.
static constexpr Milliseconds CLOCK_MARGIN = Milliseconds(2);

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
  const auto round_trip = Milliseconds(since) - report.echo_age;
  if (round_trip < Milliseconds::zero() || round_trip > MAX_ROUND_TRIP)
    return std::nullopt;
  return round_trip;
}

std::optional<TimePoint> RanAt(const LoadReport& report, TimePoint now)
{
  // The sidecar sent the report at most a round trip ago.
  const auto round_trip = RoundTrip(report, now);
  if (!round_trip || !report.read_age)
    return std::nullopt;
  return now - *round_trip - *report.read_age - CLOCK_MARGIN;
}

void BriefingSender::OnBriefingChanged(TimePoint now)
{
  if (m_is_reader)
    return SendSoon();
  const auto jitter = std::uniform_int_distribution<int>(0, NON_READER_JITTER_MS)(m_random);
  m_non_reader_due = now + READER_HEAD_START + Milliseconds(jitter);
}

void BriefingSender::SetPlan(const WeightsPlan& plan, Settings::DocumentVersion settings,
                             TimePoint now)
{
  if (plan == m_plan)
    return;
  m_plan = plan;
  m_stamp.settings = settings;
  OnBriefingChanged(now);
}

void BriefingSender::SetSidecars(const std::vector<Peer>& sidecars, Control::Position changed,
                                 TimePoint now)
{
  if (sidecars == m_sidecars)
    return;
  m_sidecars = sidecars;
  m_stamp.targets = std::max(m_stamp.targets, changed);
  const auto is_listed = [this](const Common::Address& address)
  { return std::ranges::find(m_sidecars, address, &Peer::address) != m_sidecars.end(); };
  std::erase_if(m_sidecar_states, [&](const auto& entry) { return !is_listed(entry.first); });
  m_has_new_sidecars = true;
  OnBriefingChanged(now);
}

void BriefingSender::OnReported(const Common::Address& sidecar, const BriefingStamp& stamp,
                                TimePoint now)
{
  const auto found = m_sidecar_states.find(sidecar);
  if (found == m_sidecar_states.end())
    return;
  found->second.stamp = stamp;
  found->second.reported_at = now;
}

void BriefingSender::SetWeights(const Control::NamedWeights& named,
                                const Control::KnownSince& since)
{
  if (m_weights[named.model].Offer({named.version, since}, m_switch_within))
    SendSoon();
}

std::vector<AdvertisedVersion> BriefingSender::AdvertisedVersionsAt(TimePoint now) const
{
  std::vector<AdvertisedVersion> advertised;
  for (const auto& [model, versions] : m_weights)
  {
    const auto all = AdvertisedVersion::AllOf(model, versions, now, m_switch_within);
    advertised.insert(advertised.end(), all.begin(), all.end());
  }
  return advertised;
}

Hello BriefingSender::MakeHello(TimePoint now) const
{
  Hello hello;
  hello.is_gateway = true;
  hello.clock = ClockOf(now);
  hello.settings = m_settings;
  hello.weights = AdvertisedVersionsAt(now);
  hello.demand = m_use.demand;
  hello.near_gateways = m_use.near_gateways;
  hello.crashes = m_crashes;
  return hello;
}

Hello BriefingSender::FullHello(TimePoint now) const
{
  Hello hello = MakeHello(now);
  if (!m_plan.model.empty())
    AddBriefing(&hello);
  return hello;
}

void BriefingSender::AddBriefing(Hello* hello) const
{
  hello->plan = m_plan;
  hello->peers = m_sidecars;
  hello->stamp = m_stamp;
}

void BriefingSender::SetTargetUse(TargetUse use)
{
  if (use.needs_other_halls && !m_use.needs_other_halls)
    m_other_halls_due = {};
  m_use = std::move(use);
}

bool BriefingSender::IsUsed(const Peer& sidecar) const
{
  return m_use.sidecars.empty() || m_use.sidecars.contains(sidecar.address);
}

bool BriefingSender::WantsLoad(const Peer& sidecar) const
{
  return m_use.sidecars.contains(sidecar.address) &&
         (sidecar.hall == m_hall || m_use.needs_other_halls);
}

bool BriefingSender::NeedsBriefing(const Peer& sidecar, TimePoint now) const
{
  if (sidecar.hall != m_hall || m_plan.model.empty())
    return false;
  const auto found = m_sidecar_states.find(sidecar.address);
  if (found == m_sidecar_states.end())
    return true;
  const SidecarState& state = found->second;
  const bool is_sent = state.sent_stamp == m_stamp && now - state.sent_at < LOCAL_HALL_PERIOD;
  if (is_sent || !state.stamp.IsBehind(m_stamp))
    return false;
  return m_is_reader || state.reported_at >= m_non_reader_due;
}

void BriefingSender::SendHello(const Peer& sidecar, const Hello& hello, TimePoint now,
                               std::vector<Outgoing>* outgoing)
{
  Hello sidecar_hello = hello;
  sidecar_hello.wants_load = WantsLoad(sidecar);
  if (NeedsBriefing(sidecar, now))
  {
    AddBriefing(&sidecar_hello);
    SidecarState& state = m_sidecar_states[sidecar.address];
    state.sent_stamp = m_stamp;
    state.sent_at = now;
  }
  outgoing->push_back({sidecar.address, std::move(sidecar_hello)});
}

void BriefingSender::SendToNewSidecars(TimePoint now, std::vector<Outgoing>* outgoing)
{
  m_has_new_sidecars = false;
  const Hello hello = MakeHello(now);
  for (const Peer& sidecar : m_sidecars)
  {
    if (sidecar.hall == m_hall && IsUsed(sidecar) && !m_sidecar_states.contains(sidecar.address))
      SendHello(sidecar, hello, now, outgoing);
  }
}

void BriefingSender::SendToUsedSidecars(bool is_local_hall, TimePoint now,
                                        std::vector<Outgoing>* outgoing)
{
  const Hello hello = MakeHello(now);
  for (const Peer& sidecar : m_sidecars)
  {
    if ((sidecar.hall == m_hall) == is_local_hall && IsUsed(sidecar))
      SendHello(sidecar, hello, now, outgoing);
  }
}

void BriefingSender::OnTick(TimePoint now, std::vector<Outgoing>* outgoing)
{
  if (now >= m_local_hall_due)
  {
    m_local_hall_due = now + LOCAL_HALL_PERIOD;
    m_has_new_sidecars = false;
    SendToUsedSidecars(true, now, outgoing);
  }
  if (m_has_new_sidecars)
    SendToNewSidecars(now, outgoing);
  if (now >= m_other_halls_due)
  {
    m_other_halls_due = now + OTHER_HALLS_PERIOD;
    SendToUsedSidecars(false, now, outgoing);
  }
}

TimePoint BriefingSender::NextWakeup() const
{
  return m_has_new_sidecars ? TimePoint() : std::min(m_local_hall_due, m_other_halls_due);
}
} // namespace Holdpost::Mesh
