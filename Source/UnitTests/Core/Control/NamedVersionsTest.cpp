// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "Core/Control/NamedVersions.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr Milliseconds SWITCH_WITHIN{8000};

// Versions of which every name is kept, to compare with.
struct AllNames
{
  void Offer(const KnownVersion& named)
  {
    names.push_back(named);
    versions.Offer(named, SWITCH_WITHIN);
  }
  // The version that every request has to start with at the time.
  static std::uint64_t RequiredAt(const std::vector<KnownVersion>& known, Common::TimePoint at)
  {
    std::uint64_t required = 0;
    for (const KnownVersion& named : known)
    {
      if (named.since.time + SWITCH_WITHIN <= at)
        required = std::max(required, named.version);
    }
    return required;
  }
  // Whether the kept versions are as strict as all names at each time from `now` on.
  bool IsNoneForgotten(Common::TimePoint now) const
  {
    const auto restricting = versions.RestrictingAt(now, SWITCH_WITHIN);
    for (auto at = now; at <= now + SWITCH_WITHIN; at += Milliseconds(10))
    {
      if (RequiredAt(restricting, at) < RequiredAt(names, at))
        return false;
    }
    return true;
  }

  NamedVersions versions;
  std::vector<KnownVersion> names;
};
} // namespace

TEST_CASE("Named versions are kept in order with the earliest time at which one was known")
{
  NamedVersions versions;
  CHECK(versions.Newest() == 0);
  CHECK(versions.Offer({3, {START}}, SWITCH_WITHIN));
  CHECK_FALSE(versions.Offer({3, {START + Milliseconds(500)}}, SWITCH_WITHIN));
  CHECK(versions.All().at(0).since.time == START);

  SUBCASE("another process reports an earlier time")
  {
    CHECK(versions.Offer({3, {START - Milliseconds(600)}}, SWITCH_WITHIN));
    CHECK(versions.All().at(0).since.time == START - Milliseconds(600));
    // A difference within the network delay of a message is not a change.
    CHECK_FALSE(versions.Offer({3, {START - Milliseconds(605)}}, SWITCH_WITHIN));
  }
  SUBCASE("a time that a process observed replaces one that another process assumed")
  {
    const KnownSince assumed{START - Milliseconds(9000), true};
    CHECK_FALSE(versions.Offer({3, assumed}, SWITCH_WITHIN));
    CHECK(versions.Offer({4, assumed}, SWITCH_WITHIN));
    CHECK_FALSE(versions.Offer({4, {START - Milliseconds(8000), true}}, SWITCH_WITHIN));
    CHECK(versions.Offer({4, {START - Milliseconds(8500)}}, SWITCH_WITHIN));
    CHECK(versions.All().at(1).since == KnownSince{START - Milliseconds(8500)});
  }
  SUBCASE("an older version that was missed is inserted")
  {
    CHECK(versions.Offer({2, {START - Milliseconds(2000)}}, SWITCH_WITHIN));
    CHECK(versions.All().at(0).version == 2);
    CHECK(versions.Newest() == 3);
  }
  SUBCASE("a version that a newer one makes irrelevant is ignored")
  {
    CHECK_FALSE(versions.Offer({2, {START}}, SWITCH_WITHIN));
    CHECK(versions.Offer({4, {START + SWITCH_WITHIN}}, SWITCH_WITHIN));
    CHECK_FALSE(versions.Offer({1, {START - Milliseconds(500)}}, SWITCH_WITHIN));
    CHECK(versions.All().size() == 2);
  }
}

// Guards against a limited list that forgets the switch deadline that comes next.
TEST_CASE("Many versions named in a row leave no switch deadline forgotten")
{
  AllNames all;
  auto now = START;
  SUBCASE("five within the time in which a version has to be in use")
  {
    for (std::uint64_t version = 2; version <= 6; ++version, now += Milliseconds(1900))
      all.Offer({version, {now}});
    CHECK(all.IsNoneForgotten(now));
    CHECK(all.versions.RestrictingAt(now, SWITCH_WITHIN).front() == KnownVersion{2, {START}});
    CHECK(all.versions.MergedCount() == 0);
    SUBCASE("until a newer version's deadline has passed, too")
    {
      now = START + SWITCH_WITHIN + Milliseconds(1900);
      CHECK(all.versions.RestrictingAt(now, SWITCH_WITHIN).front().version == 3);
      now += std::chrono::hours(1);
      CHECK(all.versions.RestrictingAt(now, SWITCH_WITHIN).size() == 1);
    }
  }
  SUBCASE("more than are kept: the two that are closest are merged into a stricter one")
  {
    for (std::uint64_t version = 2; version <= 200; ++version, now += Milliseconds(50))
    {
      all.Offer({version, {now}});
      CHECK(all.IsNoneForgotten(now));
      CHECK(all.versions.All().size() <= NamedVersions::MAX_VERSIONS);
    }
    CHECK(all.versions.Newest() == 200);
    CHECK(all.versions.MergedCount() > 0);
    SUBCASE("but none is required earlier by more than a sixth of that time")
    {
      const auto kept = all.versions.RestrictingAt(now, SWITCH_WITHIN);
      for (auto at = now; at <= now + SWITCH_WITHIN; at += Milliseconds(10))
      {
        const auto in_all = AllNames::RequiredAt(all.names, at + SWITCH_WITHIN / 6);
        CHECK(AllNames::RequiredAt(kept, at) <= in_all);
      }
    }
    SUBCASE("a time that was told for a merged version weakens nothing")
    {
      for (std::uint64_t version = 2; version <= 200; ++version)
      {
        all.versions.Offer({version, {START + (version - 2) * Milliseconds(50)}}, SWITCH_WITHIN);
        CHECK(all.IsNoneForgotten(now));
      }
    }
  }
  SUBCASE("long ago: their deadlines have passed, and the newest of them stands for all")
  {
    for (std::uint64_t version = 2; version <= 40; ++version, now += std::chrono::hours(1))
      all.Offer({version, {now}});
    CHECK(all.versions.All().size() <= NamedVersions::MAX_VERSIONS);
    CHECK(all.versions.MergedCount() == 0);
  }
  SUBCASE("a version whose time is assumed stands for none")
  {
    all.Offer({2, {now}});
    now += Milliseconds(1000);
    CHECK(all.versions.Offer({3, {START - SWITCH_WITHIN, true}}, SWITCH_WITHIN));
    CHECK(all.versions.RestrictingAt(now, SWITCH_WITHIN).size() == 2);
    // A process that observed the naming reports its time.
    CHECK(all.versions.Offer({3, {now}}, SWITCH_WITHIN));
    CHECK(all.versions.RestrictingAt(now, SWITCH_WITHIN).front() == KnownVersion{2, {START}});
  }
}
