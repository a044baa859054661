// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

// What is expected of each target, and the choice between them.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;
using Settings::EngineProfile;

// What a target in another hall has to be faster by, so that traffic stays where it is cheap.
static constexpr Duration OTHER_HALL_PENALTY = Milliseconds(10);
// The same for one of which the last report is old. Reports from other halls come each second until
// they are needed: the targets that looked idle half a second ago are by now as busy as the others,
// and all gateways that read the same reports send there.
static constexpr Duration OLD_REPORT_PENALTY = Milliseconds(150);
static constexpr Duration OLD_REPORT_AGE = Milliseconds(250);
// The same for one whose agent is silent.
static constexpr Duration SILENCE_PENALTY = Milliseconds(400);
// A request begins up to so much later than twice the expected time: shortly before a bound many
// gateways send to the few targets that may still be used, and know little of each other.
static constexpr Duration START_MARGIN = Milliseconds(400);
static constexpr Duration START_MARGIN_UNREPORTED = Milliseconds(2000);
// Where no report comes through, requests may be on their way for seconds.
static constexpr Duration START_MARGIN_SILENT = Milliseconds(4000);
// What others have sent since the last report is not known for so long: their message is on its way
// to the agent, which reports not more often than each 10 ms, and its report on the way back. With
// less, gateways that see the same idle target send more there than it can begin.
static constexpr Duration BLIND_TIME = Milliseconds(25);
// While an engine writes, too, it reads prompts at this part of its speed.
static constexpr double READING_SHARE = 0.3;
// Other halls are looked at while the best target here would begin this much later than an idle
// one, and for a while after that.
static constexpr double CROWDED_RATIO = 1.6;
static constexpr Duration CROWDED_TIME = Milliseconds(1500);
// Holding up a target's switch costs the others' requests a part of the delay. With a larger part
// the engine runs half empty before its switch; with none, long answers hold up switches until the
// bound.
static constexpr int SWITCH_DELAY_SHARE = 6;
// What was learnt of a target's lag fades in about this time.
static constexpr double LAG_LIFETIME_SECONDS = 2;
// When there is no room for all, requests that take less of an engine's time than usual come a
// little sooner. With wider limits the largest ones are served least.
static constexpr double SIZE_WEIGHT_LEAST = 0.9;
static constexpr double SIZE_WEIGHT_MOST = 1.5;
// Failures in a row that may be the requests' own: a target is used in spite of them if there is no
// other one.
static constexpr std::uint32_t FAILURES_BORNE = 2;

TargetWork TargetTable::WorkOf(const Target& target, const EngineProfile& engine,
                               TimePoint now) const
{
  TargetWork work{LoadOf(target, now), target.unread_prompt_tokens, PaceOf(target)};
  if (!HasFreshLoad(target, now))
    return work;
  if (target.load->unread_prompt_tokens)
  {
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - target.load_received).count();
    const double read = age_ms * engine.prompt_tokens_per_ms * READING_SHARE;
    work.unread_prompt_tokens =
        std::max(*target.load->unread_prompt_tokens - read, 0.0) + target.unread_since_load;
    return work;
  }
  // Of the requests that wait there, those that are not this gateway's have to be read, too.
  const auto own = static_cast<double>(target.own_waiting_at_load);
  const double others = std::max(0.0, target.load->queued - own);
  work.unread_prompt_tokens += others * engine.usual_prompt_tokens;
  return work;
}

Spread TargetTable::SpreadOf(const TargetWish& wish, const Candidates& candidates,
                             TimePoint now) const
{
  const EngineProfile* engine = EngineOf(wish.service);
  if (!engine)
    return {};
  const GatewayDemand demand = m_demand.Around(wish.service, m_gateways, now);
  const double own = m_demand.ArrivalsPerSecond(wish.service, now);
  // What a gateway is about to send for each request a second that comes to it: what came since the
  // last report of the targets, and what waits, as any report of room sets it off.
  const double blind_seconds = std::chrono::duration<double>(BLIND_TIME).count();
  const double for_each = blind_seconds + static_cast<double>(wish.waiting) / std::max(own, 1.0);
  return {std::max(demand.near_per_second - own, 0.0) * for_each, demand.far_per_second * for_each,
          candidates.delays_of_one / static_cast<Duration::rep>(candidates.options.size()),
          OTHER_HALL_PENALTY, BLIND_TIME};
}

double TargetTable::LoadOf(const Target& target, TimePoint now) const
{
  if (!target.listed.needs_weights)
    return PlainLoadOf(target, now);
  // Without reports of its agent the others are taken to send as much as this gateway.
  if (!HasFreshLoad(target, now))
    return static_cast<double>(target.own) * static_cast<double>(m_gateways.all);
  const double total = target.load->running + target.load->queued;
  const double others = std::max(0.0, total - target.own_at_load);
  return others + target.own;
}

double TargetTable::PlainLoadOf(const Target& target, TimePoint now) const
{
  const std::string& service = target.listed.service;
  const auto others =
      static_cast<double>(m_gateways.all - std::min<std::size_t>(m_gateways.all, 1));
  const double seconds = std::chrono::duration<double>(PlainTimeOf(service)).count();
  const double running = others * m_demand.ArrivalsPerSecond(service, now) * seconds;
  return target.own + running / static_cast<double>(std::max<std::size_t>(ListedCount(service), 1));
}

std::size_t TargetTable::ListedCount(const std::string& service) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
      m_targets, [&](const auto& entry)
      { return entry.second.listed.service == service && entry.second.IsListed(); }));
}

TargetSurvey TargetTable::SurveyOf(const TargetWish& wish, TimePoint now) const
{
  TargetSurvey survey;
  for (const auto& [id, target] : m_targets)
  {
    if (target.listed.service != wish.service || !target.IsListed())
      continue;
    ++survey.listed;
    switch (AccessOf(target, now))
    {
    case Access::Open:
    {
      const Duration start = ExpectedStartAt(target, wish.prompt_tokens, now);
      ++(HasGoodWeights(target, wish, start, now) ? survey.open : survey.old_weights);
      break;
    }
    case Access::Leaving:
      ++survey.leaving;
      break;
    case Access::Avoided:
      ++survey.avoided;
      break;
    case Access::Switching:
      ++survey.switching;
      survey.switching_room += static_cast<double>(target.listed.slots) /
                               static_cast<double>(std::max<std::size_t>(m_gateways.all, 1));
      break;
    case Access::WithoutWeights:
      ++survey.without_weights;
      break;
    case Access::Unreported:
      ++survey.unreported;
      break;
    }
  }
  return survey;
}

Duration TargetTable::ExpectedStartAt(const Target& target, std::uint32_t prompt_tokens,
                                      TimePoint now) const
{
  const EngineProfile* engine = EngineOf(target.listed.service);
  const Duration lag = LagOf(target, now);
  if (!engine)
    return lag + PlainStart(target, now);
  return lag + ExpectedStart(*engine, WorkOf(target, *engine, now), prompt_tokens);
}

Duration TargetTable::LagOf(const Target& target, TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - target.lag_updated).count();
  const Duration learnt =
      std::chrono::duration_cast<Duration>(target.lag * std::exp(-age / LAG_LIFETIME_SECONDS));
  // One that is overdue at this moment says more than those that came.
  Duration overdue{};
  for (const auto& [request, expected] : target.expected)
    overdue = std::max(overdue, now - expected);
  return std::max({learnt, overdue, WayTo(target)});
}

Duration TargetTable::WayTo(const Target& target)
{
  return target.load ? std::max(target.load->round_trip, target.load->inbound_delay)
                     : Milliseconds(0);
}

Duration TargetTable::WayTo(const TargetId& id) const
{
  const auto found = m_targets.find(id);
  return found == m_targets.end() ? Duration::zero() : WayTo(found->second);
}

Duration TargetTable::StartMargin(const Target& target, TimePoint now) const
{
  if (target.load && now - target.load_received < FRESH_LOAD)
    return START_MARGIN;
  return HasFreshLoad(target, now) ? START_MARGIN_UNREPORTED : START_MARGIN_SILENT;
}

bool TargetTable::HasGoodWeights(const Target& target, const TargetWish& wish, Duration start,
                                 TimePoint now) const
{
  if (!target.listed.needs_weights)
    return true;
  const std::uint64_t version = WeightsOf(target);
  const TimePoint begin = now + 2 * start + StartMargin(target, now);
  return std::ranges::all_of(wish.weights, [&](const WeightsBound& bound)
                             { return version >= bound.version || begin < bound.due; });
}

Duration TargetTable::SwitchDelay(const Target& target, const TargetWish& wish, TimePoint now) const
{
  const EngineProfile* engine = EngineOf(target.listed.service);
  if (!engine || !target.load || !target.load->switch_in)
    return Duration::zero();
  const TimePoint switch_at = target.load_received + *target.load->switch_in;
  const TargetWork work = WorkOf(target, *engine, now);
  const Duration whole = ExpectedStart(*engine, work, wish.prompt_tokens) +
                         ExpectedWriting(*engine, work, wish.answer_tokens);
  return std::max(now + whole - switch_at, Duration::zero());
}

double TargetTable::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

static double SizeWeight(const EngineProfile& engine, const TargetWish& wish)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds usual = EngineTime(engine, engine.usual_prompt_tokens, engine.usual_answer_tokens);
  const Seconds own = EngineTime(engine, wish.prompt_tokens, wish.answer_tokens);
  const Seconds least = Duration(1);
  return std::clamp(usual / std::max(own, least), SIZE_WEIGHT_LEAST, SIZE_WEIGHT_MOST);
}

bool TargetTable::IsAdmitted(const TargetWish& wish, const std::vector<SpreadOption>& options,
                             const Spread& spread, TimePoint now)
{
  const EngineProfile* engine = EngineOf(wish.service);
  if (!engine || !wish.start_most)
    return true;
  const double part = AdmittedPart(options, spread, *wish.start_most);
  if (part >= 1)
    return true;
  const double weight = SizeWeight(*engine, wish) * m_demand.FairnessWeight(wish.service, now);
  return Draw() <= part * weight;
}

void TargetTable::NoteCrowding(const TargetWish& wish, const std::vector<SpreadOption>& options,
                               TimePoint now)
{
  const EngineProfile* engine = EngineOf(wish.service);
  if (!engine)
    return;
  const Duration idle = ExpectedStart(*engine, {}, wish.prompt_tokens);
  const auto limit = std::chrono::duration_cast<Duration>(CROWDED_RATIO * idle);
  const bool is_free = std::ranges::any_of(options, [limit](const SpreadOption& option)
                                           { return option.is_near && option.cost <= limit; });
  if (!is_free)
    m_crowded_until = now + CROWDED_TIME;
}

bool TargetTable::IsOpenFor(const TargetId& id, const Target& target, const TargetWish& wish,
                            TimePoint now) const
{
  return target.listed.service == wish.service && IsOpen(target, now) && !wish.tried.contains(id);
}

bool TargetTable::IsLastResortFor(const TargetId& id, const Target& target, const TargetWish& wish,
                                  TimePoint now) const
{
  return target.listed.service == wish.service && !target.listed.needs_weights &&
         target.IsListed() && AccessOf(target, now) == Access::Avoided &&
         target.failures <= FAILURES_BORNE && !wish.tried.contains(id);
}

void TargetTable::AddCandidate(const TargetId& id, const Target& target, const TargetWish& wish,
                               TimePoint now, Candidates* candidates) const
{
  const Duration start = ExpectedStartAt(target, wish.prompt_tokens, now);
  if (!HasGoodWeights(target, wish, start, now))
    return;
  const bool is_here = target.listed.hall == m_hall;
  Duration cost = start + SwitchDelay(target, wish, now) / SWITCH_DELAY_SHARE + target.tie_break;
  if (!is_here)
    cost += OTHER_HALL_PENALTY;
  if (IsSilent(target, now))
    cost += SILENCE_PENALTY;
  else if (target.load && now - target.load_received > OLD_REPORT_AGE)
    cost += OLD_REPORT_PENALTY;
  const double load = LoadOf(target, now);
  TargetChoice choice;
  choice.id = id;
  choice.address = target.listed.address;
  choice.incarnation = target.listed.incarnation;
  choice.weights_version = WeightsOf(target);
  choice.expected_start = start;
  choice.load = load;
  choice.has_free_slot = load < target.listed.slots;
  if (target.load)
    choice.report_age = now - target.load_received;
  candidates->choices.push_back(std::move(choice));
  candidates->options.push_back({cost, is_here});
  if (const EngineProfile* engine = EngineOf(wish.service))
    candidates->delays_of_one += StartDelayOfOne(*engine, load, PaceOf(target));
}

TargetTable::Candidates TargetTable::CandidatesFor(const TargetWish& wish, TimePoint now) const
{
  const bool is_any_used = std::ranges::any_of(
      m_targets, [&](const auto& entry)
      { return entry.second.is_used && IsOpenFor(entry.first, entry.second, wish, now); });
  Candidates candidates;
  for (const auto& [id, target] : m_targets)
  {
    if ((target.is_used || !is_any_used) && IsOpenFor(id, target, wish, now))
      AddCandidate(id, target, wish, now, &candidates);
  }
  if (!candidates.choices.empty())
    return candidates;
  for (const auto& [id, target] : m_targets)
  {
    if (IsLastResortFor(id, target, wish, now))
      AddCandidate(id, target, wish, now, &candidates);
  }
  return candidates;
}

std::optional<TargetChoice> TargetTable::Choose(const TargetWish& wish, TimePoint now)
{
  Candidates candidates = CandidatesFor(wish, now);
  NoteCrowding(wish, candidates.options, now);
  if (candidates.choices.empty())
    return std::nullopt;
  const Spread spread = SpreadOf(wish, candidates, now);
  if (!IsAdmitted(wish, candidates.options, spread, now))
    return std::nullopt;
  TargetChoice& choice = candidates.choices[ChooseSpread(candidates.options, spread, Draw())];
  const Target& target = m_targets.at(choice.id);
  const auto engine = m_engines.find(wish.service);
  if (engine != m_engines.end() && HasFreshLoad(target, now))
  {
    const EngineProfile& published = engine->second.published;
    choice.published_start =
        ExpectedStart(published, WorkOf(target, published, now), wish.prompt_tokens);
  }
  return choice;
}

ServiceRoom TargetTable::RoomFor(const TargetWish& wish, TimePoint now) const
{
  ServiceRoom room;
  room.demand = m_demand.Around(wish.service, m_gateways, now);
  const Candidates candidates = CandidatesFor(wish, now);
  if (candidates.choices.empty())
    return room;
  room.best_start = std::ranges::min_element(candidates.choices, {}, &TargetChoice::expected_start)
                        ->expected_start;
  if (wish.start_most)
    room.admitted_part =
        AdmittedPart(candidates.options, SpreadOf(wish, candidates, now), *wish.start_most);
  return room;
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
