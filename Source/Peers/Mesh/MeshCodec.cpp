// SPDX-License-Identifier: Apache-2.0
#include "Peers/Mesh/MeshCodec.h"

#include <algorithm>
#include <cmath>
#include <cstring>

#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "Common/Mailbox.h"
#include "Peers/Instance/Codec.h"
#include "Peers/Mesh/Mesh.capnp.h"

namespace Holdpost::MeshPeer
{
using Common::Address;
using Common::Digest;
using Common::Milliseconds;
using InstancePeer::ToData;
using InstancePeer::ToDigest;

// Room for a message without pieces, so that most need one allocation.
static constexpr unsigned FIRST_SEGMENT_WORDS = 96;
static constexpr double PERCENT = 100;
// What a message may unfold to, in words: a few bytes may say that they are a list of millions of
// empty elements. Each word that holds anything takes two bytes at least, and some are read twice.
static constexpr std::uint64_t UNFOLDED_WORDS = 8192;
static constexpr std::uint64_t UNFOLDED_WORDS_PER_BYTE = 2;

static void Write(const Address& address, MeshWire::Address::Builder out)
{
  in_addr raw{};
  inet_pton(AF_INET, address.host.c_str(), &raw);
  out.setIp(ntohl(raw.s_addr));
  out.setPort(address.port);
}

static Address Read(MeshWire::Address::Reader in)
{
  if (in.getIp() == 0)
    return {};
  in_addr raw{};
  raw.s_addr = htonl(in.getIp());
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, text, sizeof(text));
  return {text, in.getPort()};
}

static std::string ToText(capnp::Text::Reader text)
{
  return {text.begin(), text.size()};
}

static std::string ToBytes(capnp::Data::Reader data)
{
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

static capnp::Data::Reader BytesOf(const std::string& bytes)
{
  return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

static std::uint32_t ToWireMs(Milliseconds time)
{
  return static_cast<std::uint32_t>(std::max<Milliseconds::rep>(time.count(), 0));
}

static std::uint16_t ToWireCount(double count)
{
  return static_cast<std::uint16_t>(std::clamp(std::round(count), 0.0, double{UINT16_MAX}));
}

static std::uint8_t ToWirePercent(double share)
{
  return static_cast<std::uint8_t>(std::clamp(std::round(share * PERCENT), 0.0, PERCENT));
}

// --- hello ---

static void Write(const Mesh::WeightsPlan& plan, MeshWire::WeightsPlan::Builder out)
{
  out.setService(plan.service);
  out.setModel(plan.model);
  out.setPieces(plan.pieces);
  out.setPieceBytes(plan.piece_bytes);
  out.setWarmUpMs(ToWireMs(plan.warm_up));
  Write(plan.origin, out.initOrigin());
  out.setOriginHall(plan.origin_hall);
}

static Mesh::WeightsPlan Read(MeshWire::WeightsPlan::Reader in)
{
  return {ToText(in.getService()),   ToText(in.getModel()),          in.getPieces(),
          in.getPieceBytes(),        Milliseconds(in.getWarmUpMs()), Read(in.getOrigin()),
          ToText(in.getOriginHall())};
}

static void WritePeers(const std::vector<Mesh::Peer>& peers, MeshWire::Hello::Builder out)
{
  std::vector<std::string> halls;
  for (const Mesh::Peer& peer : peers)
  {
    if (std::ranges::find(halls, peer.hall) == halls.end())
      halls.push_back(peer.hall);
  }
  auto hall_list = out.initHalls(static_cast<unsigned>(halls.size()));
  for (unsigned i = 0; i < halls.size(); ++i)
    hall_list.set(i, halls[i]);
  auto peer_list = out.initPeers(static_cast<unsigned>(peers.size()));
  for (unsigned i = 0; i < peers.size(); ++i)
  {
    Write(peers[i].address, peer_list[i].initAddress());
    const auto hall = std::ranges::find(halls, peers[i].hall) - halls.begin();
    peer_list[i].setHall(static_cast<std::uint16_t>(hall));
  }
}

static std::vector<Mesh::Peer> ReadPeers(MeshWire::Hello::Reader in)
{
  std::vector<Mesh::Peer> peers;
  const auto halls = in.getHalls();
  for (const auto peer : in.getPeers())
  {
    if (peer.getHall() < halls.size())
      peers.push_back({Read(peer.getAddress()), ToText(halls[peer.getHall()])});
  }
  return peers;
}

static void Write(const std::vector<Mesh::ToldWeights>& weights,
                  capnp::List<MeshWire::Weights>::Builder out)
{
  for (unsigned i = 0; i < weights.size(); ++i)
  {
    out[i].setModel(weights[i].named.model);
    out[i].setVersion(weights[i].named.version);
    out[i].setKnownMs(ToWireMs(weights[i].known));
  }
}

static std::vector<Mesh::ToldWeights> Read(capnp::List<MeshWire::Weights>::Reader in)
{
  std::vector<Mesh::ToldWeights> weights;
  weights.reserve(in.size());
  for (const auto told : in)
  {
    weights.push_back(
        {{ToText(told.getModel()), told.getVersion()}, Milliseconds(told.getKnownMs())});
  }
  return weights;
}

static void Write(const Mesh::BriefingStamp& stamp, MeshWire::Stamp::Builder out)
{
  out.setSettings(stamp.settings);
  out.setTargets(stamp.targets);
}

static Mesh::BriefingStamp Read(MeshWire::Stamp::Reader in)
{
  return {in.getSettings(), in.getTargets()};
}

static void Write(const Mesh::Hello& hello, MeshWire::Message::Builder message)
{
  auto out = message.initHello();
  out.setIsGateway(hello.is_gateway);
  out.setSettings(hello.settings);
  Write(hello.weights, out.initWeights(static_cast<unsigned>(hello.weights.size())));
  if (!hello.plan.model.empty())
    Write(hello.plan, out.initPlan());
  if (!hello.peers.empty())
    WritePeers(hello.peers, out);
  out.setClockMs(ToWireMs(hello.clock));
  if (!hello.plan.model.empty())
    Write(hello.stamp, out.initStamp());
  out.setNearGateways(ToWireCount(hello.near_gateways));
  out.setWantsLoad(hello.wants_load);
  out.setArrivals(ToWireCount(hello.demand.arrivals_per_second));
  out.setRefusedPercent(ToWirePercent(hello.demand.refused_share));
}

static Mesh::Message Read(MeshWire::Hello::Reader in)
{
  Mesh::Hello hello;
  hello.is_gateway = in.getIsGateway();
  hello.settings = in.getSettings();
  hello.weights = Read(in.getWeights());
  if (in.hasPlan())
    hello.plan = Read(in.getPlan());
  hello.peers = ReadPeers(in);
  hello.clock = Milliseconds(in.getClockMs());
  hello.stamp = Read(in.getStamp());
  hello.near_gateways = in.getNearGateways();
  hello.wants_load = in.getWantsLoad();
  hello.demand.arrivals_per_second = in.getArrivals();
  hello.demand.refused_share = in.getRefusedPercent() / PERCENT;
  return hello;
}

// --- load ---

static void Write(const Mesh::LoadReport& report, MeshWire::Message::Builder message)
{
  auto out = message.initLoad();
  const Gateway::TargetLoad& load = report.load;
  Write(load.address, out.initTarget());
  out.setRunning(static_cast<std::uint16_t>(load.running));
  out.setQueued(static_cast<std::uint16_t>(load.queued));
  if (load.unread_prompt_tokens)
    out.setUnreadTokens(*load.unread_prompt_tokens + 1);
  out.setWeightsVersion(static_cast<std::uint32_t>(load.weights_version));
  out.setIsSwitching(load.is_switching);
  out.setPacePercent(static_cast<std::uint16_t>(std::lround(load.pace * PERCENT)));
  if (load.switch_in)
    out.setSwitchInMs(ToWireMs(*load.switch_in) + 1);
  out.setGateways(static_cast<std::uint16_t>(report.gateways));
  Write(report.stamp, out.initStamp());
  out.setSettings(report.settings);
  if (report.settings_at.IsSet())
    Write(report.settings_at, out.initSettingsAt());
  if (!report.weights.empty())
    Write(report.weights, out.initWeights(static_cast<unsigned>(report.weights.size())));
  out.setEchoMs(ToWireMs(report.echo));
  out.setEchoAgeMs(ToWireMs(report.echo_age));
  out.setInboundDelayMs(ToWireMs(load.inbound_delay));
  out.setNearArrivals(ToWireCount(load.demand.near_per_second));
  out.setFarArrivals(ToWireCount(load.demand.far_per_second));
  out.setRefusedPercent(ToWirePercent(load.demand.refused_share));
  if (report.near_gateways.empty())
    return;
  auto near_list = out.initNearGateways(static_cast<unsigned>(report.near_gateways.size()));
  for (unsigned i = 0; i < near_list.size(); ++i)
    Write(report.near_gateways[i], near_list[i]);
}

static Mesh::Message Read(MeshWire::Load::Reader in)
{
  Gateway::TargetLoad load;
  load.address = Read(in.getTarget());
  load.running = in.getRunning();
  load.queued = in.getQueued();
  if (in.getUnreadTokens() > 0)
    load.unread_prompt_tokens = in.getUnreadTokens() - 1;
  load.weights_version = in.getWeightsVersion();
  load.is_switching = in.getIsSwitching();
  load.pace = in.getPacePercent() / PERCENT;
  if (in.getSwitchInMs() > 0)
    load.switch_in = Milliseconds(in.getSwitchInMs() - 1);
  load.inbound_delay = Milliseconds(in.getInboundDelayMs());
  load.demand = {static_cast<double>(in.getNearArrivals()),
                 static_cast<double>(in.getFarArrivals()), in.getRefusedPercent() / PERCENT};
  Mesh::LoadReport report;
  report.load = load;
  report.gateways = in.getGateways();
  report.stamp = Read(in.getStamp());
  report.settings = in.getSettings();
  report.settings_at = Read(in.getSettingsAt());
  report.echo = Milliseconds(in.getEchoMs());
  report.echo_age = Milliseconds(in.getEchoAgeMs());
  report.weights = Read(in.getWeights());
  for (const auto address : in.getNearGateways())
    report.near_gateways.push_back(Read(address));
  return report;
}

static void Write(const Mesh::TellWork& tell, MeshWire::Message::Builder message)
{
  auto out = message.initWork();
  out.setRequests(static_cast<std::uint16_t>(tell.work.requests));
  out.setUnreadTokens(tell.work.unread_prompt_tokens);
}

static Mesh::Message Read(MeshWire::Work::Reader in)
{
  return Mesh::TellWork{{in.getRequests(), in.getUnreadTokens()}};
}

// --- weights ---

static void Write(const Mesh::Announce& announce, MeshWire::Message::Builder message)
{
  auto out = message.initAnnouncement();
  const Distribution::Announcement& announcement = announce.announcement;
  out.setVersion(ToData(announcement.version));
  out.setPieceCount(announcement.piece_count);
  out.setIsWhole(announcement.is_whole);
  out.setWantsReply(announcement.wants_reply);
  out.setBitmap(BytesOf(announcement.bitmap));
  auto pieces = out.initPieces(static_cast<unsigned>(announcement.pieces.size()));
  for (unsigned i = 0; i < pieces.size(); ++i)
    pieces.set(i, announcement.pieces[i]);
  auto claimed = out.initClaimed(static_cast<unsigned>(announcement.claimed.size()));
  for (unsigned i = 0; i < claimed.size(); ++i)
    claimed.set(i, announcement.claimed[i]);
}

static Mesh::Message Read(MeshWire::Announcement::Reader in)
{
  Distribution::Announcement announcement;
  announcement.version = ToDigest(in.getVersion());
  announcement.piece_count = in.getPieceCount();
  announcement.is_whole = in.getIsWhole();
  announcement.wants_reply = in.getWantsReply();
  announcement.bitmap = ToBytes(in.getBitmap());
  for (const std::uint32_t piece : in.getPieces())
    announcement.pieces.push_back(piece);
  for (const std::uint32_t piece : in.getClaimed())
    announcement.claimed.push_back(piece);
  return Mesh::Announce{std::move(announcement)};
}

static void Write(const Mesh::AskPiece& ask, MeshWire::Message::Builder message)
{
  auto out = message.initPieceRequest();
  out.setId(ask.id);
  out.setVersion(ToData(ask.version));
  out.setPiece(ask.piece);
}

static void Write(const Mesh::CancelPiece& cancel, MeshWire::Message::Builder message)
{
  message.setPieceCancel(cancel.id);
}

static void Write(const Mesh::TellPiece& tell, MeshWire::Message::Builder message)
{
  auto out = message.initPieceAnswer();
  out.setId(tell.id);
  if (const auto* error = std::get_if<Common::Error>(&tell.result))
  {
    out.setFailure(std::string(Common::AnswerFor(error->kind).name));
    out.setRetryAfterMs(ToWireMs(error->retry_after.value_or(Milliseconds(0))));
    return;
  }
  out.setData(BytesOf(*std::get<Common::Bytes>(tell.result)));
}

static Mesh::Message Read(MeshWire::PieceAnswer::Reader in)
{
  if (in.getFailure().size() == 0)
    return Mesh::TellPiece{in.getId(), Common::MakeBytes(ToBytes(in.getData()))};
  Common::Error error{Common::ErrorKindFromName(ToText(in.getFailure())), "the peer refused"};
  if (in.getRetryAfterMs() > 0)
    error.retry_after = Milliseconds(in.getRetryAfterMs());
  return Mesh::TellPiece{in.getId(), std::move(error)};
}

// --- documents ---

static void Write(const Mesh::AskDocument& ask, MeshWire::Message::Builder message)
{
  message.setDocumentRequest(ask.newer_than);
}

static void Write(const Mesh::TellDocument& tell, MeshWire::Message::Builder message)
{
  auto out = message.initDocumentAnswer();
  out.setVersion(tell.version);
  out.setBase(tell.base);
  if (tell.packed)
    out.setPacked(BytesOf(*tell.packed));
}

static Mesh::Message Read(MeshWire::DocumentAnswer::Reader in)
{
  return Mesh::TellDocument{in.getVersion(), in.getBase(),
                            Common::MakeBytes(ToBytes(in.getPacked()))};
}

// --- targets ---

static void Write(const Mesh::AskTargets& ask, MeshWire::Message::Builder message)
{
  message.setTargetsRequest(ask.newer_than);
}

static void Write(const Gateway::ListedTarget& target, MeshWire::Target::Builder out)
{
  out.setId(target.id);
  out.setService(target.service);
  out.setHall(target.hall);
  Write(target.address, out.initAddress());
  out.setSlots(static_cast<std::uint16_t>(target.slots));
  out.setIsLeaving(target.state == Gateway::TargetState::Leaving);
  out.setWeightsVersion(static_cast<std::uint32_t>(target.weights_version));
  out.setNeedsWeights(target.needs_weights);
}

static void Write(const Control::TargetChange& change, MeshWire::Target::Builder out)
{
  if (change.target)
    return Write(*change.target, out);
  out.setId(change.id);
  out.setIsGone(true);
}

static void Write(const Mesh::TellTargets& tell, MeshWire::Message::Builder message)
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
  target.slots = in.getSlots();
  target.state = in.getIsLeaving() ? Gateway::TargetState::Leaving : Gateway::TargetState::Ready;
  target.weights_version = in.getWeightsVersion();
  target.needs_weights = in.getNeedsWeights();
  return target;
}

static Mesh::Message Read(MeshWire::TargetsAnswer::Reader in)
{
  Control::TargetsNews news{in.getBase(), in.getPosition(), {}};
  news.changes.reserve(in.getTargets().size());
  for (const auto target : in.getTargets())
  {
    if (target.getIsGone())
      news.changes.push_back({ToText(target.getId()), std::nullopt});
    else
      news.changes.push_back({ToText(target.getId()), Read(target)});
  }
  return Mesh::TellTargets{std::move(news)};
}

// --- readers ---

static void Write(const Mesh::ReaderBeat& beat, MeshWire::Message::Builder message)
{
  auto out = message.initReaderBeat();
  out.setTargets(beat.targets);
  out.setTargetsChanged(beat.targets_changed);
  out.setSettings(beat.settings);
  if (!beat.weights.empty())
    Write(beat.weights, out.initWeights(static_cast<unsigned>(beat.weights.size())));
  out.setAnswerAgeMs(ToWireMs(beat.answer_age));
}

static Mesh::Message Read(MeshWire::ReaderBeat::Reader in)
{
  return Mesh::ReaderBeat{in.getTargets(), in.getTargetsChanged(), in.getSettings(),
                          Read(in.getWeights()), Milliseconds(in.getAnswerAgeMs())};
}

// --- messages ---

std::string Encode(const Mesh::Sender& from, const Mesh::Message& message)
{
  capnp::MallocMessageBuilder builder(FIRST_SEGMENT_WORDS);
  auto root = builder.initRoot<MeshWire::Message>();
  root.setInstance(from.instance);
  root.setHall(from.hall);
  Write(from.address, root.initAddress());
  root.setIncarnation(from.incarnation);
  std::visit([&](const auto& typed) { Write(typed, root); }, message);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

static std::optional<Mesh::Message> ReadBody(MeshWire::Message::Reader in)
{
  switch (in.which())
  {
  case MeshWire::Message::HELLO:
    return Read(in.getHello());
  case MeshWire::Message::LOAD:
    return Read(in.getLoad());
  case MeshWire::Message::ANNOUNCEMENT:
    return Read(in.getAnnouncement());
  case MeshWire::Message::PIECE_REQUEST:
    return Mesh::AskPiece{in.getPieceRequest().getId(), ToDigest(in.getPieceRequest().getVersion()),
                          in.getPieceRequest().getPiece()};
  case MeshWire::Message::PIECE_CANCEL:
    return Mesh::CancelPiece{in.getPieceCancel()};
  case MeshWire::Message::PIECE_ANSWER:
    return Read(in.getPieceAnswer());
  case MeshWire::Message::DOCUMENT_REQUEST:
    return Mesh::AskDocument{in.getDocumentRequest()};
  case MeshWire::Message::DOCUMENT_ANSWER:
    return Read(in.getDocumentAnswer());
  case MeshWire::Message::TARGETS_REQUEST:
    return Mesh::AskTargets{in.getTargetsRequest()};
  case MeshWire::Message::TARGETS_ANSWER:
    return Read(in.getTargetsAnswer());
  case MeshWire::Message::READER_BEAT:
    return Read(in.getReaderBeat());
  case MeshWire::Message::WORK:
    return Read(in.getWork());
  }
  return std::nullopt;
}

std::optional<Envelope> Decode(std::string_view bytes)
{
  try
  {
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = UNFOLDED_WORDS + UNFOLDED_WORDS_PER_BYTE * bytes.size();
    capnp::PackedMessageReader reader(stream, options);
    const auto root = reader.getRoot<MeshWire::Message>();
    auto body = ReadBody(root);
    if (!body)
      return std::nullopt;
    const Mesh::Sender from{ToText(root.getInstance()), ToText(root.getHall()),
                            Read(root.getAddress()), root.getIncarnation()};
    return Envelope{from, std::move(*body)};
  }
  catch (const kj::Exception&)
  {
    return std::nullopt;
  }
}
} // namespace Holdpost::MeshPeer
