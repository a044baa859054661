// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "Common/Error.h"
#include "Common/EventLoop.h"

// A UDP socket on the loop. Datagrams may be lost, doubled or out of order.
namespace Holdpost::Common
{
// Fits into one packet of any network.
constexpr std::size_t DATAGRAM_BYTES_MOST = 1400;

class DatagramSocket
{
public:
  using OnDatagram = std::function<void(const Address& from, std::string_view data)>;

  DatagramSocket(EventLoop& loop, OnDatagram on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  Result<Address> Bind(const Address& address);
  // Dropped silently when the kernel has no room.
  void Send(const Address& to, std::string_view data);

private:
  void ReceiveAll();

  EventLoop& m_loop;
  OnDatagram m_on_datagram;
  int m_fd = -1;
  std::unique_ptr<Watch> m_watch;
};
} // namespace Holdpost::Common
