// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"

// What became of the requests of a routing run.
namespace Holdpost::Bench
{
enum class Outcome
{
  InAim,
  // The first event came after the goal, or a pause was too long.
  Late,
  // In aim, after it was refused once.
  InAimAfterRefusal,
  Refused,
  Failed,
};

struct SettledRequest
{
  std::string kind;
  std::string hall;
  // When the first attempt came.
  Common::Duration asked{};
  Outcome outcome = Outcome::Failed;
  // Of all of its kind, the mean is 1.
  double size = 1;
  double worth = 0;
  double earned = 0;
  // Of the attempt that was served; zero if none was.
  Common::Duration expected_start{};
  Common::Duration start{};
};

class RoutingReport
{
public:
  void Add(SettledRequest request) { m_requests.push_back(std::move(request)); }
  // A request began on weights that a named version replaces, so long before its bound.
  void AddBegunOnOldWeights(Common::Duration before_bound);

  double Earned() const;
  // The mean of the two worst windows.
  double EarnedInWorstWindows() const;
  // Of the hall whose callers earn least.
  double EarnedInWorstHall() const;
  // Of the worst kind, or the worst kind's largest tenth or the fifth below that.
  double EarnedInWorstClass() const;
  // Weighs the four as the users do.
  double Mark() const;
  // How often the largest tenth of a kind is served, against all of the kind; of the worst kind.
  double LargestServed() const;
  std::string Summary() const;
  std::string Windows() const;

  // Reports of sidecars to gateways of their hall and of others.
  std::uint64_t near_tells = 0;
  std::uint64_t far_tells = 0;

private:
  std::map<std::string, std::vector<const SettledRequest*>> ByKind() const;
  std::map<int, std::vector<const SettledRequest*>> ByWindow() const;

  std::vector<SettledRequest> m_requests;
  // Requests that began on old weights after the bound, and how long before it the last one began.
  std::size_t m_begun_too_late = 0;
  std::optional<Common::Duration> m_least_before_bound;
};
} // namespace Holdpost::Bench
