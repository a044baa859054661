// SPDX-License-Identifier: Apache-2.0
#include <array>

#include <doctest/doctest.h>

#include "Core/Gateway/SpreadChoice.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

namespace
{
const std::vector<SpreadOption> OPTIONS = {{Milliseconds(150), true},
                                           {Milliseconds(100), true},
                                           {Milliseconds(120), true},
                                           {Milliseconds(400), true}};
const Milliseconds ONE = Milliseconds(50);
const Milliseconds PENALTY = Milliseconds(25);

// How often each is chosen of a hundred draws.
std::array<int, 4> Chosen(const Spread& spread)
{
  std::array<int, 4> chosen{};
  for (int i = 0; i < 100; ++i)
    ++chosen[ChooseSpread(OPTIONS, spread, (i + 0.5) / 100)];
  return chosen;
}
} // namespace

TEST_CASE("Alone a gateway takes the cheapest target")
{
  CHECK(Chosen({0, 0, ONE, PENALTY})[1] == 100);
  CHECK(Chosen({3, 0, Milliseconds(0), PENALTY})[1] == 100);
}

TEST_CASE("Targets are chosen as far as the arrivals of others fill them up")
{
  // 20 ms are filled into the cheapest one before the next one is as cheap.
  CHECK(Chosen({0.4, 0, ONE, PENALTY})[1] == 100);
  // 100 ms: a level of 156.7 ms, of which the first three take 6.7, 56.7 and 36.7.
  const auto chosen = Chosen({2, 0, ONE, PENALTY});
  CHECK(chosen[0] == 7);
  CHECK(chosen[1] == 56);
  CHECK(chosen[2] == 37);
  CHECK(chosen[3] == 0);
  // With very many all are nearly alike.
  for (const int count : Chosen({1000, 0, ONE, PENALTY}))
    CHECK(count > 23);
}

TEST_CASE("Gateways of other halls come for what is much cheaper than anything near to them")
{
  const std::vector<SpreadOption> options = {{Milliseconds(100), true},
                                             {Milliseconds(150), true},
                                             {Milliseconds(175), false},
                                             {Milliseconds(175), false}};
  const auto share_of_first = [&](double far_arrivals)
  {
    int first = 0;
    for (int i = 0; i < 100; ++i)
      first += ChooseSpread(options, {0.4, far_arrivals, ONE, PENALTY}, (i + 0.5) / 100) == 0;
    return first;
  };
  CHECK(share_of_first(0) == 100);
  // Two of them fill the first up to 25 ms over the others: it gets no more than its share.
  CHECK(share_of_first(2) < 95);
  CHECK(share_of_first(20) < 70);
}

TEST_CASE("No more is admitted than targets can begin in time")
{
  const Milliseconds limit(200);
  // Up to 200 ms there is room for 50 + 100 + 80 ms of work: 4.6 requests.
  CHECK(AdmittedPart(OPTIONS, {0, 0, ONE, PENALTY}, limit) == 1);
  CHECK(AdmittedPart(OPTIONS, {3, 0, ONE, PENALTY}, limit) == 1);
  CHECK(AdmittedPart(OPTIONS, {8.2, 0, ONE, PENALTY}, limit) == doctest::Approx(0.5));

  SUBCASE("alone a gateway may use what little there is")
  {
    CHECK(AdmittedPart(OPTIONS, {0, 0, ONE, PENALTY}, Milliseconds(110)) == 1);
  }
  SUBCASE("services without published times take what comes")
  {
    CHECK(AdmittedPart(OPTIONS, {0, 0, Milliseconds(0), PENALTY}, limit) == 1);
  }
}
