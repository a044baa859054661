// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Gateway/SwitchDeadlines.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr Milliseconds SWITCH_WITHIN{8000};
constexpr Milliseconds GAP{1900};
} // namespace

// Guards against requests that begin on weights whose replacement was due.
TEST_CASE("The switch deadline that comes next is kept when more versions are named")
{
  SwitchDeadlines deadlines(SWITCH_WITHIN);
  auto now = START;
  for (std::uint64_t version = 2; version <= 6; ++version, now += GAP)
    deadlines.OnVersionNamed("m", {version, {now}}, now);
  const auto first = deadlines.EarliestReplacing("m", 1);
  REQUIRE(first.has_value());
  CHECK(first->version == 2);
  CHECK(SwitchDeadlines::TimeLeft(*first, START) == SWITCH_WITHIN);
  CHECK(deadlines.Count() == 5);
  CHECK(deadlines.IsOverdue(1, START + SWITCH_WITHIN));
  CHECK_FALSE(deadlines.IsOverdue(2, START + SWITCH_WITHIN));

  SUBCASE("one that has passed is replaced by the next one that passes")
  {
    now = START + SWITCH_WITHIN + GAP;
    deadlines.OnVersionNamed("m", {7, {now}}, now);
    CHECK(deadlines.DeadlinesOf("m").front().version == 3);
    CHECK(deadlines.IsOverdue(1, now));
    CHECK(deadlines.IsOverdue(2, now));
  }
  SUBCASE("other models have deadlines of their own")
  {
    for (std::uint64_t version = 1; version <= 20; ++version)
      deadlines.OnVersionNamed("other", {version, {now}}, now);
    CHECK(deadlines.DeadlinesOf("m").front().version == 2);
  }
  SUBCASE("a hundred further versions are merged into few that are as strict")
  {
    for (std::uint64_t version = 7; version <= 106; ++version, now += Milliseconds(1))
      deadlines.OnVersionNamed("m", {version, {now}}, now);
    CHECK(deadlines.EarliestReplacing("m", 1)->version == 2);
    CHECK(deadlines.Count() <= Control::NamedVersions::MAX_VERSIONS);
    CHECK(deadlines.MergedCount() > 0);
  }
  SUBCASE("a shorter period after a reload makes no deadline later")
  {
    deadlines.SetSwitchWithin(Milliseconds(2000));
    deadlines.OnVersionNamed("m", {7, {now}}, now);
    CHECK(deadlines.IsOverdue(5, START + 3 * GAP + SWITCH_WITHIN));
    CHECK(deadlines.IsOverdue(4, START + 3 * GAP + Milliseconds(2000)));
  }
}
