// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/EventStream.h"

using Holdpost::TargetPeer::EventStream;

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
  EventStream stream(3);
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
