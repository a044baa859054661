// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "Bench/Routing/RoutingWorldParts.h"

// Callers: what they ask for, when they come back and when they leave.
namespace Holdpost::Bench
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

// A caller that receives nothing for so long leaves.
static constexpr Milliseconds PATIENCE{2000};
// A request is worth this much and the rest by its size, at most so many times the mean.
static constexpr double FIXED_WORTH = 0.3;
static constexpr double SIZE_MOST = 4;
static constexpr double ANSWER_TOKEN_WEIGHT = 10;
static constexpr double EARNED_AFTER_REFUSAL = 0.5;
// What it costs to refuse one that came back when it was told to.
static constexpr double REFUSED_AGAIN_PRICE = 0.3;
// How far callers' guesses of their answers are off, as the spread of the logarithm.
static constexpr double GUESS_SPREAD = 0.5;

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
} // namespace Holdpost::Bench
