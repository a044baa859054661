// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Bench/Routing/RoutingWorld.h"
#include "Common/Mailbox.h"

// What a routing world is made of.
namespace Holdpost::Bench
{
inline constexpr char MODEL[] = "model";
inline constexpr char HOST[] = "api.example";
// Engines begin with version 1.
inline constexpr std::uint64_t PUSHED_VERSION = 2;
inline constexpr Common::Milliseconds WAY_TO_CALLER{1};
inline constexpr Common::Milliseconds DEADLINE{6000};
// What a sidecar does: how often it tells gateways, and how long before a switch.
inline constexpr Common::Milliseconds REPORT_PERIOD{100};

struct RoutingWorld::Target
{
  enum class Phase
  {
    Serving,
    // Ends what runs, to take other weights.
    Ending,
    Loading,
  };

  Target(const RoutingOptions& options, std::size_t index)
      : engine(options.engine, options.chunk_tokens, options.queue_most), index(index)
  {
  }

  Gateway::ListedTarget listed;
  EngineModel engine;
  std::size_t index;
  std::uint64_t weights = 1;
  bool is_deaf = false;
  Phase phase = Phase::Serving;
  std::optional<Common::TimePoint> switch_at;
  bool is_switching = false;
  std::map<const Node*, Common::TimePoint> told;
  // What gateways told of, and when all were last told.
  std::map<const Node*, Gateway::GatewayWork> work;
  Common::TimePoint last_told{};
  bool tells_soon = false;
};

struct RoutingWorld::Node
{
  std::string hall;
  std::variant<std::unique_ptr<Gateway::Gateway>, BaselineGateway> core;
  std::optional<Common::TimePoint> tick_due;
};

// A caller's request, through all its attempts.
struct RoutingWorld::Request
{
  std::uint64_t number = 0; // of the present attempt
  const RequestKind* kind = nullptr;
  std::string hall;
  Node* node = nullptr;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t guess = 0;
  double size = 1;
  double worth = 0;
  Common::TimePoint asked;
  std::uint32_t attempts = 0;
  Target* target = nullptr;
  std::optional<Common::TimePoint> first_seen;
  Common::TimePoint last_seen;
  Common::TimePoint sent;
  Common::Duration expected_start{};
  bool is_late = false;
  // It was refused, and comes back later.
  bool is_away = false;
};
template <typename Event>
void RoutingWorld::Feed(Node& node, Event event)
{
  Gateway::Actions actions;
  std::visit(Common::Overloaded{[&](std::unique_ptr<Gateway::Gateway>& core)
                                { core->Handle(std::move(event), m_now, &actions); },
                                [&](BaselineGateway& core) { core.Handle(event, &actions); }},
             node.core);
  Carry(node, actions);
}
} // namespace Holdpost::Bench
