// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/Codec.h"
#include "Peers/Mesh/MeshWireParts.h"

// What is read from the platform and passed on.
namespace Holdpost::MeshPeer
{
// --- documents ---

void Write(const Mesh::DocumentRequest& ask, MeshWire::Message::Builder message)
{
  message.setDocumentRequest(ask.newer_than);
}

void Write(const Mesh::DocumentUpdate& tell, MeshWire::Message::Builder message)
{
  auto out = message.initDocumentAnswer();
  out.setVersion(tell.version);
  out.setBase(tell.base);
  if (tell.packed)
    out.setPacked(BytesOf(*tell.packed));
  if (!tell.weights.empty())
    Write(tell.weights, out.initWeights(static_cast<unsigned>(tell.weights.size())));
}

Mesh::Message Read(MeshWire::DocumentAnswer::Reader in)
{
  return Mesh::DocumentUpdate{in.getVersion(), in.getBase(),
                              Common::MakeBytes(ToBytes(in.getPacked())), Read(in.getWeights())};
}

// --- targets ---

void Write(const Mesh::TargetsRequest& ask, MeshWire::Message::Builder message)
{
  message.setTargetsRequest(ask.newer_than);
}

static void Write(const Gateway::ListedTarget& target, MeshWire::Target::Builder out)
{
  out.setId(target.id);
  out.setService(target.service);
  out.setHall(target.hall);
  Write(target.address, out.initAddress());
  out.setSlots(ToWireCount(target.slots));
  out.setIsLeaving(target.state == Gateway::TargetState::Leaving);
  out.setWeightsVersion(static_cast<std::uint32_t>(target.weights_version));
  out.setIncarnation(target.incarnation);
  out.setNeedsWeights(target.needs_weights);
}

static void Write(const Control::TargetChange& change, MeshWire::Target::Builder out)
{
  out.setRevision(change.version.revision);
  out.setEra(change.version.era);
  if (change.target)
    return Write(*change.target, out);
  out.setIncarnation(change.version.incarnation);
  out.setId(change.id);
  out.setIsGone(true);
}

void Write(const Mesh::TargetsUpdate& tell, MeshWire::Message::Builder message)
{
  auto out = message.initTargetsAnswer();
  out.setPosition(tell.news.position);
  out.setBase(tell.news.base);
  const std::vector<Control::TargetChange>& changes = tell.news.changes;
  auto targets = out.initTargets(static_cast<unsigned>(changes.size()));
  for (unsigned i = 0; i < targets.size(); ++i)
    Write(changes[i], targets[i]);
}

static Gateway::ListedTarget Read(MeshWire::Target::Reader in)
{
  Gateway::ListedTarget target;
  target.id = ToText(in.getId());
  target.service = ToText(in.getService());
  target.hall = ToText(in.getHall());
  target.address = Read(in.getAddress());
  target.slots = std::max<std::uint32_t>(in.getSlots(), 1);
  target.state = in.getIsLeaving() ? Gateway::TargetState::Leaving : Gateway::TargetState::Ready;
  target.weights_version = in.getWeightsVersion();
  target.incarnation = in.getIncarnation();
  target.needs_weights = in.getNeedsWeights();
  return target;
}

Mesh::Message Read(MeshWire::TargetsAnswer::Reader in)
{
  Control::TargetListChanges news{in.getBase(), in.getPosition(), {}};
  news.changes.reserve(in.getTargets().size());
  for (const auto target : in.getTargets())
  {
    Control::TargetChange change;
    change.id = ToText(target.getId());
    change.version = {target.getEra(), target.getIncarnation(), target.getRevision()};
    if (!target.getIsGone())
      change.target = Read(target);
    news.changes.push_back(std::move(change));
  }
  return Mesh::TargetsUpdate{std::move(news)};
}

void Write(const Mesh::LeavingTargets& told, MeshWire::Message::Builder message)
{
  auto out = message.initLeavingTargets(static_cast<unsigned>(told.targets.size()));
  for (unsigned i = 0; i < out.size(); ++i)
  {
    out[i].setId(told.targets[i].id);
    out[i].setIncarnation(told.targets[i].incarnation);
  }
}

Mesh::Message Read(capnp::List<MeshWire::LeavingTarget>::Reader in)
{
  Mesh::LeavingTargets told;
  told.targets.reserve(in.size());
  for (const auto target : in)
    told.targets.push_back({ToText(target.getId()), target.getIncarnation()});
  return told;
}

// --- gateways ---

void Write(const Mesh::GatewaysRequest& ask, MeshWire::Message::Builder message)
{
  message.setGatewaysRequest(ask.is_gateway);
}

void Write(const Mesh::GatewaysReply& tell, MeshWire::Message::Builder message)
{
  Write(tell.gateways, message.initGatewaysAnswer(static_cast<unsigned>(tell.gateways.size())));
}

void Write(const Mesh::BriefingRequest& /*ask*/, MeshWire::Message::Builder message)
{
  message.setBriefingRequest();
}

// --- readers ---

void Write(const Mesh::ReaderBeat& beat, MeshWire::Message::Builder message)
{
  auto out = message.initReaderBeat();
  out.setTargets(beat.targets);
  out.setTargetsChanged(beat.targets_changed);
  out.setSettings(beat.settings);
  if (!beat.weights.empty())
    Write(beat.weights, out.initWeights(static_cast<unsigned>(beat.weights.size())));
  out.setAnswerAgeMs(ToWireMs(beat.answer_age));
}

Mesh::Message Read(MeshWire::ReaderBeat::Reader in)
{
  return Mesh::ReaderBeat{in.getTargets(), in.getTargetsChanged(), in.getSettings(),
                          Read(in.getWeights()), Milliseconds(in.getAnswerAgeMs())};
}
} // namespace Holdpost::MeshPeer
