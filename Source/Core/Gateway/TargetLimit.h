// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Common/Types.h"

// A gateway's part in keeping the rate limit that a target has named for all gateways together.
namespace Holdpost::Gateway
{
// Permits come from the agent beside the target. Where no agent reports, the gateway keeps an equal
// share of the limit.
class TargetLimit
{
public:
  bool IsLimited() const { return m_per_second.has_value(); }
  const std::optional<double>& PerSecond() const { return m_per_second; }
  // An answer of the target has named a limit, or none.
  void OnAnswer(std::optional<double> per_second, Common::TimePoint now);
  // The agent has reported the limit, and the permits that it issues to this gateway.
  void OnReport(std::optional<double> per_second, std::uint32_t permits, Common::TimePoint now);
  // Whether a request may be sent now. `gateways` is the number of gateways that share the limit
  // while no agent reports.
  bool MaySend(std::size_t gateways, Common::TimePoint now) const;
  void OnSent(std::size_t gateways, Common::TimePoint now);

private:
  bool HasAgent(Common::TimePoint now) const;
  double OwnShareAt(std::size_t gateways, Common::TimePoint now) const;

  std::optional<double> m_per_second;
  // When an answer last said something else than the agent.
  Common::TimePoint m_answered_at{};
  std::optional<Common::TimePoint> m_reported_at;
  std::uint32_t m_permits = 0;
  Common::TimePoint m_permits_until{};
  // Requests that the own share allows, counted up to a time.
  double m_own_share = 0;
  Common::TimePoint m_counted_until{};
};
} // namespace Holdpost::Gateway
