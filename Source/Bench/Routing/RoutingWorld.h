// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "Bench/Routing/BaselineGateway.h"
#include "Bench/Routing/EngineModel.h"
#include "Bench/Routing/RoutingReport.h"
#include "Common/Metrics.h"
#include "Core/Gateway/Gateway.h"

// Gateways, engines and callers on a virtual clock, to compare ways of routing over many seeds in
// seconds. The gateways are the product's; engines, sidecars' reports and callers are models.
namespace Holdpost::Bench
{
enum class Policy
{
  // The product's decisions.
  Gateway,
  // The product's choice of target, and nothing is refused.
  GatewayWithoutAdmission,
  RoundRobin,
  FewestInFlight,
};

struct HallShape
{
  std::string name;
  std::size_t gateways = 1;
  std::size_t targets = 1;
  // Targets that are added during the run.
  std::size_t added_targets = 0;
  // Of the arrivals, relative to the other halls.
  double arrivals = 1;
};

// One kind of request.
struct RequestKind
{
  std::string name;
  double share = 1;
  Common::Milliseconds goal{400};
  double worth = 1;
  double late_worth = 0.25;
  double prompt_mean = 1000;
  double prompt_spread = 1; // of the logarithm
  double prompt_most = 4000;
  double answer_mean = 100;
  double answer_spread = 0.8;
  double answer_most = 260;
};

struct RoutingOptions
{
  std::vector<HallShape> halls;
  std::vector<RequestKind> kinds;
  Settings::EngineProfile engine;
  std::uint32_t chunk_tokens = 2048;
  std::uint32_t queue_most = 24;
  double arrivals_per_second = 100;
  // From each second on, the part of the arrivals that come.
  std::map<double, double> ramp{{0, 1}};
  Common::Milliseconds length{40000};
  // Added targets come one after the other, and serve so long after each has come.
  Common::Milliseconds added_from{5000};
  Common::Milliseconds added_within{5000};
  Common::Milliseconds added_serve_after{3500};
  // New weights are named then; empty for none.
  std::optional<Common::Milliseconds> push_at;
  Common::Milliseconds switch_within{8000};
  Common::Milliseconds copy_time{4000};
  Common::Milliseconds warm_up{300};
  // The part of the engines that go on with requests whose connection was closed.
  double deaf_engines = 0;
  Common::Milliseconds way_in_hall{1};
  Common::Milliseconds way_between_halls{3};
  // How many clients each hall's callers are, each of which meets one gateway.
  std::size_t clients_per_hall = 90;
  Policy policy = Policy::Gateway;
  std::uint64_t seed = 1;
};

class RoutingWorld
{
public:
  explicit RoutingWorld(const RoutingOptions& options);
  ~RoutingWorld();
  RoutingReport Run();

private:
  struct Target;
  struct Node;
  struct Request;
  using Handler = std::function<void()>;

  struct Due
  {
    Common::TimePoint at;
    std::uint64_t order;
    Handler handler;
    bool operator>(const Due& other) const
    {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void After(Common::Duration delay, Handler handler);
  Common::Duration Way(const std::string& from, const std::string& to) const;

  void BuildNodes();
  void AddTarget(const std::string& hall, bool serves);
  void TellTargets();
  void PlanPush();

  void ScheduleArrival();
  double RateNow() const;
  void Arrive();
  std::uint32_t DrawTokens(double mean, double spread, double most);
  void SendToGateway(std::uint64_t number);
  void Settle(Request& request, Outcome outcome);

  template <typename Event>
  void Feed(Node& node, Event event);
  void Carry(Node& node, const Gateway::Actions& actions);
  void Do(Node& node, const Gateway::Dispatch& dispatch);
  void Do(Node& node, const Gateway::PassAnswer& pass);
  void Do(Node& node, const Gateway::CancelAttempt& cancel);
  void Do(Node& node, const Gateway::Refuse& refuse);
  void Do(Node& node, const Gateway::AbortAnswer& abort);
  void Do(Node& node, const Gateway::ReportWorkToAgent& tell);
  // Engines of the model name no limits, do not leave and do not rest.
  void Do(Node& /*node*/, const Gateway::ReportLimitToAgent& /*tell*/) {}
  void Do(Node& /*node*/, const Gateway::ReportLeaving& /*tell*/) {}
  void Do(Node& /*node*/, const Gateway::RecallConnecting& /*recall*/) {}
  // Its answers have lengths.
  void Do(Node& /*node*/, const Gateway::EndClosedAnswer& /*end*/) {}
  void Do(Node& /*node*/, const Gateway::ProbeTarget& /*probe*/) {}
  void ScheduleTick(Node& node);

  void StartPass(Target& target);
  void FinishPass(Target& target);
  void OnEngineEvent(Target& target, const EngineEvent& event);
  void NoteBegun(const Target& target);
  void OnCallerSees(Request& request);
  void CheckSwitch(Target& target);
  void ReportLoad(Target& target);
  void TellLoad(Target& target);
  Gateway::GatewayDemand DemandAt(const Target& target) const;

  RoutingOptions m_options;
  std::mt19937_64 m_random;
  Common::Metrics m_metrics;
  Common::TimePoint m_start{std::chrono::hours(1)};
  Common::TimePoint m_now = m_start;
  std::uint64_t m_next_order = 0;
  std::uint64_t m_next_number = 1;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_events;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::map<std::uint64_t, std::unique_ptr<Request>> m_requests;
  RoutingReport m_report;
};
} // namespace Holdpost::Bench
