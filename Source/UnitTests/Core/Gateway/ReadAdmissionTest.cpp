// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "Core/Gateway/ReadAdmission.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Common::Milliseconds;

namespace
{
constexpr std::size_t MIB = 1 << 20;
// Of a connection, in one turn of the loop.
constexpr std::size_t READ_BYTES = MIB / 4;

// Callers that send, with the memory that they take.
struct Fixture
{
  ReadDecision Read(ReadNumber number, std::size_t read, std::size_t whole)
  {
    partial[number] = read;
    const ReadDecision decision =
        admission.OnRead(number, {read, whole - read}, Held(), start + time);
    if (decision == ReadDecision::Refuse)
      partial.erase(number);
    return decision;
  }
  // The request is whole, and is held until its answer ends.
  void Finish(ReadNumber number, std::size_t bytes)
  {
    admission.OnReadEnded(number);
    partial.erase(number);
    whole += bytes;
  }
  ReadAdmission::Changes Review()
  {
    ReadAdmission::Changes changes = admission.Review(Held(), start + time);
    for (const ReadNumber number : changes.refused)
      partial.erase(number);
    return changes;
  }
  std::size_t Held() const
  {
    std::size_t held = whole;
    for (const auto& [number, bytes] : partial)
      held += bytes;
    return held;
  }

  ReadAdmission admission{100 * MIB};
  Common::TimePoint start{std::chrono::hours(1)};
  Common::Duration time{0};
  std::map<ReadNumber, std::size_t> partial;
  std::size_t whole = 0;
};
} // namespace

// Guards against a gateway that takes in more than its memory when many callers send at once.
TEST_CASE("Requests are read as long as there is memory")
{
  Fixture f;
  for (ReadNumber number = 1; number <= 37; ++number)
    CHECK(f.Read(number, 2 * MIB, 4 * MIB) == ReadDecision::ReadOn);
  CHECK(!f.admission.IsShort());

  SUBCASE("then as many of the first as are sure to fit, and the others are held back")
  {
    CHECK(f.Read(38, 2 * MIB, 4 * MIB) == ReadDecision::HoldBack);
    CHECK(f.admission.IsShort());
    // 76 of 90 MiB are held, so 7 of the first can take 2 MiB more.
    CHECK(f.Read(7, 2 * MIB, 4 * MIB) == ReadDecision::ReadOn);
    CHECK(f.Read(8, 2 * MIB, 4 * MIB) == ReadDecision::HoldBack);

    SUBCASE("until memory is freed")
    {
      f.partial.clear();
      const auto changes = f.Review();
      CHECK(changes.read_on == std::vector<ReadNumber>{8, 38});
      CHECK(changes.refused.empty());
      CHECK(!f.admission.IsShort());
    }
    SUBCASE("until an earlier one has become whole and ended")
    {
      f.Finish(1, 0);
      f.Finish(2, 0);
      CHECK(f.Review().read_on == std::vector<ReadNumber>{8});
      CHECK(f.admission.IsShort());
    }
    SUBCASE("but not for long: the last are refused in time to go elsewhere, and the others go on")
    {
      // All of them still send.
      for (const int ms : {200, 400, 499})
      {
        f.time = Milliseconds(ms);
        for (ReadNumber number = 1; number <= 38; ++number)
          f.Read(number, 2 * MIB, 4 * MIB);
        CHECK(f.Review().refused.empty());
      }
      f.time = Milliseconds(500);
      const auto changes = f.Review();
      CHECK(changes.refused == std::vector<ReadNumber>{38, 37, 36, 35, 34, 33});
      CHECK(changes.read_on.size() == 25);
      CHECK(!f.admission.IsShort());
    }
    SUBCASE("and those of which nothing more comes are refused first")
    {
      f.time = Milliseconds(250);
      // The last one sends, and is let in as soon as the first have made room.
      CHECK(f.Read(38, 2 * MIB, 4 * MIB) == ReadDecision::ReadOn);
      const auto changes = f.Review();
      CHECK(changes.refused == std::vector<ReadNumber>{1, 2, 3, 4, 5, 6});
      CHECK(f.partial.contains(38));
    }
    SUBCASE("and small ones are read meanwhile")
    {
      CHECK(f.Read(100, 60 << 10, 64 << 10) == ReadDecision::ReadOn);
      CHECK(f.Read(101, 200, 400) == ReadDecision::ReadOn);
    }
    SUBCASE("and callers that never finish keep their memory for a second at most")
    {
      f.time = Milliseconds(1000);
      f.Review();
      CHECK(f.partial.empty());
      CHECK(f.Read(200, 2 * MIB, 4 * MIB) == ReadDecision::ReadOn);
    }
  }
}

TEST_CASE("A request that can never fit is refused at once")
{
  Fixture f;
  CHECK(f.Read(1, 1, 91 * MIB) == ReadDecision::Refuse);
  CHECK(f.Read(2, 1, 90 * MIB) == ReadDecision::ReadOn);
}

// Guards against small requests that are refused since large ones were let in until all memory was
// used.
TEST_CASE("Large requests leave room for small ones")
{
  Fixture f;
  for (ReadNumber number = 1; number <= 25; ++number)
    f.Read(number, 3 * MIB, 4 * MIB);
  for (ReadNumber number = 1; number <= 25; ++number)
  {
    if (f.Read(number, 3 * MIB + MIB / 2, 4 * MIB) == ReadDecision::ReadOn)
      f.Finish(number, 4 * MIB);
  }
  CHECK(f.whole > 0);
  CHECK(f.Held() <= 95 * MIB);
  CHECK(f.Read(100, 1000, 2000) == ReadDecision::ReadOn);
}

TEST_CASE("When all memory is used nothing more is taken in, and the largest request that is not "
          "whole goes first")
{
  Fixture f;
  f.Read(1, 3 * MIB, 4 * MIB);
  f.Read(2, 2 * MIB, 4 * MIB);
  f.whole = 96 * MIB;
  CHECK(f.Read(3, 1000, 2000) == ReadDecision::Refuse);
  CHECK(f.Read(4, MIB, 4 * MIB) == ReadDecision::Refuse);
  CHECK(f.admission.IsFull(f.Held()));
  CHECK(f.Review().refused == std::vector<ReadNumber>{1});
  CHECK(!f.admission.IsFull(f.Held()));
  CHECK(f.Read(5, 1000, 2000) == ReadDecision::ReadOn);
}

TEST_CASE("Requests that are not whole do not wait for one another's memory")
{
  // They hold all memory that there is before it is short, and few or none of them fit.
  for (const std::size_t size : {8 * MIB, 40 * MIB})
  {
    CAPTURE(size);
    Fixture f;
    std::set<ReadNumber> reading;
    for (ReadNumber number = 1; number <= 25; ++number)
    {
      if (f.Read(number, 3 * MIB, size) == ReadDecision::ReadOn)
        reading.insert(number);
    }
    std::size_t finished = 0;
    std::size_t refused = 0;
    for (int step = 0; step < 4000 && !f.partial.empty(); ++step)
    {
      f.time += Milliseconds(10);
      for (const ReadNumber number : std::set(reading))
      {
        const std::size_t bytes = std::min(f.partial[number] + READ_BYTES, size);
        if (bytes == size)
        {
          f.Finish(number, 0);
          reading.erase(number);
          ++finished;
          continue;
        }
        const ReadDecision decision = f.Read(number, bytes, size);
        refused += decision == ReadDecision::Refuse ? 1 : 0;
        if (decision != ReadDecision::ReadOn)
          reading.erase(number);
        CHECK(f.Held() <= 95 * MIB);
      }
      const auto changes = f.Review();
      refused += changes.refused.size();
      for (const ReadNumber number : changes.refused)
        reading.erase(number);
      reading.insert(changes.read_on.begin(), changes.read_on.end());
    }
    CHECK(f.partial.empty());
    CHECK(finished + refused == 25);
    CHECK(finished >= (size == 8 * MIB ? 20 : 1));
  }
}
