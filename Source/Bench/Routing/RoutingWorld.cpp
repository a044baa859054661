// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/RoutingWorld.h"

#include <fmt/format.h>

#include "Bench/Routing/RoutingWorldParts.h"

namespace Holdpost::Bench
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr char SERVICE[] = "llm";
// Switches end so long before they have to.
static constexpr Milliseconds SWITCH_MARGIN{1600};

RoutingWorld::RoutingWorld(const RoutingOptions& options)
    : m_options(options), m_random(options.seed)
{
  BuildNodes();
}

RoutingWorld::~RoutingWorld() = default;

void RoutingWorld::After(Duration delay, Handler handler)
{
  m_events.push({m_now + delay, m_next_order++, std::move(handler)});
}

Duration RoutingWorld::Way(const std::string& from, const std::string& to) const
{
  return from == to ? m_options.way_in_hall : m_options.way_between_halls;
}

// --- the world as it begins ---

static std::shared_ptr<const Settings::Document> MakeDocument(const RoutingOptions& options)
{
  auto document = std::make_shared<Settings::Document>();
  document->version = 1;
  for (const RequestKind& kind : options.kinds)
  {
    Settings::Route route;
    route.name = kind.name;
    route.host = HOST;
    route.path_prefix = "/" + kind.name + "/";
    route.services = {{SERVICE, 1}};
    route.repetition = Settings::Repetition::Idempotent;
    route.is_stream = true;
    route.is_resumable = true;
    route.timeout = DEADLINE;
    route.goal = options.policy == Policy::GatewayWithoutAdmission ? DEADLINE : kind.goal;
    route.max_attempts = 2;
    document->routes.push_back(route);
  }
  document->services = {{SERVICE, 0, options.engine, {{MODEL, 1, 1, options.warm_up}}}};
  return document;
}

void RoutingWorld::BuildNodes()
{
  const auto document = MakeDocument(m_options);
  std::size_t gateways = 0;
  for (const HallShape& hall : m_options.halls)
    gateways += hall.gateways;
  Gateway::RetryLimits retries;
  retries.extra = 200;
  for (const HallShape& hall : m_options.halls)
  {
    for (std::size_t i = 0; i < hall.gateways; ++i)
    {
      auto node = std::make_unique<Node>();
      node->hall = hall.name;
      if (m_options.policy == Policy::RoundRobin)
        node->core = BaselineGateway(BaselineChoice::RoundRobin, m_random());
      else if (m_options.policy == Policy::FewestInFlight)
        node->core = BaselineGateway(BaselineChoice::FewestInFlight, m_random());
      else
      {
        auto core = std::make_unique<Gateway::Gateway>(
            Gateway::GatewayOptions{hall.name, retries, m_options.switch_within, m_random()},
            m_metrics);
        core->OfferDocument(document, m_now);
        core->SetGateways({gateways, hall.gateways, gateways}, m_now);
        node->core = std::move(core);
      }
      m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < hall.targets; ++i)
      AddTarget(hall.name, true);
  }
  TellTargets();
}

void RoutingWorld::AddTarget(const std::string& hall, bool serves)
{
  const std::size_t index = m_targets.size();
  auto target = std::make_unique<Target>(m_options, index);
  target->listed.id = fmt::format("t{}", index);
  target->listed.service = SERVICE;
  target->listed.hall = hall;
  target->listed.address = {fmt::format("10.0.{}.{}", index / 250, index % 250), 80};
  target->listed.slots = m_options.engine.slots;
  target->listed.needs_weights = true;
  target->weights = serves ? 1 : 0;
  target->is_deaf = std::bernoulli_distribution(m_options.deaf_engines)(m_random);
  target->listed.weights_version = target->weights;
  Target* raw = target.get();
  m_targets.push_back(std::move(target));
  const Duration phase =
      Milliseconds(m_random() % static_cast<std::uint64_t>(REPORT_PERIOD.count()));
  After(phase, [this, raw] { ReportLoad(*raw); });
  if (serves)
    return;
  After(m_options.added_serve_after,
        [this, raw]
        {
          raw->weights = raw->listed.weights_version = 1;
          TellTargets();
        });
}

void RoutingWorld::TellTargets()
{
  std::vector<Gateway::ListedTarget> list;
  for (const auto& target : m_targets)
    list.push_back(target->listed);
  for (const auto& node : m_nodes)
  {
    Gateway::Actions actions;
    if (auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core))
      (*core)->SetTargets(list, m_now, &actions);
    else
      std::get<BaselineGateway>(node->core).SetTargets(list);
    Carry(*node, actions);
  }
}

void RoutingWorld::PlanPush()
{
  if (!m_options.push_at)
    return;
  After(*m_options.push_at,
        [this]
        {
          // A copy that is late is taken at once.
          const Duration span = std::max<Duration>(m_options.switch_within - m_options.copy_time -
                                                       SWITCH_MARGIN - m_options.warm_up,
                                                   Duration::zero());
          const auto count = static_cast<std::int64_t>(m_targets.size());
          for (std::int64_t i = 0; i < count; ++i)
          {
            Target& target = *m_targets[static_cast<std::size_t>(i)];
            target.switch_at = m_now + m_options.copy_time + span * i / count;
            After(*target.switch_at - m_now, [this, &target] { CheckSwitch(target); });
          }
          for (const auto& node : m_nodes)
          {
            if (auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core))
              (*core)->OnWeightsNamed(MODEL, {PUSHED_VERSION, {m_now}}, m_now);
          }
        });
}

RoutingReport RoutingWorld::Run()
{
  PlanPush();
  Duration at = m_options.added_from;
  std::size_t added = 0;
  for (const HallShape& hall : m_options.halls)
    added += hall.added_targets;
  for (const HallShape& hall : m_options.halls)
  {
    for (std::size_t i = 0; i < hall.added_targets; ++i)
    {
      After(at, [this, name = hall.name] { AddTarget(name, false); });
      at += m_options.added_within / static_cast<std::int64_t>(added);
    }
  }
  ScheduleArrival();
  const TimePoint end = m_start + m_options.length + DEADLINE;
  while (!m_events.empty() && m_events.top().at < end)
  {
    const Due event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.handler();
  }
  return m_report;
}
} // namespace Holdpost::Bench
