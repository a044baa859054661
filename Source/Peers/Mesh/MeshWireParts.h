// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <arpa/inet.h>

#include "Core/Mesh/MeshMessages.h"
#include "Peers/Mesh/Mesh.capnp.h"

// How each mesh message is written and read, for the codec alone. The messages are dealt out to
// files by what they are about.
namespace Holdpost::MeshPeer
{
using Common::Address;
using Common::Milliseconds;

inline constexpr double PERCENT = 100;

inline void Write(const Address& address, MeshWire::Address::Builder out)
{
  in_addr raw{};
  inet_pton(AF_INET, address.host.c_str(), &raw);
  out.setIp(ntohl(raw.s_addr));
  out.setPort(address.port);
}

inline Address Read(MeshWire::Address::Reader in)
{
  if (in.getIp() == 0)
    return {};
  in_addr raw{};
  raw.s_addr = htonl(in.getIp());
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, text, sizeof(text));
  return {text, in.getPort()};
}

inline void Write(const std::vector<Address>& addresses,
                  capnp::List<MeshWire::Address>::Builder out)
{
  for (unsigned i = 0; i < out.size(); ++i)
    Write(addresses[i], out[i]);
}

inline std::vector<Address> Read(capnp::List<MeshWire::Address>::Reader in)
{
  std::vector<Address> addresses;
  addresses.reserve(in.size());
  for (const auto address : in)
    addresses.push_back(Read(address));
  return addresses;
}

inline std::string ToText(capnp::Text::Reader text)
{
  return {text.begin(), text.size()};
}

inline std::string ToBytes(capnp::Data::Reader data)
{
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline capnp::Data::Reader BytesOf(const std::string& bytes)
{
  return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

// Fields in which 0 says that there is no number hold one more than the number.
inline constexpr std::uint32_t MAX_WIRE_NUMBER = UINT32_MAX - 1;

inline std::uint32_t ToWireMs(Milliseconds time)
{
  return static_cast<std::uint32_t>(
      std::clamp<Milliseconds::rep>(time.count(), 0, MAX_WIRE_NUMBER));
}

inline std::uint16_t ToWireCount(double count)
{
  return static_cast<std::uint16_t>(std::clamp(std::round(count), 0.0, double{UINT16_MAX}));
}

inline std::uint8_t ToWirePercent(double share)
{
  return static_cast<std::uint8_t>(std::clamp(std::round(share * PERCENT), 0.0, PERCENT));
}

void Write(const std::vector<Mesh::AdvertisedVersion>& weights,
           capnp::List<MeshWire::Weights>::Builder out);
std::vector<Mesh::AdvertisedVersion> Read(capnp::List<MeshWire::Weights>::Reader in);
void Write(const Mesh::Hello& hello, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::Hello::Reader in);
void Write(const Mesh::LoadReport& report, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::Load::Reader in);
void Write(const Mesh::WorkUpdate& tell, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::Work::Reader in);
void Write(const Mesh::Announce& announce, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::Announcement::Reader in);
void Write(const Mesh::PieceRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::PieceCancel& cancel, MeshWire::Message::Builder message);
void Write(const Mesh::PieceReply& tell, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::PieceAnswer::Reader in);
void Write(const Mesh::DocumentRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::DocumentUpdate& tell, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::DocumentAnswer::Reader in);
void Write(const Mesh::TargetsRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::GatewaysRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::GatewaysReply& tell, MeshWire::Message::Builder message);
void Write(const Mesh::BriefingRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::CrashRecords& told, MeshWire::Message::Builder message);
void Write(const Mesh::CrashRecordsRequest& ask, MeshWire::Message::Builder message);
void Write(const Mesh::CrashRecordsAnswer& tell, MeshWire::Message::Builder message);
std::vector<Crashes::CrashRecord> Read(capnp::List<MeshWire::CrashRecord>::Reader in);
void Write(const Mesh::LimitUpdate& told, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::RateLimit::Reader in);
void Write(const Mesh::EngineEnded& told, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::EngineEnded::Reader in);
void Write(const Mesh::LeavingTargets& told, MeshWire::Message::Builder message);
Mesh::Message Read(capnp::List<MeshWire::LeavingTarget>::Reader in);
void Write(const Mesh::TargetsUpdate& tell, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::TargetsAnswer::Reader in);
void Write(const Mesh::ReaderBeat& beat, MeshWire::Message::Builder message);
Mesh::Message Read(MeshWire::ReaderBeat::Reader in);
} // namespace Holdpost::MeshPeer
