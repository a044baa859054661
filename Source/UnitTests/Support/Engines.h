// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

#include "Core/Settings/Document.h"

// Engines with round figures, for tests.
namespace Holdpost::Testing
{
// Reads 20 prompt tokens a ms and takes 10 ms for a step, of which five make an event.
inline Settings::EngineProfile MakeEngine(std::uint32_t slots)
{
  Settings::EngineProfile engine;
  engine.slots = slots;
  engine.step_ms = 10;
  engine.prompt_tokens_per_ms = 20;
  engine.tokens_per_event = 5;
  engine.usual_prompt_tokens = 1000;
  engine.usual_answer_tokens = 100;
  return engine;
}
} // namespace Holdpost::Testing
