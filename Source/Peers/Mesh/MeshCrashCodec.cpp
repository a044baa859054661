// SPDX-License-Identifier: Apache-2.0
#include "Peers/Mesh/MeshWireParts.h"

// What processes tell each other of what crashes engines.
namespace Holdpost::MeshPeer
{
static void Write(const Crashes::CrashRecord& record, MeshWire::CrashRecord::Builder out)
{
  const auto& bytes = Crashes::BytesOf(record.cause);
  out.setCause(capnp::Data::Reader(bytes.data(), bytes.size()));
  out.setIsPart(Crashes::IsPromptPart(record.cause));
  out.setPosition(static_cast<std::uint16_t>(record.position));
  out.setIsInferred(record.is_inferred);
  auto crashes = out.initCrashes(static_cast<unsigned>(record.crashes.size()));
  for (unsigned i = 0; i < crashes.size(); ++i)
  {
    crashes[i].setEngine(record.crashes[i].engine);
    crashes[i].setAgeMs(ToWireMs(record.crashes[i].age));
    crashes[i].setSentAgeMs(ToWireMs(record.crashes[i].sent_age));
    crashes[i].setOrganisation(record.crashes[i].organisation);
  }
  if (record.cleared)
    out.setClearedMs(ToWireMs(*record.cleared) + 1);
}

static void Write(const std::vector<Crashes::CrashRecord>& records,
                  capnp::List<MeshWire::CrashRecord>::Builder out)
{
  for (unsigned i = 0; i < out.size(); ++i)
    Write(records[i], out[i]);
}

void Write(const Mesh::CrashRecords& told, MeshWire::Message::Builder message)
{
  Write(told.records, message.initCrashRecords(static_cast<unsigned>(told.records.size())));
}

void Write(const Mesh::CrashRecordsRequest& /*ask*/, MeshWire::Message::Builder message)
{
  message.setCrashRecordsRequest();
}

void Write(const Mesh::CrashRecordsAnswer& tell, MeshWire::Message::Builder message)
{
  Write(tell.records, message.initCrashRecordsAnswer(static_cast<unsigned>(tell.records.size())));
}

template <typename Cause>
static Cause ReadCause(capnp::Data::Reader bytes)
{
  Cause cause;
  std::ranges::copy(bytes, cause.bytes.begin());
  return cause;
}

std::vector<Crashes::CrashRecord> Read(capnp::List<MeshWire::CrashRecord>::Reader in)
{
  std::vector<Crashes::CrashRecord> records;
  for (const auto record : in)
  {
    const auto bytes = record.getCause();
    if (bytes.size() != Crashes::PromptPart::BYTES)
      continue;
    Crashes::CrashRecord read;
    if (record.getIsPart())
      read.cause = ReadCause<Crashes::PromptPart>(bytes);
    else
      read.cause = ReadCause<Crashes::RequestFingerprint>(bytes);
    read.position = record.getPosition();
    read.is_inferred = record.getIsInferred();
    for (const auto crash : record.getCrashes())
    {
      read.crashes.push_back({crash.getEngine(), Milliseconds(crash.getAgeMs()),
                              Milliseconds(crash.getSentAgeMs()), crash.getOrganisation()});
    }
    if (record.getClearedMs() > 0)
      read.cleared = Milliseconds(record.getClearedMs() - 1);
    records.push_back(std::move(read));
  }
  return records;
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
