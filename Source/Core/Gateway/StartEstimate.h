// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

// Predicts when a model engine sends the first event of an answer, based on the engine's published
// times.
namespace Holdpost::Gateway
{
// The work that a target already has.
struct TargetWork
{
  // Requests that run or wait at the target.
  double requests = 0;
  // Prompt tokens of requests whose first event has not arrived.
  double unread_prompt_tokens = 0;
  // Factor by which the target is slower than its engine profile.
  double pace = 1;
};

// Time from the dispatch to the first event.
Common::Duration ExpectedStart(const Settings::EngineProfile& engine, const TargetWork& work,
                               std::uint32_t prompt_tokens);
// Time from the first event to the last one.
Common::Duration ExpectedGeneration(const Settings::EngineProfile& engine, const TargetWork& work,
                                    std::uint32_t answer_tokens);
// How much of an engine's time a request uses while all slots are in use. Its answer shares the
// engine with those in the other slots; its prompt does not.
Common::Duration EngineTimeUsed(const Settings::EngineProfile& engine, std::uint32_t prompt_tokens,
                                std::uint32_t answer_tokens);
// Mean time between the ends of two consecutive requests on a full engine. A waiting request gets
// its slot after this interval times the number of requests ahead of it.
Common::Duration SlotInterval(const Settings::EngineProfile& engine, double pace);
// The duration of one pass of an engine whose slots are all in use.
Common::Duration PassTime(const Settings::EngineProfile& engine);
// How long one more request of usual size delays the start of the next request: by the processing
// of its prompt while slots are free, and by all the engine time that it uses when no slot is free.
Common::Duration StartDelayPerRequest(const Settings::EngineProfile& engine, double requests,
                                      double pace);
} // namespace Holdpost::Gateway
