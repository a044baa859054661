// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include "Common/EventLoop.h"
#include "Common/TcpConnection.h"

// Scripted peers on loopback, on the loop of the test.
namespace Holdpost::Testing
{
// Runs the loop until it has come true, at most a few seconds.
template <typename Done>
bool RunUntil(Common::EventLoop& loop, const Done& done)
{
  const Common::TimePoint give_up = Common::EventLoop::Now() + Common::Seconds(5);
  while (!done() && Common::EventLoop::Now() < give_up)
    loop.RunDue();
  return done();
}

inline void RunFor(Common::EventLoop& loop, Common::Duration time)
{
  const Common::TimePoint end = Common::EventLoop::Now() + time;
  RunUntil(loop, [end] { return Common::EventLoop::Now() >= end; });
}

// From now on the socket takes nothing in, not even what would acknowledge its own bytes, as if its
// connection had gone silent on the way. Its peer receives nothing more.
inline void DropAllInput(int fd)
{
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  REQUIRE(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
}

// Takes connections and answers what it is told to.
class FakeServer
{
public:
  // Called with all bytes that came on a connection so far, at each arrival.
  using OnBytes = std::function<void(Common::TcpConnection& connection, const std::string& bytes)>;

  FakeServer(Common::EventLoop& loop, OnBytes on_bytes)
      : m_loop(loop), m_on_bytes(std::move(on_bytes)),
        m_listener(loop, [this](int fd) { OnAccepted(fd); })
  {
    m_address = std::get<Common::Address>(m_listener.Listen({"127.0.0.1", 0}));
  }

  const Common::Address& Address() const { return m_address; }
  std::size_t Accepted() const { return m_connections.size(); }
  // Bytes of the connection, in the order of their arrival.
  const std::string& Bytes(std::size_t connection) const
  {
    return *m_connections[connection].bytes;
  }
  Common::TcpConnection& Connection(std::size_t connection)
  {
    return *m_connections[connection].connection;
  }
  // How the peer ended the connection; empty while it is open.
  std::optional<Common::ConnectionEnd> EndOf(std::size_t connection) const
  {
    return *m_connections[connection].end;
  }
  // The connection stays open and says nothing more, without a sign.
  void Silence(std::size_t connection) { DropAllInput(m_connections[connection].fd); }
  // Forgets what came so far, as before a second request.
  void ForgetBytes(std::size_t connection) { m_connections[connection].bytes->clear(); }

private:
  struct Entry
  {
    int fd = -1;
    std::shared_ptr<Common::TcpConnection> connection;
    std::shared_ptr<std::string> bytes = std::make_shared<std::string>();
    std::shared_ptr<std::optional<Common::ConnectionEnd>> end =
        std::make_shared<std::optional<Common::ConnectionEnd>>();
  };

  void OnAccepted(int fd)
  {
    Entry entry;
    entry.fd = fd;
    entry.connection = Common::TcpConnection::Adopt(m_loop, fd, Common::Milliseconds(5000));
    auto* raw = entry.connection.get();
    raw->SetHandlers({[this, raw, bytes = entry.bytes](std::string_view data)
                      {
                        bytes->append(data);
                        if (m_on_bytes)
                          m_on_bytes(*raw, *bytes);
                        return data.size();
                      },
                      [end = entry.end](Common::ConnectionEnd how) { *end = how; }, nullptr,
                      nullptr});
    m_connections.push_back(std::move(entry));
  }

  Common::EventLoop& m_loop;
  OnBytes m_on_bytes;
  Common::TcpListener m_listener;
  Common::Address m_address;
  std::vector<Entry> m_connections;
};

// A client that sends bytes and keeps what it gets.
class FakeClient
{
public:
  FakeClient(Common::EventLoop& loop, const Common::Address& address)
      : m_connection(Common::TcpConnection::Connect(loop, address, Common::Milliseconds(2000),
                                                    Common::Milliseconds(5000)))
  {
    m_connection->SetHandlers({[this](std::string_view data)
                               {
                                 m_bytes.append(data);
                                 return data.size();
                               },
                               [this](Common::ConnectionEnd end) { m_end = end; }, nullptr,
                               nullptr});
  }
  ~FakeClient() { m_connection->Close(); }
  FakeClient(const FakeClient&) = delete;
  FakeClient& operator=(const FakeClient&) = delete;

  void Send(std::string_view bytes) { m_connection->Write(bytes); }
  const std::string& Bytes() const { return m_bytes; }
  void Forget() { m_bytes.clear(); }
  bool Has(std::string_view text) const { return m_bytes.find(text) != std::string::npos; }
  std::optional<Common::ConnectionEnd> End() const { return m_end; }
  Common::TcpConnection& Connection() { return *m_connection; }

private:
  std::shared_ptr<Common::TcpConnection> m_connection;
  std::string m_bytes;
  std::optional<Common::ConnectionEnd> m_end;
};
} // namespace Holdpost::Testing
