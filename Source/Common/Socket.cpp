// SPDX-License-Identifier: Apache-2.0
#include "Common/Socket.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Holdpost::Common
{
// A peer that is silent for so long is probed so often, and so many times.
static constexpr int KEEPALIVE_IDLE_SECONDS = 1;
static constexpr int KEEPALIVE_INTERVAL_SECONDS = 1;
static constexpr int KEEPALIVE_PROBES = 2;

std::optional<sockaddr_in> ToSockaddr(const Address& address)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr) != 1)
    return std::nullopt;
  return raw;
}

Address FromSockaddr(const sockaddr_in& raw)
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw.sin_addr, text, sizeof(text));
  return {text, ntohs(raw.sin_port)};
}

Address BoundAddress(int fd)
{
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
  return FromSockaddr(raw);
}

void SetSocketOption(int fd, int level, int name, int value)
{
  setsockopt(fd, level, name, &value, sizeof(value));
}

void TurnKeepaliveOn(int fd)
{
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  SetSocketOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
}

Result<int> OpenBoundSocket(int type, const Address& address)
{
  const auto raw = ToSockaddr(address);
  if (!raw)
    return Error{ErrorKind::BadSettings, fmt::format("{} is no IP number", address.host)};
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return Error{ErrorKind::Internal, fmt::format("no socket: {}", std::strerror(errno))};
  SetSocketOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&*raw), sizeof(*raw)) != 0)
  {
    const int code = errno;
    close(fd);
    return Error{ErrorKind::Internal,
                 fmt::format("cannot listen on {}: {}", address.ToString(), std::strerror(code))};
  }
  return fd;
}
} // namespace Holdpost::Common
