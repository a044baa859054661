// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include <netinet/in.h>

#include "Common/Error.h"
#include "Common/Types.h"

// The few socket calls that TCP and UDP share.
namespace Holdpost::Common
{
// Empty if the host is no IPv4 number.
std::optional<sockaddr_in> ToSockaddr(const Address& address);
Address FromSockaddr(const sockaddr_in& raw);
// The address that a socket is bound to.
Address BoundAddress(int fd);
void SetSocketOption(int fd, int level, int name, int value);
// Turns TCP keepalive on, so that a peer that goes silent without a sign is found within about
// three seconds, or within the user timeout if that is set.
void TurnKeepaliveOn(int fd);
// Opens and binds a non-blocking socket of the type (SOCK_STREAM or SOCK_DGRAM).
Result<int> OpenBoundSocket(int type, const Address& address);
} // namespace Holdpost::Common
