// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/Codec.h"

#include <algorithm>
#include <cstring>

namespace Holdpost::InstancePeer
{
using Common::Digest;

static std::string ToString(capnp::Text::Reader text)
{
  return {text.begin(), text.size()};
}

static capnp::Data::Reader ToData(const std::string& bytes)
{
  return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

capnp::Data::Reader ToData(const Digest& digest)
{
  return {digest.bytes.data(), digest.bytes.size()};
}

Digest ToDigest(capnp::Data::Reader data)
{
  Digest digest;
  if (data.size() == digest.bytes.size())
    std::copy(data.begin(), data.end(), digest.bytes.begin());
  return digest;
}

std::string ToString(capnp::Data::Reader data)
{
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void Write(const Membership::Report& report, Wire::Report::Builder out)
{
  out.setInstance(report.instance);
  out.setHall(report.hall);
  out.setPool(report.pool);
  out.setRole(static_cast<std::uint8_t>(report.role));
  out.setIncarnation(report.incarnation);
  out.setHost(report.address.host);
  out.setPort(report.address.port);
  out.setLifecycle(static_cast<std::uint8_t>(report.lifecycle));
  out.setPosition(report.position);
  out.setAccepted(report.accepted);
  out.setCredits(report.credits);
  out.setDemand(report.demand);
  out.setMayLoad(report.may_load);
  auto versions = out.initVersions(static_cast<unsigned>(report.versions.size()));
  for (unsigned i = 0; i < versions.size(); ++i)
  {
    versions[i].setVersion(ToData(report.versions[i].version));
    versions[i].setPiecesHeld(report.versions[i].pieces_held);
    versions[i].setPiecesTotal(report.versions[i].pieces_total);
  }
  auto services = out.initServices(static_cast<unsigned>(report.services.size()));
  for (unsigned i = 0; i < services.size(); ++i)
  {
    services[i].setService(report.services[i].service);
    services[i].setVersion(ToData(report.services[i].version));
    services[i].setIsReady(report.services[i].is_ready);
    services[i].setIsLoading(report.services[i].is_loading);
    services[i].setSlots(report.services[i].slots);
    services[i].setRunning(report.services[i].running);
  }
}

Membership::Report Read(Wire::Report::Reader in)
{
  Membership::Report report;
  report.instance = ToString(in.getInstance());
  report.hall = ToString(in.getHall());
  report.pool = ToString(in.getPool());
  report.role = in.getRole() == 0 ? Membership::Role::Entry : Membership::Role::Agent;
  report.incarnation = in.getIncarnation();
  report.address = {ToString(in.getHost()), in.getPort()};
  report.lifecycle = static_cast<Membership::Lifecycle>(
      std::min<int>(in.getLifecycle(), static_cast<int>(Membership::Lifecycle::Leaving)));
  report.position = in.getPosition();
  report.accepted = in.getAccepted();
  report.credits = in.getCredits();
  report.demand = in.getDemand();
  report.may_load = in.getMayLoad();
  for (const auto version : in.getVersions())
  {
    report.versions.push_back(
        {ToDigest(version.getVersion()), version.getPiecesHeld(), version.getPiecesTotal()});
  }
  for (const auto service : in.getServices())
  {
    report.services.push_back({ToString(service.getService()), ToDigest(service.getVersion()),
                               service.getIsReady(), service.getIsLoading(), service.getSlots(),
                               service.getRunning()});
  }
  return report;
}

void Write(const Distribution::Announcement& announcement, Wire::Announcement::Builder out)
{
  out.setVersion(ToData(announcement.version));
  out.setPieceCount(announcement.piece_count);
  out.setIsWhole(announcement.is_full_list);
  out.setWantsReply(announcement.wants_reply);
  out.setBitmap(ToData(announcement.bitmap));
  auto pieces = out.initPieces(static_cast<unsigned>(announcement.pieces.size()));
  for (unsigned i = 0; i < pieces.size(); ++i)
    pieces.set(i, announcement.pieces[i]);
}

Distribution::Announcement Read(Wire::Announcement::Reader in)
{
  Distribution::Announcement announcement;
  announcement.version = ToDigest(in.getVersion());
  announcement.piece_count = in.getPieceCount();
  announcement.is_full_list = in.getIsWhole();
  announcement.wants_reply = in.getWantsReply();
  announcement.bitmap = ToString(in.getBitmap());
  for (const std::uint32_t piece : in.getPieces())
    announcement.pieces.push_back(piece);
  return announcement;
}

void Write(const Sender& sender, Wire::Sender::Builder out)
{
  out.setInstance(sender.instance);
  out.setHost(sender.address.host);
  out.setPort(sender.address.port);
  out.setIncarnation(sender.incarnation);
}

Sender Read(Wire::Sender::Reader in)
{
  return {ToString(in.getInstance()), {ToString(in.getHost()), in.getPort()}, in.getIncarnation()};
}

void Write(const Common::Error& error, Wire::Failure::Builder out)
{
  const auto name = Common::AnswerFor(error.kind).name;
  out.setKind(std::string(name));
  out.setMessage(error.message);
  if (error.retry_after)
    out.setRetryAfterMs(static_cast<std::uint32_t>(error.retry_after->count()));
}

std::optional<Common::Error> Read(Wire::Failure::Reader in)
{
  if (in.getKind().size() == 0)
    return std::nullopt;
  Common::Error error{Common::ErrorKindFromName(ToString(in.getKind())), ToString(in.getMessage())};
  if (in.getRetryAfterMs() > 0)
    error.retry_after = Common::Milliseconds(in.getRetryAfterMs());
  return error;
}

void Write(const Runs::RunKey& key, Wire::RunKey::Builder out)
{
  out.setEntry(key.entry);
  out.setIncarnation(key.incarnation);
  out.setNumber(key.number);
}

Runs::RunKey Read(Wire::RunKey::Reader in)
{
  return {ToString(in.getEntry()), in.getIncarnation(), in.getNumber()};
}

void Write(const Runs::RunRequest& request, Wire::RunRequest::Builder out)
{
  Write(request.key, out.initKey());
  out.setSettledBelow(request.settled_below);
  out.setService(request.service);
  out.setOrganisation(request.organisation);
  out.setMethod(request.method);
  out.setPath(request.path);
  out.setContentType(request.content_type);
  out.setBody(ToData(request.body));
  out.setPriority(request.priority);
}

Runs::RunRequest Read(Wire::RunRequest::Reader in)
{
  Runs::RunRequest request;
  request.key = Read(in.getKey());
  request.settled_below = in.getSettledBelow();
  request.service = ToString(in.getService());
  request.organisation = ToString(in.getOrganisation());
  request.method = ToString(in.getMethod());
  request.path = ToString(in.getPath());
  request.content_type = ToString(in.getContentType());
  request.body = ToString(in.getBody());
  request.priority = in.getPriority();
  return request;
}

void Write(const Claims::KeptAnswer& answer, Wire::Instance::KeyResults::Builder out)
{
  out.setState(static_cast<std::uint8_t>(answer.state));
  out.setStatus(static_cast<std::uint16_t>(answer.status));
  out.setContentType(answer.content_type);
  out.setVersion(ToData(answer.version));
  out.setBody(ToData(answer.body));
}

Claims::KeptAnswer Read(Wire::Instance::KeyResults::Reader in)
{
  Claims::KeptAnswer answer;
  const int state = std::min<int>(in.getState(), static_cast<int>(Claims::KeyState::Lost));
  answer.state = static_cast<Claims::KeyState>(state);
  answer.status = in.getStatus();
  answer.content_type = ToString(in.getContentType());
  answer.version = ToDigest(in.getVersion());
  answer.body = ToString(in.getBody());
  return answer;
}

void Write(const LogStretch& stretch, Wire::Instance::RecordsResults::Builder out)
{
  auto records = out.initRecords(static_cast<unsigned>(stretch.records.size()));
  for (unsigned i = 0; i < records.size(); ++i)
  {
    records[i].setOffset(stretch.records[i].offset);
    records[i].setText(stretch.records[i].text);
  }
  out.setStatePosition(stretch.state_position);
  out.setState(stretch.state);
}

LogStretch Read(Wire::Instance::RecordsResults::Reader in)
{
  LogStretch stretch;
  for (const auto record : in.getRecords())
    stretch.records.push_back({record.getOffset(), ToString(record.getText())});
  stretch.state_position = in.getStatePosition();
  stretch.state = ToString(in.getState());
  return stretch;
}
} // namespace Holdpost::InstancePeer
