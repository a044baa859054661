// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/PermitIssuer.h"

#include <algorithm>

namespace Holdpost::Sidecar
{
using Common::TimePoint;

// Permits that could not be issued, for lack of applicants, are not saved up beyond these limits.
static constexpr double MAX_DUE = 1;
static constexpr Common::Duration MAX_COUNTED_TIME = Common::Milliseconds(250);
// Gateways without arrivals compete with this rate, so that they get permits now and then.
static constexpr double MIN_ARRIVALS_PER_SECOND = 0.1;

void PermitIssuer::OnLimit(std::optional<double> per_second, TimePoint now)
{
  if (per_second && !m_limit)
  {
    m_due = 0;
    m_counted_until = now;
    m_claims.clear();
  }
  m_limit = per_second;
}

void PermitIssuer::Reset()
{
  m_limit.reset();
}

std::map<Common::Address, std::uint32_t>
PermitIssuer::Issue(const std::vector<Applicant>& applicants, TimePoint now)
{
  std::map<Common::Address, std::uint32_t> issued;
  if (!m_limit || applicants.empty())
    return issued;
  const std::chrono::duration<double> passed =
      std::min<Common::Duration>(now - m_counted_until, MAX_COUNTED_TIME);
  m_counted_until = now;
  m_due = std::min(m_due, MAX_DUE) + passed.count() * *m_limit;
  std::map<Common::Address, double> claims;
  double total = 0;
  for (const Applicant& applicant : applicants)
    total += std::max(applicant.arrivals_per_second, MIN_ARRIVALS_PER_SECOND);
  for (const Applicant& applicant : applicants)
    claims[applicant.gateway] = m_claims[applicant.gateway];
  m_claims = std::move(claims);
  while (m_due >= 1)
  {
    m_due -= 1;
    for (const Applicant& applicant : applicants)
    {
      const double arrivals = std::max(applicant.arrivals_per_second, MIN_ARRIVALS_PER_SECOND);
      m_claims[applicant.gateway] += arrivals / total;
    }
    const auto next =
        std::ranges::max_element(m_claims, {}, [](const auto& claim) { return claim.second; });
    next->second -= 1;
    ++issued[next->first];
  }
  return issued;
}
} // namespace Holdpost::Sidecar
