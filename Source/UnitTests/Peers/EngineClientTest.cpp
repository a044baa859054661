// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Engine/EngineClient.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using Common::Error;
using Common::Milliseconds;
using EnginePeer::EngineClient;
using Testing::FakeServer;
using Testing::RunFor;
using Testing::RunUntil;

// What an agent sends its target, and what it takes for a whole answer.

static const Common::Digest VERSION = Common::Sha256("v1");

static NodeCore::LoadTarget MakeOrder(std::uint64_t number)
{
  NodeCore::LoadTarget order;
  order.order = number;
  order.model = "m";
  order.version = VERSION;
  order.manifest = Common::MakeBytes("manifest");
  order.pieces = {Common::MakeBytes("a"), Common::MakeBytes("b")};
  order.fence = {7, 9};
  return order;
}

static bool IsWholeRequest(const std::string& bytes)
{
  // Every body of the orders above is sent with its length in one piece with its head.
  const auto end = bytes.find("\r\n\r\n");
  const auto length = bytes.find("Content-Length: ");
  return end != std::string::npos && length != std::string::npos &&
         bytes.size() >= end + 4 + std::stoul(bytes.substr(length + 16));
}

TEST_CASE("An order to load")
{
  Common::EventLoop loop;
  std::vector<std::string> requests;
  bool is_answering = true;
  FakeServer engine(loop,
                    [&](Common::TcpConnection& connection, const std::string& bytes)
                    {
                      if (!IsWholeRequest(bytes))
                        return;
                      requests.push_back(bytes);
                      if (is_answering)
                        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                         "Connection: close\r\n\r\n{}");
                    });
  Common::HttpClient http(loop);
  EngineClient client(http, engine.Address());
  std::vector<Common::Result<std::monostate>> results;
  const auto load = [&](std::uint64_t number)
  {
    client.Load(
        MakeOrder(number), [] { return true; },
        [&](Common::Result<std::monostate> result) { results.push_back(std::move(result)); });
  };

  SUBCASE("names its claim, settings and number in each call")
  {
    load(3);
    REQUIRE(RunUntil(loop, [&] { return !results.empty(); }));
    CHECK(Common::Succeeded(results[0]));
    REQUIRE(requests.size() == 4);
    CHECK(requests[3].starts_with("POST /orders/load "));
    for (const std::string& request : requests)
    {
      CHECK(request.find("\r\nHoldpost-Fence: 7\r\n") != std::string::npos);
      CHECK(request.find("\r\nHoldpost-Settings: 9\r\n") != std::string::npos);
      CHECK(request.find("\r\nHoldpost-Order: 3\r\n") != std::string::npos);
    }
  }
  SUBCASE("that is cancelled ends its calls and tells nothing more")
  {
    is_answering = false;
    load(3);
    REQUIRE(RunUntil(loop, [&] { return requests.size() == 1; }));
    client.CancelLoad(4);
    RunFor(loop, Milliseconds(20));
    CHECK_FALSE(engine.EndOf(0));
    client.CancelLoad(3);
    CHECK(RunUntil(loop, [&] { return engine.EndOf(0).has_value(); }));
    CHECK(results.empty());
  }
  SUBCASE("that another one follows ends its calls")
  {
    is_answering = false;
    load(3);
    REQUIRE(RunUntil(loop, [&] { return requests.size() == 1; }));
    is_answering = true;
    load(4);
    CHECK(RunUntil(loop, [&] { return engine.EndOf(0).has_value() && results.size() == 1; }));
    CHECK(Common::Succeeded(results[0]));
  }
}
