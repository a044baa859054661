// SPDX-License-Identifier: Apache-2.0
#include "Bench/Routing/EngineModel.h"

#include <algorithm>

namespace Holdpost::Bench
{
static constexpr double PER_THOUSAND = 1000.0;
static constexpr double PER_MILLION = 1e6;

EngineModel::EngineModel(Settings::EngineProfile profile, std::uint32_t chunk_tokens,
                         std::uint32_t queue_most)
    : m_profile(profile), m_chunk_tokens(chunk_tokens), m_queue_most(queue_most)
{
}

bool EngineModel::Submit(const EngineRequest& request)
{
  if (m_queue.size() >= m_queue_most)
    return false;
  m_queue.push_back(request);
  return true;
}

void EngineModel::Cancel(EngineRequestId id)
{
  std::erase_if(m_queue, [id](const EngineRequest& request) { return request.id == id; });
  std::erase_if(m_running, [id](const Sequence& sequence) { return sequence.request.id == id; });
}

void EngineModel::TakeFromQueue()
{
  while (m_admits && !m_queue.empty() && m_running.size() < m_profile.slots)
  {
    m_running.push_back({m_queue.front()});
    m_queue.pop_front();
  }
}

// Reads up to `budget` tokens, the oldest request first, and returns how long that takes.
double EngineModel::ReadPrompts(std::uint32_t budget)
{
  double ms = 0;
  for (Sequence& sequence : m_running)
  {
    const std::uint32_t unread = sequence.request.prompt_tokens - sequence.read_tokens;
    const std::uint32_t tokens = std::min(unread, budget);
    if (tokens == 0)
      continue;
    const double before = sequence.read_tokens;
    const double after = before + tokens;
    ms += tokens / m_profile.prompt_tokens_per_ms;
    ms += (after * after - before * before) / PER_MILLION * m_profile.prompt_pairs_ms;
    sequence.read_tokens += tokens;
    budget -= tokens;
  }
  return ms;
}

std::optional<Common::Duration> EngineModel::BeginPass()
{
  TakeFromQueue();
  if (m_running.empty())
    return std::nullopt;
  double step_ms = m_profile.step_ms;
  bool has_writers = false;
  for (Sequence& sequence : m_running)
  {
    if (!sequence.IsRead())
      continue;
    has_writers = true;
    const double context = sequence.request.prompt_tokens + sequence.written_tokens;
    step_ms +=
        m_profile.step_per_sequence_ms + m_profile.step_per_context_ms * context / PER_THOUSAND;
  }
  m_steps = has_writers ? m_profile.tokens_per_event : 1;
  const double ms = m_steps * step_ms + ReadPrompts(m_steps * m_chunk_tokens);
  for (Sequence& sequence : m_running)
    sequence.writes = sequence.IsRead();
  m_is_in_pass = true;
  return std::chrono::duration_cast<Common::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::vector<EngineEvent> EngineModel::EndPass()
{
  m_is_in_pass = false;
  std::vector<EngineEvent> events;
  for (Sequence& sequence : m_running)
  {
    if (!sequence.writes)
      continue;
    const bool is_first = sequence.written_tokens == 0;
    sequence.written_tokens += m_steps;
    events.push_back(
        {sequence.request.id, is_first, sequence.written_tokens >= sequence.request.answer_tokens});
  }
  std::erase_if(m_running, [](const Sequence& sequence)
                { return sequence.written_tokens >= sequence.request.answer_tokens; });
  return events;
}

std::uint64_t EngineModel::UnreadPromptTokens() const
{
  std::uint64_t tokens = 0;
  for (const EngineRequest& request : m_queue)
    tokens += request.prompt_tokens;
  for (const Sequence& sequence : m_running)
    tokens += sequence.written_tokens == 0 ? sequence.request.prompt_tokens : 0;
  return tokens;
}
} // namespace Holdpost::Bench
