// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Common/Types.h"

// Shares the rate limit that an engine has named between the gateways that send to it. The sidecar
// beside the engine hands out permits, one for each request, so that all gateways together keep the
// limit whatever their number is and however few requests a second it allows.
namespace Holdpost::Sidecar
{
class PermitIssuer
{
public:
  // A gateway that may get permits, and the rate of the requests that it could send.
  struct Applicant
  {
    Common::Address gateway;
    double arrivals_per_second = 0;
  };

  // A gateway has read a limit, or its absence, in an answer of the engine.
  void OnLimit(std::optional<double> per_second, Common::TimePoint now);
  // The engine has restarted.
  void Reset();
  const std::optional<double>& Limit() const { return m_limit; }
  // The number of permits that have become due since the last call, by gateway.
  std::map<Common::Address, std::uint32_t> Issue(const std::vector<Applicant>& applicants,
                                                 Common::TimePoint now);

private:
  std::optional<double> m_limit;
  // Permits that are due but not issued.
  double m_due = 0;
  Common::TimePoint m_counted_until{};
  // The claim of each gateway to the next permit.
  std::map<Common::Address, double> m_claims;
};
} // namespace Holdpost::Sidecar
