// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Types.h"

// Tells from a request's deadline for how long its caller has been trying. Callers of a route wait
// for the same time, and one that was refused and comes back has less of it left.
namespace Holdpost::Gateway
{
class DeadlineWatch
{
public:
  // A request came with so much of its caller's time left; returns how much of it was spent before.
  Common::Duration OnRequest(const std::string& route, Common::Milliseconds deadline);

private:
  struct Seen
  {
    Common::Milliseconds deadline{0};
    // Requests, the latest counting most.
    double weight = 0;
  };

  std::map<std::string, std::vector<Seen>> m_routes;
};
} // namespace Holdpost::Gateway
