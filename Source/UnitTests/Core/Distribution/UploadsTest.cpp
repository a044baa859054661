// SPDX-License-Identifier: Apache-2.0
#include <deque>

#include <doctest/doctest.h>

#include "Core/Distribution/LinkTracker.h"
#include "Core/Distribution/Uploads.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Distribution;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
}

TEST_CASE("Uploads with a limit on unconfirmed pieces")
{
  Uploads uploads;
  uploads.SetLimits(0, LinkPacing::Budget, 64, Milliseconds(1000));
  uploads.SetMaxUnconfirmed(2, Milliseconds(30));
  Actions actions;
  for (RequestTag tag = 1; tag <= 4; ++tag)
    uploads.Add(tag, Common::MakeBytes(std::string(1000, 'x')), false, START, &actions);
  CHECK(Take<AnswerPiece>(actions).size() == 2);

  SUBCASE("the next piece is sent when a receiver confirms one")
  {
    uploads.Remove(1, START + Milliseconds(40));
    uploads.Advance(START + Milliseconds(40), &actions);
    CHECK(Take<AnswerPiece>(actions).at(0).tag == 3);
  }
  SUBCASE("no wake-up is scheduled before a piece can be sent")
  {
    REQUIRE(uploads.NextWakeup().has_value());
    CHECK(*uploads.NextWakeup() > START + Milliseconds(500));
  }
  SUBCASE("a receiver that confirms nothing stops blocking the uploads after a limited time")
  {
    uploads.Advance(START + Milliseconds(2000), &actions);
    CHECK(Take<AnswerPiece>(actions).size() == 2);
  }
}

TEST_CASE("An urgent piece for another hall is sent first and is not refused")
{
  Uploads uploads;
  uploads.SetLimits(0, LinkPacing::Budget, 2, Milliseconds(1000));
  uploads.SetMaxUnconfirmed(1, Milliseconds(30));
  Actions actions;
  for (RequestTag tag = 1; tag <= 4; ++tag)
    uploads.Add(tag, Common::MakeBytes("x"), false, START, &actions);
  // One piece is unconfirmed, two are queued, and the fourth request is refused.
  CHECK(Take<AnswerPiece>(actions).size() == 2);
  uploads.Add(5, Common::MakeBytes("x"), true, START, &actions);
  CHECK(Take<AnswerPiece>(actions).empty());
  uploads.Remove(1, START + Milliseconds(30));
  uploads.Advance(START + Milliseconds(30), &actions);
  CHECK(Take<AnswerPiece>(actions).at(0).tag == 5);
}

TEST_CASE("A piece that its receiver no longer waits for does not delay the pieces behind it")
{
  Uploads uploads;
  uploads.SetLimits(1'000'000, LinkPacing::Wire, 3, Milliseconds(300));
  uploads.SetMaxUnconfirmed(1, Milliseconds(1));
  Actions actions;
  for (RequestTag tag = 1; tag <= 3; ++tag)
    uploads.Add(tag, Common::MakeBytes(std::string(1000, 'x')), false, START, &actions);
  CHECK(Take<AnswerPiece>(actions).at(0).tag == 1);
  // The second piece is due and waits only for the confirmation of the first.
  const Common::TimePoint later = START + Milliseconds(900);
  uploads.Remove(2, later);
  uploads.Remove(1, later);
  uploads.Advance(later, &actions);
  const auto sent = Take<AnswerPiece>(actions);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].tag == 3);
}

TEST_CASE("On a narrow link, uploads pause after transfers")
{
  Uploads uploads;
  uploads.SetLimits(0, LinkPacing::Budget, 64, Milliseconds(1000));
  uploads.SetMaxUnconfirmed(4, Milliseconds(30));
  Actions actions;
  Common::TimePoint now = START;
  for (RequestTag tag = 1; tag <= 4; ++tag)
    uploads.Add(tag, Common::MakeBytes("x"), false, now, &actions);
  Take<AnswerPiece>(actions);
  SUBCASE("that end at the same time because they share the link")
  {
    now += Milliseconds(1100);
    for (RequestTag tag = 1; tag <= 4; ++tag)
      uploads.Remove(tag, now);
  }
  SUBCASE("that end one after another while further pieces are sent")
  {
    for (RequestTag tag = 5; tag <= 8; ++tag)
      uploads.Add(tag, Common::MakeBytes("x"), false, now, &actions);
    std::deque<RequestTag> in_flight = {1, 2, 3, 4};
    while (!in_flight.empty())
    {
      now += Milliseconds(275);
      uploads.Remove(in_flight.front(), now);
      in_flight.pop_front();
      uploads.Advance(now, &actions);
      for (const AnswerPiece& answer : Take<AnswerPiece>(actions))
        in_flight.push_back(answer.tag);
    }
  }
  for (RequestTag tag = 21; tag <= 24; ++tag)
    uploads.Add(tag, Common::MakeBytes("x"), false, now, &actions);
  CHECK(Take<AnswerPiece>(actions).empty());
  uploads.Advance(now + Milliseconds(600), &actions);
  CHECK(Take<AnswerPiece>(actions).size() == 1);
}

TEST_CASE("A link is narrow if nearly all transfers on it are slow")
{
  LinkTracker tracker;
  tracker.SetPieceTime(Milliseconds(30));
  Common::TimePoint now = START;
  const auto transfers = [&](std::initializer_list<int> times, std::size_t concurrent)
  {
    for (const int ms : times)
    {
      now += Milliseconds(100);
      tracker.OnTransfer(Milliseconds(ms), concurrent, now);
    }
  };
  SUBCASE("three slow transfers are needed to detect it")
  {
    transfers({500, 600}, 1);
    CHECK_FALSE(tracker.IsNarrow(now));
    transfers({450}, 1);
    CHECK(tracker.IsNarrow(now));
    CHECK(tracker.NarrowLinkPieceTime(now) == Milliseconds(450));
  }
  SUBCASE("the link is narrow although one transfer in four was fast")
  {
    transfers({500, 600, 450, 60}, 1);
    CHECK(tracker.IsNarrow(now));
    CHECK(tracker.NarrowLinkPieceTime(now) == Milliseconds(450));
  }
  SUBCASE("two fast transfers in five show that the link is not narrow")
  {
    transfers({500, 600, 450, 60, 60}, 1);
    CHECK_FALSE(tracker.IsNarrow(now));
    CHECK(tracker.NarrowLinkPieceTime(now) == Milliseconds(0));
  }
  SUBCASE("transfers that share the links at both ends do not make the link narrow")
  {
    transfers({180, 180, 180, 180}, 1);
    transfers({320, 320, 320, 320}, 5);
    CHECK_FALSE(tracker.IsNarrow(now));
  }
  SUBCASE("the piece time is the duration divided by the number of concurrent transfers")
  {
    transfers({1500, 1500, 1500}, 5);
    CHECK(tracker.NarrowLinkPieceTime(now) == Milliseconds(300));
  }
  SUBCASE("expired samples say nothing about the link")
  {
    transfers({500, 600, 450}, 1);
    CHECK_FALSE(tracker.IsNarrow(now + Milliseconds(11000)));
  }
}
