// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Estimates when each target would start a request, and chooses between the targets.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;
using Settings::EngineProfile;

// A request may start later than twice its expected start time by up to this margin: shortly before
// a switch deadline, many gateways send to the few targets that may still be used, and know little
// of each other's requests.
static constexpr Duration START_MARGIN = Milliseconds(400);
static constexpr Duration START_MARGIN_OLD_REPORT = Milliseconds(2000);
// The margin for a target from which no report arrives: requests to it may be in transit for
// seconds.
static constexpr Duration START_MARGIN_SILENT = Milliseconds(4000);
// While an engine also generates answers, it processes prompts at this share of its full speed.
static constexpr double PROMPT_SPEED_SHARE = 0.3;
// This hall counts as crowded, so that targets of other halls are needed, while the cost of each of
// its targets is more than this multiple of the time in which an idle target would start the
// request, and for CROWDED_TIME after that.
static constexpr double CROWDED_RATIO = 1.6;
static constexpr Duration CROWDED_TIME = Milliseconds(1500);
// Limits of the weight that a request's size has in its admission. When capacity is short, requests
// that need less engine time than usual are admitted slightly more often. With wider limits the
// largest requests are served least.
static constexpr double MIN_SIZE_WEIGHT = 0.9;
static constexpr double MAX_SIZE_WEIGHT = 1.5;

TargetWork TargetTable::WorkOf(const Target& target, const EngineProfile& engine,
                               TimePoint now) const
{
  TargetWork work{LoadOf(target, now), target.unread_prompt_tokens, PaceOf(target)};
  if (!HasValidLoad(target, now))
    return work;
  if (target.load->unread_prompt_tokens)
  {
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - target.load_received).count();
    const double processed_tokens = age_ms * engine.prompt_tokens_per_ms * PROMPT_SPEED_SHARE;
    work.unread_prompt_tokens =
        std::max(*target.load->unread_prompt_tokens - processed_tokens, 0.0) +
        target.unread_since_load;
    return work;
  }
  // The prompts of the requests that other gateways have waiting at the target have to be
  // processed, too.
  const auto local_waiting = static_cast<double>(target.local_waiting_at_load);
  const double others_waiting = std::max(0.0, target.load->queued - local_waiting);
  work.unread_prompt_tokens += others_waiting * engine.usual_prompt_tokens;
  return work;
}

double TargetTable::LoadOf(const Target& target, TimePoint now) const
{
  if (!target.listed.needs_weights)
    return PlainLoadOf(target, now);
  // Without fresh reports from the target's agent, each other gateway is assumed to send as much as
  // this gateway.
  if (!HasValidLoad(target, now))
    return static_cast<double>(target.local_requests) * static_cast<double>(m_gateways.all);
  const double total = target.load->running + target.load->queued;
  const double others_requests = std::max(0.0, total - target.local_requests_at_load);
  return others_requests + target.local_requests;
}

double TargetTable::PlainLoadOf(const Target& target, TimePoint now) const
{
  const std::string& service = target.listed.service;
  const auto other_gateways =
      static_cast<double>(m_gateways.all - std::min<std::size_t>(m_gateways.all, 1));
  const double seconds = std::chrono::duration<double>(PlainTimeOf(service)).count();
  const double running = other_gateways * m_demand.ArrivalsPerSecond(service, now) * seconds;
  return target.local_requests +
         running / static_cast<double>(std::max<std::size_t>(ListedCount(service), 1));
}

std::size_t TargetTable::ListedCount(const std::string& service) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
      m_targets, [&](const auto& entry)
      { return entry.second.listed.service == service && entry.second.IsListed(); }));
}

Duration TargetTable::ExpectedStartAt(const Target& target, std::uint32_t prompt_tokens,
                                      TimePoint now) const
{
  const EngineProfile* engine = EngineOf(target.listed.service);
  const Duration lag = LagOf(target, now);
  if (!engine)
    return lag + ExpectedPlainStart(target, now);
  return lag + ExpectedStart(*engine, WorkOf(target, *engine, now), prompt_tokens);
}

Duration TargetTable::NetworkDelayTo(const Target& target)
{
  return target.load ? std::max(target.load->round_trip, target.load->inbound_delay)
                     : Milliseconds(0);
}

Duration TargetTable::NetworkDelayTo(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? Duration::zero() : NetworkDelayTo(found->second);
}

Duration TargetTable::StartMargin(const Target& target, TimePoint now) const
{
  if (target.load && now - target.load_received < FRESH_LOAD_AGE)
    return START_MARGIN;
  return HasValidLoad(target, now) ? START_MARGIN_OLD_REPORT : START_MARGIN_SILENT;
}

bool TargetTable::MeetsSwitchDeadlines(const Target& target, const TargetQuery& query,
                                       Duration start, TimePoint now) const
{
  if (!target.listed.needs_weights)
    return true;
  const std::uint64_t version = WeightsOf(target);
  const TimePoint latest_start = now + 2 * start + StartMargin(target, now);
  return std::ranges::all_of(query.weights,
                             [&](const SwitchDeadline& deadline) {
                               return version >= deadline.version || latest_start < deadline.due;
                             });
}

Duration TargetTable::SwitchDelay(const Target& target, const TargetQuery& query,
                                  TimePoint now) const
{
  const EngineProfile* engine = EngineOf(target.listed.service);
  if (!engine || !target.load || !target.load->switch_in)
    return Duration::zero();
  const TimePoint switch_at = target.load_received + *target.load->switch_in;
  const TargetWork work = WorkOf(target, *engine, now);
  const Duration total_time = ExpectedStart(*engine, work, query.prompt_tokens) +
                              ExpectedGeneration(*engine, work, query.answer_tokens);
  return std::max(now + total_time - switch_at, Duration::zero());
}

double TargetTable::RandomFraction()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

static double SizeWeight(const EngineProfile& engine, const TargetQuery& query)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds usual_time =
      EngineTimeUsed(engine, engine.usual_prompt_tokens, engine.usual_answer_tokens);
  const Seconds request_time = EngineTimeUsed(engine, query.prompt_tokens, query.answer_tokens);
  const Seconds min_time = Duration(1);
  return std::clamp(usual_time / std::max(request_time, min_time), MIN_SIZE_WEIGHT,
                    MAX_SIZE_WEIGHT);
}

bool TargetTable::IsAdmitted(const TargetQuery& query, const std::vector<SpreadOption>& options,
                             const SpreadParameters& spread, TimePoint now)
{
  const EngineProfile* engine = EngineOf(query.service);
  if (!engine || !query.max_start)
    return true;
  const double admitted_share = AdmittedShare(options, spread, *query.max_start);
  if (admitted_share >= 1)
    return true;
  const double weight = SizeWeight(*engine, query) * m_demand.FairnessWeight(query.service, now);
  return RandomFraction() <= admitted_share * weight;
}

void TargetTable::UpdateCrowding(const TargetQuery& query, const std::vector<SpreadOption>& options,
                                 TimePoint now)
{
  const EngineProfile* engine = EngineOf(query.service);
  if (!engine)
    return;
  const Duration idle = ExpectedStart(*engine, {}, query.prompt_tokens);
  const auto limit = std::chrono::duration_cast<Duration>(CROWDED_RATIO * idle);
  const bool can_start_soon =
      std::ranges::any_of(options, [limit](const SpreadOption& option)
                          { return option.is_same_hall && option.cost <= limit; });
  if (!can_start_soon)
    m_crowded_until = now + CROWDED_TIME;
}

static std::size_t LeastLoaded(const std::vector<TargetChoice>& choices)
{
  const auto least = std::ranges::min_element(choices, {}, &TargetChoice::load);
  return static_cast<std::size_t>(least - choices.begin());
}

std::optional<TargetChoice> TargetTable::Choose(const TargetQuery& query, TimePoint now)
{
  Candidates candidates = CandidatesFor(query, now);
  UpdateCrowding(query, candidates.options, now);
  if (candidates.choices.empty())
    return std::nullopt;
  if (auto probe = ProbeFor(query, candidates.choices, now))
    return probe;
  const SpreadParameters spread = SpreadParametersFor(query, candidates, now);
  if (!IsAdmitted(query, candidates.options, spread, now))
    return std::nullopt;
  const std::size_t chosen = query.prefers_idle
                                 ? LeastLoaded(candidates.choices)
                                 : ChooseOption(candidates.options, spread, RandomFraction());
  TargetChoice& choice = candidates.choices[chosen];
  const Target& target = m_targets.at(choice.id);
  const auto engine = m_engines.find(query.service);
  if (engine != m_engines.end() && HasValidLoad(target, now))
  {
    const EngineProfile& published = engine->second.published;
    choice.published_start =
        ExpectedStart(published, WorkOf(target, published, now), query.prompt_tokens);
  }
  return choice;
}

ServiceCapacity TargetTable::CapacityFor(const TargetQuery& query, TimePoint now) const
{
  ServiceCapacity capacity;
  capacity.demand = m_demand.TotalDemand(query.service, m_gateways, now);
  const Candidates candidates = CandidatesFor(query, now);
  if (candidates.choices.empty())
    return capacity;
  capacity.best_start =
      std::ranges::min_element(candidates.choices, {}, &TargetChoice::expected_start)
          ->expected_start;
  if (query.max_start)
    capacity.admitted_part = AdmittedShare(
        candidates.options, SpreadParametersFor(query, candidates, now), *query.max_start);
  return capacity;
}

double TargetTable::Utilization(const std::string& service, TimePoint now) const
{
  double load = 0;
  double slots = 0;
  for (const auto& [id, target] : m_targets)
  {
    if (target.listed.service != service || !IsOpen(target, now))
      continue;
    load += LoadOf(target, now);
    slots += target.listed.slots;
  }
  return slots > 0 ? load / slots : 1;
}
} // namespace Holdpost::Gateway
