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

  SUBCASE("the platform answers from the start: no peer is asked")
  {
    CHECK_FALSE(query.OnTick(true, Knowledge::Partial, START).has_value());
    CHECK(query.NextWakeup() == Common::TimePoint::max());
  }
  SUBCASE("the platform does not answer: after a delay the peers are asked in turn, repeatedly")
  {
    CHECK_FALSE(query.OnTick(false, Knowledge::Partial, START).has_value());
    const auto first_due = query.NextWakeup();
    CHECK(first_due - START <= Milliseconds(500));
    CHECK(query.OnTick(false, Knowledge::Partial, first_due) == FIRST);
    CHECK_FALSE(query.OnTick(false, Knowledge::Partial, first_due).has_value());
    CHECK(query.OnTick(false, Knowledge::Partial, query.NextWakeup()) == SECOND);
    CHECK(query.OnTick(false, Knowledge::Partial, query.NextWakeup()) == FIRST);
  }
  SUBCASE("a process that already knows the state asks less often")
  {
    query.OnTick(false, Knowledge::Whole, START);
    const auto due = query.NextWakeup();
    CHECK(query.OnTick(false, Knowledge::Whole, due).has_value());
    CHECK(query.NextWakeup() - due >= Milliseconds(1000));
  }
  SUBCASE("the platform answers again: no peer is asked any more")
  {
    query.OnTick(false, Knowledge::Partial, START);
    const auto due = query.NextWakeup();
    CHECK_FALSE(query.OnTick(true, Knowledge::Partial, due).has_value());
    CHECK(query.NextWakeup() == Common::TimePoint::max());
  }
  SUBCASE("no peer is known: nothing is asked")
  {
    PeerQuery alone({});
    CHECK_FALSE(alone.OnTick(false, Knowledge::Partial, START).has_value());
    CHECK(alone.NextWakeup() == Common::TimePoint::max());
  }
}
