// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Support/Sockets.h"

// Answers that are cut, and a server that sends them.
namespace Holdpost::Testing
{
// How the server ends a connection after what it sent.
enum class CutBy
{
  Close,
  Reset,
  // It stays open: what was sent is all of it.
  Nothing,
};

// What the server answers to one request.
struct CutPlan
{
  std::string text;
  CutBy by = CutBy::Close;
  // The number of packets that the text is sent in, with a pause between two of them.
  std::size_t packets = 1;
};

// An answer, and what a reader of all of it has to find.
struct WholeAnswer
{
  std::string name;
  std::string text;
  std::string body;
};

// Answers whose end is marked, with a field of the id in each head.
inline std::vector<WholeAnswer> MarkedAnswers(const std::string& id_field)
{
  const std::string body(100, 'b');
  const std::string ok = "HTTP/1.1 200 OK\r\n" + id_field;
  const std::string chunks =
      "30\r\n" + body.substr(0, 48) + "\r\n34\r\n" + body.substr(48) + "\r\n";
  return {
      {"a length", ok + "Content-Length: 100\r\n\r\n" + body, body},
      {"a length in the first field",
       "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + id_field +
           "Content-Type: text/plain\r\n\r\n" + body,
       body},
      {"a length of 0", ok + "Content-Length: 0\r\n\r\n", ""},
      {"a failure with a length",
       "HTTP/1.1 500 Failed\r\n" + id_field + "Content-Length: 100\r\n\r\n" + body, body},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n", body},
      {"chunks and trailers",
       ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\nX-One: 1\r\nX-Two: 2\r\n\r\n",
       body},
      {"an interim answer before it",
       "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 100\r\n\r\n" + body, body},
  };
}

// Answers each request for "/N" by the plan of that number, once.
class CuttingServer
{
public:
  CuttingServer(Common::EventLoop& loop, std::vector<CutPlan> plans)
      : m_loop(loop), m_plans(std::move(plans)),
        m_server(loop,
                 [this](Common::TcpConnection& connection, const std::string& bytes)
                 {
                   if (bytes.ends_with("\r\n\r\n"))
                     Answer(connection, m_plans.at(NumberOf(bytes)));
                 })
  {
  }

  const Common::Address& Address() const { return m_server.Address(); }

private:
  static constexpr Common::Milliseconds PAUSE{2};

  static std::size_t NumberOf(const std::string& request)
  {
    const std::size_t at = request.find(" /") + 2;
    std::size_t number = 0;
    std::from_chars(request.data() + at, request.data() + request.size(), number);
    return number;
  }
  void Answer(Common::TcpConnection& connection, const CutPlan& plan)
  {
    const std::size_t size = plan.text.size() / plan.packets + 1;
    SendFrom(connection.shared_from_this(), plan, 0, size);
  }
  void SendFrom(const std::shared_ptr<Common::TcpConnection>& connection, const CutPlan& plan,
                std::size_t at, std::size_t size)
  {
    if (at < plan.text.size())
      connection->Write(std::string_view(plan.text).substr(at, size));
    if (at + size < plan.text.size())
    {
      m_loop.After(PAUSE, [this, connection, &plan, at, size]
                   { SendFrom(connection, plan, at + size, size); });
    }
    else if (plan.by == CutBy::Reset)
      connection->Reset();
    else if (plan.by == CutBy::Close)
      connection->CloseGracefully(Common::Milliseconds(1000));
  }

  Common::EventLoop& m_loop;
  std::vector<CutPlan> m_plans;
  FakeServer m_server;
};

// The text up to each of its bytes, in each way.
inline std::vector<CutPlan> AllCutsOf(const std::string& text)
{
  std::vector<CutPlan> plans;
  for (std::size_t size = 0; size < text.size(); ++size)
  {
    for (const CutBy by : {CutBy::Close, CutBy::Reset})
    {
      for (const std::size_t packets : {1, 3})
        plans.push_back({text.substr(0, size), by, packets});
    }
  }
  return plans;
}

inline std::string Describe(const CutPlan& plan)
{
  return fmt::format(
      "{} bytes in {} packets, then {}: ...{}", plan.text.size(), plan.packets,
      plan.by == CutBy::Close ? "a close" : "a reset",
      plan.text.substr(plan.text.size() - std::min<std::size_t>(20, plan.text.size())));
}
} // namespace Holdpost::Testing
