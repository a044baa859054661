// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Types.h"

// Estimates from the deadline of a request for how long its caller has been trying. All callers of
// a route wait for the same time, so a caller that was refused and retries has less time left.
namespace Holdpost::Gateway
{
class DeadlineTracker
{
public:
  // Records the deadline of a request, which is the time that its caller still waits. Returns the
  // time that the caller has spent on earlier attempts, or zero if that is not known.
  Common::Duration OnRequest(const std::string& route, Common::Milliseconds deadline);

private:
  struct ObservedDeadline
  {
    Common::Milliseconds deadline{0};
    // Number of requests with this deadline; older requests count less.
    double weight = 0;
  };

  std::map<std::string, std::vector<ObservedDeadline>> m_routes;
};
} // namespace Holdpost::Gateway
