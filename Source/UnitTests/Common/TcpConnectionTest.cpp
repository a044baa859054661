// SPDX-License-Identifier: Apache-2.0
#include <cerrno>
#include <optional>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/TcpConnection.h"

using namespace Holdpost::Common;

namespace
{
// A listener and its accepted connections on the loop.
struct Server
{
  explicit Server(EventLoop& event_loop)
      : loop(event_loop),
        listener(loop,
                 [this](int fd)
                 {
                   accepted.push_back(TcpConnection::Adopt(loop, fd, Milliseconds(1000)));
                   auto* raw = accepted.back().get();
                   raw->SetHandlers({[this](std::string_view data)
                                     {
                                       got.append(data);
                                       return data.size();
                                     },
                                     [this](ConnectionEnd e) { end = e; }, nullptr, nullptr});
                 })
  {
    address = std::get<Address>(listener.Listen({"127.0.0.1", 0}));
  }

  EventLoop& loop;
  TcpListener listener;
  Address address;
  std::vector<std::shared_ptr<TcpConnection>> accepted;
  std::string got;
  std::optional<ConnectionEnd> end;
};

template <typename Done>
void RunUntil(EventLoop& loop, const Done& done)
{
  const TimePoint give_up = EventLoop::Now() + Seconds(5);
  while (!done() && EventLoop::Now() < give_up)
    loop.RunDue();
  REQUIRE(done());
}
} // namespace

TEST_CASE("A connection tells a close from a reset")
{
  EventLoop loop;
  Server server(loop);
  const auto client =
      TcpConnection::Connect(loop, server.address, Milliseconds(1000), Milliseconds(1000));
  client->Write("hello");
  RunUntil(loop, [&] { return server.got == "hello"; });

  SUBCASE("close")
  {
    client->CloseGracefully(Milliseconds(100));
    RunUntil(loop, [&] { return server.end.has_value(); });
    CHECK(server.end == ConnectionEnd::Finished);
  }
  SUBCASE("reset")
  {
    client->Reset();
    RunUntil(loop, [&] { return server.end.has_value(); });
    CHECK(server.end == ConnectionEnd::Broken);
  }
  SUBCASE("what was written arrives before the close")
  {
    const std::string much(3 << 20, 'x');
    client->Write(much);
    client->CloseGracefully(Milliseconds(2000));
    RunUntil(loop, [&] { return server.end.has_value(); });
    CHECK(server.got.size() == 5 + much.size());
    CHECK(server.end == ConnectionEnd::Finished);
  }
}

// Regression: a send that failed took the error of a reset, and the read behind it found a close.
TEST_CASE("A connection tells a close from a reset that a failing send has found first")
{
  EventLoop loop;
  Server server(loop);
  const auto client =
      TcpConnection::Connect(loop, server.address, Milliseconds(1000), Milliseconds(1000));
  std::string got;
  std::optional<ConnectionEnd> end;
  client->SetHandlers({[&got](std::string_view data)
                       {
                         got.append(data);
                         return data.size();
                       },
                       [&end](ConnectionEnd how) { end = how; }, nullptr, nullptr});
  RunUntil(loop, [&] { return !server.accepted.empty() && client->IsConnected(); });
  TcpConnection& peer = *server.accepted.front();
  peer.Write("answer");
  // The client looks at its socket only after the peer has ended the connection.
  const auto send_twice = [&client]
  {
    client->Write("more");
    client->Write("and more");
  };

  SUBCASE("a reset")
  {
    peer.Reset();
    send_twice();
    RunUntil(loop, [&end] { return end.has_value(); });
    CHECK(end == ConnectionEnd::Broken);
  }
  SUBCASE("a close, and a reset behind it")
  {
    peer.CloseGracefully(Milliseconds(100));
    peer.Reset();
    send_twice();
    RunUntil(loop, [&end] { return end.has_value(); });
    CHECK(end == ConnectionEnd::Finished);
  }
  CHECK(got == "answer");
}

// Guards against answers that are cut when their connection closes before the peer has read them.
TEST_CASE("What a slow peer has yet to read is sent however long that takes")
{
  EventLoop loop;
  Server server(loop);
  const auto client =
      TcpConnection::Connect(loop, server.address, Milliseconds(1000), Milliseconds(4000));
  RunUntil(loop, [&] { return !server.accepted.empty(); });
  server.accepted.front()->PauseReading();
  const std::string much(24 << 20, 'x'); // more than the kernel's buffers take
  client->Write(much);
  bool is_over = false;
  client->CloseGracefully(Milliseconds(50), [&] { is_over = true; });
  const TimePoint resumes = EventLoop::Now() + Milliseconds(400);
  RunUntil(loop, [&] { return EventLoop::Now() >= resumes; });
  CHECK(client->UnsentBytes() > 0);
  CHECK(!is_over);
  server.accepted.front()->ResumeReading();
  RunUntil(loop, [&] { return server.end.has_value(); });
  CHECK(server.end == ConnectionEnd::Finished);
  CHECK(server.got.size() == much.size());
  RunUntil(loop, [&] { return is_over; });
  CHECK(loop.Buffers().Held() == 0);
}

TEST_CASE("A connection holds no memory that it does not need")
{
  EventLoop loop;
  Server server(loop);
  const auto client =
      TcpConnection::Connect(loop, server.address, Milliseconds(1000), Milliseconds(4000));
  RunUntil(loop, [&] { return !server.accepted.empty(); });
  const Bytes body = MakeBytes(std::string(24 << 20, 'x'));

  SUBCASE("a body that is shared is not copied, and is let go once it is sent")
  {
    server.accepted.front()->PauseReading();
    client->Write("head");
    client->Write(body);
    CHECK(client->UnsentBytes() > 0);
    CHECK(loop.Buffers().Held() == 0);
    CHECK(body.use_count() == 2);
    server.accepted.front()->ResumeReading();
    RunUntil(loop, [&] { return server.got.size() == 4 + body->size(); });
    CHECK(server.got.starts_with("headx"));
    CHECK(body.use_count() == 1);
  }
  SUBCASE("what was written and read leaves nothing behind")
  {
    client->Write(*body);
    CHECK(loop.Buffers().Held() > 0);
    RunUntil(loop, [&] { return server.got.size() == body->size(); });
    CHECK(loop.Buffers().Held() == 0);
    CHECK(loop.Buffers().Peak() <= body->size() + (256 << 10));
  }
  SUBCASE("unread bytes stay in the kernel beyond a limit")
  {
    TcpConnection& reader = *server.accepted.front();
    bool takes = false;
    std::size_t taken = 0;
    reader.SetHandlers({[&](std::string_view data)
                        {
                          taken += takes ? data.size() : 0;
                          return takes ? data.size() : 0;
                        },
                        nullptr, nullptr, nullptr});
    reader.SetMaxUnread(10000);
    client->Write(body);
    RunUntil(loop, [&] { return reader.UnreadBytes() == 10000; });
    const TimePoint until = EventLoop::Now() + Milliseconds(50);
    RunUntil(loop, [&] { return EventLoop::Now() >= until; });
    CHECK(reader.UnreadBytes() == 10000);
    takes = true;
    reader.ReadAgain();
    RunUntil(loop, [&] { return taken == body->size(); });
    CHECK(reader.UnreadBytes() == 0);
  }
}

TEST_CASE("Nobody listens")
{
  EventLoop loop;
  Address closed;
  {
    Server server(loop);
    closed = server.address;
  }
  const auto client = TcpConnection::Connect(loop, closed, Milliseconds(1000), Milliseconds(1000));
  std::optional<ConnectionEnd> end;
  client->SetHandlers({nullptr, [&](ConnectionEnd e) { end = e; }, nullptr, nullptr});
  RunUntil(loop, [&] { return end.has_value(); });
  CHECK(end == ConnectionEnd::NotConnected);
  CHECK_FALSE(client->IsOpen());
}

TEST_CASE("A paused reader holds the writer up")
{
  EventLoop loop;
  Server server(loop);
  const auto client =
      TcpConnection::Connect(loop, server.address, Milliseconds(1000), Milliseconds(5000));
  client->Write("x");
  RunUntil(loop, [&] { return !server.accepted.empty() && server.got == "x"; });
  server.accepted[0]->PauseReading();
  client->Write(std::string(32 << 20, 'y'));
  for (int i = 0; i < 100; ++i)
    loop.RunDue();
  CHECK(client->UnsentBytes() > 0);
  CHECK(server.got.size() == 1);
  server.accepted[0]->ResumeReading();
  RunUntil(loop, [&] { return server.got.size() == 1 + (32U << 20); });
  CHECK(client->UnsentBytes() == 0);
}

namespace
{
// Listens with a queue that is full, so that nobody gets an answer any more.
class SilentServer
{
public:
  SilentServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&any), sizeof(any)) == 0);
    REQUIRE(listen(m_listener, 0) == 0);
    socklen_t size = sizeof(m_raw);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&m_raw), &size);
    for (int i = 0; i < 4; ++i)
    {
      m_clients.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      // It is on its way, or waits for a listener whose queue is full: -1 with EINPROGRESS.
      const int connected =
          connect(m_clients.back(), reinterpret_cast<sockaddr*>(&m_raw), sizeof(m_raw));
      REQUIRE((connected == 0 || errno == EINPROGRESS));
    }
  }
  ~SilentServer()
  {
    for (const int client : m_clients)
      close(client);
    close(m_listener);
  }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;

  Address At() const { return {"127.0.0.1", ntohs(m_raw.sin_port)}; }

private:
  int m_listener;
  sockaddr_in m_raw{};
  std::vector<int> m_clients;
};
} // namespace

TEST_CASE("A connection that is gone is not told that it could not connect in time")
{
  EventLoop loop;
  const SilentServer server;
  bool has_ended = false;
  std::shared_ptr<TcpConnection> connection;
  const auto closer = loop.MakeTimer([&] { std::exchange(connection, nullptr)->Close(); });
  closer->FireAfter(Milliseconds(1));
  connection = TcpConnection::Connect(loop, server.At(), Milliseconds(2), Milliseconds(1000));
  connection->SetHandlers({nullptr, [&](ConnectionEnd) { has_ended = true; }, nullptr, nullptr});
  // As in a process that stood still: both timers are due at once when it goes on.
  std::this_thread::sleep_for(Milliseconds(5));
  loop.RunDue();
  loop.RunDue();
  CHECK(connection == nullptr);
  CHECK_FALSE(has_ended);
}
