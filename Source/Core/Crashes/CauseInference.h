// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"
#include "Core/Crashes/AnswerHistory.h"
#include "Core/Crashes/CrashCause.h"

// Infers what crashes engines from the engines that ended. An engine that ends has many requests,
// each with several possible causes, most of which are innocent.
namespace Holdpost::Crashes
{
// Identifies one start of one engine, the same in all processes.
using EngineRun = std::uint64_t;

// A request is a cause once this number of engines have ended under it.
inline constexpr std::size_t BLOCKING_CRASHES = 3;
// A prompt part is a cause once at least this number of trials in sequence have ended their
// engines.
inline constexpr std::size_t BLOCKING_TRIALS = 3;

// An engine that ended while it had a request.
struct EngineCrash
{
  EngineRun engine = 0;
  // When the answer was lost.
  Common::TimePoint at{};
  // When the request was sent to the engine; the last one if there were several.
  Common::TimePoint sent{};
  OrganisationHash organisation = 0;
};

// The crashes of a possible cause since it was last answered whole.
struct CauseEvidence
{
  CrashCause cause;
  std::vector<EngineCrash> crashes;
  // The last whole answer that is known; it may be older than the crashes.
  std::optional<Common::TimePoint> last_answer = std::nullopt;
  // The place of a part in its prompts; later ones are shared by fewer requests.
  std::uint32_t position = 0;
  // Another process has inferred that it is a cause.
  bool is_inferred_elsewhere = false;
};

// How requests ended lately, whatever their causes.
struct FleetOutcomes
{
  // Of requests whose prompts have shared parts.
  AnswerHistory answers;
  // Requests that were lost with engines that ended, in all processes.
  std::vector<EngineCrash> lost;
  // Whole answers of the recent past would be known to this process.
  bool knows_answers = false;
};

struct Inference
{
  std::set<CrashCause> causes;
  // The engine runs that the causes explain. They are no evidence against anything else.
  std::set<EngineRun> explained;
};

// The number of crashes in the longest sequence in which each request was sent after the crash
// before. Engines that end together, whatever ended them, are one trial of a part, as its requests
// had been sent before; a sound part fails several trials in sequence only by coincidence.
std::size_t TrialsOf(std::vector<EngineCrash> crashes);

// Chooses the fewest causes that explain the crashes: repeatedly the one with the most crashes that
// no other one explains. What was not answered for long goes first, as a part that most prompts
// have is in most engines that end; of equal ones, requests before parts, as they are narrower,
// then parts that come late in their prompts. A part is a cause only if its trials are improbable
// as a coincidence, by the share of all requests that were lost meanwhile with other engines. Where
// that share is not known, the inference of other processes is taken over.
Inference InferCauses(const std::vector<CauseEvidence>& evidence, const FleetOutcomes& outcomes);
} // namespace Holdpost::Crashes
