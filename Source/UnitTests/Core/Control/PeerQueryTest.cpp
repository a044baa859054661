// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Control/PeerQuery.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Address;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const Address FIRST{"10.1.0.4", 7700};
const Address SECOND{"10.2.0.4", 7700};
} // namespace

TEST_CASE("Peers are asked only while the platform does not answer")
{
  PeerQuery query({FIRST, SECOND});

  SUBCASE("it answers from the start")
  {
    CHECK_FALSE(query.OnTick(true, Knowledge::Partial, START).has_value());
    CHECK(query.NextWakeup() == Common::TimePoint::max());
  }
  SUBCASE("it is silent: after a head start one peer after the other, again and again")
  {
    CHECK_FALSE(query.OnTick(false, Knowledge::Partial, START).has_value());
    const auto first_due = query.NextWakeup();
    CHECK(first_due - START <= Milliseconds(500));
    CHECK(query.OnTick(false, Knowledge::Partial, first_due) == FIRST);
    CHECK_FALSE(query.OnTick(false, Knowledge::Partial, first_due).has_value());
    CHECK(query.OnTick(false, Knowledge::Partial, query.NextWakeup()) == SECOND);
    CHECK(query.OnTick(false, Knowledge::Partial, query.NextWakeup()) == FIRST);
  }
  SUBCASE("what is known already is renewed less often")
  {
    query.OnTick(false, Knowledge::Whole, START);
    const auto due = query.NextWakeup();
    CHECK(query.OnTick(false, Knowledge::Whole, due).has_value());
    CHECK(query.NextWakeup() - due >= Milliseconds(1000));
  }
  SUBCASE("it answers again: nobody is asked")
  {
    query.OnTick(false, Knowledge::Partial, START);
    const auto due = query.NextWakeup();
    CHECK_FALSE(query.OnTick(true, Knowledge::Partial, due).has_value());
    CHECK(query.NextWakeup() == Common::TimePoint::max());
  }
  SUBCASE("nobody is known: nothing is asked")
  {
    PeerQuery alone({});
    CHECK_FALSE(alone.OnTick(false, Knowledge::Partial, START).has_value());
    CHECK(alone.NextWakeup() == Common::TimePoint::max());
  }
}
