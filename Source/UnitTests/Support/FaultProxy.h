// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "Common/EventLoop.h"
#include "Common/Types.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

// A TCP proxy on loopback that harms the connections that go through it, for tests.
namespace Holdpost::Testing
{
enum class ProxyFault
{
  None,
  // Bytes of both ways are late by `delay`.
  Delayed,
  // Nothing passes; the connections stay open.
  Silent,
  // Requests pass, answers don't.
  AnswersHeld,
  // Connections are reset, the open ones and those that come.
  Reset,
};

class FaultProxy
{
public:
  FaultProxy(Common::EventLoop& loop, const Common::Address& listen, Common::Address target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  Common::Address At() const { return m_address; }
  void SetFault(ProxyFault fault, Common::Duration delay = Common::Duration::zero());
  // The connections that are open now go silent for good, without a sign; new ones work.
  void SilenceOpen();

private:
  struct Link;

  // One way of a connection: bytes that are read from `from` are written to `to` when they are due.
  struct Way
  {
    Link* link = nullptr;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    bool is_answers = false;
    struct Late
    {
      Common::TimePoint due;
      std::string bytes; // empty for the end
    };
    std::deque<Late> late;
    std::unique_ptr<Common::Watch> timer;
  };
  struct Link
  {
    std::uint64_t number = 0;
    FaultProxy* proxy = nullptr;
    bufferevent* caller = nullptr;
    bufferevent* target = nullptr;
    Way requests;
    Way answers;
  };

  static void HandleAccept(evconnlistener* listener, int fd, sockaddr* address, int length,
                           void* self);
  static void HandleRead(bufferevent* from, void* way);
  static void HandleEvent(bufferevent* from, short what, void* way);
  void Accept(int fd);
  void Open(Way& way, Link& link, bool is_answers);
  void Pass(Way& way, std::string bytes);
  void WriteDue(Way& way);
  void ApplyTo(Link& link) const;
  void CloseSoon(std::uint64_t number);
  void Close(Link& link, bool is_reset);

  Common::EventLoop& m_loop;
  Common::Address m_target;
  Common::Address m_address;
  evconnlistener* m_listener = nullptr;
  ProxyFault m_fault = ProxyFault::None;
  Common::Duration m_delay{};
  std::uint64_t m_next_number = 1;
  std::list<Link> m_links;
};
} // namespace Holdpost::Testing
