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

namespace
{
struct Answer
{
  int status = 0;
  std::string body;
  bool is_ended = false;
  std::optional<Error> error;
};

// The answer to a run whose target sends these bytes, in two parts if `split` is not 0, and closes
// the connection in the ordinary way.
Answer AnswerTo(const std::string& first, const std::string& second)
{
  Common::EventLoop loop;
  FakeServer target(loop,
                    [](Common::TcpConnection& connection, const std::string& bytes)
                    {
                      if (!bytes.empty())
                        connection.PauseReading();
                    });
  Common::HttpClient http(loop);
  EngineClient client(http, target.Address());
  Answer answer;
  EnginePeer::RunCallbacks callbacks;
  callbacks.on_head = [&](int status, const std::string&, const Common::Digest&)
  { answer.status = status; };
  callbacks.on_chunk = [&](std::string_view data) { answer.body.append(data); };
  callbacks.on_end = [&](std::optional<Error> error)
  {
    answer.is_ended = true;
    answer.error = std::move(error);
  };
  Runs::RunRequest request;
  request.method = "GET";
  request.path = "/";
  client.Run(request, callbacks);
  REQUIRE(RunUntil(loop, [&] { return target.Accepted() == 1 && !target.Bytes(0).empty(); }));
  target.Connection(0).Write(first);
  if (!second.empty())
  {
    RunFor(loop, Milliseconds(1));
    target.Connection(0).Write(second);
  }
  // A connection that closes keeps itself until it is over.
  bool is_over = false;
  target.Connection(0).CloseGracefully(Milliseconds(100), [&] { is_over = true; });
  REQUIRE(RunUntil(loop, [&] { return answer.is_ended && is_over; }));
  return answer;
}
} // namespace

TEST_CASE("An answer whose target is killed is not whole, wherever it was cut")
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n"
                              "9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n";
  const std::string length = "Content-Length: 18\r\n\r\ndata: 1\n\ndata: 2\n\n";
  std::string whole;
  SUBCASE("chunks")
  {
    whole = head + chunked;
  }
  SUBCASE("chunks, named in capitals")
  {
    whole = head + "TRANSFER-ENCODING: Chunked" + chunked.substr(chunked.find("\r\n"));
  }
  SUBCASE("a length")
  {
    whole = head + length;
  }
  const Answer answer = AnswerTo(whole, "");
  CHECK_FALSE(answer.error);
  CHECK(answer.body == "data: 1\n\ndata: 2\n\n");
  int cuts = 0;
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes, ++cuts)
  {
    CAPTURE(whole.substr(0, bytes));
    CHECK(AnswerTo(whole.substr(0, bytes), "").error);
  }
  MESSAGE(cuts, " cuts");
}

TEST_CASE("An answer that ends with its connection is never whole")
{
  const std::string body = "data: 1\n\ndata: 2\n\n";
  const std::string line = "HTTP/1.1 200 OK\r\n";
  CHECK(AnswerTo(line + "\r\n", body).error);
  CHECK(AnswerTo(line + "Connection: close\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Connection: keep-alive\r\n\r\n", body).error);
  CHECK(AnswerTo("HTTP/1.0 200 OK\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Transfer-Encoding: identity\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Transfer-Encoding: gzip\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Transfer-Encoding: gzip, chunked\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Transfer-Encoding: \r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Content-Length: \r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Content-Length: 18x\r\n\r\n", body).error);
  CHECK(AnswerTo(line + "Content-Length: -1\r\n\r\n", body).error);
}
