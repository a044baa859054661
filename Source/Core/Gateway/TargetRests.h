// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "Core/Gateway/Target.h"

namespace Holdpost::Gateway
{
// The targets that have turned requests of this gateway away and asked it for rest. A rest binds
// only the gateway that was asked: the target may accept requests of others.
class TargetRests
{
public:
  // `seed` determines how long after a rest this gateway returns, so that several gateways that
  // were asked together do not return together.
  explicit TargetRests(std::uint64_t seed) : m_seed(seed) {}

  // The target has asked for rest. A shorter rest does not end a longer one. Returns the time at
  // which requests may be sent again.
  Common::TimePoint OnAsked(const TargetId& id, std::uint64_t incarnation, Common::Duration rest,
                            Common::TimePoint now);
  // Whether a request may be sent. After a rest this is one request at a time, until the target has
  // accepted one.
  bool MaySend(const TargetId& id, std::uint64_t incarnation, Common::TimePoint now) const;
  // The time until requests may be sent again; empty if the target does not rest.
  std::optional<Common::Duration> TimeLeft(const TargetId& id, std::uint64_t incarnation,
                                           Common::TimePoint now) const;
  void OnSent(const TargetId& id, std::uint64_t request, Common::TimePoint now);
  // The target has accepted a request that was sent after the rest.
  void OnAccepted(const TargetId& id, std::uint64_t request);
  // A request has ended, whether the target accepted it or not.
  void OnEnded(const TargetId& id, std::uint64_t request);

private:
  struct Rest
  {
    std::uint64_t incarnation = 0;
    Common::TimePoint until{};
    // The request that was sent after the rest and has not been answered.
    std::optional<std::uint64_t> trial;
  };

  Common::Duration Spread(const TargetId& id, Common::Duration rest) const;
  const Rest* Find(const TargetId& id, std::uint64_t incarnation) const;
  Rest* FindTrial(const TargetId& id, std::uint64_t request);
  void RemoveExpired(Common::TimePoint now);

  std::uint64_t m_seed;
  std::map<TargetId, Rest> m_rests;
};
} // namespace Holdpost::Gateway
