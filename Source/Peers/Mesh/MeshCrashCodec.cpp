// SPDX-License-Identifier: Apache-2.0
#include "Peers/Mesh/MeshWireParts.h"

// What processes tell each other of requests that crash engines.
namespace Holdpost::MeshPeer
{
static void Write(const Crashes::CrashRecord& record, MeshWire::CrashRecord::Builder out)
{
  out.setRequest(capnp::Data::Reader(record.request.bytes.data(), record.request.bytes.size()));
  auto crashes = out.initCrashes(static_cast<unsigned>(record.crashes.size()));
  for (unsigned i = 0; i < crashes.size(); ++i)
  {
    crashes[i].setEngine(record.crashes[i].engine);
    crashes[i].setAgeMs(ToWireMs(record.crashes[i].age));
  }
  if (record.cleared)
    out.setClearedMs(ToWireMs(*record.cleared) + 1);
}

void Write(const Mesh::CrashRecords& told, MeshWire::Message::Builder message)
{
  auto out = message.initCrashRecords(static_cast<unsigned>(told.records.size()));
  for (unsigned i = 0; i < out.size(); ++i)
    Write(told.records[i], out[i]);
}

Mesh::Message Read(capnp::List<MeshWire::CrashRecord>::Reader in)
{
  Mesh::CrashRecords told;
  for (const auto record : in)
  {
    const auto bytes = record.getRequest();
    if (bytes.size() != Gateway::RequestFingerprint::BYTES)
      continue;
    Crashes::CrashRecord read;
    std::ranges::copy(bytes, read.request.bytes.begin());
    for (const auto crash : record.getCrashes())
      read.crashes.push_back({crash.getEngine(), Milliseconds(crash.getAgeMs())});
    if (record.getClearedMs() > 0)
      read.cleared = Milliseconds(record.getClearedMs() - 1);
    told.records.push_back(std::move(read));
  }
  return told;
}

void Write(const Mesh::EngineEnded& told, MeshWire::Message::Builder message)
{
  auto out = message.initEngineEnded();
  Write(told.end.target, out.initTarget());
  out.setId(told.end.id);
  out.setIncarnation(told.end.incarnation);
}

Mesh::Message Read(MeshWire::EngineEnded::Reader in)
{
  return Mesh::EngineEnded{{Read(in.getTarget()), ToText(in.getId()), in.getIncarnation()}};
}
} // namespace Holdpost::MeshPeer
