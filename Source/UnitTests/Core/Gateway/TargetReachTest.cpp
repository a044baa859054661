// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Core/Gateway/TargetReach.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;

namespace
{
struct Site
{
  std::size_t halls = 3;
  std::size_t targets_of_hall = 25;
  std::size_t gateways_of_hall = 13;
};

std::vector<ListedTarget> MakeTargets(const Site& site)
{
  std::vector<ListedTarget> list;
  for (std::size_t i = 0; i < site.halls * site.targets_of_hall; ++i)
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
  std::size_t near = 0;
  std::size_t far = 0;
};

std::map<TargetId, Users> CountUsers(const Site& site)
{
  const std::vector<ListedTarget> list = MakeTargets(site);
  const GatewayCounts counts{site.halls * site.gateways_of_hall, site.gateways_of_hall};
  std::map<TargetId, Users> users;
  for (std::size_t i = 0; i < counts.all; ++i)
  {
    const std::string hall = fmt::format("hall-{}", i % site.halls);
    const std::set<TargetId> used = TargetReach(hall, 1000 + i).Choose(list, counts);
    for (const ListedTarget& target : list)
    {
      if (used.contains(target.id))
        ++(target.hall == hall ? users[target.id].near : users[target.id].far);
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
    CHECK(users.near == site.gateways_of_hall);
    CHECK(users.far >= 1);
    CHECK(users.far <= 18);
  }
}

TEST_CASE("At a small site every gateway uses every target")
{
  const Site site{3, 4, 2};
  for (const auto& [id, users] : CountUsers(site))
  {
    CHECK(users.near == 2);
    CHECK(users.far == 4);
  }
}

TEST_CASE("The number of gateways that use a target does not grow with the site")
{
  const Site site{3, 100, 100};
  double near = 0;
  double far = 0;
  const auto all = CountUsers(site);
  for (const auto& [id, users] : all)
  {
    near += static_cast<double>(users.near);
    far += static_cast<double>(users.far);
  }
  CHECK(near / static_cast<double>(all.size()) < 17);
  CHECK(far / static_cast<double>(all.size()) < 9);
}

TEST_CASE("The subset of a gateway changes little when a target is removed")
{
  const Site site;
  std::vector<ListedTarget> list = MakeTargets(site);
  const GatewayCounts counts{39, 13};
  const TargetReach reach("hall-0", 7);
  const std::set<TargetId> before = reach.Choose(list, counts);
  list.pop_back();
  const std::set<TargetId> after = reach.Choose(list, counts);
  std::vector<TargetId> gone;
  std::ranges::set_difference(before, after, std::back_inserter(gone));
  CHECK(gone.size() <= 2);
}

TEST_CASE("A gateway that knows no other gateways uses all targets")
{
  const std::vector<ListedTarget> list = MakeTargets({});
  CHECK(TargetReach("hall-0", 7).Choose(list, {1, 1}).size() == list.size());
}
