// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CauseInference.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Holdpost::Crashes
{
using Common::Milliseconds;
using Common::TimePoint;

// A part that was in so many engines at once, without a whole answer in the time before, needs no
// trials in sequence: a sound part that is used so often is answered all the time.
static constexpr std::size_t MIN_CRASHES_WITHOUT_ANSWER = 5;
static constexpr Milliseconds MIN_TIME_WITHOUT_ANSWER = std::chrono::seconds(30);
// With fewer requests that ended, their share says little.
static constexpr double MIN_OUTCOMES = 12;
// Where next to nothing ends whole, as in a small fleet that is down most of the time, so many
// trials without a whole answer are enough, or fewer trials with so many crashes.
static constexpr std::size_t MIN_TRIALS_WITHOUT_OUTCOMES = 5;
static constexpr std::size_t MIN_CRASHES_WITHOUT_OUTCOMES = 7;
// Unless more requests are lost with other engines than are answered, or so little was answered at
// all that it does not tell which parts are sound.
static constexpr double MAX_LOST_SHARE_WITHOUT_OUTCOMES = 0.5;
static constexpr double MIN_ANSWERS_WITHOUT_OUTCOMES = 5;
// The probability up to which the trials of a part that was not answered for long are no
// coincidence.
static constexpr double MAX_COINCIDENCE = 0.0005;
// The same for a part that was answered whole shortly before, and would have turned since.
static constexpr double MAX_COINCIDENCE_OF_ANSWERED = 0.000001;
// The same for a part that another process, which may have seen more, has inferred to be a cause.
static constexpr double MAX_COINCIDENCE_IF_INFERRED = 0.05;

std::size_t TrialsOf(std::vector<EngineCrash> crashes)
{
  std::ranges::sort(crashes, {}, &EngineCrash::at);
  std::size_t trials = 0;
  std::optional<TimePoint> last;
  for (const EngineCrash& crash : crashes)
  {
    if (last && crash.sent <= *last)
      continue;
    ++trials;
    last = crash.at;
  }
  return trials;
}

static bool IsLongUnanswered(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes)
{
  if (!evidence.last_answer)
    return true;
  const auto first = std::ranges::min_element(crashes, {}, &EngineCrash::at);
  return first->at - *evidence.last_answer >= MIN_TIME_WITHOUT_ANSWER;
}

// A part that no request of the recent past shows to be sound, and that failed enough trials.
static bool IsMainSuspect(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes)
{
  return IsPromptPart(evidence.cause) && TrialsOf(crashes) >= BLOCKING_TRIALS &&
         IsLongUnanswered(evidence, crashes);
}

// The requests that ended since the first of the crashes of a possible cause.
struct OutcomesSince
{
  // Those that were lost with engines that ended for a reason of which nothing is known.
  double lost = 0;
  double ended = 0;
  // The whole answers of the recent past, also before the crashes.
  double answered_lately = 0;

  bool AreMany() const { return ended >= MIN_OUTCOMES; }
  // The estimated share that is lost. Laplace's rule: a few outcomes never make a loss impossible
  // or certain.
  double LostShare() const { return (lost + 1) / (ended + 2); }
};

static OutcomesSince CountOutcomes(const CauseEvidence& evidence,
                                   const std::vector<EngineCrash>& crashes,
                                   const FleetOutcomes& outcomes,
                                   const std::set<EngineRun>& attributed)
{
  const TimePoint first = std::ranges::min_element(crashes, {}, &EngineCrash::at)->at;
  const auto is_coincidence = [&](const EngineCrash& lost)
  {
    return lost.at >= first && !attributed.contains(lost.engine) &&
           std::ranges::find(evidence.crashes, lost.engine, &EngineCrash::engine) ==
               evidence.crashes.end();
  };
  const auto lost = static_cast<double>(std::ranges::count_if(outcomes.lost, is_coincidence));
  return {lost, outcomes.answers.AnsweredSince(first) + lost,
          outcomes.answers.AnsweredSince(TimePoint::min())};
}

// The probability up to which the trials of the part are no coincidence.
static double MaxCoincidence(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes)
{
  if (evidence.is_inferred_elsewhere)
    return MAX_COINCIDENCE_IF_INFERRED;
  return IsLongUnanswered(evidence, crashes) ? MAX_COINCIDENCE : MAX_COINCIDENCE_OF_ANSWERED;
}

// Whether a part is conclusive although too few requests ended to tell the share that is lost.
static bool IsConclusiveWithoutOutcomes(const CauseEvidence& evidence,
                                        const std::vector<EngineCrash>& crashes, std::size_t trials,
                                        const OutcomesSince& since)
{
  if (trials < BLOCKING_TRIALS)
    return false;
  if (evidence.is_inferred_elsewhere)
    return true;
  const bool are_enough =
      trials >= MIN_TRIALS_WITHOUT_OUTCOMES || crashes.size() >= MIN_CRASHES_WITHOUT_OUTCOMES;
  return are_enough && IsLongUnanswered(evidence, crashes) &&
         since.answered_lately >= MIN_ANSWERS_WITHOUT_OUTCOMES &&
         since.LostShare() <= MAX_LOST_SHARE_WITHOUT_OUTCOMES;
}

static bool IsConclusivePart(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes,
                             const FleetOutcomes& outcomes, const std::set<EngineRun>& attributed)
{
  const std::size_t trials = TrialsOf(crashes);
  const bool is_in_many = outcomes.knows_answers && crashes.size() >= MIN_CRASHES_WITHOUT_ANSWER &&
                          IsLongUnanswered(evidence, crashes);
  if (trials < BLOCKING_TRIALS && !is_in_many)
    return false;
  const OutcomesSince since = CountOutcomes(evidence, crashes, outcomes, attributed);
  if (!since.AreMany())
    return IsConclusiveWithoutOutcomes(evidence, crashes, trials, since);
  // Crashes at once tell less than trials in sequence, but a part in so many engines at once would
  // be answered in others.
  const auto failures = static_cast<double>(std::max(trials, BLOCKING_TRIALS));
  return std::pow(since.LostShare(), failures) <= MaxCoincidence(evidence, crashes);
}

static bool IsConclusive(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes,
                         const FleetOutcomes& outcomes, const std::set<EngineRun>& attributed)
{
  if (!IsPromptPart(evidence.cause))
    return crashes.size() >= BLOCKING_CRASHES;
  return IsConclusivePart(evidence, crashes, outcomes, attributed);
}

static std::vector<EngineCrash> Unexplained(const CauseEvidence& evidence,
                                            const std::set<EngineRun>& explained)
{
  std::vector<EngineCrash> crashes = evidence.crashes;
  std::erase_if(crashes,
                [&](const EngineCrash& crash) { return explained.contains(crash.engine); });
  return crashes;
}

// Larger for the more probable cause.
static auto RankOf(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes)
{
  return std::tuple(IsLongUnanswered(evidence, crashes), crashes.size(),
                    !IsPromptPart(evidence.cause), evidence.position, BytesOf(evidence.cause));
}

// The engine runs that ended under causes, or may have ended under main suspects.
static std::set<EngineRun> AttributedRuns(const std::vector<CauseEvidence>& evidence,
                                          const std::set<EngineRun>& explained)
{
  std::set<EngineRun> attributed = explained;
  for (const CauseEvidence& candidate : evidence)
  {
    const std::vector<EngineCrash> crashes = Unexplained(candidate, explained);
    if (!IsMainSuspect(candidate, crashes))
      continue;
    for (const EngineCrash& crash : crashes)
      attributed.insert(crash.engine);
  }
  return attributed;
}

// The most probable cause that is conclusive by the crashes that are not explained yet; null if
// there is none.
static const CauseEvidence* NextCause(const std::vector<CauseEvidence>& evidence,
                                      const FleetOutcomes& outcomes,
                                      const std::set<EngineRun>& explained)
{
  const std::set<EngineRun> attributed = AttributedRuns(evidence, explained);
  const CauseEvidence* best = nullptr;
  std::vector<EngineCrash> best_crashes;
  for (const CauseEvidence& candidate : evidence)
  {
    const std::vector<EngineCrash> crashes = Unexplained(candidate, explained);
    if (!IsConclusive(candidate, crashes, outcomes, attributed))
      continue;
    if (best && RankOf(candidate, crashes) <= RankOf(*best, best_crashes))
      continue;
    best = &candidate;
    best_crashes = crashes;
  }
  return best;
}

Inference InferCauses(const std::vector<CauseEvidence>& evidence, const FleetOutcomes& outcomes)
{
  Inference inference;
  while (const CauseEvidence* cause = NextCause(evidence, outcomes, inference.explained))
  {
    inference.causes.insert(cause->cause);
    for (const EngineCrash& crash : cause->crashes)
      inference.explained.insert(crash.engine);
  }
  return inference;
}
} // namespace Holdpost::Crashes
