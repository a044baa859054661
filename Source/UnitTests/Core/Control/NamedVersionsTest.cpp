// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Control/NamedVersions.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
}

TEST_CASE("Named versions are kept in order with the earliest time at which one was known")
{
  NamedVersions versions;
  CHECK(versions.Newest() == 0);
  CHECK(versions.Offer({3, {START}}));
  CHECK_FALSE(versions.Offer({3, {START + Milliseconds(500)}}));
  CHECK(versions.All().at(0).since.time == START);

  SUBCASE("another process reports an earlier time")
  {
    CHECK(versions.Offer({3, {START - Milliseconds(600)}}));
    CHECK(versions.All().at(0).since.time == START - Milliseconds(600));
    // A difference within the network delay of a message is not a change.
    CHECK_FALSE(versions.Offer({3, {START - Milliseconds(605)}}));
  }
  SUBCASE("a time that a process observed replaces one that another process assumed")
  {
    const KnownSince assumed{START - Milliseconds(9000), true};
    CHECK_FALSE(versions.Offer({3, assumed}));
    CHECK(versions.Offer({4, assumed}));
    CHECK_FALSE(versions.Offer({4, {START - Milliseconds(8000), true}}));
    CHECK(versions.Offer({4, {START - Milliseconds(8500)}}));
    CHECK(versions.All().at(1).since == KnownSince{START - Milliseconds(8500)});
  }
  SUBCASE("an older version that was missed is inserted")
  {
    CHECK(versions.Offer({2, {START - Milliseconds(2000)}}));
    CHECK(versions.All().at(0).version == 2);
    CHECK(versions.Newest() == 3);
  }
  SUBCASE("only the newest four versions are kept")
  {
    for (std::uint64_t version = 4; version < 10; ++version)
      CHECK(versions.Offer({version, {START}}));
    CHECK(versions.All().size() == 4);
    CHECK(versions.All().at(0).version == 6);
    CHECK_FALSE(versions.Offer({3, {START}}));
  }
}
