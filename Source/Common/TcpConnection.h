// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/BufferAccount.h"
#include "Common/Error.h"
#include "Common/EventLoop.h"
#include "Common/OutputQueue.h"
#include "Common/Types.h"

struct event;

// TCP sockets on a libevent loop. Unlike a bufferevent, a connection tells a reset from a close,
// and costs one system call for a read and one for a write.
namespace Holdpost::Common
{
// Why a connection is over.
enum class ConnectionEnd
{
  // The peer closed in good order.
  Finished,
  // Reset, unreachable, or the peer stayed silent for longer than the user timeout.
  Broken,
  // The connection never came up.
  NotConnected,
};

class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
  struct Handlers
  {
    // Gets all unread bytes and returns how many it consumed; the rest comes again with more. The
    // bytes live during the call.
    std::function<std::size_t(std::string_view data)> on_data;
    // Called once at most, and never after Close or Reset.
    std::function<void(ConnectionEnd end)> on_end;
    // Called when everything written has been handed to the kernel.
    std::function<void()> on_drained;
    std::function<void()> on_connected;
  };

  // Begins to connect. `silence_most` bounds how long written bytes may stay unacknowledged.
  static std::shared_ptr<TcpConnection> Connect(EventLoop& loop, const Address& address,
                                                Milliseconds connect_timeout,
                                                Milliseconds silence_most);
  // Takes over an accepted socket.
  static std::shared_ptr<TcpConnection> Adopt(EventLoop& loop, int fd, Milliseconds silence_most);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // May be called from within a handler.
  void SetHandlers(Handlers handlers)
  {
    m_handlers = std::make_shared<const Handlers>(std::move(handlers));
  }
  void Write(std::string_view data);
  // The same without a copy: the bytes are kept until they are sent.
  void Write(Bytes data);
  // Of a connection that was opened: whether a peer that goes silent without a sign is found even
  // while nothing is written. On from the start.
  void SetKeepalive(bool is_on);
  // Bytes written that the kernel has not taken yet.
  std::size_t UnsentBytes() const { return m_output.Size(); }
  // Bytes received that nobody has consumed yet.
  std::size_t UnreadBytes() const { return m_input.size(); }

  // The unread bytes that are kept here; the peer's further ones stay in the kernel.
  void SetMaxUnread(std::size_t bytes);
  // While paused the peer is held back by the kernel's buffers.
  void PauseReading();
  void ResumeReading();
  // Offers unread bytes to on_data again.
  void ReadAgain();

  // Ends at once: unsent bytes are dropped.
  void Close();
  // Ends at once with a reset, so that the peer cannot take what it got for whole.
  void Reset();
  // Sends what is unsent, however long the peer takes to read it, tells the peer that no more
  // follows, and closes once the peer has closed or `linger` is over after that. What the peer
  // still sends is thrown away. `on_over` is called when the connection is closed.
  void CloseGracefully(Milliseconds linger, std::function<void()> on_over = nullptr);

  bool IsOpen() const { return m_fd >= 0 && !m_is_closing; }
  bool IsConnected() const { return m_fd >= 0 && !m_is_connecting; }

private:
  TcpConnection(EventLoop& loop, int fd, bool is_connecting);

  static void HandleRead(int fd, short what, void* self);
  static void HandleWrite(int fd, short what, void* self);
  void Arm();
  void OnReadable();
  void OnWritable();
  void OnConnectResult();
  void OnInput(std::string_view data);
  // Hands bytes to the handler until it consumes no more; returns how many it consumed.
  std::size_t Offer(std::string_view data);
  void OfferInput();
  // Reads, or does not, as the present state says.
  void UpdateReading();
  bool MaySendNow() const { return !m_is_connecting && !m_is_write_armed && m_output.IsEmpty(); }
  // Hands bytes to the kernel until it takes no more; returns how many it took, or nothing if the
  // connection is broken.
  std::optional<std::size_t> Send(std::string_view data);
  void Flush();
  void OnAllSent();
  void OnSendFailed();
  // How the peer ended the connection if a read finds no more bytes and no error.
  ConnectionEnd EndOfInput() const;
  void OnLingerOver();
  void WaitForWritable();
  void End(ConnectionEnd end);
  void Release();
  void CountHeld() { m_held.Set(m_input.size() + m_output.OwnBytes()); }

  EventLoop& m_loop;
  int m_fd;
  bool m_is_connecting;
  bool m_is_closing = false;
  bool m_is_reading_paused = false;
  bool m_is_reading_armed = false;
  bool m_is_offering = false;
  bool m_is_write_armed = false;
  // The errno of the first send that failed; 0 if none has.
  int m_send_error = 0;
  Milliseconds m_linger{0};
  event* m_read_event = nullptr;
  event* m_write_event = nullptr;
  std::unique_ptr<Watch> m_timer;
  std::function<void()> m_on_over;
  // Shared, so that a handler that replaces them lives until it returns.
  std::shared_ptr<const Handlers> m_handlers = std::make_shared<const Handlers>();
  std::size_t m_max_unread = std::numeric_limits<std::size_t>::max();
  std::string m_input;
  OutputQueue m_output;
  HeldBytes m_held;
};

// A listening socket.
class TcpListener
{
public:
  using OnAccepted = std::function<void(int fd)>;

  TcpListener(EventLoop& loop, OnAccepted on_accepted);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Port 0 lets the kernel choose. Returns the address that is listened on.
  Result<Address> Listen(const Address& address);
  void Stop();

private:
  void Watch();
  void AcceptAll();
  void OnAcceptFailed(int code);

  EventLoop& m_loop;
  OnAccepted m_on_accepted;
  int m_fd = -1;
  std::unique_ptr<Common::Watch> m_watch;
  std::unique_ptr<Common::Watch> m_retry;
};
} // namespace Holdpost::Common
