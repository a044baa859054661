// SPDX-License-Identifier: Apache-2.0
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/HttpParser.h"
#include "Support/BrokenHeads.h"

using namespace Holdpost::Common;

namespace
{
struct Collected final : HttpParserSink
{
  void OnHead(HttpHead head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageEnd() override { ++ends; }

  std::vector<HttpHead> heads;
  std::string body;
  int ends = 0;
};

// Feeds a text in pieces of the size, keeping what was not consumed, as a connection does.
void FeedInPieces(HttpParser& parser, const std::string& text, std::size_t size)
{
  std::string unread;
  for (std::size_t at = 0; at < text.size(); at += size)
  {
    unread.append(text.substr(at, size));
    unread.erase(0, parser.Feed(unread));
  }
}
} // namespace

TEST_CASE("Requests are parsed however their bytes are cut")
{
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Thing: one\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;e=f\r\ndefg\r\n0\r\n\r\n";
  for (const std::size_t size : {1, 2, 3, 7, 1000})
  {
    INFO("pieces of " << size);
    Collected got;
    HttpParser parser(HttpMessageKind::Request, got);
    FeedInPieces(parser, text, size);
    CHECK(parser.Error() == HttpParseError::None);
    REQUIRE(parser.IsDone());
    REQUIRE(got.heads.size() == 1);
    CHECK(got.heads[0].method == "POST");
    CHECK(got.heads[0].target == "/a/b?c=d");
    CHECK(got.heads[0].framing == BodyFraming::Chunked);
    CHECK(got.heads[0].keeps_alive);
    CHECK(*got.heads[0].fields.Find("x-thing") == "one");
    CHECK(got.body == "abcdefg");
    CHECK(got.ends == 1);
  }
}

TEST_CASE("A parser stops behind each message")
{
  Collected got;
  HttpParser parser(HttpMessageKind::Request, got);
  const std::string text = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::size_t consumed = parser.Feed(text);
  CHECK(consumed == text.size() / 2);
  CHECK(parser.IsDone());
  parser.Restart();
  CHECK(parser.Feed(text.substr(consumed)) == text.size() - consumed);
  CHECK(got.heads[1].target == "/2");
}

TEST_CASE("What could be read in two ways is refused")
{
  const auto error_of = [](const std::string& text)
  {
    Collected got;
    HttpParser parser(HttpMessageKind::Request, got);
    parser.Feed(text);
    return parser.Error();
  };
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  CHECK(error_of(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc") ==
        HttpParseError::Malformed);
  CHECK(error_of(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        HttpParseError::Malformed);
  CHECK(error_of(start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n") ==
        HttpParseError::Malformed);
  CHECK(error_of(start + "Transfer-Encoding: gzip\r\n\r\nabc") == HttpParseError::Malformed);
  CHECK(error_of(start + "Transfer-Encoding: xchunked\r\n\r\nabc") == HttpParseError::Malformed);
  CHECK(error_of(start + "Content-Length: +3\r\n\r\nabc") == HttpParseError::Malformed);
  CHECK(error_of(start + "Content-Length: 3x\r\n\r\nabc") == HttpParseError::Malformed);
  CHECK(error_of("GET / HTTP/1.1\nHost: x\n\n") == HttpParseError::Malformed);
  CHECK(error_of("GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n") == HttpParseError::Malformed);
  CHECK(error_of("GET / HTTP/1.1\r\nHost : x\r\n\r\n") == HttpParseError::Malformed);
  CHECK(error_of(start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n") ==
        HttpParseError::Malformed);
}

namespace
{
void CheckRefused(const std::vector<Holdpost::Testing::BrokenAnswer>& answers)
{
  for (const auto& answer : answers)
  {
    CAPTURE(answer.name);
    for (const bool is_head_method : {false, true})
    {
      CAPTURE(is_head_method);
      for (const std::size_t size : {1, 2, 3, 7, 10000})
      {
        CAPTURE(size);
        Collected got;
        HttpParser parser(HttpMessageKind::Answer, got);
        parser.Restart(is_head_method);
        FeedInPieces(parser, answer.text, size);
        CHECK(parser.Error() == HttpParseError::Malformed);
        CHECK(got.heads.empty());
        CHECK(got.body.empty());
      }
    }
  }
}
} // namespace

// Regression: a status of 600 or more was passed on, and one below 100 was taken for an interim
// one.
TEST_CASE("Answers with a status that HTTP does not have are refused")
{
  CheckRefused(Holdpost::Testing::AnswersWithBrokenStatus("X-Id: r1", "hello"));
  for (const int status : {100, 199, 200, 299, 300, 399, 400, 499, 500, 599})
  {
    CAPTURE(status);
    Collected got;
    HttpParser parser(HttpMessageKind::Answer, got);
    parser.Feed(fmt::format("HTTP/1.1 {} Status\r\nContent-Length: 0\r\n\r\n", status));
    REQUIRE(parser.IsDone());
    CHECK(got.heads.front().status == status);
  }
}

// Regression: a line that begins with a blank became a part of the value of the field before it.
TEST_CASE("Answers with a line that is no field of HTTP are refused")
{
  CheckRefused(Holdpost::Testing::AnswersWithBrokenLine("X-Id: r1", "hello"));
  // Blanks that begin a body are no folded line.
  const std::string text = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\n\r\n a\t";
  for (const std::size_t size : {1, 2, 3, 7, 10000})
  {
    CAPTURE(size);
    Collected got;
    HttpParser parser(HttpMessageKind::Answer, got);
    FeedInPieces(parser, text, size);
    CHECK(parser.IsDone());
    CHECK(got.body == "\r\n a\t");
  }
}

TEST_CASE("Answers with a line behind their last chunk that is no field are never whole")
{
  for (const auto& answer : Holdpost::Testing::AnswersWithBrokenTrailer("X-Id: r1", "hello"))
  {
    CAPTURE(answer.name);
    for (const std::size_t size : {1, 7, 10000})
    {
      Collected got;
      HttpParser parser(HttpMessageKind::Answer, got);
      FeedInPieces(parser, answer.text, size);
      CHECK(parser.Error() == HttpParseError::Malformed);
      CHECK(got.ends == 0);
    }
  }
}

TEST_CASE("Sizes are bounded")
{
  Collected got;
  HttpParser parser(HttpMessageKind::Request, got);
  parser.SetLimits({200, 10});
  SUBCASE("the head")
  {
    parser.Feed("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(300, 'a') + "\r\n\r\n");
    CHECK(parser.Error() == HttpParseError::HeaderTooLarge);
  }
  SUBCASE("a body with a length")
  {
    parser.Feed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
    CHECK(parser.Error() == HttpParseError::BodyTooLarge);
  }
  SUBCASE("a body in chunks")
  {
    parser.Feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n");
    CHECK(parser.Error() == HttpParseError::BodyTooLarge);
  }
}

TEST_CASE("The end of an answer")
{
  Collected got;
  HttpParser parser(HttpMessageKind::Answer, got);
  SUBCASE("lasts until the close where nothing else marks it")
  {
    parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_FALSE(parser.IsDone());
    CHECK(parser.FinishAtClose());
    CHECK(parser.IsDone());
    CHECK(got.body == "abc");
  }
  SUBCASE("is missing when the connection closes too early")
  {
    parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    CHECK_FALSE(parser.FinishAtClose());
  }
  SUBCASE("is missing inside a chunk")
  {
    parser.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc");
    CHECK_FALSE(parser.FinishAtClose());
  }
  SUBCASE("follows the head of an answer to HEAD")
  {
    parser.Restart(true);
    parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    CHECK(parser.IsDone());
  }
}

TEST_CASE("Header fields")
{
  HttpFields fields;
  fields.Add("Connection", "keep-alive, X-Own");
  fields.Add("Number", "12");
  CHECK(fields.HasToken("connection", "x-own"));
  CHECK_FALSE(fields.HasToken("connection", "own"));
  CHECK(fields.FindNumber("number") == 12);
  CHECK_FALSE(fields.FindNumber("connection").has_value());
  CHECK(IsConnectionField("keep-alive"));
  CHECK_FALSE(IsConnectionField("Content-Type"));
  CHECK(ReasonPhrase(503) == "Service Unavailable");
}
