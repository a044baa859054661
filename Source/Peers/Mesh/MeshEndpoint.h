// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Common/DatagramSocket.h"
#include "Common/EventLoop.h"
#include "Common/TcpConnection.h"
#include "Peers/Mesh/MeshCodec.h"

// Carries mesh messages: small ones as datagrams, which may be lost, and others over connections
// that are opened when they are needed.
namespace Holdpost::MeshPeer
{
class MeshEndpoint
{
public:
  struct Handlers
  {
    std::function<void(const Mesh::Sender& from, Mesh::Message& message)> on_message;
    // Nothing that was sent to the address over a connection may be taken for received any more.
    std::function<void(const Common::Address& peer)> on_broken;
  };

  MeshEndpoint(Common::EventLoop& loop, Handlers handlers);
  ~MeshEndpoint();
  MeshEndpoint(const MeshEndpoint&) = delete;
  MeshEndpoint& operator=(const MeshEndpoint&) = delete;

  // Listens for datagrams and connections; `self` without its address.
  Common::Result<Common::Address> Listen(const Common::Address& address, Mesh::Sender self);
  const Mesh::Sender& Self() const { return m_self; }

  // Goes over a connection if it is too large for a datagram.
  void SendDatagram(const Common::Address& to, const Mesh::Message& message);
  void Send(const Common::Address& to, const Mesh::Message& message);
  // Closes connections that carried nothing for a while.
  void CloseIdle(Common::TimePoint now);

private:
  struct Link
  {
    std::shared_ptr<Common::TcpConnection> connection;
    Common::TimePoint used{};
  };

  void SendFramed(const Common::Address& to, const std::string& bytes);
  std::size_t OnStreamData(std::string_view data);
  void Deliver(std::string_view bytes);
  void OnAccepted(int fd);
  void OnBroken(const Common::Address& peer);

  Common::EventLoop& m_loop;
  Handlers m_handlers;
  Mesh::Sender m_self;
  Common::DatagramSocket m_datagrams;
  Common::TcpListener m_listener;
  // Connections that this side opened, by the peer's address.
  std::map<Common::Address, Link> m_links;
  // Connections that peers opened.
  std::map<Common::TcpConnection*, std::shared_ptr<Common::TcpConnection>> m_accepted;
};
} // namespace Holdpost::MeshPeer
