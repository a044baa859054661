// SPDX-License-Identifier: Apache-2.0
#include <cerrno>
#include <cstring>

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/EventLog.h"
#include "Common/Socket.h"
#include "Common/TcpConnection.h"

namespace Holdpost::Common
{
static constexpr int LISTEN_BACKLOG = 1024;
static constexpr int ACCEPTS_PER_TURN = 64;
// A process that has no descriptors left tries again after this.
static constexpr Milliseconds FULL_PAUSE = Milliseconds(100);

TcpListener::TcpListener(EventLoop& loop, OnAccepted on_accepted)
    : m_loop(loop), m_on_accepted(std::move(on_accepted))
{
}

TcpListener::~TcpListener()
{
  Stop();
}

Result<Address> TcpListener::Listen(const Address& address)
{
  const Result<int> opened = OpenBoundSocket(SOCK_STREAM, address);
  if (const auto* error = std::get_if<Error>(&opened))
    return *error;
  m_fd = std::get<int>(opened);
  if (listen(m_fd, LISTEN_BACKLOG) != 0)
  {
    return Error{ErrorKind::Internal,
                 fmt::format("cannot listen on {}: {}", address.ToString(), std::strerror(errno))};
  }
  m_retry = m_loop.MakeTimer([this] { Watch(); });
  Watch();
  return BoundAddress(m_fd);
}

void TcpListener::Watch()
{
  m_watch = m_loop.WatchReadable(m_fd, [this] { AcceptAll(); });
}

void TcpListener::Stop()
{
  m_watch.reset();
  m_retry.reset();
  if (m_fd >= 0)
    close(m_fd);
  m_fd = -1;
}

void TcpListener::AcceptAll()
{
  for (int i = 0; i < ACCEPTS_PER_TURN && m_fd >= 0; ++i)
  {
    const int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return OnAcceptFailed(errno);
    m_on_accepted(fd);
  }
}

void TcpListener::OnAcceptFailed(int code)
{
  const bool is_full = code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM;
  if (!is_full)
    return;
  // The connections that wait would wake this process again and again.
  LogEvent(Weight::Important, EventLoop::Now(), "accept.paused", "reason", std::strerror(code));
  m_watch->Cancel();
  // It is what runs at this moment, so it is destroyed later.
  m_loop.Defer([watch = std::shared_ptr<Common::Watch>(std::move(m_watch))] {});
  m_retry->FireAfter(FULL_PAUSE);
}
} // namespace Holdpost::Common
