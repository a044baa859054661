// SPDX-License-Identifier: Apache-2.0
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/HttpParser.h"
#include "UnitTests/Support/Mutations.h"

using namespace Holdpost::Common;

namespace
{
constexpr std::string_view TOKENS = "\r\n :;,0123456789abcdefx/\t\"";
constexpr int ROUNDS = 4000;

// What a parser found in a row of messages, as one text.
struct Written final : HttpParserSink
{
  void OnHead(HttpHead head) override
  {
    text += fmt::format("head {} {} {} {} {}\n", head.method, head.target, head.status,
                        static_cast<int>(head.framing), head.keeps_alive);
  }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnMessageEnd() override { text += "end " + std::exchange(body, "") + "\n"; }

  std::string text;
  std::string body;
};

// Parses messages until the text ends or is wrong; pieces of `size` bytes come at a time.
std::string Parse(HttpMessageKind kind, const std::string& text, std::size_t size)
{
  Written written;
  HttpParser parser(kind, written);
  std::string unread;
  for (std::size_t at = 0; at < text.size() && parser.Error() == HttpParseError::None; at += size)
  {
    unread.append(text.substr(at, size));
    for (std::size_t taken = 1; taken > 0 && parser.Error() == HttpParseError::None;)
    {
      if (parser.IsDone())
        parser.Restart();
      taken = unread.empty() ? 0 : parser.Feed(unread);
      unread.erase(0, taken);
    }
  }
  // Of a message that is not whole more or less may have been seen, and its fault sooner or later:
  // what counts are whole messages.
  const std::size_t last_end = written.text.rfind("end ");
  if (last_end == std::string::npos)
    return "";
  return written.text.substr(0, written.text.find("\nhead", last_end));
}
} // namespace

TEST_CASE("However a message is changed, it is read the same whole and byte by byte")
{
  const std::vector<std::pair<HttpMessageKind, std::string>> texts = {
      {HttpMessageKind::Request, "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n"
                                 "Authorization: Bearer k\r\n\r\nthebodyGET / HTTP/1.1\r\n"
                                 "Host: y\r\nConnection: close\r\n\r\n"},
      {HttpMessageKind::Request, "PUT /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "3\r\nabc\r\n4;e=f\r\ndefg\r\n0\r\nTrailer: t\r\n\r\n"
                                 "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"},
      {HttpMessageKind::Answer, "HTTP/1.1 200 OK\r\nX-Thing: one\r\nContent-Length: 3\r\n\r\nabc"
                                "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n2\r\nxy\r\n0\r\n\r\n"},
  };
  // HOLDPOST_MUTATION_SEED plays others by hand.
  const char* seed = std::getenv("HOLDPOST_MUTATION_SEED");
  Holdpost::Testing::Mutator mutator(seed ? std::strtoull(seed, nullptr, 10) : 1);
  int read = 0;
  for (int round = 0; round < ROUNDS; ++round)
  {
    const auto& [kind, right] = texts[mutator.Below(texts.size())];
    const std::string text = mutator.Change(right, TOKENS);
    const std::string whole = Parse(kind, text, text.size());
    INFO("the text: " << text);
    REQUIRE(Parse(kind, text, 1) == whole);
    REQUIRE(Parse(kind, text, 5) == whole);
    read += !whole.empty();
  }
  CHECK(read > ROUNDS / 10);
}
