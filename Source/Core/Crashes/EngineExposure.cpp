// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/EngineExposure.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Holdpost::Crashes
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;
using Seconds = std::chrono::duration<double>;

// Engines that end within this time may have ended together.
static constexpr Milliseconds TOGETHER = Milliseconds(100);
// Added to both times, so that a short exposure never makes an end impossible.
static constexpr Seconds PRIOR_TIME = Seconds(0.05);

namespace
{
// One engine that ended, and the requests that were lost with it.
struct EndedEngine
{
  TimePoint at{};
  TimePoint first_sent = TimePoint::max();
  // When it first got the part; empty if it did not.
  std::optional<TimePoint> part_sent;
  std::size_t requests = 0;
  Duration age_of_requests{};
};
} // namespace

using EndedEngines = std::map<EngineRun, EndedEngine>;

static void AddLost(const EngineCrash& lost, EndedEngine* engine)
{
  engine->at = lost.at;
  engine->first_sent = std::min(engine->first_sent, lost.sent);
  ++engine->requests;
  engine->age_of_requests += lost.at - lost.sent;
}

static std::optional<EndedEngines> EnginesOf(const std::vector<EngineCrash>& crashes,
                                             const FleetOutcomes& outcomes, TimePoint since,
                                             const std::set<EngineRun>& explained)
{
  EndedEngines engines;
  for (const EngineCrash& lost : outcomes.lost)
  {
    if (lost.sent == TimePoint())
      return std::nullopt;
    if (lost.at >= since && !explained.contains(lost.engine))
      AddLost(lost, &engines[lost.engine]);
  }
  for (const EngineCrash& crash : crashes)
  {
    EndedEngine& engine = engines[crash.engine];
    if (engine.requests == 0)
      AddLost(crash, &engine);
    engine.part_sent = *crash.first_sent;
    engine.first_sent = std::min(engine.first_sent, *crash.first_sent);
  }
  return engines;
}

static void AddTimes(const EndedEngine& engine, TimePoint since, EngineExposure* exposure)
{
  const TimePoint begin = std::max(engine.first_sent, since);
  const TimePoint part_sent = engine.part_sent.value_or(engine.at);
  exposure->time_with += engine.at - part_sent;
  exposure->time_without += std::max(part_sent - begin, Duration::zero());
}

static void CountEnds(const EndedEngines& engines, EngineExposure* exposure)
{
  std::vector<const EndedEngine*> ended;
  for (const auto& [run, engine] : engines)
    ended.push_back(&engine);
  std::ranges::sort(ended, {}, &EndedEngine::at);
  for (auto first = ended.begin(); first != ended.end();)
  {
    const auto last = std::find_if(first, ended.end(),
                                   [&](const EndedEngine* engine)
                                   { return engine->at - (*first)->at > TOGETHER; });
    const bool had_part = std::all_of(
        first, last, [](const EndedEngine* engine) { return engine->part_sent.has_value(); });
    ++(had_part ? exposure->ends_with : exposure->ends_without);
    first = last;
  }
}

// The time for which engines had requests that were answered whole.
static Duration AnsweredTime(const EndedEngines& engines, const FleetOutcomes& outcomes,
                             TimePoint since)
{
  std::size_t lost = 0;
  Duration ages{};
  for (const auto& [run, engine] : engines)
  {
    lost += engine.requests;
    ages += engine.age_of_requests;
  }
  // An answer that is lost at a random moment has run for half of its time on average.
  const Seconds mean_lost_time = 2 * Seconds(ages) / static_cast<double>(lost);
  const Seconds time =
      outcomes.answers.MeanTime().value_or(std::chrono::duration_cast<Duration>(mean_lost_time));
  const double requests_per_engine =
      static_cast<double>(lost) / static_cast<double>(engines.size());
  return std::chrono::duration_cast<Duration>(outcomes.answers.AnsweredSince(since) * time /
                                              requests_per_engine);
}

static double ShareOfEngines(const std::vector<EngineCrash>& crashes, const FleetOutcomes& outcomes,
                             const std::set<EngineRun>& explained)
{
  std::set<EngineRun> ended;
  for (const EngineCrash& lost : outcomes.lost)
  {
    if (!explained.contains(lost.engine))
      ended.insert(lost.engine);
  }
  for (const EngineCrash& crash : crashes)
    ended.insert(crash.engine);
  return static_cast<double>(crashes.size()) / static_cast<double>(ended.size());
}

std::optional<EngineExposure> ExposureTo(const std::vector<EngineCrash>& crashes,
                                         const FleetOutcomes& outcomes,
                                         const std::set<EngineRun>& explained)
{
  TimePoint since = TimePoint::max();
  for (const EngineCrash& crash : crashes)
  {
    if (!crash.first_sent)
      return std::nullopt;
    since = std::min(since, *crash.first_sent);
  }
  const auto engines = EnginesOf(crashes, outcomes, since, explained);
  if (!engines || engines->empty())
    return std::nullopt;
  EngineExposure exposure;
  for (const auto& [run, engine] : *engines)
    AddTimes(engine, since, &exposure);
  exposure.time_without += AnsweredTime(*engines, outcomes, since);
  CountEnds(*engines, &exposure);
  exposure.share_of_engines = ShareOfEngines(crashes, outcomes, explained);
  return exposure;
}

double CoincidenceOf(const EngineExposure& exposure)
{
  const Seconds with = Seconds(exposure.time_with) + PRIOR_TIME;
  const Seconds without = Seconds(exposure.time_without) + PRIOR_TIME;
  const double share = with / (with + without);
  // The upper tail of the binomial distribution.
  const auto ends = static_cast<double>(exposure.ends_with + exposure.ends_without);
  double probability = 0;
  for (auto hits = static_cast<double>(exposure.ends_with); hits <= ends; ++hits)
  {
    probability +=
        std::exp(std::lgamma(ends + 1) - std::lgamma(hits + 1) - std::lgamma(ends - hits + 1) +
                 hits * std::log(share) + (ends - hits) * std::log1p(-share));
  }
  return std::min(probability, 1.0);
}
} // namespace Holdpost::Crashes
