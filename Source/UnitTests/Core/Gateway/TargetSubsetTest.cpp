// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Core/Gateway/TargetSubset.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;

namespace
{
struct Site
{
  std::size_t halls = 3;
  std::size_t targets_per_hall = 25;
  std::size_t gateways_per_hall = 13;
};

std::vector<ListedTarget> MakeTargets(const Site& site)
{
  std::vector<ListedTarget> list;
  for (std::size_t i = 0; i < site.halls * site.targets_per_hall; ++i)
  {
    ListedTarget target;
    target.id = fmt::format("t{}", i);
    target.service = "llm";
    target.hall = fmt::format("hall-{}", i % site.halls);
    target.needs_weights = true;
    list.push_back(target);
  }
  return list;
}

// The number of gateways that use a target, in its own hall and in other halls.
struct Users
{
  std::size_t same_hall = 0;
  std::size_t other_halls = 0;
};

std::map<TargetId, Users> CountUsers(const Site& site)
{
  const std::vector<ListedTarget> list = MakeTargets(site);
  const GatewayCounts counts{site.halls * site.gateways_per_hall, site.gateways_per_hall};
  std::map<TargetId, Users> users;
  for (std::size_t i = 0; i < counts.all; ++i)
  {
    const std::string hall = fmt::format("hall-{}", i % site.halls);
    const std::set<TargetId> used = TargetSubset(hall, 1000 + i).Choose(list, counts);
    for (const ListedTarget& target : list)
    {
      if (used.contains(target.id))
        ++(target.hall == hall ? users[target.id].same_hall : users[target.id].other_halls);
    }
  }
  return users;
}
} // namespace

TEST_CASE("A target is used by the gateways of its hall and by a few gateways of other halls")
{
  const Site site;
  for (const auto& [id, users] : CountUsers(site))
  {
    CHECK(users.same_hall == site.gateways_per_hall);
    CHECK(users.other_halls >= 1);
    CHECK(users.other_halls <= 18);
  }
}

TEST_CASE("At a small site every gateway uses every target")
{
  const Site site{3, 4, 2};
  for (const auto& [id, users] : CountUsers(site))
  {
    CHECK(users.same_hall == 2);
    CHECK(users.other_halls == 4);
  }
}

TEST_CASE("The number of gateways that use a target does not grow with the site")
{
  const Site site{3, 100, 100};
  double same_hall = 0;
  double other_halls = 0;
  const auto all = CountUsers(site);
  for (const auto& [id, users] : all)
  {
    same_hall += static_cast<double>(users.same_hall);
    other_halls += static_cast<double>(users.other_halls);
  }
  CHECK(same_hall / static_cast<double>(all.size()) < 17);
  CHECK(other_halls / static_cast<double>(all.size()) < 9);
}

TEST_CASE("The subset of a gateway changes little when a target is removed")
{
  const Site site;
  std::vector<ListedTarget> list = MakeTargets(site);
  const GatewayCounts counts{39, 13};
  const TargetSubset subset("hall-0", 7);
  const std::set<TargetId> before = subset.Choose(list, counts);
  list.pop_back();
  const std::set<TargetId> after = subset.Choose(list, counts);
  std::vector<TargetId> gone;
  std::ranges::set_difference(before, after, std::back_inserter(gone));
  CHECK(gone.size() <= 2);
}

TEST_CASE("A gateway that knows no other gateways uses all targets")
{
  const std::vector<ListedTarget> list = MakeTargets({});
  CHECK(TargetSubset("hall-0", 7).Choose(list, {1, 1}).size() == list.size());
}
