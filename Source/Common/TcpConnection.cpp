// SPDX-License-Identifier: Apache-2.0
#include "Common/TcpConnection.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <event2/event.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Socket.h"

namespace Holdpost::Common
{
static constexpr std::size_t READ_BYTES = 64 << 10;
// Reads of one turn, so that one busy peer does not keep the others waiting.
static constexpr int READS_PER_TURN = 4;

static void SetStreamOptions(int fd, Milliseconds silence_most)
{
  SetSocketOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(silence_most.count()));
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(EventLoop& loop, const Address& address,
                                                      Milliseconds connect_timeout,
                                                      Milliseconds silence_most)
{
  const auto raw = ToSockaddr(address);
  const int fd = raw ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  std::shared_ptr<TcpConnection> connection(new TcpConnection(loop, fd, true));
  int failure = fd < 0 ? EINVAL : 0;
  if (fd >= 0)
  {
    SetStreamOptions(fd, silence_most);
    TurnKeepaliveOn(fd);
    const int result = connect(fd, reinterpret_cast<const sockaddr*>(&*raw), sizeof(*raw));
    failure = result != 0 && errno != EINPROGRESS ? errno : 0;
  }
  if (failure != 0)
  {
    // Told later, as the caller has no handlers in place yet.
    loop.Defer([connection] { connection->End(ConnectionEnd::NotConnected); });
    return connection;
  }
  connection->Arm();
  connection->WaitForWritable();
  connection->m_timer = loop.MakeTimer(
      [weak = connection->weak_from_this()]
      {
        if (const auto held = weak.lock())
          held->End(ConnectionEnd::NotConnected);
      });
  connection->m_timer->FireAfter(connect_timeout);
  return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::Adopt(EventLoop& loop, int fd,
                                                    Milliseconds silence_most)
{
  SetStreamOptions(fd, silence_most);
  std::shared_ptr<TcpConnection> connection(new TcpConnection(loop, fd, false));
  connection->Arm();
  event_add(connection->m_read_event, nullptr);
  return connection;
}

TcpConnection::TcpConnection(EventLoop& loop, int fd, bool is_connecting)
    : m_loop(loop), m_fd(fd), m_is_connecting(is_connecting)
{
}

TcpConnection::~TcpConnection()
{
  Release();
}

void TcpConnection::Arm()
{
  m_read_event =
      event_new(m_loop.Base(), m_fd, EV_READ | EV_PERSIST, &TcpConnection::HandleRead, this);
  m_write_event = event_new(m_loop.Base(), m_fd, EV_WRITE, &TcpConnection::HandleWrite, this);
}

void TcpConnection::Release()
{
  // The timer may be what runs at this moment, so it is destroyed later. It may also be due at the
  // same moment as what runs, and must not fire any more.
  if (m_timer)
  {
    m_timer->Cancel();
    m_loop.Defer([timer = std::shared_ptr<Watch>(std::move(m_timer))] {});
  }
  for (event** watched : {&m_read_event, &m_write_event})
  {
    if (*watched)
      event_free(*watched);
    *watched = nullptr;
  }
  if (m_fd >= 0)
    close(m_fd);
  m_fd = -1;
}

void TcpConnection::HandleRead(int /*fd*/, short /*what*/, void* self)
{
  const std::shared_ptr<TcpConnection> held = static_cast<TcpConnection*>(self)->shared_from_this();
  held->OnReadable();
}

void TcpConnection::HandleWrite(int /*fd*/, short /*what*/, void* self)
{
  const std::shared_ptr<TcpConnection> held = static_cast<TcpConnection*>(self)->shared_from_this();
  held->m_is_write_armed = false;
  held->OnWritable();
}

void TcpConnection::OnReadable()
{
  static thread_local std::array<char, READ_BYTES> buffer;
  for (int i = 0; i < READS_PER_TURN && m_fd >= 0 && !m_is_reading_paused; ++i)
  {
    const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (count < 0)
      return End(ConnectionEnd::Broken);
    if (count == 0)
      return End(ConnectionEnd::Finished);
    if (m_is_closing)
      continue;
    const auto size = static_cast<std::size_t>(count);
    m_input.append(buffer.data(), size);
    OfferInput();
    if (size < buffer.size())
      return;
  }
}

void TcpConnection::OfferInput()
{
  // A handler that asks to read again from within gets its turn when it returns.
  if (m_is_offering)
    return;
  m_is_offering = true;
  while (!m_input.empty() && m_fd >= 0 && !m_is_closing && m_handlers->on_data)
  {
    const std::shared_ptr<const Handlers> handlers = m_handlers;
    const std::size_t consumed = handlers->on_data(m_input);
    if (consumed == 0)
      break;
    m_input.erase(0, consumed);
  }
  m_is_offering = false;
}

void TcpConnection::ReadAgain()
{
  OfferInput();
}

void TcpConnection::OnConnectResult()
{
  int code = 0;
  socklen_t size = sizeof(code);
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &code, &size);
  if (code != 0)
    return End(ConnectionEnd::NotConnected);
  m_is_connecting = false;
  m_timer.reset();
  event_add(m_read_event, nullptr);
  const std::shared_ptr<const Handlers> handlers = m_handlers;
  if (handlers->on_connected)
    handlers->on_connected();
}

void TcpConnection::OnWritable()
{
  if (m_is_connecting)
    OnConnectResult();
  if (m_fd >= 0 && !m_is_connecting)
    Flush();
}

void TcpConnection::Write(std::string_view data)
{
  if (m_fd < 0 || m_is_closing)
    return;
  m_output.append(data);
  if (!m_is_connecting && !m_is_write_armed)
    Flush();
}

void TcpConnection::SetKeepalive(bool is_on)
{
  if (m_fd >= 0)
    SetSocketOption(m_fd, SOL_SOCKET, SO_KEEPALIVE, is_on ? 1 : 0);
}

void TcpConnection::WaitForWritable()
{
  if (m_is_write_armed)
    return;
  m_is_write_armed = true;
  event_add(m_write_event, nullptr);
}

void TcpConnection::Flush()
{
  while (UnsentBytes() > 0)
  {
    const ssize_t count = send(m_fd, m_output.data() + m_output_sent, UnsentBytes(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0 && errno == EAGAIN)
      return WaitForWritable();
    if (count < 0)
      return OnSendFailed();
    m_output_sent += static_cast<std::size_t>(count);
  }
  const bool was_sent = UnsentBytes() == 0;
  m_output.clear();
  m_output_sent = 0;
  if (m_is_closing && was_sent)
    shutdown(m_fd, SHUT_WR);
  const std::shared_ptr<const Handlers> handlers = m_handlers;
  if (was_sent && !m_is_closing && handlers->on_drained)
    handlers->on_drained();
}

void TcpConnection::OnSendFailed()
{
  m_output.clear();
  m_output_sent = 0;
  // What the peer sent before it went away is read first; the read then tells the end.
  if (!m_is_reading_paused)
    return;
  m_loop.Defer([held = shared_from_this()] { held->End(ConnectionEnd::Broken); });
}

void TcpConnection::PauseReading()
{
  if (std::exchange(m_is_reading_paused, true) || !m_read_event || m_is_connecting)
    return;
  event_del(m_read_event);
}

void TcpConnection::ResumeReading()
{
  if (!std::exchange(m_is_reading_paused, false) || !m_read_event || m_is_connecting)
    return;
  event_add(m_read_event, nullptr);
}

void TcpConnection::End(ConnectionEnd end)
{
  if (m_fd < 0 && end != ConnectionEnd::NotConnected)
    return;
  const std::shared_ptr<TcpConnection> held = shared_from_this();
  const std::shared_ptr<const Handlers> handlers = m_handlers;
  const bool was_closing = m_is_closing;
  m_is_closing = true;
  Release();
  SetHandlers({});
  if (handlers->on_end && !was_closing)
    handlers->on_end(end);
}

void TcpConnection::Close()
{
  const std::shared_ptr<TcpConnection> held = shared_from_this();
  m_is_closing = true;
  SetHandlers({});
  Release();
}

void TcpConnection::Reset()
{
  if (m_fd >= 0)
  {
    const linger at_once = {1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
  Close();
}

void TcpConnection::CloseGracefully(Milliseconds linger)
{
  if (m_fd < 0 || m_is_closing)
    return;
  const std::shared_ptr<TcpConnection> held = shared_from_this();
  m_is_closing = true;
  SetHandlers({});
  m_input.clear();
  m_is_reading_paused = true;
  ResumeReading();
  if (m_is_connecting)
    return Release();
  // The connection keeps itself until it is over.
  m_timer = m_loop.MakeTimer([held] { held->Release(); });
  m_timer->FireAfter(linger);
  Flush();
}
} // namespace Holdpost::Common
