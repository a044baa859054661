// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/HttpClient.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using Common::HttpCall;
using Common::HttpReply;
using Common::Milliseconds;
using Testing::FakeServer;
using Testing::RunFor;
using Testing::RunUntil;

namespace
{
// A client, and a server that answers each request at once, or never.
struct Fixture
{
  // The body of the answer; empty if the call failed.
  std::optional<std::string> Ask(Milliseconds idle_timeout)
  {
    Start(idle_timeout);
    REQUIRE(RunUntil(loop, [this] { return answers.size() == asked; }));
    return answers.back();
  }
  void Start(Milliseconds idle_timeout)
  {
    ++asked;
    HttpCall call;
    call.to = server.Address();
    call.path = "/";
    call.idle_timeout = idle_timeout;
    call.may_reuse_connection = true;
    Common::HttpCallbacks callbacks;
    callbacks.on_done = [this](const Common::Result<HttpReply>& result)
    {
      const auto* reply = std::get_if<HttpReply>(&result);
      answers.push_back(reply ? std::optional(reply->body) : std::nullopt);
    };
    client.Start(std::move(call), std::move(callbacks));
  }

  Common::EventLoop loop;
  bool is_answering = true;
  FakeServer server{loop, [this](Common::TcpConnection& connection, const std::string& bytes)
                    {
                      if (is_answering && bytes.ends_with("\r\n\r\n"))
                        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }};
  Common::HttpClient client{loop};
  std::size_t asked = 0;
  std::vector<std::optional<std::string>> answers;
};
} // namespace

TEST_CASE("A peer that goes silent without a sign is found while a long call waits for it")
{
  Fixture f;
  f.is_answering = false;
  f.Start(Milliseconds(20000));
  REQUIRE(
      RunUntil(f.loop, [&f] { return f.server.Accepted() == 1 && !f.server.Bytes(0).empty(); }));
  f.server.Silence(0);
  REQUIRE(RunUntil(f.loop, [&f] { return !f.answers.empty(); }));
  CHECK_FALSE(f.answers.back());
}

TEST_CASE("When a kept connection fails, the others to that peer are not tried one after the other")
{
  Fixture f;
  f.Start(Milliseconds(1000));
  f.Start(Milliseconds(1000));
  REQUIRE(RunUntil(f.loop, [&f] { return f.answers.size() == 2; }));
  REQUIRE(f.server.Accepted() == 2);
  RunFor(f.loop, Milliseconds(20));
  f.server.Silence(0);
  f.server.Silence(1);
  CHECK_FALSE(f.Ask(Milliseconds(300)));
  CHECK(f.Ask(Milliseconds(300)) == "ok");
  CHECK(f.server.Accepted() == 3);
}

namespace
{
// The error of a call whose server goes on sending the same bytes, each time after the pause.
std::string ErrorOfEndless(const std::string& first, const std::string& again, Milliseconds pause,
                           std::optional<Milliseconds> total_timeout)
{
  Common::EventLoop loop;
  FakeServer server(loop, nullptr);
  Common::HttpClient client(loop);
  HttpCall call;
  call.to = server.Address();
  call.path = "/";
  call.idle_timeout = Milliseconds(2000);
  call.total_timeout = total_timeout;
  call.max_body_bytes = 1 << 20;
  std::optional<Common::Result<HttpReply>> result;
  client.Start(std::move(call),
               {[&result](Common::Result<HttpReply> got) { result = std::move(got); }});
  std::size_t sent = 0;
  Common::TimePoint next{};
  RunUntil(loop,
           [&]
           {
             if (result)
               return true;
             if (server.Accepted() == 0 || server.Bytes(0).empty() || server.EndOf(0))
               return false;
             Common::TcpConnection& connection = server.Connection(0);
             const Common::TimePoint now = Common::EventLoop::Now();
             if (now < next || connection.UnsentBytes() > (256 << 10))
               return false;
             connection.Write(sent == 0 ? first + again : again);
             sent += again.size();
             next = now + pause;
             return false;
           });
  REQUIRE(result);
  REQUIRE(std::holds_alternative<Common::Error>(*result));
  CHECK(sent <= (16 << 20));
  return std::get<Common::Error>(*result).message;
}

std::string Repeated(const std::string& text)
{
  std::string block;
  while (block.size() < (16 << 10))
    block += text;
  return block;
}
} // namespace

// Regression: an answer of the store, of an engine or of the origin was read without a limit.
TEST_CASE("An answer without end ends the call with an error that says so")
{
  const Milliseconds at_once{0};
  const auto is_too_long = [](const std::string& message)
  { return message.starts_with("the answer has too many bytes, from 127.0.0.1"); };
  const auto is_bad_head = [](const std::string& message)
  { return message.starts_with("the head of the answer is too long or none, from 127.0.0.1"); };
  CHECK(is_bad_head(ErrorOfEndless("HTTP/1.1 200 OK\r\n", Repeated("X-Field: some value\r\n"),
                                   at_once, std::nullopt)));
  CHECK(is_bad_head(
      ErrorOfEndless("HTTP/1.1 200 OK\r\nX-Field: ", Repeated("value"), at_once, std::nullopt)));
  CHECK(is_too_long(
      ErrorOfEndless("", Repeated("HTTP/1.1 100 Continue\r\n\r\n"), at_once, std::nullopt)));
  CHECK(is_too_long(
      ErrorOfEndless("HTTP/1.1 200 OK\r\n\r\n", Repeated("body"), at_once, std::nullopt)));
  CHECK(is_too_long(ErrorOfEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   Repeated("5\r\nabcde\r\n"), at_once, std::nullopt)));
  CHECK(is_too_long(ErrorOfEndless(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=", Repeated("value"),
      at_once, std::nullopt)));
  CHECK(ErrorOfEndless("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "b", Milliseconds(100),
                       Milliseconds(500))
            .starts_with("the answer did not end in time, from 127.0.0.1"));
}
