// SPDX-License-Identifier: Apache-2.0
#include "Common/DatagramSocket.h"

#include <array>

#include <sys/socket.h>
#include <unistd.h>

#include "Common/Socket.h"

namespace Holdpost::Common
{
static constexpr int RECEIVES_PER_TURN = 64;

DatagramSocket::DatagramSocket(EventLoop& loop, OnDatagram on_datagram)
    : m_loop(loop), m_on_datagram(std::move(on_datagram))
{
}

DatagramSocket::~DatagramSocket()
{
  m_watch.reset();
  if (m_fd >= 0)
    close(m_fd);
}

Result<Address> DatagramSocket::Bind(const Address& address)
{
  const Result<int> opened = OpenBoundSocket(SOCK_DGRAM, address);
  if (const auto* error = std::get_if<Error>(&opened))
    return *error;
  m_fd = std::get<int>(opened);
  m_watch = m_loop.WatchReadable(m_fd, [this] { ReceiveAll(); });
  return BoundAddress(m_fd);
}

void DatagramSocket::Send(const Address& to, std::string_view data)
{
  const auto raw = ToSockaddr(to);
  if (m_fd < 0 || !raw)
    return;
  [[maybe_unused]] const ssize_t sent =
      sendto(m_fd, data.data(), data.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&*raw),
             sizeof(*raw));
}

void DatagramSocket::ReceiveAll()
{
  // Cap'n Proto reads words, so the bytes must be aligned to them.
  alignas(8) std::array<char, 2048> buffer;
  for (int i = 0; i < RECEIVES_PER_TURN; ++i)
  {
    sockaddr_in raw{};
    socklen_t size = sizeof(raw);
    const ssize_t count =
        recvfrom(m_fd, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&raw), &size);
    if (count < 0)
      return;
    m_on_datagram(FromSockaddr(raw), {buffer.data(), static_cast<std::size_t>(count)});
  }
}
} // namespace Holdpost::Common
