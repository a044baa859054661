// SPDX-License-Identifier: Apache-2.0
#include <cstdlib>
#include <sstream>

#include <doctest/doctest.h>

#include "NamingHistory.h"

using namespace Holdpost;
using Common::Milliseconds;
using Testing::NamingHistory;
using Testing::NamingHistoryOptions;
using Testing::NamingHistoryOutcome;

namespace
{
struct SeedRange
{
  std::uint64_t first = 1;
  std::uint64_t last = 50;
};

// The seeds of the environment, such as "1 1000", or those that CI plays.
SeedRange Seeds()
{
  SeedRange seeds;
  if (const char* range = std::getenv("HOLDPOST_NAMING_SEEDS"))
    std::istringstream(range) >> seeds.first >> seeds.last;
  return seeds;
}

// One to a hundred versions, some in quick succession and some far apart.
NamingHistoryOptions DrawOptions(std::uint64_t seed)
{
  static constexpr int MAX_GAPS_MS[] = {20, 150, 700, 2000, 8000};
  std::mt19937_64 random(seed);
  const auto draw = [&random](int from, int to)
  { return std::uniform_int_distribution<int>(from, to)(random); };
  NamingHistoryOptions options;
  options.seed = seed;
  options.max_gap = Milliseconds(MAX_GAPS_MS[draw(0, 4)]);
  options.min_gap = Milliseconds(draw(1, static_cast<int>(options.max_gap.count())));
  const bool are_far_apart = options.max_gap >= Milliseconds(2000);
  options.versions = static_cast<std::size_t>(draw(1, are_far_apart ? 12 : 100));
  return options;
}

NamingHistoryOutcome PlayChecked(const NamingHistoryOptions& options)
{
  NamingHistoryOutcome outcome = NamingHistory(options).Play();
  INFO("seed ", options.seed, ": ", options.versions, " versions, ", options.min_gap.count(),
       " to ", options.max_gap.count(), " ms apart, ", options.disturbances, " disturbances; ",
       outcome.first_too_late, outcome.too_late > 0 ? outcome.events : "");
  CHECK(outcome.checks > 0);
  CHECK(outcome.too_late == 0);
  CHECK(outcome.max_kept <= Control::NamedVersions::MAX_VERSIONS);
  return outcome;
}
} // namespace

// Guards against gateways that let requests begin on weights whose replacement was due.
TEST_CASE("No gateway forgets the switch deadline of any of the versions named in a row")
{
  const SeedRange seeds = Seeds();
  SUBCASE("while all processes run")
  {
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
      PlayChecked(DrawOptions(seed));
  }
  SUBCASE("while gateways and sidecars restart or are suspended, and gateways are cut off")
  {
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
    {
      NamingHistoryOptions options = DrawOptions(seed);
      options.disturbances = 1 + static_cast<int>(seed % 6);
      PlayChecked(options);
    }
  }
}

TEST_CASE("Switch deadlines of a few versions are not much earlier than they have to be")
{
  NamingHistoryOptions options;
  options.versions = 8;
  for (options.seed = 1; options.seed <= 10; ++options.seed)
    CHECK(PlayChecked(options).max_early <= Milliseconds(400));
}
