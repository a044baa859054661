// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetRests.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A target that asks for more is asked again after this time.
static constexpr Duration MAX_REST = std::chrono::hours(1);
// Gateways return within this part of the rest after its end, and within this time.
static constexpr int SPREAD_DIVISOR = 8;
static constexpr Duration MAX_SPREAD = Milliseconds(500);
// A rest that ended so long ago is forgotten, although no request was sent since.
static constexpr Duration MEMORY_AFTER_REST = std::chrono::minutes(1);

Duration TargetRests::Spread(const TargetId& id, Duration rest) const
{
  const Duration most = std::min(rest / SPREAD_DIVISOR, MAX_SPREAD);
  return most * static_cast<Duration::rep>(Common::StableHash(id, m_seed) % 1024) / 1024;
}

TimePoint TargetRests::OnAsked(const TargetId& id, std::uint64_t incarnation, Duration rest,
                               TimePoint now)
{
  RemoveExpired(now);
  rest = std::min(rest, MAX_REST);
  Rest& known = m_rests[id];
  if (known.incarnation != incarnation)
    known = {incarnation, {}, {}};
  known.until = std::max(known.until, now + rest + Spread(id, rest));
  return known.until;
}

const TargetRests::Rest* TargetRests::Find(const TargetId& id, std::uint64_t incarnation) const
{
  const auto found = m_rests.find(id);
  const bool is_known = found != m_rests.end() && found->second.incarnation == incarnation;
  return is_known ? &found->second : nullptr;
}

bool TargetRests::MaySend(const TargetId& id, std::uint64_t incarnation, TimePoint now) const
{
  const Rest* rest = Find(id, incarnation);
  return !rest || (now >= rest->until && !rest->trial);
}

std::optional<Duration> TargetRests::TimeLeft(const TargetId& id, std::uint64_t incarnation,
                                              TimePoint now) const
{
  const Rest* rest = Find(id, incarnation);
  if (!rest || now >= rest->until)
    return std::nullopt;
  return rest->until - now;
}

void TargetRests::OnSent(const TargetId& id, std::uint64_t request, TimePoint now)
{
  const auto found = m_rests.find(id);
  if (found != m_rests.end() && now >= found->second.until)
    found->second.trial = request;
}

TargetRests::Rest* TargetRests::FindTrial(const TargetId& id, std::uint64_t request)
{
  const auto found = m_rests.find(id);
  const bool is_trial = found != m_rests.end() && found->second.trial == request;
  return is_trial ? &found->second : nullptr;
}

void TargetRests::OnAccepted(const TargetId& id, std::uint64_t request)
{
  if (FindTrial(id, request))
    m_rests.erase(id);
}

void TargetRests::OnEnded(const TargetId& id, std::uint64_t request)
{
  if (Rest* rest = FindTrial(id, request))
    rest->trial.reset();
}

void TargetRests::RemoveExpired(TimePoint now)
{
  std::erase_if(m_rests,
                [now](const auto& entry) { return now > entry.second.until + MEMORY_AFTER_REST; });
}
} // namespace Holdpost::Gateway
