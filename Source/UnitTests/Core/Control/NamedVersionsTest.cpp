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

  SUBCASE("news that another process knew of it before")
  {
    CHECK(versions.Offer({3, {START - Milliseconds(600)}}));
    CHECK(versions.All().at(0).since.time == START - Milliseconds(600));
    // What differs by no more than the time that the message was under way is no news.
    CHECK_FALSE(versions.Offer({3, {START - Milliseconds(605)}}));
  }
  SUBCASE("what a process saw counts more than what another one assumed")
  {
    const KnownSince assumed{START - Milliseconds(9000), true};
    CHECK_FALSE(versions.Offer({3, assumed}));
    CHECK(versions.Offer({4, assumed}));
    CHECK_FALSE(versions.Offer({4, {START - Milliseconds(8000), true}}));
    CHECK(versions.Offer({4, {START - Milliseconds(8500)}}));
    CHECK(versions.All().at(1).since == KnownSince{START - Milliseconds(8500)});
  }
  SUBCASE("an older one that was missed")
  {
    CHECK(versions.Offer({2, {START - Milliseconds(2000)}}));
    CHECK(versions.All().at(0).version == 2);
    CHECK(versions.Newest() == 3);
  }
  SUBCASE("only the last few")
  {
    for (std::uint64_t version = 4; version < 10; ++version)
      CHECK(versions.Offer({version, {START}}));
    CHECK(versions.All().size() == 4);
    CHECK(versions.All().at(0).version == 6);
    CHECK_FALSE(versions.Offer({3, {START}}));
  }
}
