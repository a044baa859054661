// SPDX-License-Identifier: Apache-2.0
#include <memory>
#include <string_view>
#include <thread>

#include <doctest/doctest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/HttpServer.h"
#include "Common/Socket.h"
#include "UnitTests/Support/Sockets.h"

using namespace Holdpost::Common;
using Holdpost::Testing::FakeClient;
using Holdpost::Testing::RunUntil;

static constexpr const char* REQUEST = "GET /page HTTP/1.1\r\nHost: test\r\n\r\n";

// Sends a request and returns when it lies in the receiver's kernel. No loop runs meanwhile.
static void SendRequest(int caller)
{
  REQUIRE(send(caller, REQUEST, std::string_view(REQUEST).size(), MSG_NOSIGNAL) > 0);
  int on_the_way = 1;
  while (on_the_way > 0)
  {
    std::this_thread::sleep_for(Milliseconds(5));
    REQUIRE(ioctl(caller, SIOCOUTQ, &on_the_way) == 0);
  }
}

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

TEST_CASE("A server and its loop that go away in the middle of a turn close their connections")
{
  // The caller is not on the loop, as it must see the end when the loop has gone.
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval patience = {5, 0};
  setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  char byte = 0;
  {
    EventLoop loop;
    std::shared_ptr<HttpExchange> open;
    HttpServer server(loop, HttpServer::Limits{},
                      [&](std::shared_ptr<HttpExchange> exchange) { open = std::move(exchange); });
    const auto address = ToSockaddr(std::get<Address>(server.Listen({"127.0.0.1", 0})));
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) == 0);
    SendRequest(caller);
    REQUIRE(RunUntil(loop, [&] { return open != nullptr; }));
    open->Reply(200, {}, "");
    REQUIRE(RunUntil(loop, [&] { return recv(caller, &byte, 1, MSG_DONTWAIT) == 1; }));
    while (recv(caller, &byte, 1, MSG_DONTWAIT) == 1)
      continue;

    // Both are due in the next turn: first the request is read, then the timer stops the loop.
    bool is_stopped = false;
    loop.After(Milliseconds(1),
               [&]
               {
                 is_stopped = true;
                 loop.Stop();
               });
    SendRequest(caller);
    loop.RunDue();
    REQUIRE(is_stopped);
  }
  // It would be reset, not ended, if the request had not been read.
  CHECK(recv(caller, &byte, 1, 0) == 0);
  close(caller);
}
