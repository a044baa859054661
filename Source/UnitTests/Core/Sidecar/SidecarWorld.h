// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Core/Sidecar/Sidecar.h"
#include "Support/QueueLink.h"
#include "Support/ScheduledCalls.h"

// A simulation on a virtual clock for tests of sidecars: it contains the sidecars' links and
// engines and the origin of weights.
namespace Holdpost::Testing
{
struct WorldOptions
{
  std::vector<std::pair<std::string, int>> halls = {{"a", 4}, {"b", 4}, {"c", 4}};
  std::string origin_hall = "b";
  std::uint32_t pieces = 96;
  std::uint32_t piece_bytes = 24576;
  std::uint64_t link_bytes_per_second = 912500;
  std::uint64_t seed = 1;
  // The time after which the running requests of an engine have ended once the engine accepts no
  // new ones; a load order waits for them.
  Common::Duration run_time{};
  // The time after its naming at which a version has to be in use at every engine.
  Common::Milliseconds switch_within{8000};
};

class SidecarWorld
{
public:
  explicit SidecarWorld(const WorldOptions& options);

  // Names new weights to all sidecars, as a gateway in each hall does.
  void NameVersion(std::uint64_t version);
  void RunFor(Common::Duration time);
  // Runs until `done` returns true. Returns false if this does not happen in time.
  bool RunUntil(const std::function<bool()>& done, Common::Duration max_time);

  std::size_t Count() const { return m_nodes.size(); }
  bool HasLoaded(std::size_t node, std::uint64_t version) const;
  // Whether all engines except the listed ones have loaded the version.
  bool HaveAllLoaded(std::uint64_t version, const std::vector<std::size_t>& except = {}) const;
  // Number of engines that can answer requests at this moment, with any version of the weights.
  std::size_t ServingEngines() const;
  // The time for which engines did not answer requests, summed over all engines: they were loading
  // weights, or their weights were too old.
  Common::Duration OutOfServiceTime() const { return m_out_of_service; }
  double CopiesFromOrigin() const;
  // Bytes of pieces that crossed from one hall to another, in copies.
  double CrossHallCopies() const;
  Common::TimePoint Now() const { return m_now; }
  // Describes the fault if an engine loaded weights that were not complete and correct; otherwise
  // empty.
  const std::string& Fault() const { return m_fault; }
  // Bytes that wait for the link to the node.
  std::size_t BytesWaitingFor(std::size_t node) const
  {
    return m_nodes[node].downlink->BytesWaiting();
  }

  // --- injected faults ---
  void SetLink(std::size_t node, std::uint64_t bytes_per_second);
  // The sidecar's process ends and starts again after the given time; the content of the stage
  // stays.
  void Restart(std::size_t node, Common::Duration after);
  // While a node is cut off, messages to and from it are lost.
  void SetCutOff(std::size_t node, bool is_cut_off) { m_nodes[node].is_cut_off = is_cut_off; }
  // Corrupts this share of the origin's answers.
  void CorruptOrigin(double share) { m_corrupt_share = share; }
  // While the origin is down, it refuses connections and breaks the open ones.
  void SetOriginDown(bool is_down) { m_is_origin_down = is_down; }
  void CorruptStage(std::size_t node, std::uint32_t piece);
  // Reading a piece back from a stage takes this time.
  void SetStageReadTime(Common::Duration time) { m_stage_read_time = time; }
  // The engine restarts without weights.
  void LoseWeights(std::size_t node) { m_nodes[node].loaded = 0; }
  // Bytes of pieces that sidecars have sent to each other, in copies.
  double CopiesBetweenNodes() const;

  Sidecar::Sidecar& SidecarAt(std::size_t node) { return *m_nodes[node].sidecar; }
  // The last report of the node's target; empty if its sidecar has made none.
  const std::optional<Gateway::TargetLoad>& LoadReportedBy(std::size_t node) const
  {
    return m_nodes[node].reported;
  }
  std::uint64_t TicksOf(std::size_t node) const { return m_nodes[node].ticks; }
  // Number of load orders that the engine has accepted.
  std::uint64_t OrdersOf(std::size_t node) const { return m_nodes[node].orders; }

private:
  struct Node
  {
    std::string hall;
    Common::Address address;
    std::unique_ptr<Sidecar::Sidecar> sidecar;
    std::uint64_t incarnation = 0;
    std::unique_ptr<QueueLink> uplink;
    std::unique_ptr<QueueLink> downlink;
    bool is_cut_off = false;
    std::uint64_t ticks = 0;
    Common::TimePoint tick_due{};
    // The state of the engine.
    std::map<std::uint32_t, Common::Bytes> stage;
    std::uint64_t loaded = 0;
    Sidecar::LayerRange held; // of the loaded version
    bool is_busy = false;
    std::uint64_t orders = 0;
    Common::TimePoint last_accepted{};
    // What the sidecar last told a gateway.
    std::optional<Gateway::TargetLoad> reported;
  };

  // A connection that sends bytes in one direction, with at most one window of bytes that have not
  // been received.
  struct Connection
  {
    struct Packet
    {
      std::size_t bytes;
      QueueLink* from;
      QueueLink* to;
      std::function<void()> done; // empty for all but the last packet of a message
    };
    std::deque<Packet> unsent;
    std::size_t in_flight = 0;
  };

  // Connections to the origin have numbers above the numbers of connections between sidecars.
  static constexpr std::uint64_t FIRST_ORIGIN_CONNECTION = 1'000'000;

  void Schedule(Common::TimePoint at, std::function<void()> run);
  void StartNode(std::size_t node);
  void Tick(std::size_t node, std::uint64_t incarnation);
  void ScheduleTick(std::size_t node);
  void SendHellos();
  static bool HoldsAllLayers(const Node& node);
  // Takes the pieces of a layer from the stage.
  void TakeLayer(std::size_t node, std::uint64_t version, std::uint32_t layer);
  // Whether the engine would start a request now.
  bool AcceptsRequests(const Node& node) const;
  void SampleService();
  void Receive(std::size_t node, std::uint64_t incarnation, const Mesh::Sender& from,
               const Mesh::Message& message);
  template <typename Event>
  void Deliver(std::size_t node, Event event);
  void ExecuteActions(std::size_t node, Sidecar::Actions& actions);
  void Execute(std::size_t node, const Sidecar::ReadReport& read);
  void Execute(std::size_t /*node*/, const Sidecar::ReadIdentity& /*read*/) {}
  void Execute(std::size_t node, const Sidecar::ListStaged& list);
  void Execute(std::size_t node, const Sidecar::ReadStaged& read);
  void Execute(std::size_t node, const Sidecar::StagePiece& stage);
  void Execute(std::size_t node, const Sidecar::LoadStagedWeights& start);
  void Execute(std::size_t node, const Sidecar::FetchFromOrigin& fetch);
  void Execute(std::size_t node, const Sidecar::CancelOriginFetch& cancel);
  void Execute(std::size_t node, const Sidecar::SendMessage& send);
  std::unique_ptr<QueueLink> MakeLink();
  // Sends bytes over both links; `done` runs when the last byte has arrived.
  void Transfer(std::uint64_t connection, QueueLink& from, QueueLink& to, std::size_t bytes,
                std::function<void()> done);
  // Sends the packets for which the connection's window has capacity.
  void Advance(std::uint64_t connection);
  Common::Bytes PieceOf(std::uint64_t version, std::uint32_t piece) const;
  Common::Bytes ManifestOf(std::uint64_t version) const;
  Mesh::Hello MakeHello() const;

  WorldOptions m_options;
  Common::TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_order = 0;
  ScheduledCalls m_queue;
  Common::Metrics m_metrics;
  std::vector<Node> m_nodes;
  std::map<Common::Address, std::size_t> m_by_address;
  std::map<std::uint64_t, Connection> m_connections;
  std::uint64_t m_next_connection = FIRST_ORIGIN_CONNECTION;
  std::unique_ptr<QueueLink> m_origin;
  // The link of the gateways.
  std::unique_ptr<QueueLink> m_gateway;
  double m_corrupt_share = 0;
  Common::Duration m_stage_read_time;
  bool m_is_origin_down = false;
  std::uint64_t m_origin_bytes = 0;
  std::uint64_t m_cross_hall_bytes = 0;
  std::uint64_t m_sent_bytes = 0;
  std::map<std::uint64_t, Common::TimePoint> m_named;
  std::mt19937_64 m_random;
  std::string m_fault;
  Common::Duration m_out_of_service{};
};
} // namespace Holdpost::Testing
