// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Common/Types.h"
#include "Core/Settings/Document.h"

// A model engine with continuous batching, by its published times: it works in passes, and each
// pass reads the prompts of new requests and writes one event of each request that was read.
namespace Holdpost::Bench
{
using EngineRequestId = std::uint64_t;

struct EngineRequest
{
  EngineRequestId id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
};

// What a pass brought forth, at its end.
struct EngineEvent
{
  EngineRequestId id = 0;
  bool is_first = false;
  bool is_last = false;
};

class EngineModel
{
public:
  // `chunk_tokens` is the most that one step reads, `queue_most` how many may wait for a slot.
  EngineModel(Settings::EngineProfile profile, std::uint32_t chunk_tokens,
              std::uint32_t queue_most);

  // Returns whether it was taken: the queue may be full.
  bool Submit(const EngineRequest& request);
  void Cancel(EngineRequestId id);
  // From now on nothing new begins; what has begun goes on.
  void StopAdmitting() { m_admits = false; }
  void Admit() { m_admits = true; }

  // Starts the next pass and returns how long it takes; empty if there is nothing to do. Without
  // a pass under way only.
  std::optional<Common::Duration> BeginPass();
  std::vector<EngineEvent> EndPass();
  bool IsInPass() const { return m_is_in_pass; }

  std::uint32_t Running() const { return static_cast<std::uint32_t>(m_running.size()); }
  std::uint32_t Queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
  // Of requests whose first event has not come.
  std::uint64_t UnreadPromptTokens() const;

private:
  struct Sequence
  {
    EngineRequest request;
    std::uint32_t read_tokens = 0;
    std::uint32_t written_tokens = 0;
    // It writes in the present pass.
    bool writes = false;

    bool IsRead() const { return read_tokens >= request.prompt_tokens; }
  };

  void TakeFromQueue();
  double ReadPrompts(std::uint32_t budget);

  Settings::EngineProfile m_profile;
  std::uint32_t m_chunk_tokens;
  std::uint32_t m_queue_most;
  bool m_admits = true;
  bool m_is_in_pass = false;
  std::uint32_t m_steps = 0;
  std::deque<EngineRequest> m_queue;
  std::vector<Sequence> m_running;
};
} // namespace Holdpost::Bench
