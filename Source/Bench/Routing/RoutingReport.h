// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
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
  // When the first attempt came.
  Common::Duration asked{};
  Outcome outcome = Outcome::Failed;
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

  double Earned() const;
  // The mean of the two worst windows.
  double EarnedInWorstWindows() const;
  std::string Summary() const;
  std::string Windows() const;

  // Reports of sidecars to gateways of their hall and of others.
  std::uint64_t near_tells = 0;
  std::uint64_t far_tells = 0;

private:
  std::map<int, std::vector<const SettledRequest*>> ByWindow() const;

  std::vector<SettledRequest> m_requests;
};
} // namespace Holdpost::Bench
