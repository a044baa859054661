// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/HttpClient.h"
#include "Common/HttpParser.h"
#include "Support/CutAnswers.h"

using namespace Holdpost;
using Common::HttpCall;
using Common::HttpMessageKind;
using Common::HttpParseError;
using Common::HttpParser;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Result;
using Testing::AllCutsOf;
using Testing::CutBy;
using Testing::CutPlan;
using Testing::CuttingServer;
using Testing::Describe;
using Testing::FakeServer;
using Testing::MarkedAnswers;
using Testing::RunFor;
using Testing::RunUntil;
using Testing::WholeAnswer;

// --- the parser ---

namespace
{
struct Collected final : Common::HttpParserSink
{
  void OnHead(Common::HttpHead /*head*/) override { ++heads; }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageEnd() override { ++ends; }

  int heads = 0;
  std::string body;
  int ends = 0;
};

// What a parser makes of an answer that was followed by a close.
struct Parsed
{
  bool is_whole = false;
  std::string body;
};

// Interim answers are skipped, as a client skips them.
Parsed ParseAnswer(const std::string& text, std::size_t piece, bool is_head_method = false)
{
  static constexpr std::string_view INTERIM = "HTTP/1.1 1";
  Collected got;
  HttpParser parser(HttpMessageKind::Answer, got);
  parser.Restart(is_head_method);
  std::string unread;
  bool is_interim = text.starts_with(INTERIM);
  for (std::size_t at = 0; at < text.size(); at += piece)
  {
    unread.append(text.substr(at, piece));
    unread.erase(0, parser.Feed(unread));
    if (!parser.IsDone() || !is_interim)
      continue;
    is_interim = false;
    got = {};
    parser.Restart(is_head_method);
    unread.erase(0, parser.Feed(unread));
  }
  const bool is_whole = parser.FinishAtClose() && !is_interim;
  CHECK((got.ends == 1) == is_whole);
  return {is_whole, got.body};
}
} // namespace

TEST_CASE("A parser takes no answer for whole that is cut at any of its bytes")
{
  for (const WholeAnswer& answer : MarkedAnswers("Holdpost-Request-Id: r1\r\n"))
  {
    CAPTURE(answer.name);
    for (const std::size_t piece : {1, 7, 10000})
    {
      std::size_t taken_for_whole = 0;
      for (std::size_t size = 0; size < answer.text.size(); ++size)
        taken_for_whole += ParseAnswer(answer.text.substr(0, size), piece).is_whole ? 1 : 0;
      CHECK(taken_for_whole == 0);
      const Parsed all = ParseAnswer(answer.text, piece);
      CHECK(all.is_whole);
      CHECK(all.body == answer.body);
    }
  }
}

TEST_CASE("A parser takes no head for whole that is cut where the body lasts until the close")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size)
    CHECK_FALSE(ParseAnswer(head.substr(0, size), 1).is_whole);
}

TEST_CASE("A parser takes no head for whole that is cut where no body follows it")
{
  struct BodilessAnswer
  {
    std::string head;
    bool is_head_method;
  };
  const std::vector<BodilessAnswer> answers = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", true},
      {"HTTP/1.1 204 No Content\r\nX-One: 1\r\n\r\n", false},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n", false},
  };
  for (const BodilessAnswer& answer : answers)
  {
    CAPTURE(answer.head);
    for (std::size_t size = 0; size < answer.head.size(); ++size)
      CHECK_FALSE(ParseAnswer(answer.head.substr(0, size), 1, answer.is_head_method).is_whole);
    CHECK(ParseAnswer(answer.head, 1, answer.is_head_method).is_whole);
  }
}

namespace
{
// Heads that name no one length, with bytes that some reading of them takes for the whole body.
const std::vector<std::string> UNCLEAR_ANSWERS = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-One: 1\r\ncontent-length: 2\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nContent-Length: 2, 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nContent-Length: -0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nContent-Length: 2 4\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nContent-Length: 2.0\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 00\r\n\r\nb",
    "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\nb",
    "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 4294967296\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nbo",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200",
    "200 OK\r\nContent-Length: 0\r\n\r\n",
};
} // namespace

TEST_CASE("A parser refuses answers whose length can be read in two ways")
{
  for (const std::string& text : UNCLEAR_ANSWERS)
  {
    CAPTURE(text);
    CHECK_FALSE(ParseAnswer(text, 10000).is_whole);
    CHECK_FALSE(ParseAnswer(text, 1).is_whole);
  }
  CHECK_FALSE(
      ParseAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+0\r\n\r\n", 1).is_whole);
}

// --- the client ---

namespace
{
std::string Answer(const std::string& body)
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

// The answers to calls, one for each plan, which are all made at the same time.
std::vector<std::optional<HttpReply>> AnswersTo(const std::vector<CutPlan>& plans)
{
  // So that some are over, and their connections kept, when others begin.
  static constexpr std::size_t AT_ONCE = 25;
  Common::EventLoop loop;
  CuttingServer server(loop, plans);
  Common::HttpClient client(loop);
  std::vector<std::optional<HttpReply>> replies(plans.size());
  std::size_t ended = 0;
  for (std::size_t number = 0; number < plans.size(); ++number)
  {
    HttpCall call;
    call.to = server.Address();
    call.path = fmt::format("/{}", number);
    call.may_reuse_connection = number % 2 == 0;
    client.Start(std::move(call), {[&ended, &reply = replies[number]](Result<HttpReply> result)
                                   {
                                     ++ended;
                                     if (auto* whole = std::get_if<HttpReply>(&result))
                                       reply = std::move(*whole);
                                   }});
    if (number % AT_ONCE == 0)
      RunFor(loop, Milliseconds(5));
  }
  REQUIRE(RunUntil(loop, [&] { return ended == plans.size(); }));
  return replies;
}
} // namespace

TEST_CASE("A client takes no answer for whole that is cut at any of its bytes")
{
  for (const WholeAnswer& answer : MarkedAnswers(""))
  {
    CAPTURE(answer.name);
    std::vector<CutPlan> plans = AllCutsOf(answer.text);
    const std::size_t cuts = plans.size();
    plans.push_back({answer.text, CutBy::Nothing, 1});
    plans.push_back({answer.text, CutBy::Nothing, 3});
    const auto replies = AnswersTo(plans);
    std::size_t taken_for_whole = 0;
    for (std::size_t i = 0; i < cuts; ++i)
    {
      CHECK_MESSAGE(!replies[i], Describe(plans[i]));
      taken_for_whole += replies[i] ? 1 : 0;
    }
    MESSAGE(answer.name << ": " << taken_for_whole << " of " << cuts << " cuts taken for whole");
    for (std::size_t i = cuts; i < plans.size(); ++i)
    {
      REQUIRE(replies[i]);
      CHECK(replies[i]->body == answer.body);
    }
  }
}

TEST_CASE("A client takes no answer for whole that ends with its connection")
{
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbody";
  std::vector<CutPlan> plans = AllCutsOf(text);
  plans.push_back({text, CutBy::Close, 1});
  for (const auto& reply : AnswersTo(plans))
    CHECK_FALSE(reply);
}

// Regression: two lengths, signs and codings that are not known were taken for a whole answer.
TEST_CASE("A client takes no answer for whole whose length can be read in two ways")
{
  std::vector<CutPlan> plans;
  plans.reserve(UNCLEAR_ANSWERS.size());
  for (const std::string& text : UNCLEAR_ANSWERS)
    plans.push_back({text, CutBy::Close, 1});
  const auto replies = AnswersTo(plans);
  for (std::size_t i = 0; i < plans.size(); ++i)
  {
    CAPTURE(plans[i].text);
    CHECK_FALSE(replies[i]);
  }
}

// Regression: the fields of an interim answer counted for the answer behind it, and all but one
// kind of them were taken for the answer.
TEST_CASE("A client takes no interim answer for the answer, nor its fields")
{
  for (const std::string interim : {"100 Continue", "102 Processing", "103 Early Hints"})
  {
    for (const std::string field : {"", "Content-Length: 0\r\n", "Content-Length: 2\r\n"})
    {
      CAPTURE(interim);
      CAPTURE(field);
      Common::EventLoop loop;
      const std::string text =
          fmt::format("HTTP/1.1 {}\r\nX-One: 1\r\n{}\r\n", interim, field) + Answer("body");
      CuttingServer server(loop, {{text, CutBy::Nothing, 1}});
      Common::HttpClient client(loop);
      std::optional<Result<HttpReply>> result;
      std::vector<int> heads;
      HttpCall call;
      call.to = server.Address();
      call.path = "/0";
      client.Start(std::move(call),
                   {[&result](Result<HttpReply> got) { result = std::move(got); },
                    [&heads](int status, const Common::HttpHeaders&) { heads.push_back(status); }});
      REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
      REQUIRE(std::holds_alternative<HttpReply>(*result));
      const auto& reply = std::get<HttpReply>(*result);
      CHECK(reply.status == 200);
      CHECK(reply.body == "body");
      CHECK_FALSE(reply.headers.contains("x-one"));
      CHECK(heads == std::vector<int>{200});
    }
  }
}

namespace
{
// A client that makes calls one after the other on a connection that is kept.
struct KeptConnection
{
  explicit KeptConnection(std::vector<std::string> answers_in_order)
      : answers(std::move(answers_in_order))
  {
  }
  // The body of the next answer; "failed" if there is none.
  std::string Ask()
  {
    std::optional<Result<HttpReply>> result;
    HttpCall call;
    call.to = server.Address();
    call.path = "/";
    call.idle_timeout = Milliseconds(300);
    call.may_reuse_connection = true;
    client.Start(std::move(call), {[&result](Result<HttpReply> got) { result = std::move(got); }});
    REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
    const auto* reply = std::get_if<HttpReply>(&*result);
    return reply ? reply->body : "failed";
  }

  Common::EventLoop loop;
  std::vector<std::string> answers;
  std::size_t next = 0;
  FakeServer server{loop, [this](Common::TcpConnection& connection, const std::string& bytes)
                    {
                      if (bytes.ends_with("\r\n\r\n") && next < answers.size())
                        connection.Write(answers[next++]);
                    }};
  Common::HttpClient client{loop};
};

} // namespace

// Regression: bytes behind a whole answer were taken for the answer to the next call.
TEST_CASE("Bytes behind a whole answer are no answer to the next call")
{
  const std::string surplus = Answer("surplus");
  SUBCASE("that came with it, up to any byte")
  {
    for (std::size_t size = 1; size <= surplus.size(); ++size)
    {
      CAPTURE(size);
      KeptConnection kept({Answer("one") + surplus.substr(0, size), Answer("two")});
      CHECK(kept.Ask() == "one");
      CHECK(kept.Ask() == "two");
    }
  }
  SUBCASE("behind one that has no body")
  {
    KeptConnection kept(
        {"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n" + surplus, Answer("two")});
    CHECK(kept.Ask() == "");
    CHECK(kept.Ask() == "two");
  }
  SUBCASE("that came later")
  {
    KeptConnection kept({Answer("one"), Answer("two")});
    CHECK(kept.Ask() == "one");
    kept.server.Connection(0).Write(surplus);
    RunFor(kept.loop, Milliseconds(20));
    CHECK(kept.Ask() == "two");
  }
}

TEST_CASE("An answer that is cut behind a whole one on the same connection is not whole")
{
  const std::string second = Answer("second");
  for (std::size_t size = 0; size < second.size(); ++size)
  {
    KeptConnection kept({Answer("one"), second.substr(0, size)});
    CHECK(kept.Ask() == "one");
    std::optional<Result<HttpReply>> result;
    HttpCall call;
    call.to = kept.server.Address();
    call.path = "/";
    call.may_reuse_connection = true;
    kept.client.Start(std::move(call),
                      {[&result](Result<HttpReply> got) { result = std::move(got); }});
    REQUIRE(RunUntil(kept.loop, [&kept] { return kept.next == 2; }));
    REQUIRE(kept.server.Accepted() == 1);
    if (size % 2 == 0)
      kept.server.Connection(0).Reset();
    else
      kept.server.Connection(0).CloseGracefully(Milliseconds(1000));
    REQUIRE(RunUntil(kept.loop, [&result] { return result.has_value(); }));
    CHECK(std::holds_alternative<Common::Error>(*result));
  }
}
