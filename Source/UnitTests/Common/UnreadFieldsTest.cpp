// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/UnreadFields.h"
#include "UnitTests/Support/LogCapture.h"

using namespace Holdpost::Common;
using Holdpost::Testing::LogCapture;

TEST_CASE("A field that no code reads shows when it first comes")
{
  LogCapture capture;
  UnreadFields unread;
  const KnownFields known({"Content-Type", "Rate"});
  const TimePoint now{std::chrono::hours(2)};
  HttpFields fields;
  fields.Add("content-type", "text/plain");
  fields.Add("RATE", "2");
  fields.Add("Connection", "close");
  unread.NoteUnknown("answer", fields, known, now);
  CHECK(unread.Count() == 0);
  CHECK(capture.Text().empty());

  fields.Add("New-Word", "soon");
  unread.NoteUnknown("answer", fields, known, now);
  CHECK(unread.Count() == 1);
  CHECK(capture.Text().find("\"field.unread\"") != std::string::npos);
  CHECK(capture.Text().find("\"New-Word\"") != std::string::npos);
  CHECK(capture.Text().find("\"soon\"") != std::string::npos);

  SUBCASE("and only then")
  {
    const std::size_t logged = capture.Text().size();
    unread.NoteUnknown("answer", std::map<std::string, std::string>{{"new-word", "later"}}, known,
                       now);
    CHECK(unread.Count() == 1);
    CHECK(capture.Text().size() == logged);
  }
  SUBCASE("and once more in another kind of message")
  {
    unread.NoteUnknown("report", fields, known, now);
    CHECK(unread.Count() == 2);
  }
  SUBCASE("unless a peer makes up names without end")
  {
    for (int i = 0; i < 1000; ++i)
      unread.Note("answer", fmt::format("field-{}", i), std::string(1000, 'x'), now);
    CHECK(unread.Count() == 64);
    CHECK(capture.Text().size() < 64 * 300);
  }
}
