// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Fixture = GatewayFixture;
using Testing::Only;
using Testing::Take;

// Requests were refused in calm for as long as earlier ones hung at each of the targets.
TEST_CASE("Targets at which requests hang are tried again")
{
  Fixture f;
  // These may not run twice, so they stay where they are.
  for (int i = 0; i < 4; ++i)
    f.Arrive("/book/");
  const auto hanging = Take<Dispatch>(f.actions);
  REQUIRE(hanging.size() == 4);
  REQUIRE(hanging.front().target != hanging.back().target);
  f.Advance(Milliseconds(2000));
  f.actions.clear();

  const RequestNumber probe = f.Arrive("/status/");
  const auto sent = Take<Dispatch>(f.actions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].needs_new_connection);
  CHECK_FALSE(hanging[0].needs_new_connection);

  SUBCASE("by one request each, until it is answered")
  {
    f.Arrive("/status/");
    const auto other = Take<Dispatch>(f.actions);
    REQUIRE(other.size() == 1);
    CHECK(other[0].target != sent[0].target);
    f.Arrive("/status/");
    f.Advance(Milliseconds(30));
    CHECK(Only<Dispatch>(f.actions).empty());
    CHECK(Only<Refuse>(f.actions).size() == 1);
    f.actions.clear();

    SUBCASE("the answer shows that the target runs, whatever hangs there")
    {
      f.Feed(f.Began(probe));
      Take<PassAnswer>(f.actions);
      f.Feed(AnswerEnded{probe, false});
      f.Arrive("/status/");
      const auto next = Take<Dispatch>(f.actions);
      REQUIRE(next.size() == 1);
      CHECK(next[0].target == sent[0].target);
      CHECK_FALSE(next[0].needs_new_connection);
    }
    SUBCASE("without an answer, another request tries it after half a second")
    {
      f.Advance(Milliseconds(450));
      f.Arrive("/status/");
      CHECK(Take<Dispatch>(f.actions).empty());
      f.Advance(Milliseconds(60));
      f.actions.clear();
      f.Arrive("/status/");
      CHECK(Take<Dispatch>(f.actions).size() == 1);
    }
  }
}
