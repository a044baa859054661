// SPDX-License-Identifier: Apache-2.0
#include "Core/Distribution/Manifest.h"
#include "Peers/Instance/Codec.h"
#include "Peers/Mesh/MeshWireParts.h"

// What gateways and sidecars tell each other of themselves.
namespace Holdpost::MeshPeer
{
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
  out.setOriginBytesPerSecond(plan.origin_bytes_per_second);
  out.setHealthPath(plan.health_path);
  out.setLayers(plan.layers);
}

// A plan of pieces that no weights have is none.
static Mesh::WeightsPlan Read(MeshWire::WeightsPlan::Reader in)
{
  if (in.getPieces() > Distribution::MAX_PIECES ||
      in.getPieceBytes() > Distribution::MAX_PIECE_BYTES)
    return {};
  return {ToText(in.getService()),
          ToText(in.getModel()),
          in.getPieces(),
          in.getPieceBytes(),
          Milliseconds(in.getWarmUpMs()),
          Read(in.getOrigin()),
          ToText(in.getOriginHall()),
          in.getOriginBytesPerSecond(),
          ToText(in.getHealthPath()),
          in.getLayers()};
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

void Write(const std::vector<Mesh::AdvertisedVersion>& weights,
           capnp::List<MeshWire::Weights>::Builder out)
{
  for (unsigned i = 0; i < weights.size(); ++i)
  {
    out[i].setModel(weights[i].named.model);
    out[i].setVersion(weights[i].named.version);
    out[i].setKnownMs(ToWireMs(weights[i].known));
    out[i].setIsAssumed(weights[i].is_assumed);
  }
}

std::vector<Mesh::AdvertisedVersion> Read(capnp::List<MeshWire::Weights>::Reader in)
{
  std::vector<Mesh::AdvertisedVersion> weights;
  weights.reserve(in.size());
  for (const auto told : in)
  {
    weights.push_back({{ToText(told.getModel()), told.getVersion()},
                       Milliseconds(told.getKnownMs()),
                       told.getIsAssumed()});
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

void Write(const Mesh::Hello& hello, MeshWire::Message::Builder message)
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
  out.setCrashes(hello.crashes);
  out.setArrivals(ToWireCount(hello.demand.arrivals_per_second));
  out.setRefusedPercent(ToWirePercent(hello.demand.refused_share));
}

Mesh::Message Read(MeshWire::Hello::Reader in)
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
  hello.crashes = in.getCrashes();
  hello.wants_load = in.getWantsLoad();
  hello.demand.arrivals_per_second = in.getArrivals();
  hello.demand.refused_share = in.getRefusedPercent() / PERCENT;
  return hello;
}

// --- load ---

static void Write(std::optional<double> per_second, MeshWire::RateLimit::Builder out)
{
  out.setIsSet(per_second.has_value());
  out.setPerSecond(per_second.value_or(0));
}

static std::optional<double> ReadLimit(MeshWire::RateLimit::Reader in)
{
  const double per_second = in.getPerSecond();
  if (!in.getIsSet() || !std::isfinite(per_second) || per_second < 0)
    return std::nullopt;
  return per_second;
}

void Write(const Mesh::LimitUpdate& told, MeshWire::Message::Builder message)
{
  Write(told.per_second, message.initLimitUpdate());
}

Mesh::Message Read(MeshWire::RateLimit::Reader in)
{
  return Mesh::LimitUpdate{ReadLimit(in)};
}

static void Write(const Gateway::WeightsForecast& forecast, MeshWire::WeightsForecast::Builder out)
{
  out.setVersion(static_cast<std::uint32_t>(forecast.version));
  out.setReadyInMs(ToWireMs(forecast.ready_in));
  out.setIsArriving(forecast.is_arriving);
}

static Gateway::WeightsForecast Read(MeshWire::WeightsForecast::Reader in)
{
  return {in.getVersion(), Milliseconds(in.getReadyInMs()), in.getIsArriving()};
}

void Write(const Mesh::LoadReport& report, MeshWire::Message::Builder message)
{
  auto out = message.initLoad();
  const Gateway::TargetLoad& load = report.load;
  Write(load.address, out.initTarget());
  out.setRunning(ToWireCount(load.running));
  out.setQueued(ToWireCount(load.queued));
  if (load.unread_prompt_tokens)
    out.setUnreadTokens(std::min(*load.unread_prompt_tokens, MAX_WIRE_NUMBER) + 1);
  out.setWeightsVersion(static_cast<std::uint32_t>(load.weights_version));
  out.setIncarnation(load.incarnation);
  out.setIsSwitching(load.is_switching);
  out.setNextVersion(static_cast<std::uint32_t>(load.next_version));
  if (!load.id.empty())
    out.setTargetId(load.id);
  out.setPacePercent(ToWireCount(std::max(load.pace * PERCENT, 1.0)));
  if (load.switch_in)
    out.setSwitchInMs(ToWireMs(*load.switch_in) + 1);
  out.setGateways(ToWireCount(static_cast<double>(report.gateways)));
  Write(report.stamp, out.initStamp());
  out.setSettings(report.settings);
  if (report.settings_at.IsSet())
    Write(report.settings_at, out.initSettingsAt());
  if (!report.weights.empty())
    Write(report.weights, out.initWeights(static_cast<unsigned>(report.weights.size())));
  if (load.rate_limit)
    Write(load.rate_limit, out.initRateLimit());
  out.setPermits(ToWireCount(load.permits));
  out.setIsLeaving(load.is_leaving);
  out.setIsLoadUnchecked(load.is_load_unchecked);
  if (load.weights_forecast)
    Write(*load.weights_forecast, out.initWeightsForecast());
  out.setCrashes(report.crashes);
  if (report.read_age)
    out.setReadAgeMs(ToWireMs(*report.read_age) + 1);
  out.setEchoMs(ToWireMs(report.echo));
  out.setEchoAgeMs(ToWireMs(report.echo_age));
  out.setInboundDelayMs(ToWireMs(load.inbound_delay));
  out.setNearArrivals(ToWireCount(load.demand.same_hall_per_second));
  out.setFarArrivals(ToWireCount(load.demand.other_halls_per_second));
  out.setRefusedPercent(ToWirePercent(load.demand.refused_share));
  if (report.near_gateways.empty())
    return;
  Write(report.near_gateways,
        out.initNearGateways(static_cast<unsigned>(report.near_gateways.size())));
}

Mesh::Message Read(MeshWire::Load::Reader in)
{
  Gateway::TargetLoad load;
  load.address = Read(in.getTarget());
  load.running = in.getRunning();
  load.queued = in.getQueued();
  if (in.getUnreadTokens() > 0)
    load.unread_prompt_tokens = in.getUnreadTokens() - 1;
  load.weights_version = in.getWeightsVersion();
  load.incarnation = in.getIncarnation();
  load.is_switching = in.getIsSwitching();
  load.next_version = in.getNextVersion();
  load.id = ToText(in.getTargetId());
  load.pace = in.getPacePercent() / PERCENT;
  if (in.getSwitchInMs() > 0)
    load.switch_in = Milliseconds(in.getSwitchInMs() - 1);
  load.inbound_delay = Milliseconds(in.getInboundDelayMs());
  load.demand = {static_cast<double>(in.getNearArrivals()),
                 static_cast<double>(in.getFarArrivals()), in.getRefusedPercent() / PERCENT};
  load.rate_limit = ReadLimit(in.getRateLimit());
  load.permits = in.getPermits();
  load.is_leaving = in.getIsLeaving();
  load.is_load_unchecked = in.getIsLoadUnchecked();
  if (in.hasWeightsForecast())
    load.weights_forecast = Read(in.getWeightsForecast());
  Mesh::LoadReport report;
  report.load = load;
  report.gateways = in.getGateways();
  report.stamp = Read(in.getStamp());
  report.settings = in.getSettings();
  report.settings_at = Read(in.getSettingsAt());
  report.crashes = in.getCrashes();
  if (in.getReadAgeMs() > 0)
    report.read_age = Milliseconds(in.getReadAgeMs() - 1);
  report.echo = Milliseconds(in.getEchoMs());
  report.echo_age = Milliseconds(in.getEchoAgeMs());
  report.weights = Read(in.getWeights());
  report.near_gateways = Read(in.getNearGateways());
  return report;
}

void Write(const Mesh::WorkUpdate& tell, MeshWire::Message::Builder message)
{
  auto out = message.initWork();
  out.setRequests(ToWireCount(tell.work.requests));
  out.setUnreadTokens(tell.work.unread_prompt_tokens);
}

Mesh::Message Read(MeshWire::Work::Reader in)
{
  return Mesh::WorkUpdate{{in.getRequests(), in.getUnreadTokens()}};
}
} // namespace Holdpost::MeshPeer
