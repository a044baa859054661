// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "Common/TcpConnection.h"

// A TCP proxy for tests that cuts connections after some bytes of the answers.
namespace Holdpost::Testing
{
class CutProxy
{
public:
  // Called for each connection that comes: after how many bytes of answers it is cut; never if that
  // is empty.
  using NextCut = std::function<std::optional<std::size_t>()>;

  CutProxy(Common::EventLoop& loop, const Common::Address& listen, Common::Address target,
           NextCut next_cut)
      : m_loop(loop), m_target(std::move(target)), m_next_cut(std::move(next_cut)),
        m_listener(loop, [this](int fd) { Accept(fd); }),
        m_address(std::get<Common::Address>(m_listener.Listen(listen)))
  {
  }
  ~CutProxy() { CloseOpen(); }
  CutProxy(const CutProxy&) = delete;
  CutProxy& operator=(const CutProxy&) = delete;

  const Common::Address& At() const { return m_address; }
  // Closes the connections that are open now.
  void CloseOpen()
  {
    for (const std::weak_ptr<Link>& weak : m_links)
    {
      if (const auto link = weak.lock())
        Close(*link, &Common::TcpConnection::Close);
    }
  }
  // The number of connections that were cut.
  std::size_t Cuts() const { return m_cuts; }

private:
  static constexpr Common::Milliseconds MAX_SILENCE{5000};

  // Its connections keep it, until they end.
  struct Link
  {
    std::shared_ptr<Common::TcpConnection> caller;
    std::shared_ptr<Common::TcpConnection> target;
    // Bytes of answers that may still pass.
    std::optional<std::size_t> left;
  };

  static void Close(Link& link, void (Common::TcpConnection::*how)())
  {
    (link.caller.get()->*how)();
    link.target->Close();
  }
  void Accept(int fd)
  {
    const auto link = std::make_shared<Link>();
    link->caller = Common::TcpConnection::Adopt(m_loop, fd, MAX_SILENCE);
    link->target = Common::TcpConnection::Connect(m_loop, m_target, MAX_SILENCE, MAX_SILENCE);
    link->left = m_next_cut();
    link->caller->SetHandlers({[link](std::string_view data)
                               {
                                 link->target->Write(data);
                                 return data.size();
                               },
                               [link](Common::ConnectionEnd) { link->target->Close(); }, nullptr,
                               nullptr});
    link->target->SetHandlers({[this, link](std::string_view data)
                               {
                                 Pass(*link, data);
                                 return data.size();
                               },
                               [link](Common::ConnectionEnd)
                               { link->caller->CloseGracefully(MAX_SILENCE); },
                               nullptr, nullptr});
    m_links.remove_if([](const std::weak_ptr<Link>& old) { return old.expired(); });
    m_links.push_back(link);
  }
  void Pass(Link& link, std::string_view data)
  {
    if (!link.left)
      return link.caller->Write(data);
    data = data.substr(0, *link.left);
    link.caller->Write(data);
    *link.left -= data.size();
    if (*link.left > 0)
      return;
    // Closes and resets by turns.
    if (++m_cuts % 2 == 0)
      return Close(link, &Common::TcpConnection::Reset);
    link.caller->CloseGracefully(MAX_SILENCE);
    link.target->Close();
  }

  Common::EventLoop& m_loop;
  Common::Address m_target;
  NextCut m_next_cut;
  Common::TcpListener m_listener;
  Common::Address m_address;
  std::list<std::weak_ptr<Link>> m_links;
  std::size_t m_cuts = 0;
};
} // namespace Holdpost::Testing
