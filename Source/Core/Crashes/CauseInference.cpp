// SPDX-License-Identifier: Apache-2.0
#include "Core/Crashes/CauseInference.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "Core/Crashes/EngineExposure.h"

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
// The probability up to which the ends of engines with a part are no coincidence, beside other
// evidence against it.
static constexpr double MAX_COINCIDENCE_OF_ENDS = 0.0004;
// Ends under parts whose coincidence is not more probable do not count as ends without another one.
static constexpr double MAX_COINCIDENCE_OF_SUSPECT = 0.01;
// A suspect up to this probability may explain the ends of another one.
static constexpr double MAX_COINCIDENCE_OF_COVERING = 0.3;
// Up to this probability they are no coincidence if ends that another suspect explains do not
// count.
static constexpr double MAX_COINCIDENCE_BESIDE_SUSPECTS = 0.002;
// The same where too few requests ended to tell the share that is lost, and where no engine ended
// without the part.
static constexpr double MAX_COINCIDENCE_OF_ENDS_WITHOUT_OUTCOMES = 0.005;
static constexpr double MAX_COINCIDENCE_OF_ALL_ENDS = 0.1;
// The same without other evidence. All parts of all prompts are judged at once, so it is lower.
static constexpr double MAX_COINCIDENCE_OF_ENDS_ALONE = 0.00001;
// Where next to nothing is answered, no answer can show that another part is sound. A part is then
// judged by the ends alone after this number of them, if at least so many requests were lost.
static constexpr double MAX_ANSWERED_SHARE_OF_NONE = 0.1;
static constexpr std::size_t MIN_ENDS_WITHOUT_ANSWERS = 6;
static constexpr double MIN_LOST_WITHOUT_ANSWERS = 12;
static constexpr double MAX_COINCIDENCE_WITHOUT_ANSWERS = 0.001;
// A part that so many of the engines that ended had was in nearly all ends.
static constexpr double MIN_SHARE_OF_NEARLY_ALL = 0.9;
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

static bool IsInNearlyAllEnds(const EngineExposure& exposure)
{
  return exposure.ends_without == 0 && exposure.share_of_engines >= MIN_SHARE_OF_NEARLY_ALL;
}

static bool IsNextToNothingAnswered(const std::vector<EngineCrash>& crashes,
                                    const FleetOutcomes& outcomes)
{
  const TimePoint first = std::ranges::min_element(crashes, {}, &EngineCrash::at)->at;
  const auto lost = static_cast<double>(std::ranges::count_if(
      outcomes.lost, [first](const EngineCrash& request) { return request.at >= first; }));
  const double answered = outcomes.answers.AnsweredSince(first);
  return lost >= MIN_LOST_WITHOUT_ANSWERS &&
         answered <= MAX_ANSWERED_SHARE_OF_NONE * (answered + lost);
}

// Whether the ends of engines alone show that the part caused them.
static bool IsConclusiveByEnds(const EngineExposure& exposure, double coincidence,
                               const std::vector<EngineCrash>& crashes,
                               const FleetOutcomes& outcomes)
{
  if (coincidence <= MAX_COINCIDENCE_OF_ENDS_ALONE)
    return true;
  if (exposure.ends_with < MIN_ENDS_WITHOUT_ANSWERS || !IsNextToNothingAnswered(crashes, outcomes))
    return false;
  return coincidence <= (IsInNearlyAllEnds(exposure) ? MAX_COINCIDENCE_OF_ALL_ENDS
                                                     : MAX_COINCIDENCE_WITHOUT_ANSWERS);
}

static double MaxCoincidenceOfEnds(const EngineExposure& exposure, const OutcomesSince& since)
{
  if (since.AreMany())
    return MAX_COINCIDENCE_OF_ENDS;
  return IsInNearlyAllEnds(exposure) ? MAX_COINCIDENCE_OF_ALL_ENDS
                                     : MAX_COINCIDENCE_OF_ENDS_WITHOUT_OUTCOMES;
}

// Engine runs whose ends are known, or suspected, to have another cause than a candidate.
struct KnownEnds
{
  // Ended under a cause, or may have ended under a main suspect.
  std::set<EngineRun> attributed;
  // Ended under a cause.
  std::set<EngineRun> explained;
  // The same, or probably ended under another main suspect.
  std::set<EngineRun> probably_explained;
};

static double CoincidenceFor(const std::vector<EngineCrash>& crashes, const FleetOutcomes& outcomes,
                             const std::set<EngineRun>& explained)
{
  const auto exposure = ExposureTo(crashes, outcomes, explained);
  return exposure ? CoincidenceOf(*exposure) : 1;
}

static bool IsConclusivePart(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes,
                             const FleetOutcomes& outcomes, const KnownEnds& ends)
{
  const std::size_t trials = TrialsOf(crashes);
  const bool is_in_many = outcomes.knows_answers && crashes.size() >= MIN_CRASHES_WITHOUT_ANSWER &&
                          IsLongUnanswered(evidence, crashes);
  if (trials < BLOCKING_TRIALS && !is_in_many)
    return false;
  const OutcomesSince since = CountOutcomes(evidence, crashes, outcomes, ends.attributed);
  const bool is_judged_here = trials >= BLOCKING_TRIALS && !evidence.is_inferred_elsewhere;
  if (const auto exposure =
          is_judged_here ? ExposureTo(crashes, outcomes, ends.explained) : std::nullopt)
  {
    const double coincidence = CoincidenceOf(*exposure);
    if (IsLongUnanswered(evidence, crashes) &&
        IsConclusiveByEnds(*exposure, coincidence, crashes, outcomes))
      return true;
    const bool is_beside_suspects =
        since.AreMany() && coincidence <= MAX_COINCIDENCE_BESIDE_SUSPECTS;
    const double remaining = is_beside_suspects
                                 ? CoincidenceFor(crashes, outcomes, ends.probably_explained)
                                 : coincidence;
    if (remaining > MaxCoincidenceOfEnds(*exposure, since))
      return false;
  }
  if (!since.AreMany())
    return IsConclusiveWithoutOutcomes(evidence, crashes, trials, since);
  // Crashes at once tell less than trials in sequence, but a part in so many engines at once would
  // be answered in others.
  const auto failures = static_cast<double>(std::max(trials, BLOCKING_TRIALS));
  return std::pow(since.LostShare(), failures) <= MaxCoincidence(evidence, crashes);
}

static bool IsConclusive(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes,
                         const FleetOutcomes& outcomes, const KnownEnds& ends)
{
  if (!IsPromptPart(evidence.cause))
    return crashes.size() >= BLOCKING_CRASHES;
  return IsConclusivePart(evidence, crashes, outcomes, ends);
}

static std::vector<EngineCrash> Unexplained(const CauseEvidence& evidence,
                                            const std::set<EngineRun>& explained)
{
  std::vector<EngineCrash> crashes = evidence.crashes;
  std::erase_if(crashes,
                [&](const EngineCrash& crash) { return explained.contains(crash.engine); });
  return crashes;
}

// Larger for the more probable cause. Of causes in as many crashes, the one that is less probable
// as a coincidence goes first.
static auto RankOf(const CauseEvidence& evidence, const std::vector<EngineCrash>& crashes,
                   double coincidence)
{
  return std::tuple(IsLongUnanswered(evidence, crashes), crashes.size(),
                    !IsPromptPart(evidence.cause), -coincidence, evidence.position,
                    BytesOf(evidence.cause));
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

// Whether the first ones have all engines of the others, and more.
static bool Covers(const std::vector<EngineCrash>& crashes, const std::vector<EngineCrash>& others)
{
  return crashes.size() > others.size() &&
         std::ranges::all_of(others,
                             [&](const EngineCrash& other) {
                               return std::ranges::find(crashes, other.engine,
                                                        &EngineCrash::engine) != crashes.end();
                             });
}

// The engine runs that probably ended under other main suspects than this one.
static std::set<EngineRun> ProbablyExplained(const CauseEvidence& evidence,
                                             const std::vector<CauseEvidence>& suspects,
                                             const std::set<EngineRun>& explained)
{
  std::set<EngineRun> runs = explained;
  for (const CauseEvidence& suspect : suspects)
  {
    if (suspect.cause == evidence.cause)
      continue;
    for (const EngineCrash& crash : suspect.crashes)
      runs.insert(crash.engine);
  }
  for (const EngineCrash& crash : evidence.crashes)
    runs.erase(crash.engine);
  runs.insert(explained.begin(), explained.end());
  return runs;
}

// The main suspects whose crashes are coincidences with this probability at most.
static std::vector<CauseEvidence> SuspectsUpTo(double max_coincidence,
                                               const std::vector<CauseEvidence>& evidence,
                                               const FleetOutcomes& outcomes,
                                               const std::set<EngineRun>& explained)
{
  std::vector<CauseEvidence> suspects;
  for (const CauseEvidence& candidate : evidence)
  {
    const std::vector<EngineCrash> crashes = Unexplained(candidate, explained);
    if (IsMainSuspect(candidate, crashes) &&
        CoincidenceFor(crashes, outcomes, explained) <= max_coincidence)
      suspects.push_back(candidate);
  }
  return suspects;
}

// The most probable cause that is conclusive by the crashes that are not explained yet; null if
// there is none.
static const CauseEvidence* NextCause(const std::vector<CauseEvidence>& evidence,
                                      const FleetOutcomes& outcomes,
                                      const std::set<EngineRun>& explained)
{
  const std::set<EngineRun> attributed = AttributedRuns(evidence, explained);
  const std::vector<CauseEvidence> suspects =
      SuspectsUpTo(MAX_COINCIDENCE_OF_SUSPECT, evidence, outcomes, explained);
  const CauseEvidence* best = nullptr;
  std::vector<EngineCrash> best_crashes;
  double best_coincidence = 1;
  for (const CauseEvidence& candidate : evidence)
  {
    const std::vector<EngineCrash> crashes = Unexplained(candidate, explained);
    const KnownEnds ends{attributed, explained, ProbablyExplained(candidate, suspects, explained)};
    if (!IsConclusive(candidate, crashes, outcomes, ends))
      continue;
    const double coincidence = CoincidenceFor(crashes, outcomes, explained);
    if (best &&
        RankOf(candidate, crashes, coincidence) <= RankOf(*best, best_crashes, best_coincidence))
      continue;
    best = &candidate;
    best_crashes = crashes;
    best_coincidence = coincidence;
  }
  if (!best || !IsPromptPart(best->cause))
    return best;
  // The ends of a part that another suspect explains, and more, are no evidence against it.
  const bool is_covered =
      std::ranges::any_of(SuspectsUpTo(MAX_COINCIDENCE_OF_COVERING, evidence, outcomes, explained),
                          [&](const CauseEvidence& suspect)
                          { return Covers(Unexplained(suspect, explained), best_crashes); });
  return is_covered ? nullptr : best;
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
