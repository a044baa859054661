// SPDX-License-Identifier: Apache-2.0
#include "Peers/Mesh/MeshEndpoint.h"

#include <vector>

namespace Holdpost::MeshPeer
{
using Common::Address;
using Common::Milliseconds;
using Common::TcpConnection;

// Each message on a connection stands behind its length, the highest byte first.
static constexpr std::size_t LENGTH_BYTES = 4;
static constexpr std::size_t MESSAGE_BYTES_MOST = 64 << 20;
static constexpr Milliseconds CONNECT_TIMEOUT = Milliseconds(800);
static constexpr Milliseconds SILENCE_MOST = Milliseconds(1500);
static constexpr Milliseconds IDLE_MOST = Milliseconds(10000);

MeshEndpoint::MeshEndpoint(Common::EventLoop& loop, Handlers handlers)
    : m_loop(loop), m_handlers(std::move(handlers)),
      m_datagrams(loop, [this](const Address&, std::string_view data) { Deliver(data); }),
      m_listener(loop, [this](int fd) { OnAccepted(fd); })
{
}

MeshEndpoint::~MeshEndpoint()
{
  for (const auto& [address, link] : m_links)
    link.connection->Close();
  for (const auto& [raw, connection] : m_accepted)
    connection->Close();
}

Common::Result<Address> MeshEndpoint::Listen(const Address& address, Mesh::Sender self)
{
  auto stream = m_listener.Listen(address);
  if (!Common::Succeeded(stream))
    return stream;
  auto datagrams = m_datagrams.Bind(std::get<Address>(stream));
  m_self = std::move(self);
  m_self.address = std::get<Address>(stream);
  return datagrams;
}

void MeshEndpoint::Deliver(std::string_view bytes)
{
  if (auto envelope = Decode(bytes))
    m_handlers.on_message(envelope->from, envelope->message);
}

std::size_t MeshEndpoint::OnStreamData(std::string_view data)
{
  std::size_t consumed = 0;
  while (data.size() - consumed >= LENGTH_BYTES)
  {
    std::size_t length = 0;
    for (std::size_t i = 0; i < LENGTH_BYTES; ++i)
      length = length << 8 | static_cast<std::uint8_t>(data[consumed + i]);
    if (length > MESSAGE_BYTES_MOST)
      return data.size();
    if (data.size() - consumed < LENGTH_BYTES + length)
      break;
    Deliver(data.substr(consumed + LENGTH_BYTES, length));
    consumed += LENGTH_BYTES + length;
  }
  return consumed;
}

void MeshEndpoint::OnAccepted(int fd)
{
  auto connection = TcpConnection::Adopt(m_loop, fd, SILENCE_MOST);
  TcpConnection* raw = connection.get();
  m_accepted.emplace(raw, std::move(connection));
  raw->SetHandlers({[this](std::string_view data) { return OnStreamData(data); },
                    [this, raw](Common::ConnectionEnd) { m_accepted.erase(raw); }, nullptr,
                    nullptr});
}

void MeshEndpoint::SendDatagram(const Address& to, const Mesh::Message& message)
{
  const std::string bytes = Encode(m_self, message);
  if (bytes.size() > Common::DATAGRAM_BYTES_MOST)
    return SendFramed(to, bytes);
  m_datagrams.Send(to, bytes);
}

void MeshEndpoint::Send(const Address& to, const Mesh::Message& message)
{
  SendFramed(to, Encode(m_self, message));
}

void MeshEndpoint::SendFramed(const Address& to, const std::string& bytes)
{
  Link& link = m_links[to];
  if (!link.connection)
  {
    link.connection = TcpConnection::Connect(m_loop, to, CONNECT_TIMEOUT, SILENCE_MOST);
    link.connection->SetHandlers({[](std::string_view data) { return data.size(); },
                                  [this, to](Common::ConnectionEnd) { OnBroken(to); }, nullptr,
                                  nullptr});
  }
  link.used = Common::EventLoop::Now();
  std::string framed;
  framed.reserve(LENGTH_BYTES + bytes.size());
  for (std::size_t i = LENGTH_BYTES; i-- > 0;)
    framed.push_back(static_cast<char>(bytes.size() >> (8 * i) & 0xff));
  framed.append(bytes);
  link.connection->Write(framed);
}

void MeshEndpoint::OnBroken(const Address& peer)
{
  m_links.erase(peer);
  m_handlers.on_broken(peer);
}

void MeshEndpoint::CloseIdle(Common::TimePoint now)
{
  std::erase_if(m_links,
                [now](const auto& entry)
                {
                  const bool is_idle = now - entry.second.used > IDLE_MOST &&
                                       entry.second.connection->UnsentBytes() == 0;
                  if (is_idle)
                    entry.second.connection->Close();
                  return is_idle;
                });
}
} // namespace Holdpost::MeshPeer
