// SPDX-License-Identifier: Apache-2.0
#include "Common/TcpConnection.h"

#include <algorithm>
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
  connection->UpdateReading();
  return connection;
}

TcpConnection::TcpConnection(EventLoop& loop, int fd, bool is_connecting)
    : m_loop(loop), m_fd(fd), m_is_connecting(is_connecting), m_held(loop.Buffers())
{
}

TcpConnection::~TcpConnection()
{
  m_on_over = nullptr;
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
  m_is_reading_armed = false;
  if (m_fd >= 0)
    close(m_fd);
  m_fd = -1;
  m_input = {};
  m_output.Clear();
  CountHeld();
  if (const auto on_over = std::exchange(m_on_over, nullptr))
    on_over();
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
  for (int i = 0; i < READS_PER_TURN && m_fd >= 0 && m_is_reading_armed; ++i)
  {
    const std::size_t room = std::min(buffer.size(), m_max_unread - m_input.size());
    const ssize_t count = recv(m_fd, buffer.data(), room, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (count < 0)
      return End(ConnectionEnd::Broken);
    if (count == 0)
      return End(EndOfInput());
    if (m_is_closing)
      continue;
    const auto size = static_cast<std::size_t>(count);
    OnInput({buffer.data(), size});
    if (size < room)
      return;
  }
}

void TcpConnection::OnInput(std::string_view data)
{
  if (m_input.empty())
  {
    data.remove_prefix(Offer(data));
    if (IsOpen())
      m_input = data;
  }
  else
  {
    m_input.append(data);
    OfferInput();
  }
  CountHeld();
  UpdateReading();
}

std::size_t TcpConnection::Offer(std::string_view data)
{
  m_is_offering = true;
  std::size_t consumed = 0;
  while (consumed < data.size() && IsOpen() && m_handlers->on_data)
  {
    const std::shared_ptr<const Handlers> handlers = m_handlers;
    const std::size_t more = handlers->on_data(data.substr(consumed));
    if (more == 0)
      break;
    consumed += more;
  }
  m_is_offering = false;
  return consumed;
}

void TcpConnection::OfferInput()
{
  // A handler that asks to read again from within gets its turn when it returns.
  if (m_is_offering || m_input.empty())
    return;
  // A handler may close the connection, which drops the input.
  std::string input = std::exchange(m_input, {});
  const std::size_t consumed = Offer(input);
  if (!IsOpen())
    return;
  // A copy of the rest leaves none of the memory of what was consumed behind.
  m_input = consumed == 0 ? std::move(input) : input.substr(std::min(consumed, input.size()));
  CountHeld();
  UpdateReading();
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
  UpdateReading();
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
  if (!IsOpen())
    return;
  if (MaySendNow())
  {
    const auto sent = Send(data);
    if (!sent)
      return OnSendFailed();
    if (*sent == data.size())
      return OnAllSent();
    data.remove_prefix(*sent);
    WaitForWritable();
  }
  m_output.Append(data);
  CountHeld();
}

void TcpConnection::Write(Bytes data)
{
  if (!IsOpen())
    return;
  const bool may_send_now = MaySendNow();
  m_output.Append(std::move(data));
  if (may_send_now)
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

std::optional<std::size_t> TcpConnection::Send(std::string_view data)
{
  std::size_t sent = 0;
  while (sent < data.size())
  {
    const ssize_t count = send(m_fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0 && errno == EAGAIN)
      break;
    if (count < 0)
    {
      if (m_send_error == 0)
        m_send_error = errno;
      return std::nullopt;
    }
    sent += static_cast<std::size_t>(count);
  }
  return sent;
}

void TcpConnection::Flush()
{
  while (!m_output.IsEmpty())
  {
    const std::size_t size = m_output.Front().size();
    const auto sent = Send(m_output.Front());
    if (!sent)
      return OnSendFailed();
    m_output.Consume(*sent);
    if (*sent < size)
      break;
  }
  CountHeld();
  if (!m_output.IsEmpty())
    return WaitForWritable();
  OnAllSent();
}

void TcpConnection::OnAllSent()
{
  if (m_is_closing)
  {
    shutdown(m_fd, SHUT_WR);
    m_timer->FireAfter(m_linger);
    return;
  }
  const std::shared_ptr<const Handlers> handlers = m_handlers;
  if (handlers->on_drained)
    handlers->on_drained();
}

void TcpConnection::OnSendFailed()
{
  // What the peer sent before it went away is read first, once reading is not paused; the read then
  // tells the end.
  m_output.Clear();
  CountHeld();
}

ConnectionEnd TcpConnection::EndOfInput() const
{
  // The kernel reports the error of a reset once. If a send has taken it, reads find the bytes that
  // are left and then an end like that of a close. EPIPE is the error of a reset that came behind
  // the peer's close.
  const bool was_closed_first = m_send_error == 0 || m_send_error == EPIPE;
  return was_closed_first ? ConnectionEnd::Finished : ConnectionEnd::Broken;
}

void TcpConnection::UpdateReading()
{
  if (!m_read_event || m_is_connecting)
    return;
  // What comes while the connection closes is thrown away.
  const bool is_full = !m_is_closing && m_input.size() >= m_max_unread;
  const bool reads = !m_is_reading_paused && !is_full;
  if (reads == std::exchange(m_is_reading_armed, reads))
    return;
  if (reads)
    event_add(m_read_event, nullptr);
  else
    event_del(m_read_event);
}

void TcpConnection::SetMaxUnread(std::size_t bytes)
{
  m_max_unread = bytes;
  UpdateReading();
}

void TcpConnection::PauseReading()
{
  m_is_reading_paused = true;
  UpdateReading();
}

void TcpConnection::ResumeReading()
{
  m_is_reading_paused = false;
  UpdateReading();
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

void TcpConnection::CloseGracefully(Milliseconds linger, std::function<void()> on_over)
{
  if (m_fd < 0 || m_is_closing)
    return;
  const std::shared_ptr<TcpConnection> held = shared_from_this();
  m_is_closing = true;
  m_linger = linger;
  m_on_over = std::move(on_over);
  SetHandlers({});
  m_input = {};
  CountHeld();
  ResumeReading();
  if (m_is_connecting)
    return Release();
  // The connection keeps itself until it is over.
  m_timer = m_loop.MakeTimer([held] { held->OnLingerOver(); });
  m_timer->FireAfter(linger);
  Flush();
}

void TcpConnection::OnLingerOver()
{
  // A peer that takes nothing for long ends the connection by itself.
  if (!m_output.IsEmpty())
    return m_timer->FireAfter(m_linger);
  Release();
}
} // namespace Holdpost::Common
