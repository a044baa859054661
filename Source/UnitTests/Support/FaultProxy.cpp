// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Support/FaultProxy.h"

#include <algorithm>
#include <array>
#include <utility>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "UnitTests/Support/Sockets.h"

namespace Holdpost::Testing
{
using Common::Address;
using Common::Duration;
using Common::EventLoop;
using Common::TimePoint;

static constexpr int BACKLOG = 128;

static sockaddr_in SocketAddressOf(const Address& address)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  REQUIRE(inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr) == 1);
  return raw;
}

FaultProxy::FaultProxy(EventLoop& loop, const Address& listen, Address target)
    : m_loop(loop), m_target(std::move(target)), m_address(listen)
{
  sockaddr_in raw = SocketAddressOf(listen);
  m_listener = evconnlistener_new_bind(m_loop.Base(), HandleAccept, this,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
                                       reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  REQUIRE(m_listener != nullptr);
  socklen_t size = sizeof(raw);
  REQUIRE(getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&raw),
                      &size) == 0);
  m_address.port = ntohs(raw.sin_port);
}

FaultProxy::~FaultProxy()
{
  while (!m_links.empty())
    Close(m_links.front(), true);
  evconnlistener_free(m_listener);
}

void FaultProxy::SetFault(ProxyFault fault, Duration delay)
{
  m_fault = fault;
  m_delay = delay;
  if (fault == ProxyFault::Reset)
  {
    while (!m_links.empty())
      Close(m_links.front(), true);
  }
  for (Link& link : m_links)
    ApplyTo(link);
}

void FaultProxy::SilenceOpen()
{
  for (const Link& link : m_links)
  {
    for (bufferevent* side : {link.caller, link.target})
    {
      if (const int fd = bufferevent_getfd(side); fd >= 0)
        DropAllInput(fd);
    }
  }
}

void FaultProxy::HandleAccept(evconnlistener* /*listener*/, int fd, sockaddr* /*address*/,
                              int /*length*/, void* self)
{
  static_cast<FaultProxy*>(self)->Accept(fd);
}

void FaultProxy::Accept(int fd)
{
  Link& link = m_links.emplace_back();
  link.number = m_next_number++;
  link.proxy = this;
  link.caller = bufferevent_socket_new(m_loop.Base(), fd, BEV_OPT_CLOSE_ON_FREE);
  link.target = bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Open(link.requests, link, false);
  Open(link.answers, link, true);
  if (m_fault == ProxyFault::Reset)
    return Close(link, true);
  sockaddr_in raw = SocketAddressOf(m_target);
  bufferevent_socket_connect(link.target, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  ApplyTo(link);
}

void FaultProxy::Open(Way& way, Link& link, bool is_answers)
{
  way.link = &link;
  way.is_answers = is_answers;
  way.from = is_answers ? link.target : link.caller;
  way.to = is_answers ? link.caller : link.target;
  way.timer = m_loop.MakeTimer([this, &way] { WriteDue(way); });
  bufferevent_setcb(way.from, HandleRead, nullptr, HandleEvent, &way);
}

void FaultProxy::ApplyTo(Link& link) const
{
  const bool is_silent = m_fault == ProxyFault::Silent;
  const bool holds_answers = is_silent || m_fault == ProxyFault::AnswersHeld;
  (is_silent ? bufferevent_disable : bufferevent_enable)(link.caller, EV_READ);
  (holds_answers ? bufferevent_disable : bufferevent_enable)(link.target, EV_READ);
}

void FaultProxy::HandleRead(bufferevent* from, void* way)
{
  evbuffer* input = bufferevent_get_input(from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  Way& passed = *static_cast<Way*>(way);
  passed.link->proxy->Pass(passed, std::move(bytes));
}

void FaultProxy::HandleEvent(bufferevent* /*from*/, short what, void* way)
{
  Way& ended = *static_cast<Way*>(way);
  if (what & BEV_EVENT_ERROR)
    return ended.link->proxy->Close(*ended.link, true);
  if (what & BEV_EVENT_EOF)
    ended.link->proxy->Pass(ended, "");
}

void FaultProxy::Pass(Way& way, std::string bytes)
{
  TimePoint due = EventLoop::Now();
  if (m_fault == ProxyFault::Delayed)
    due += m_delay;
  if (!way.late.empty())
    due = std::max(due, way.late.back().due);
  way.late.push_back({due, std::move(bytes)});
  WriteDue(way);
}

void FaultProxy::WriteDue(Way& way)
{
  const TimePoint now = EventLoop::Now();
  while (!way.late.empty() && way.late.front().due <= now)
  {
    const std::string bytes = std::move(way.late.front().bytes);
    way.late.pop_front();
    if (bytes.empty())
    {
      // A caller that has ended its side waits for nothing; neither does one whose answer ended.
      return CloseSoon(way.link->number);
    }
    bufferevent_write(way.to, bytes.data(), bytes.size());
  }
  if (!way.late.empty())
    way.timer->FireAfter(way.late.front().due - now);
}

void FaultProxy::CloseSoon(std::uint64_t number)
{
  // The timer of the link may be what calls: it cannot be taken away now.
  m_loop.Defer(
      [this, number]
      {
        const auto link = std::ranges::find(m_links, number, &Link::number);
        if (link != m_links.end())
          Close(*link, false);
      });
}

void FaultProxy::Close(Link& link, bool is_reset)
{
  for (bufferevent* side : {link.caller, link.target})
  {
    const int fd = bufferevent_getfd(side);
    const linger at_once{1, 0};
    if (is_reset && fd >= 0)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    evbuffer* output = bufferevent_get_output(side);
    // What was passed on before the end is not lost with it.
    while (!is_reset && fd >= 0 && evbuffer_get_length(output) > 0 &&
           evbuffer_write(output, fd) > 0)
      continue;
    bufferevent_free(side);
  }
  m_links.remove_if([&](const Link& open) { return &open == &link; });
}
} // namespace Holdpost::Testing
