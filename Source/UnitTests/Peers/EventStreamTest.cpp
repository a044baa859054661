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
