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
