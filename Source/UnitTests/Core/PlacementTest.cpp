// SPDX-License-Identifier: Apache-2.0
#include <algorithm>

#include <doctest/doctest.h>

#include "Core/Placement/Placement.h"

using namespace Holdpost;
using namespace Holdpost::Placement;

static std::vector<Candidate> MakeCandidates(int count)
{
  std::vector<Candidate> candidates;
  candidates.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    candidates.push_back({"agent-" + std::to_string(i), "runners"});
  return candidates;
}

TEST_CASE("Placement of services on a hall's instances")
{
  const ServicePlan small{"assist", "runners", 3, true, "m1", Common::Sha256("1")};
  const ServicePlan rest{"triage", "runners", 0, true, "m2", Common::Sha256("2")};
  const auto candidates = MakeCandidates(12);

  SUBCASE("a service gets its replicas, and one without a number the rest of the pool")
  {
    const auto placed = Place({small, rest}, candidates);
    CHECK(placed.size() == 12);
    CHECK(std::ranges::count_if(placed, [](const auto& p) { return p.second == "assist"; }) == 3);
  }
  SUBCASE("instances of other pools are left alone")
  {
    CHECK(Place({{"archive", "archive", 0, false, "", {}}}, candidates).empty());
  }
  SUBCASE("one instance that goes moves at most one replica of each service")
  {
    const auto before = Place({small, rest}, candidates);
    for (std::size_t gone = 0; gone < candidates.size(); ++gone)
    {
      auto fewer = candidates;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
      int moved = 0;
      for (const auto& [instance, service] : Place({small, rest}, fewer))
        moved += before.at(instance) != service ? 1 : 0;
      CHECK(moved <= 1);
    }
  }
}
