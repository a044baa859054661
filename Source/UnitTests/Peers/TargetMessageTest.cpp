// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/TargetMessage.h"

using namespace Holdpost;
using namespace Holdpost::TargetPeer;

namespace
{
Common::HttpHead MakeHead()
{
  Common::HttpHead head;
  head.method = "POST";
  head.target = "/chat/x?q=1";
  head.framing = Common::BodyFraming::Chunked;
  head.fields.Add("Host", "api.example");
  head.fields.Add("Holdpost-Request-Id", "r1");
  head.fields.Add("Authorization", "Bearer secret");
  head.fields.Add("Holdpost-Deadline-Ms", "5000");
  head.fields.Add("Holdpost-Organisation", "somebody-else");
  head.fields.Add("Connection", "keep-alive, X-Hop");
  head.fields.Add("X-Hop", "1");
  head.fields.Add("X-Own", "kept");
  head.fields.Add("Transfer-Encoding", "chunked");
  head.fields.Add("Holdpost-Model", "m");
  head.fields.Add("Holdpost-Token-Counts", "1460,80");
  head.fields.Add("Holdpost-Length-Hint", "60");
  return head;
}
} // namespace

TEST_CASE("A caller's request is read")
{
  const auto request = ReadCallerRequest(MakeHead(), "", HeaderNames{});
  CHECK(request.id == "r1");
  CHECK(request.host == "api.example");
  CHECK(request.path == "/chat/x");
  CHECK(request.credential == "secret");
  CHECK(request.deadline == Common::Milliseconds(5000));
  REQUIRE(request.generation.has_value());
  CHECK(request.generation->prompt_tokens == 1460);
  CHECK(request.generation->max_answer_tokens == 80);
  CHECK(request.generation->expected_answer_tokens == 60);
}

TEST_CASE("The target gets the caller's fields and the gateway's own")
{
  Gateway::Dispatch dispatch;
  dispatch.target = "t-9";
  dispatch.time_left = Common::Milliseconds(4321);
  dispatch.organisation = "firm";
  dispatch.resume_after = 12;
  const std::string text = WriteTargetHead(MakeHead(), 4, dispatch, HeaderNames{});
  CHECK(text.starts_with("POST /chat/x?q=1 HTTP/1.1\r\n"));
  CHECK(text.find("\r\n\r\n") == text.size() - 4);
  const auto has = [&](const std::string& part) { return text.find(part) != std::string::npos; };
  CHECK(has("Host: api.example\r\n"));
  CHECK(has("X-Own: kept\r\n"));
  CHECK(has("Holdpost-Model: m\r\n"));
  CHECK(has("Holdpost-Deadline-Ms: 4321\r\n"));
  CHECK(has("Holdpost-Organisation: firm\r\n"));
  CHECK(has("Holdpost-Expected-Target: t-9\r\n"));
  CHECK(has("Last-Event-Id: 12\r\n"));
  CHECK(has("Content-Length: 4\r\n"));
  // Neither the credential nor what concerns the caller's connection, nor what callers claim to be.
  CHECK_FALSE(has("secret"));
  CHECK_FALSE(has("5000"));
  CHECK_FALSE(has("somebody-else"));
  CHECK_FALSE(has("X-Hop"));
  CHECK_FALSE(has("Transfer-Encoding"));
}

// Guards against streams that begin anew for a caller that asks to go on.
TEST_CASE("The last event that a caller names is passed on as it came unless a later one is known")
{
  const auto sent = [](const std::string& named, std::optional<std::uint64_t> resume_after)
  {
    Common::HttpHead head;
    head.method = "GET";
    head.target = "/";
    head.fields.Add("Last-Event-Id", named);
    Gateway::Dispatch dispatch;
    dispatch.resume_after = resume_after;
    return WriteTargetHead(head, 0, dispatch, HeaderNames());
  };
  CHECK(sent("evt-7", std::nullopt).find("Last-Event-Id: evt-7\r\n") != std::string::npos);
  CHECK(
      sent("99999999999999999999", std::nullopt).find("Last-Event-Id: 99999999999999999999\r\n") !=
      std::string::npos);
  const std::string later = sent("7", 12);
  CHECK(later.find("Last-Event-Id: 12\r\n") != std::string::npos);
  CHECK(later.find("Last-Event-Id: 7\r\n") == std::string::npos);
}

TEST_CASE("Fields of the target's connection stay with it")
{
  Common::HttpHead answer;
  answer.fields.Add("Content-Type", "text/plain");
  answer.fields.Add("X-Stamp", "s");
  answer.fields.Add("Connection", "close");
  answer.fields.Add("Keep-Alive", "timeout=5");
  answer.fields.Add("Content-Length", "5");
  CHECK(AnswerFieldLines(answer) == "Content-Type: text/plain\r\nX-Stamp: s\r\n");
}

TEST_CASE("The rate limit of a target is read from its answer")
{
  const auto limit_of = [](const std::string& text)
  {
    Common::HttpHead answer;
    answer.fields.Add("Holdpost-Rate-Limit", text);
    return ReadRateLimit(answer, HeaderNames{});
  };
  CHECK(limit_of("2") == 2.0);
  CHECK(limit_of("1.6") == 1.6);
  CHECK(limit_of("0") == 0.0);
  CHECK_FALSE(ReadRateLimit(Common::HttpHead{}, HeaderNames{}).has_value());
  SUBCASE("and what is no number of requests a second is none")
  {
    for (const std::string text : {"", "few", "2 a second", "-1", "nan", "inf", "1e999"})
      CHECK_FALSE(limit_of(text).has_value());
  }
}

TEST_CASE("A target that leaves says so in its answers")
{
  const auto says_leaving = [](const std::string& text)
  {
    Common::HttpHead answer;
    answer.fields.Add("holdpost-leaving", text);
    return SaysLeaving(answer, HeaderNames{});
  };
  CHECK(says_leaving("1"));
  CHECK_FALSE(SaysLeaving(Common::HttpHead{}, HeaderNames{}));
  for (const std::string text : {"", "0", "no", "-1", "11"})
    CHECK_FALSE(says_leaving(text));
}

TEST_CASE("The rest that a target asks for is read from its answer")
{
  using Seconds = std::chrono::duration<double>;
  const auto rest_of = [](int status, const std::string& text) -> std::optional<double>
  {
    Common::HttpHead answer;
    answer.status = status;
    answer.fields.Add("retry-after", text);
    const auto rest = ReadRest(answer);
    return rest ? std::optional(Seconds(*rest).count()) : std::nullopt;
  };
  CHECK(rest_of(503, "3") == 3.0);
  CHECK(rest_of(503, "0.75") == 0.75);
  CHECK(rest_of(429, "2") == 2.0);
  // A thousand years are a long time, but not one that overflows.
  CHECK(rest_of(503, "31557600000").value_or(0) >= 86400);
  SUBCASE("and only from one that turns the request away")
  {
    CHECK_FALSE(rest_of(200, "3").has_value());
    CHECK_FALSE(rest_of(500, "3").has_value());
  }
  SUBCASE("and what is no number of seconds is none")
  {
    for (const std::string text :
         {"", "soon", "3 s", "0", "-1", "nan", "inf", "1e999", "Thu, 03 Dec 2026 17:00:00 GMT"})
      CHECK_FALSE(rest_of(503, text).has_value());
  }
}

TEST_CASE("The parts that a prompt shares with others are read")
{
  using Parts = std::vector<std::string>;
  const auto parts_of = [](const std::vector<std::string>& fields)
  {
    Common::HttpHead head;
    for (const std::string& field : fields)
      head.fields.Add("holdpost-prompt-parts", field);
    return ReadCallerRequest(head, "", HeaderNames{}).shared_parts;
  };
  CHECK(parts_of({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}) == Parts{"5c1e07a2", "91bd3f06"});
  SUBCASE("without the last one, which is the request's own")
  {
    CHECK(parts_of({}).empty());
    CHECK(parts_of({""}).empty());
    CHECK(parts_of({"5c1e07a2:800"}).empty());
    CHECK(parts_of({"5c1e07a2:800,5c1e07a2:800"}) == Parts{"5c1e07a2"});
  }
  SUBCASE("each once, whatever its spelling")
  {
    CHECK(parts_of({"0AB:1, ab:2 ,00aB:3,1:4"}) == Parts{"ab"});
    CHECK(parts_of({"0:1,000:2,1:4"}) == Parts{"0"});
    CHECK(parts_of({"xy:1,XY:2,1:4"}) == Parts{"xy", "XY"});
  }
  SUBCASE("without tokens, without an id, and from a field that is sent twice")
  {
    CHECK(parts_of({"a,b:,:7,,c"}) == Parts{"a", "b"});
    CHECK(parts_of({"a:1,b:2", "c:3,d:4"}) == Parts{"a", "b", "c"});
  }
  SUBCASE("up to a maximum")
  {
    std::string field;
    for (int i = 0; i < 3000; ++i)
      field += std::to_string(i) + ":1,";
    CHECK(parts_of({field + "ff:1"}).size() == 64);
  }
}
