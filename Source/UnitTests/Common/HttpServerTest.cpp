// SPDX-License-Identifier: Apache-2.0
#include <memory>

#include <doctest/doctest.h>

#include "Common/HttpServer.h"
#include "UnitTests/Support/Sockets.h"

using namespace Holdpost::Common;
using Holdpost::Testing::FakeClient;
using Holdpost::Testing::RunUntil;

static constexpr const char* REQUEST = "GET /page HTTP/1.1\r\nHost: test\r\n\r\n";

TEST_CASE("A server that goes away closes its connections")
{
  EventLoop loop;
  std::shared_ptr<HttpExchange> open;
  bool is_gone_told = false;
  bool answers = true;
  auto server = std::make_unique<HttpServer>(loop, HttpServer::Limits{},
                                             [&](const std::shared_ptr<HttpExchange>& exchange)
                                             {
                                               if (answers)
                                                 return exchange->Reply(200, {}, "here");
                                               exchange->OnGone([&] { is_gone_told = true; });
                                               open = exchange;
                                             });
  const auto address = std::get<Address>(server->Listen({"127.0.0.1", 0}));
  FakeClient client(loop, address);
  client.Send(REQUEST);
  REQUIRE(RunUntil(loop, [&] { return client.Has("here"); }));

  SUBCASE("an idle one")
  {
    server.reset();
  }
  SUBCASE("one with a request that is not answered")
  {
    answers = false;
    client.Send(REQUEST);
    REQUIRE(RunUntil(loop, [&] { return open != nullptr; }));
    server.reset();
    CHECK(!open->IsOpen());
    // Who owned the server may be gone, too, and is not called any more.
    CHECK(!is_gone_told);
    open->Reply(200, {}, "too late");
  }
  CHECK(RunUntil(loop, [&] { return client.End().has_value(); }));
}
