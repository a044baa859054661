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
const Milliseconds COST_PER_REQUEST = Milliseconds(50);
const Milliseconds PENALTY = Milliseconds(25);

// How often each option is chosen in 100 draws.
std::array<int, 4> Chosen(const SpreadParameters& spread)
{
  std::array<int, 4> chosen{};
  for (int i = 0; i < 100; ++i)
    ++chosen[ChooseOption(OPTIONS, spread, (i + 0.5) / 100)];
  return chosen;
}
} // namespace

TEST_CASE("A gateway without competing arrivals chooses the cheapest target")
{
  CHECK(Chosen({0, 0, COST_PER_REQUEST, PENALTY})[1] == 100);
  CHECK(Chosen({3, 0, Milliseconds(0), PENALTY})[1] == 100);
}

TEST_CASE("Targets are chosen in proportion to their shares of the other gateways' arrivals")
{
  // The cheapest target takes 20 ms before its cost reaches that of the next one.
  CHECK(Chosen({0.4, 0, COST_PER_REQUEST, PENALTY})[1] == 100);
  // The arrivals bring 100 ms of work, which raises the cost of the cheapest targets to a common
  // level of 156.7 ms. The first three targets take 6.7, 56.7 and 36.7 ms of the work.
  const auto chosen = Chosen({2, 0, COST_PER_REQUEST, PENALTY});
  CHECK(chosen[0] == 7);
  CHECK(chosen[1] == 56);
  CHECK(chosen[2] == 37);
  CHECK(chosen[3] == 0);
  // With very many arrivals, the shares of all targets are nearly equal.
  for (const int count : Chosen({1000, 0, COST_PER_REQUEST, PENALTY}))
    CHECK(count > 23);
}

TEST_CASE("Gateways of other halls use targets that are much cheaper than all in their own halls")
{
  const std::vector<SpreadOption> options = {{Milliseconds(100), true},
                                             {Milliseconds(150), true},
                                             {Milliseconds(175), false},
                                             {Milliseconds(175), false}};
  const auto share_of_first = [&](double other_halls_arrivals)
  {
    int first = 0;
    for (int i = 0; i < 100; ++i)
      first += ChooseOption(options, {0.4, other_halls_arrivals, COST_PER_REQUEST, PENALTY},
                            (i + 0.5) / 100) == 0;
    return first;
  };
  CHECK(share_of_first(0) == 100);
  // Two requests of other halls would raise the first target to 25 ms above the others: it gets no
  // more than its share.
  CHECK(share_of_first(2) < 95);
  CHECK(share_of_first(20) < 70);
}

TEST_CASE("No more requests are admitted than the targets can start in time")
{
  const Milliseconds limit(200);
  // Up to a cost of 200 ms, the targets have capacity for 50 + 100 + 80 ms of work: 4.6 requests.
  CHECK(AdmittedShare(OPTIONS, {0, 0, COST_PER_REQUEST, PENALTY}, limit) == 1);
  CHECK(AdmittedShare(OPTIONS, {3, 0, COST_PER_REQUEST, PENALTY}, limit) == 1);
  CHECK(AdmittedShare(OPTIONS, {8.2, 0, COST_PER_REQUEST, PENALTY}, limit) == doctest::Approx(0.5));

  SUBCASE("a gateway without competing arrivals may use the last capacity")
  {
    CHECK(AdmittedShare(OPTIONS, {0, 0, COST_PER_REQUEST, PENALTY}, Milliseconds(110)) == 1);
  }
  SUBCASE("a service without published times admits all requests")
  {
    CHECK(AdmittedShare(OPTIONS, {0, 0, Milliseconds(0), PENALTY}, limit) == 1);
  }
}
