// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

// Predicts when a model engine would send the first event of a request, from its published times.
namespace Holdpost::Gateway
{
// What a target has to do already.
struct TargetWork
{
  // Requests that run or wait there.
  double requests = 0;
  // Prompt tokens of requests whose first event has not come.
  double unread_prompt_tokens = 0;
  // How much slower than its profile it is.
  double pace = 1;
};

// Time from the dispatch to the first event.
Common::Duration ExpectedStart(const Settings::EngineProfile& engine, const TargetWork& work,
                               std::uint32_t prompt_tokens);
// Time from the first event to the last one.
Common::Duration ExpectedWriting(const Settings::EngineProfile& engine, const TargetWork& work,
                                 std::uint32_t answer_tokens);
// What a request takes of a full engine's time.
Common::Duration EngineTime(const Settings::EngineProfile& engine, std::uint32_t prompt_tokens,
                            std::uint32_t answer_tokens);
// Mean time between two requests that end on a full engine: a waiting request gets its slot after
// as many of these as there are requests before it.
Common::Duration SlotInterval(const Settings::EngineProfile& engine, double pace);
// A pass of an engine whose slots are all taken.
Common::Duration PassTime(const Settings::EngineProfile& engine);
// By how much one more usual request puts off the start of the next one: by its reading while slots
// are free, by the whole time that it takes of the engine when all are taken.
Common::Duration StartDelayOfOne(const Settings::EngineProfile& engine, double requests,
                                 double pace);
} // namespace Holdpost::Gateway
