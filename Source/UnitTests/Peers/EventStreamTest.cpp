// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/EventStream.h"

using Holdpost::TargetPeer::EventStream;
using Holdpost::TargetPeer::ResumePoint;

TEST_CASE("Only whole events are passed on")
{
  EventStream stream;
  CHECK(stream.Take("id: 1\ndata: a\n").empty());
  CHECK(stream.HasPartialEvent());
  CHECK(stream.Take("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(stream.LastEvent() == 1);
  CHECK(stream.Take("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(stream.LastEvent() == 2);
  CHECK_FALSE(stream.HasPartialEvent());
}

TEST_CASE("Events end with either kind of line end")
{
  EventStream stream;
  CHECK(stream.Take("id: 7\r\ndata: a\r\n\r\nid: 8\n\n") == "id: 7\r\ndata: a\r\n\r\nid: 8\n\n");
  CHECK(stream.LastEvent() == 8);
}

TEST_CASE("A continued stream leaves out what the caller has")
{
  EventStream stream(ResumePoint{3});
  CHECK(stream.LastEvent() == 3);
  CHECK(stream.Take("id: 2\ndata: x\n\nid: 3\ndata: y\n\nid: 4\ndata: z\n\n") ==
        "id: 4\ndata: z\n\n");
  CHECK(stream.LastEvent() == 4);
}

TEST_CASE("The id is a field, not any text that looks like one")
{
  EventStream stream;
  CHECK(stream.Take("data: id: 99\nid:5\n\n") == "data: id: 99\nid:5\n\n");
  CHECK(stream.LastEvent() == 5);
}

TEST_CASE("The id of an event is its last id field, and the whole of it")
{
  EventStream stream;
  SUBCASE("the last of several")
  {
    stream.Take("id: 3\ndata: a\nid: 4\n\n");
    CHECK(stream.LastEvent() == 4);
  }
  SUBCASE("not the digits before other text")
  {
    stream.Take("id: 3\ndata: a\n\nid: 12ab\ndata: b\n\n");
    CHECK(stream.LastEvent() == 3);
  }
  SUBCASE("not a field whose name begins like it")
  {
    stream.Take("id: 3\ndata: a\nidle: 9\n\n");
    CHECK(stream.LastEvent() == 3);
  }
  SUBCASE("not a number of more than 64 bits")
  {
    stream.Take("id: 3\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n");
    CHECK(stream.LastEvent() == 3);
    stream.Take("id: 18446744073709551615\ndata: c\n\n");
    CHECK(stream.LastEvent() == 18446744073709551615ULL);
  }
  SUBCASE("with either kind of line end")
  {
    stream.Take("data: a\r\nid: 5\r\n\r\n");
    CHECK(stream.LastEvent() == 5);
  }
}

TEST_CASE("A stream is the same wherever its bytes are parted")
{
  const std::string text =
      "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\ndata: id: 7\n\n: idle\n\nid:3\ndata: c\n\n";
  for (std::size_t at = 0; at <= text.size(); ++at)
  {
    EventStream stream;
    std::string passed(stream.Take(text.substr(0, at)));
    passed.append(stream.Take(text.substr(at)));
    CHECK(passed == text);
    CHECK(stream.LastEvent() == 3);
    CHECK_FALSE(stream.HasPartialEvent());
  }
  EventStream stream;
  std::string passed;
  for (const char byte : text)
    passed.append(stream.Take({&byte, 1}));
  CHECK(passed == text);
}

// Guards against continued streams that look whole and lack events.
TEST_CASE("A continued stream goes on with the next id if the ids rose by one before")
{
  EventStream stream(ResumePoint{3, true});
  SUBCASE("with the next event")
  {
    CHECK(stream.Take("id: 3\ndata: x\n\nid: 4\ndata: y\n\n") == "id: 4\ndata: y\n\n");
    CHECK_FALSE(stream.HasGap());
    CHECK(stream.IdsRiseByOne());
  }
  SUBCASE("a gap is told and not passed on")
  {
    CHECK(stream.Take("id: 2\ndata: x\n\nid: 5\ndata: y\n\nid: 6\ndata: z\n\n").empty());
    CHECK(stream.HasGap());
    CHECK(stream.LastEvent() == 3);
  }
  SUBCASE("only the first event is held to it")
  {
    CHECK(stream.Take("id: 4\ndata: y\n\nid: 9\ndata: z\n\n").size() > 0);
    CHECK_FALSE(stream.HasGap());
    CHECK_FALSE(stream.IdsRiseByOne());
  }
}

TEST_CASE("Ids that do not rise by one are continued at any later id")
{
  EventStream first;
  first.Take("id: 10\ndata: a\n\nid: 20\ndata: b\n\n");
  CHECK(first.IsResumable());
  CHECK_FALSE(first.IdsRiseByOne());
  EventStream next(ResumePoint{20, first.IdsRiseByOne()});
  CHECK(next.Take("id: 30\ndata: c\n\n") == "id: 30\ndata: c\n\n");
  CHECK_FALSE(next.HasGap());
  // One event does not tell how the ids rise.
  EventStream single;
  single.Take("id: 1\ndata: a\n\n");
  CHECK_FALSE(single.IdsRiseByOne());
}

TEST_CASE("A stream whose ids do not tell where to go on is not resumable")
{
  const auto is_resumable = [](std::string_view text)
  {
    EventStream stream;
    CHECK(stream.Take(text) == text);
    return stream.IsResumable();
  };
  CHECK(is_resumable("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
  CHECK(is_resumable(": idle\n\nretry: 5\n\nid: 1\ndata: a\n\n"));
  CHECK_FALSE(is_resumable("data: a\n\n"));
  CHECK_FALSE(is_resumable("id: 1\ndata: a\n\ndata: b\n\n"));
  CHECK_FALSE(is_resumable("id: evt-1\ndata: a\n\n"));
  CHECK_FALSE(is_resumable("id: 99999999999999999999\ndata: a\n\n"));
  // Events of a run are passed on as they are.
  CHECK_FALSE(is_resumable("id: 2\ndata: a\n\nid: 2\ndata: b\n\n"));
}
