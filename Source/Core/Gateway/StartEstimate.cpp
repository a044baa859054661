// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/StartEstimate.h"

#include <algorithm>
#include <cmath>

namespace Holdpost::Gateway
{
using Settings::EngineProfile;

static constexpr double PER_THOUSAND = 1000.0;
static constexpr double PER_MILLION = 1e6;

// In one pass, all sequences advance by one event.
static double PassMs(const EngineProfile& engine, double sequences)
{
  const double context =
      engine.usual_prompt_tokens + static_cast<double>(engine.usual_answer_tokens) / 2;
  const double per_sequence =
      engine.step_per_sequence_ms + engine.step_per_context_ms * context / PER_THOUSAND;
  return engine.tokens_per_event * (engine.step_ms + sequences * per_sequence);
}

static double PromptMs(const EngineProfile& engine, double tokens)
{
  return tokens / std::max(engine.prompt_tokens_per_ms, 1e-3) +
         tokens * tokens / PER_MILLION * engine.prompt_pairs_ms;
}

// A day; estimates of it are summed up and multiplied by numbers of slots.
static constexpr double MAX_ESTIMATE_MS = 86'400'000;

static Common::Duration ToDuration(double ms)
{
  return std::chrono::duration_cast<Common::Duration>(
      std::chrono::duration<double, std::milli>(std::clamp(ms, 0.0, MAX_ESTIMATE_MS)));
}

// A sequence generates its answer in one of the slots. All other sequences wait while its prompt is
// processed.
static double EngineMs(const EngineProfile& engine, double prompt_tokens, double answer_tokens)
{
  const double slots = std::max<std::uint32_t>(engine.slots, 1);
  const double events = answer_tokens / std::max(engine.tokens_per_event, 1U);
  return events * PassMs(engine, slots) / slots + PromptMs(engine, prompt_tokens);
}

static double SlotIntervalMs(const EngineProfile& engine)
{
  return EngineMs(engine, engine.usual_prompt_tokens, engine.usual_answer_tokens);
}

Common::Duration EngineTimeUsed(const EngineProfile& engine, std::uint32_t prompt_tokens,
                                std::uint32_t answer_tokens)
{
  return ToDuration(EngineMs(engine, prompt_tokens, answer_tokens));
}

Common::Duration ExpectedGeneration(const EngineProfile& engine, const TargetWork& work,
                                    std::uint32_t answer_tokens)
{
  const double slots = std::max<std::uint32_t>(engine.slots, 1);
  const double sequences = std::min(work.requests + 1, slots);
  const double events =
      std::ceil(static_cast<double>(answer_tokens) / std::max(engine.tokens_per_event, 1U));
  return ToDuration(work.pace * std::max(events - 1, 0.0) * PassMs(engine, sequences));
}

Common::Duration SlotInterval(const EngineProfile& engine, double pace)
{
  return ToDuration(pace * SlotIntervalMs(engine));
}

Common::Duration PassTime(const EngineProfile& engine)
{
  return ToDuration(PassMs(engine, std::max<std::uint32_t>(engine.slots, 1)));
}

Common::Duration StartDelayPerRequest(const EngineProfile& engine, double requests, double pace)
{
  const double slots = std::max<std::uint32_t>(engine.slots, 1);
  const bool has_free_slot = requests + 1 < slots;
  const double ms =
      has_free_slot ? PromptMs(engine, engine.usual_prompt_tokens) : SlotIntervalMs(engine);
  return ToDuration(pace * ms);
}

Common::Duration ExpectedStart(const EngineProfile& engine, const TargetWork& work,
                               std::uint32_t prompt_tokens)
{
  const double slots = std::max<std::uint32_t>(engine.slots, 1);
  const double sequences = std::min(work.requests + 1, slots);
  const double pass = PassMs(engine, sequences);
  // A request waits half a pass on average until the engine looks for new requests. Then the engine
  // processes its prompt and needs one pass for the first event.
  double ms = 1.5 * pass + PromptMs(engine, prompt_tokens) +
              work.unread_prompt_tokens / std::max(engine.prompt_tokens_per_ms, 1e-3);
  if (work.requests >= slots)
    ms += (work.requests - slots + 1) * SlotIntervalMs(engine);
  return ToDuration(work.pace * ms);
}
} // namespace Holdpost::Gateway
