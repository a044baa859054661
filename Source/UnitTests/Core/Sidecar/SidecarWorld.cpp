// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/SidecarWorld.h"

#include <algorithm>

#include <fmt/format.h>

#include "Core/Distribution/Manifest.h"
#include "Core/Mesh/BriefingSender.h"

namespace Holdpost::Testing
{
using Common::Address;
using Common::Bytes;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;

static const Address ORIGIN{"10.9.0.1", 80};
static constexpr const char* MODEL = "m";
static constexpr Duration LOCAL_CALL_TIME = std::chrono::microseconds(400);
static constexpr Duration NETWORK_DELAY = Milliseconds(1);
static constexpr std::size_t PACKET_BYTES = 1500;
static constexpr std::size_t WINDOW_BYTES = 16384;
static constexpr std::uint64_t GATEWAY_LINK_BYTES_PER_SECOND = 125'000'000;
static constexpr std::size_t HELLO_BYTES = 500;
static constexpr std::uint32_t LAYERS = 16;
static constexpr Duration WARM_UP_TIME = Milliseconds(300);
// For this time before a switch deadline, gateways send no requests to engines with old weights,
// because such a request might start only after the deadline.
static constexpr Duration DEADLINE_MARGIN = Milliseconds(700);
static constexpr Duration SERVICE_SAMPLE_PERIOD = Milliseconds(10);
static constexpr Duration HELLO_PERIOD = Milliseconds(400);
// The size of messages that carry no piece.
static constexpr std::size_t SMALL_MESSAGE_BYTES = 120;

SidecarWorld::SidecarWorld(const WorldOptions& options)
    : m_options(options), m_stage_read_time(LOCAL_CALL_TIME), m_random(options.seed)
{
  m_origin = MakeLink();
  m_gateway = MakeLink();
  m_gateway->SetRate(GATEWAY_LINK_BYTES_PER_SECOND);
  m_named[1] = m_now;
  int number = 0;
  for (const auto& [hall, count] : options.halls)
  {
    for (int i = 0; i < count; ++i)
    {
      Node node;
      node.hall = hall;
      node.address = {fmt::format("10.1.{}.{}", number / 200, number % 200 + 1), 7700};
      node.uplink = MakeLink();
      node.downlink = MakeLink();
      node.loaded = 1;
      node.held = {0, LAYERS};
      for (std::uint32_t piece = 0; piece < options.pieces; ++piece)
        node.stage[piece] = PieceOf(1, piece);
      m_by_address[node.address] = m_nodes.size();
      m_nodes.push_back(std::move(node));
      ++number;
    }
  }
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
    StartNode(node);
  SendHellos();
  if (options.run_time > Duration::zero())
    SampleService();
}

void SidecarWorld::StartNode(std::size_t node)
{
  Node& self = m_nodes[node];
  ++self.incarnation;
  Sidecar::SidecarOptions options;
  options.address = self.address;
  options.hall = self.hall;
  options.target = {self.address.host, 8000};
  options.link_bytes_per_second = m_options.link_bytes_per_second;
  options.switch_within = m_options.switch_within;
  self.sidecar = std::make_unique<Sidecar::Sidecar>(options, m_metrics);
  self.tick_due = {};
  Tick(node, self.incarnation);
}

void SidecarWorld::Schedule(TimePoint at, std::function<void()> run)
{
  m_queue.push({std::max(at, m_now), m_order++, std::move(run)});
}

void SidecarWorld::RunFor(Duration time)
{
  const TimePoint end = m_now + time;
  RunUntil([] { return false; }, time);
  m_now = end;
}

bool SidecarWorld::RunUntil(const std::function<bool()>& done, Duration max_time)
{
  const TimePoint end = m_now + max_time;
  while (!done())
  {
    if (m_queue.empty() || m_queue.top().at > end)
      return false;
    const ScheduledCall next = m_queue.top();
    m_queue.pop();
    m_now = next.at;
    next.run();
  }
  return true;
}

void SidecarWorld::Tick(std::size_t node, std::uint64_t incarnation)
{
  Node& self = m_nodes[node];
  if (self.incarnation != incarnation || !self.sidecar)
    return;
  ++self.ticks;
  Sidecar::Actions actions;
  self.sidecar->OnTick(m_now, &actions);
  self.tick_due = {};
  ExecuteActions(node, actions);
}

template <typename Event>
void SidecarWorld::Deliver(std::size_t node, Event event)
{
  if (!m_nodes[node].sidecar)
    return;
  Sidecar::Actions actions;
  m_nodes[node].sidecar->Handle(event, m_now, &actions);
  ExecuteActions(node, actions);
}

void SidecarWorld::ExecuteActions(std::size_t node, Sidecar::Actions& actions)
{
  for (const Sidecar::Action& action : actions)
    std::visit([&](const auto& typed) { Execute(node, typed); }, action);
  ScheduleTick(node);
}

// The event that was just handled may have moved the next tick to an earlier time.
void SidecarWorld::ScheduleTick(std::size_t node)
{
  Node& self = m_nodes[node];
  const Duration wait =
      std::max<Duration>(self.sidecar->NextWakeup(m_now) - m_now, std::chrono::microseconds(50));
  const TimePoint next = m_now + std::min<Duration>(wait, Milliseconds(100));
  if (next >= self.tick_due && self.tick_due > m_now)
    return;
  self.tick_due = next;
  Schedule(next,
           [this, node, next, incarnation = self.incarnation]
           {
             if (m_nodes[node].tick_due == next)
               Tick(node, incarnation);
           });
}

// --- weights ---

Bytes SidecarWorld::PieceOf(std::uint64_t version, std::uint32_t piece) const
{
  // The content of a piece is mostly the same for all pieces: only sizes and differences matter
  // here.
  std::string data = fmt::format("{}/{}/", version, piece);
  data.resize(m_options.piece_bytes, 'w');
  return Common::MakeBytes(std::move(data));
}

Bytes SidecarWorld::ManifestOf(std::uint64_t version) const
{
  Distribution::Manifest manifest;
  manifest.name = MODEL;
  manifest.piece_bytes = m_options.piece_bytes;
  manifest.total_bytes = std::uint64_t(m_options.piece_bytes) * m_options.pieces;
  for (std::uint32_t piece = 0; piece < m_options.pieces; ++piece)
    manifest.pieces.push_back(Common::Sha256(*PieceOf(version, piece)));
  return Common::MakeBytes(Distribution::EncodeManifest(manifest));
}

void SidecarWorld::NameVersion(std::uint64_t version)
{
  m_named[version] = m_now;
  SendHellos();
}

Mesh::Hello SidecarWorld::MakeHello() const
{
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.plan = {"svc",
                MODEL,
                m_options.pieces,
                m_options.piece_bytes,
                std::chrono::duration_cast<Milliseconds>(WARM_UP_TIME),
                ORIGIN,
                m_options.origin_hall};
  hello.plan.layers = LAYERS;
  hello.clock = Mesh::ClockOf(m_now);
  for (const auto& [version, since] : m_named)
    hello.weights.push_back(
        {{MODEL, version}, std::chrono::duration_cast<Milliseconds>(m_now - since)});
  for (const Node& node : m_nodes)
    hello.peers.push_back({node.address, node.hall});
  return hello;
}

void SidecarWorld::SendHellos()
{
  const Mesh::Hello hello = MakeHello();
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
  {
    if (!m_nodes[node].sidecar || m_nodes[node].is_cut_off)
      continue;
    const Mesh::Sender gateway{
        "gw-" + m_nodes[node].hall, m_nodes[node].hall, {"10.8.0.1", 7700}, 1};
    Transfer(m_next_connection++, *m_gateway, *m_nodes[node].downlink, HELLO_BYTES,
             [this, node, gateway, hello, incarnation = m_nodes[node].incarnation]
             { Receive(node, incarnation, gateway, hello); });
  }
  Schedule(m_now + HELLO_PERIOD, [this] { SendHellos(); });
}

void SidecarWorld::Receive(std::size_t node, std::uint64_t incarnation, const Mesh::Sender& from,
                           const Mesh::Message& message)
{
  Node& self = m_nodes[node];
  if (self.incarnation != incarnation || self.is_cut_off || !self.sidecar)
    return;
  Sidecar::Actions actions;
  self.sidecar->OnMessage(from, message, m_now, &actions);
  ExecuteActions(node, actions);
}

// --- the engine ---

bool SidecarWorld::AcceptsRequests(const Node& node) const
{
  const bool is_too_old = std::ranges::any_of(
      m_named,
      [&](const auto& named)
      {
        return node.loaded < named.first &&
               m_now >= named.second + m_options.switch_within - DEADLINE_MARGIN;
      });
  return !node.is_busy && HoldsAllLayers(node) && !is_too_old;
}

void SidecarWorld::SampleService()
{
  for (Node& node : m_nodes)
  {
    if (AcceptsRequests(node))
      node.last_accepted = m_now;
    else
      m_out_of_service += SERVICE_SAMPLE_PERIOD;
  }
  Schedule(m_now + SERVICE_SAMPLE_PERIOD, [this] { SampleService(); });
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::ReadReport& /*read*/)
{
  Schedule(m_now + LOCAL_CALL_TIME,
           [this, node, incarnation = m_nodes[node].incarnation]
           {
             const Node& self = m_nodes[node];
             if (self.incarnation != incarnation)
               return;
             Sidecar::EngineReport report;
             report.model = MODEL;
             report.weights_version = self.is_busy ? 0 : self.loaded;
             if (self.loaded > 0)
               report.layers = {{self.held, self.loaded}};
             report.is_busy = self.is_busy;
             report.orders = self.orders;
             const bool have_requests_ended = m_now - self.last_accepted >= m_options.run_time;
             report.running =
                 m_options.run_time == Duration::zero() || !have_requests_ended ? 4 : 0;
             Deliver(node, Sidecar::ReportRead{report});
           });
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::ListStaged& /*list*/)
{
  Schedule(m_now + LOCAL_CALL_TIME,
           [this, node, incarnation = m_nodes[node].incarnation]
           {
             if (m_nodes[node].incarnation != incarnation)
               return;
             std::vector<std::uint32_t> held;
             for (const auto& [piece, data] : m_nodes[node].stage)
               held.push_back(piece);
             Deliver(node, Sidecar::StagedListed{held});
           });
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::ReadStaged& read)
{
  Schedule(m_now + m_stage_read_time,
           [this, node, ticket = read.ticket, piece = read.piece,
            incarnation = m_nodes[node].incarnation]
           {
             if (m_nodes[node].incarnation == incarnation)
               Deliver(node, Sidecar::StagedRead{ticket, piece, m_nodes[node].stage[piece]});
           });
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::StagePiece& stage)
{
  Schedule(m_now + LOCAL_CALL_TIME,
           [this, node, stage, incarnation = m_nodes[node].incarnation]
           {
             m_nodes[node].stage[stage.piece] = stage.data;
             if (m_nodes[node].incarnation == incarnation)
               Deliver(node, Sidecar::PieceStaged{stage.ticket, stage.piece, std::monostate()});
           });
}

bool SidecarWorld::HoldsAllLayers(const Node& node)
{
  return node.loaded > 0 && node.held == Sidecar::LayerRange{0, LAYERS};
}

void SidecarWorld::TakeLayer(std::size_t node, std::uint64_t version, std::uint32_t layer)
{
  const auto& stage = m_nodes[node].stage;
  const std::uint32_t end = ((layer + 1) * m_options.pieces + LAYERS - 1) / LAYERS;
  for (std::uint32_t piece = layer * m_options.pieces / LAYERS; piece < end; ++piece)
  {
    const auto found = stage.find(piece);
    if (found == stage.end() || *found->second != *PieceOf(version, piece))
      m_fault = fmt::format("node {} took version {} with a wrong piece {}", node, version, piece);
  }
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::LoadStagedWeights& start)
{
  Node& self = m_nodes[node];
  const Sidecar::LayerRange ordered = start.layers.value_or(Sidecar::LayerRange{0, LAYERS});
  for (std::uint32_t layer = ordered.first; layer < ordered.end; ++layer)
  {
    // An engine takes only layers that it does not hold.
    const bool is_held =
        self.loaded == start.version && layer >= self.held.first && layer < self.held.end;
    if (!is_held)
      TakeLayer(node, start.version, layer);
  }
  self.is_busy = true;
  ++self.orders;
  Schedule(std::max(m_now, self.last_accepted + m_options.run_time) + WARM_UP_TIME,
           [this, node, version = start.version, ordered]
           {
             m_nodes[node].is_busy = false;
             m_nodes[node].loaded = version;
             m_nodes[node].held = ordered;
           });
  Schedule(m_now + LOCAL_CALL_TIME,
           [this, node, ticket = start.ticket, incarnation = self.incarnation]
           {
             if (m_nodes[node].incarnation == incarnation)
               Deliver(node, Sidecar::LoadAnswered{ticket, Sidecar::OrderOutcome::Accepted});
           });
}

// --- links ---

std::unique_ptr<QueueLink> SidecarWorld::MakeLink()
{
  return std::make_unique<QueueLink>(m_options.link_bytes_per_second,
                                     [this](TimePoint at, std::function<void()> run)
                                     { Schedule(at, std::move(run)); });
}

void SidecarWorld::Transfer(std::uint64_t connection, QueueLink& from, QueueLink& to,
                            std::size_t bytes, std::function<void()> done)
{
  Connection& self = m_connections[connection];
  for (std::size_t sent = 0; sent < bytes; sent += PACKET_BYTES)
  {
    const std::size_t packet = std::min(PACKET_BYTES, bytes - sent);
    self.unsent.push_back({packet, &from, &to, {}});
  }
  if (bytes > 0)
    self.unsent.back().done = std::move(done);
  Advance(connection);
}

void SidecarWorld::Advance(std::uint64_t connection)
{
  Connection& self = m_connections[connection];
  while (!self.unsent.empty() && self.in_flight + self.unsent.front().bytes <= WINDOW_BYTES)
  {
    const Connection::Packet packet = std::move(self.unsent.front());
    self.unsent.pop_front();
    self.in_flight += packet.bytes;
    const auto received = [this, connection, packet]
    {
      if (packet.done)
        Schedule(m_now + NETWORK_DELAY, packet.done);
      m_connections[connection].in_flight -= packet.bytes;
      Advance(connection);
    };
    packet.from->Send(packet.bytes, m_now,
                      [this, packet, received] { packet.to->Send(packet.bytes, m_now, received); });
  }
}

void SidecarWorld::Execute(std::size_t node, const Sidecar::FetchFromOrigin& fetch)
{
  const std::uint64_t incarnation_now = m_nodes[node].incarnation;
  const auto fail = [this, node, id = fetch.id, incarnation = incarnation_now](ErrorKind kind)
  {
    if (m_nodes[node].incarnation == incarnation && !m_nodes[node].is_cut_off)
      Deliver(node, Sidecar::OriginFetched{id, Error{kind, "the origin failed"}});
  };
  if (m_is_origin_down)
    return Schedule(m_now + 2 * NETWORK_DELAY, [fail] { fail(ErrorKind::Unreachable); });
  const bool is_manifest = fetch.piece == Distribution::MANIFEST_PIECE;
  Bytes data = is_manifest ? ManifestOf(fetch.version) : PieceOf(fetch.version, fetch.piece);
  const std::uint64_t newest_at_request = m_named.rbegin()->first;
  m_origin_bytes += data->size();
  if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_corrupt_share)
  {
    std::string corrupted = *data;
    // In a manifest, a digest is changed, so that the manifest can still be parsed. In a piece, one
    // byte is changed.
    const std::size_t at = corrupted.find("\"pieces\"");
    corrupted[is_manifest ? at + 15 : 3] = is_manifest ? '0' : 'X';
    data = Common::MakeBytes(std::move(corrupted));
  }
  Transfer(m_next_connection++, *m_origin, *m_nodes[node].downlink, data->size(),
           [this, node, id = fetch.id, data, incarnation = incarnation_now, newest_at_request, fail,
            version = fetch.version]
           {
             if (m_is_origin_down)
               return fail(ErrorKind::Unreachable);
             if (version + 1 < newest_at_request)
               return fail(ErrorKind::NotFound);
             if (m_nodes[node].incarnation != incarnation || m_nodes[node].is_cut_off)
               return;
             Deliver(node, Sidecar::OriginFetched{id, data});
           });
}

void SidecarWorld::Execute(std::size_t /*node*/, const Sidecar::CancelOriginFetch& /*cancel*/) {}

void SidecarWorld::Execute(std::size_t node, const Sidecar::SendMessage& send)
{
  if (const auto* report = std::get_if<Mesh::LoadReport>(&send.message))
    m_nodes[node].reported = report->load;
  const auto found = m_by_address.find(send.to);
  if (found == m_by_address.end())
    return;
  const std::size_t receiver = found->second;
  Node& from = m_nodes[node];
  Node& to = m_nodes[receiver];
  if (from.is_cut_off || to.is_cut_off)
    return;
  std::size_t bytes = SMALL_MESSAGE_BYTES;
  if (const auto* piece = std::get_if<Mesh::PieceReply>(&send.message);
      piece && Common::Succeeded(piece->result))
  {
    bytes += std::get<Bytes>(piece->result)->size();
    m_sent_bytes += bytes;
    if (from.hall != to.hall)
      m_cross_hall_bytes += bytes;
  }
  const Mesh::Sender sender{from.address.ToString(), from.hall, from.address, from.incarnation};
  Transfer(node * m_nodes.size() + receiver, *from.uplink, *to.downlink, bytes,
           [this, receiver, sender, message = send.message, incarnation = to.incarnation]
           { Receive(receiver, incarnation, sender, message); });
}

// --- observations and injected faults ---

bool SidecarWorld::HasLoaded(std::size_t node, std::uint64_t version) const
{
  return !m_nodes[node].is_busy && HoldsAllLayers(m_nodes[node]) && m_nodes[node].loaded >= version;
}

bool SidecarWorld::HaveAllLoaded(std::uint64_t version,
                                 const std::vector<std::size_t>& except) const
{
  for (std::size_t node = 0; node < m_nodes.size(); ++node)
  {
    const bool is_excepted = std::ranges::find(except, node) != except.end();
    if (!is_excepted && !HasLoaded(node, version))
      return false;
  }
  return true;
}

std::size_t SidecarWorld::ServingEngines() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
      m_nodes, [](const Node& node) { return !node.is_busy && HoldsAllLayers(node); }));
}

double SidecarWorld::CopiesFromOrigin() const
{
  return static_cast<double>(m_origin_bytes) / m_options.piece_bytes / m_options.pieces;
}

double SidecarWorld::CopiesBetweenNodes() const
{
  return static_cast<double>(m_sent_bytes) / m_options.piece_bytes / m_options.pieces;
}

double SidecarWorld::CrossHallCopies() const
{
  return static_cast<double>(m_cross_hall_bytes) / m_options.piece_bytes / m_options.pieces;
}

void SidecarWorld::SetLink(std::size_t node, std::uint64_t bytes_per_second)
{
  m_nodes[node].uplink->SetRate(bytes_per_second);
  m_nodes[node].downlink->SetRate(bytes_per_second);
}

void SidecarWorld::Restart(std::size_t node, Duration after)
{
  m_nodes[node].sidecar.reset();
  ++m_nodes[node].incarnation;
  Schedule(m_now + after, [this, node] { StartNode(node); });
}

void SidecarWorld::CorruptStage(std::size_t node, std::uint32_t piece)
{
  m_nodes[node].stage[piece] = Common::MakeBytes("spoilt");
}
} // namespace Holdpost::Testing
