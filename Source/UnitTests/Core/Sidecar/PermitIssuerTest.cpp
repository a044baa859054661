// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/PermitIssuer.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr Milliseconds REPORT_PERIOD{100};

std::vector<PermitIssuer::Applicant> Applicants(int count, double arrivals = 10)
{
  std::vector<PermitIssuer::Applicant> applicants;
  for (int i = 1; i <= count; ++i)
    applicants.push_back({{"10.0.0." + std::to_string(i), 7700}, arrivals});
  return applicants;
}

// The permits that each gateway gets within the time.
std::map<Common::Address, std::uint32_t>
IssueFor(PermitIssuer& issuer, const std::vector<PermitIssuer::Applicant>& applicants,
         Common::TimePoint from, Milliseconds time)
{
  std::map<Common::Address, std::uint32_t> all;
  for (Milliseconds passed = REPORT_PERIOD; passed <= time; passed += REPORT_PERIOD)
  {
    for (const auto& [gateway, permits] : issuer.Issue(applicants, from + passed))
      all[gateway] += permits;
  }
  return all;
}

std::uint32_t Sum(const std::map<Common::Address, std::uint32_t>& issued)
{
  std::uint32_t sum = 0;
  for (const auto& [gateway, permits] : issued)
    sum += permits;
  return sum;
}
} // namespace

TEST_CASE("Permits keep the limit of an engine, however many gateways send to it")
{
  for (const int gateways : {1, 6, 40, 150})
  {
    for (const double limit : {0.3, 2.0, 25.0})
    {
      PermitIssuer issuer;
      issuer.OnLimit(limit, START);
      const auto issued = IssueFor(issuer, Applicants(gateways), START, std::chrono::seconds(20));
      CHECK(Sum(issued) <= static_cast<std::uint32_t>(20 * limit) + 1);
      CHECK(Sum(issued) + 1 >= static_cast<std::uint32_t>(20 * limit));
    }
  }
}

TEST_CASE("Permits are shared between the gateways")
{
  PermitIssuer issuer;
  issuer.OnLimit(10, START);
  SUBCASE("equally")
  {
    for (const auto& [gateway, permits] :
         IssueFor(issuer, Applicants(5), START, std::chrono::seconds(10)))
      CHECK(permits == 20);
  }
  SUBCASE("by what comes to them")
  {
    auto applicants = Applicants(2);
    applicants[1].arrivals_per_second = 30;
    auto issued = IssueFor(issuer, applicants, START, std::chrono::seconds(10));
    CHECK(issued[applicants[0].gateway] == 25);
    CHECK(issued[applicants[1].gateway] == 75);
  }
  SUBCASE("and the share of one that has left goes to the others")
  {
    IssueFor(issuer, Applicants(5), START, std::chrono::seconds(2));
    const auto issued =
        IssueFor(issuer, Applicants(2), START + std::chrono::seconds(2), std::chrono::seconds(4));
    CHECK(issued.size() == 2);
    CHECK(Sum(issued) >= 39);
  }
}

TEST_CASE("A time without gateways saves up no permits")
{
  PermitIssuer issuer;
  issuer.OnLimit(2, START);
  CHECK(issuer.Issue({}, START + std::chrono::seconds(10)).empty());
  issuer.Issue(Applicants(1), START + std::chrono::seconds(10));
  CHECK(Sum(issuer.Issue(Applicants(1), START + std::chrono::milliseconds(10100))) <= 1);
}

TEST_CASE("Nothing is issued once the engine names no limit")
{
  PermitIssuer issuer;
  issuer.OnLimit(10, START);
  SUBCASE("as an answer said")
  {
    issuer.OnLimit(std::nullopt, START + std::chrono::seconds(1));
  }
  SUBCASE("as it has started again")
  {
    issuer.Reset();
  }
  CHECK_FALSE(issuer.Limit().has_value());
  CHECK(issuer.Issue(Applicants(3), START + std::chrono::seconds(2)).empty());
}
