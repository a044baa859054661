// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/RoutingWorld.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "Common/Mailbox.h"

namespace Holdpost::Bench
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;
using Gateway::RequestNumber;

static constexpr char SERVICE[] = "llm";
static constexpr char MODEL[] = "model";
static constexpr char HOST[] = "api.example";
static constexpr Milliseconds WAY_TO_CALLER{1};
static constexpr Milliseconds DEADLINE{6000};
static constexpr Milliseconds PAUSE_MOST{400};
// A caller that hears nothing for so long leaves.
static constexpr Milliseconds PATIENCE{2000};
static constexpr std::uint32_t ATTEMPTS_OF_CALLER = 2;
// The part of what is left of its time that a caller waits before it comes back.
static constexpr int COME_BACK_SHARE = 3;
// What a sidecar does: how often it tells gateways, and how long before a switch.
static constexpr Milliseconds REPORT_PERIOD{100};
static constexpr Milliseconds REPORT_PERIOD_ACROSS{1000};
// Word of new work is passed on at once, but not more often.
static constexpr Milliseconds TELL_GAP{10};
static constexpr Milliseconds SWITCH_HORIZON{3000};
static constexpr Milliseconds SWITCH_ANNOUNCE{30};
// Switches end so long before they have to.
static constexpr Milliseconds SWITCH_MARGIN{1600};
// A request is worth this much and the rest by its size, at most so many times the mean.
static constexpr double FIXED_WORTH = 0.3;
static constexpr double SIZE_MOST = 4;
static constexpr double ANSWER_TOKEN_WEIGHT = 10;
static constexpr double EARNED_AFTER_REFUSAL = 0.5;
// What it costs to refuse one that came back when it was told to.
static constexpr double REFUSED_AGAIN_PRICE = 0.3;
// How far callers' guesses of their answers are off, as the spread of the logarithm.
static constexpr double GUESS_SPREAD = 0.5;

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
  Phase phase = Phase::Serving;
  std::optional<TimePoint> switch_at;
  bool is_switching = false;
  std::map<const Node*, TimePoint> told;
  // What gateways told of, and when all were last told.
  std::map<const Node*, Gateway::OwnWork> work;
  TimePoint last_told{};
  bool tells_soon = false;
};

struct RoutingWorld::Node
{
  std::string hall;
  std::variant<std::unique_ptr<Gateway::Gateway>, BaselineGateway> core;
  std::optional<TimePoint> tick_due;
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
  TimePoint asked;
  std::uint32_t attempts = 0;
  Target* target = nullptr;
  std::optional<TimePoint> first_seen;
  TimePoint last_seen;
  TimePoint sent;
  Duration expected_start{};
  bool is_late = false;
  // It was refused, and comes back later.
  bool is_away = false;
};

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
    route.attempts_most = 2;
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
        core->SetGateways({gateways, hall.gateways}, m_now);
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
          const Duration span =
              m_options.switch_within - m_options.copy_time - SWITCH_MARGIN - m_options.warm_up;
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
              (*core)->OnWeightsNamed(MODEL, 2, m_now);
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

// --- callers ---

double RoutingWorld::RateNow() const
{
  const double second = std::chrono::duration<double>(m_now - m_start).count();
  const auto next = m_options.ramp.upper_bound(second);
  const double part = next == m_options.ramp.begin() ? 1 : std::prev(next)->second;
  return part * m_options.arrivals_per_second;
}

void RoutingWorld::ScheduleArrival()
{
  const double wait = std::exponential_distribution<double>(RateNow())(m_random);
  const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  if (m_now + delay > m_start + m_options.length)
    return;
  After(delay,
        [this]
        {
          Arrive();
          ScheduleArrival();
        });
}

std::uint32_t RoutingWorld::DrawTokens(double mean, double spread, double most)
{
  const double middle = std::log(mean) - spread * spread / 2;
  const double drawn = std::lognormal_distribution<double>(middle, spread)(m_random);
  return static_cast<std::uint32_t>(std::clamp(drawn, 1.0, most));
}

void RoutingWorld::Arrive()
{
  std::vector<double> shares;
  for (const RequestKind& kind : m_options.kinds)
    shares.push_back(kind.share);
  const auto pick = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_random);
  std::vector<double> halls;
  for (const HallShape& hall : m_options.halls)
    halls.push_back(hall.arrivals);
  const auto place = std::discrete_distribution<std::size_t>(halls.begin(), halls.end())(m_random);
  auto request = std::make_unique<Request>();
  const RequestKind& kind = m_options.kinds[pick];
  request->kind = &kind;
  request->hall = m_options.halls[place].name;
  request->prompt_tokens = DrawTokens(kind.prompt_mean, kind.prompt_spread, kind.prompt_most);
  request->answer_tokens = DrawTokens(kind.answer_mean, kind.answer_spread, kind.answer_most);
  const double off = std::lognormal_distribution<double>(0, GUESS_SPREAD)(m_random);
  request->guess = static_cast<std::uint32_t>(off * request->answer_tokens);
  const double size = request->prompt_tokens + ANSWER_TOKEN_WEIGHT * request->answer_tokens;
  const double mean = kind.prompt_mean + ANSWER_TOKEN_WEIGHT * kind.answer_mean;
  request->worth = kind.worth * std::min(FIXED_WORTH + (1 - FIXED_WORTH) * size / mean, SIZE_MOST);
  request->size = size / mean;
  request->asked = m_now;
  const std::uint64_t number = m_next_number++;
  request->number = number;
  m_requests.emplace(number, std::move(request));
  SendToGateway(number);
}

void RoutingWorld::SendToGateway(std::uint64_t number)
{
  Request& request = *m_requests.at(number);
  ++request.attempts;
  request.sent = m_now;
  request.is_away = false;
  std::vector<Node*> near;
  for (const auto& node : m_nodes)
  {
    if (node->hall == request.hall)
      near.push_back(node.get());
  }
  // Each client keeps to one gateway; a retry meets another one.
  const std::size_t client = m_random() % m_options.clients_per_hall;
  request.node = near[(client * 2654435761U >> 7U) % near.size()];
  Gateway::RequestArrived event;
  event.number = number;
  event.request.id = fmt::format("{}", number);
  event.request.host = HOST;
  event.request.path = "/" + request.kind->name + "/";
  event.request.deadline = DEADLINE;
  event.request.generation =
      Gateway::GenerationHint{MODEL, request.prompt_tokens,
                              static_cast<std::uint32_t>(request.kind->answer_most), request.guess};
  Node* node = request.node;
  After(WAY_TO_CALLER, [this, node, event] { Feed(*node, event); });
  const Milliseconds patience = std::max(PATIENCE, 4 * request.kind->goal);
  After(patience,
        [this, number]
        {
          const auto found = m_requests.find(number);
          const bool waits =
              found != m_requests.end() && !found->second->first_seen && !found->second->is_away;
          if (!waits)
            return;
          Node& at = *found->second->node;
          Settle(*found->second, Outcome::Failed);
          Feed(at, Gateway::CallerLeft{number});
        });
}

void RoutingWorld::Settle(Request& request, Outcome outcome)
{
  const RequestKind& kind = *request.kind;
  double earned = 0;
  if (outcome == Outcome::InAim)
    earned = request.worth;
  else if (outcome == Outcome::InAimAfterRefusal)
    earned = request.worth * (EARNED_AFTER_REFUSAL + (1 - EARNED_AFTER_REFUSAL) * kind.late_worth);
  else if (outcome == Outcome::Late)
    earned = request.worth * kind.late_worth;
  else if (outcome == Outcome::Refused && request.attempts > 1)
    earned = -REFUSED_AGAIN_PRICE * request.worth;
  const Duration start = request.first_seen ? *request.first_seen - request.sent : Duration::zero();
  m_report.Add({kind.name, request.hall, request.asked - m_start, outcome, request.size,
                request.worth, earned, request.expected_start, start});
  m_requests.erase(request.number);
}

// --- gateways ---

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

void RoutingWorld::Carry(Node& node, const Gateway::Actions& actions)
{
  for (const Gateway::Action& action : actions)
    std::visit([&](const auto& typed) { Do(node, typed); }, action);
  ScheduleTick(node);
}

void RoutingWorld::ScheduleTick(Node& node)
{
  auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node.core);
  const auto next = core ? (*core)->NextWakeup() : std::nullopt;
  if (!next || (node.tick_due && *node.tick_due <= *next))
    return;
  node.tick_due = *next;
  After(std::max(*next - m_now, Duration::zero()),
        [this, &node, due = *next]
        {
          if (node.tick_due != due)
            return;
          node.tick_due.reset();
          Gateway::Actions actions;
          std::get<std::unique_ptr<Gateway::Gateway>>(node.core)->OnTick(m_now, &actions);
          Carry(node, actions);
        });
}

void RoutingWorld::Do(Node& node, const Gateway::Dispatch& dispatch)
{
  const auto found = m_requests.find(dispatch.number);
  if (found == m_requests.end())
    return;
  Request& request = *found->second;
  const auto place = std::ranges::find_if(m_targets, [&](const auto& target)
                                          { return target->listed.id == dispatch.target; });
  Target* target = place->get();
  request.target = target;
  request.expected_start = dispatch.expected_start;
  const EngineRequest work{dispatch.number, request.prompt_tokens, request.answer_tokens};
  const Duration way = Way(node.hall, target->listed.hall);
  After(way,
        [this, target, work, way, &node]
        {
          if (target->weights > 0 && target->engine.Submit(work))
            return StartPass(*target);
          After(way,
                [this, &node, number = work.id] {
                  Feed(node, Gateway::AnswerBegan{number, 503, true, true, false});
                });
        });
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::PassAnswer& pass)
{
  const auto found = m_requests.find(pass.number);
  if (found == m_requests.end())
    return;
  After(WAY_TO_CALLER,
        [this, number = pass.number]
        {
          const auto open = m_requests.find(number);
          if (open != m_requests.end())
            OnCallerSees(*open->second);
        });
}

void RoutingWorld::Do(Node& node, const Gateway::TellAgent& tell)
{
  const auto place = std::ranges::find_if(m_targets, [&](const auto& target)
                                          { return target->listed.address == tell.target; });
  Target* target = place->get();
  After(Way(node.hall, target->listed.hall),
        [this, &node, target, work = tell.work]
        {
          const Gateway::OwnWork before = std::exchange(target->work[&node], work);
          if (work.requests <= before.requests || target->tells_soon)
            return;
          target->tells_soon = true;
          const TimePoint due = std::max(m_now, target->last_told + TELL_GAP);
          After(due - m_now,
                [this, target]
                {
                  target->tells_soon = false;
                  TellLoad(*target);
                });
        });
}

void RoutingWorld::Do(Node& node, const Gateway::CancelAttempt& cancel)
{
  // The request may have been settled by now; then every engine is told.
  for (const auto& target : m_targets)
  {
    After(Way(node.hall, target->listed.hall),
          [raw = target.get(), number = cancel.number] { raw->engine.Cancel(number); });
  }
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::Refuse& refuse)
{
  const auto found = m_requests.find(refuse.number);
  if (found == m_requests.end())
    return;
  Request& request = *found->second;
  if (request.attempts >= ATTEMPTS_OF_CALLER || !refuse.error.retry_after)
    return Settle(request, Outcome::Refused);
  request.is_away = true;
  const Duration left = request.asked + DEADLINE - m_now;
  const Duration wait = std::min<Duration>(*refuse.error.retry_after, left / COME_BACK_SHARE);
  After(wait,
        [this, old = refuse.number]
        {
          auto open = m_requests.extract(old);
          if (!open)
            return;
          const std::uint64_t number = m_next_number++;
          open.key() = number;
          open.mapped()->number = number;
          m_requests.insert(std::move(open));
          SendToGateway(number);
        });
}

void RoutingWorld::Do(Node& /*node*/, const Gateway::AbortAnswer& abort)
{
  const auto found = m_requests.find(abort.number);
  if (found != m_requests.end())
    Settle(*found->second, Outcome::Failed);
}

// --- targets ---

void RoutingWorld::StartPass(Target& target)
{
  if (target.engine.IsInPass() || target.phase == Target::Phase::Loading)
    return;
  if (const auto time = target.engine.BeginPass())
    After(*time, [this, &target] { FinishPass(target); });
}

void RoutingWorld::FinishPass(Target& target)
{
  for (const EngineEvent& event : target.engine.EndPass())
    OnEngineEvent(target, event);
  if (target.phase == Target::Phase::Ending && target.engine.Running() == 0)
  {
    target.phase = Target::Phase::Loading;
    After(m_options.warm_up,
          [this, &target]
          {
            target.phase = Target::Phase::Serving;
            target.is_switching = false;
            target.switch_at.reset();
            target.weights = 2;
            target.engine.Admit();
            target.told.clear();
            StartPass(target);
          });
    return;
  }
  StartPass(target);
}

void RoutingWorld::OnEngineEvent(Target& target, const EngineEvent& event)
{
  const auto found = m_requests.find(event.id);
  if (found == m_requests.end())
    return;
  Node* node = found->second->node;
  const Duration way = Way(node->hall, target.listed.hall);
  if (event.is_first)
    After(way,
          [this, node, id = event.id] {
            Feed(*node, Gateway::AnswerBegan{id, 200, false, false, false});
          });
  else
    After(way + WAY_TO_CALLER,
          [this, id = event.id]
          {
            const auto open = m_requests.find(id);
            if (open != m_requests.end())
              OnCallerSees(*open->second);
          });
  if (!event.is_last)
    return;
  After(way + WAY_TO_CALLER,
        [this, node, id = event.id]
        {
          const auto open = m_requests.find(id);
          if (open == m_requests.end())
            return;
          Request& request = *open->second;
          const Duration took = *request.first_seen - request.sent;
          request.is_late = request.is_late || took > request.kind->goal;
          if (request.is_late)
            Settle(request, Outcome::Late);
          else
            Settle(request, request.attempts > 1 ? Outcome::InAimAfterRefusal : Outcome::InAim);
          Feed(*node, Gateway::AnswerEnded{id});
        });
}

void RoutingWorld::OnCallerSees(Request& request)
{
  if (!request.first_seen)
    request.first_seen = m_now;
  else if (m_now - request.last_seen > PAUSE_MOST)
    request.is_late = true;
  request.last_seen = m_now;
}

void RoutingWorld::CheckSwitch(Target& target)
{
  target.is_switching = true;
  target.told.clear();
  After(SWITCH_ANNOUNCE,
        [this, &target]
        {
          target.engine.StopAdmitting();
          target.phase = Target::Phase::Ending;
          if (!target.engine.IsInPass())
            FinishPass(target);
        });
}

void RoutingWorld::ReportLoad(Target& target)
{
  After(REPORT_PERIOD, [this, &target] { ReportLoad(target); });
  TellLoad(target);
}

Gateway::GatewayDemand RoutingWorld::DemandAt(const Target& target) const
{
  Gateway::GatewayDemand all;
  double refused = 0;
  for (const auto& node : m_nodes)
  {
    const auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core);
    const bool is_near = node->hall == target.listed.hall;
    if (!core || !(*core)->Targets().IsUsed(target.listed.address))
      continue;
    if (!is_near && !(*core)->Targets().NeedsOtherHalls(m_now))
      continue;
    const Gateway::OwnDemand demand = (*core)->Targets().DemandHere(m_now);
    (is_near ? all.near_per_second : all.far_per_second) += demand.arrivals_per_second;
    refused += demand.arrivals_per_second * demand.refused_share;
  }
  if (const double arrivals = all.near_per_second + all.far_per_second; arrivals > 0)
    all.refused_share = refused / arrivals;
  return all;
}

void RoutingWorld::TellLoad(Target& target)
{
  target.last_told = m_now;
  Gateway::TargetLoad load;
  load.address = target.listed.address;
  load.running = target.engine.Running();
  load.queued = target.engine.Queued();
  std::uint32_t unread = 0;
  for (const auto& [node, work] : target.work)
    unread += work.unread_prompt_tokens;
  load.unread_prompt_tokens = unread;
  load.demand = DemandAt(target);
  load.weights_version = target.weights;
  load.is_switching = target.is_switching;
  if (target.switch_at && !target.is_switching && *target.switch_at - m_now < SWITCH_HORIZON)
    load.switch_in = std::chrono::duration_cast<Milliseconds>(*target.switch_at - m_now);
  for (const auto& node : m_nodes)
  {
    auto* core = std::get_if<std::unique_ptr<Gateway::Gateway>>(&node->core);
    const bool is_near = node->hall == target.listed.hall;
    const auto told = target.told.find(node.get());
    const bool is_early =
        told != target.told.end() && !is_near && m_now - told->second < REPORT_PERIOD_ACROSS;
    if (!core || !(*core)->Targets().IsUsed(target.listed.address))
      continue;
    if (is_early && !(*core)->Targets().NeedsOtherHalls(m_now))
      continue;
    ++(is_near ? m_report.near_tells : m_report.far_tells);
    target.told[node.get()] = m_now;
    After(Way(node->hall, target.listed.hall),
          [this, core = core->get(), raw = node.get(), load]
          {
            Gateway::Actions actions;
            core->OnTargetLoad(load, m_now, &actions);
            Carry(*raw, actions);
          });
  }
}
} // namespace Holdpost::Bench
