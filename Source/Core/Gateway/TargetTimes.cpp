// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/TargetTable.h"

#include <algorithm>

#include "Common/EventLog.h"

// How long the targets of a service take for requests: according to the published engine profile,
// and as measured from their answers.
namespace Holdpost::Gateway
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;
using Settings::EngineProfile;

// Plain services have no published times. This is their assumed request time until answers have
// arrived.
static constexpr Duration PLAIN_REQUEST_TIME = Milliseconds(20);
// The divisor of the moving average of a plain service's request time: each answer changes the
// average by this fraction of its difference.
static constexpr int PLAIN_TIME_DIVISOR = 16;

const EngineProfile* TargetTable::EngineOf(const std::string& service) const
{
  const auto found = m_engines.find(service);
  return found == m_engines.end() ? nullptr : &found->second.corrected;
}

void TargetTable::SetEngine(const std::string& service, const std::optional<EngineProfile>& engine)
{
  if (!engine)
  {
    m_engines.erase(service);
    return;
  }
  Engine& known = m_engines[service];
  if (known.published == *engine)
    return;
  // The correction was measured against other published times, so it is reset.
  known = {*engine, {}, *engine};
}

double TargetTable::CorrectionOf(const std::string& service) const
{
  const auto found = m_engines.find(service);
  return found == m_engines.end() ? 1 : found->second.correction.Factor();
}

void TargetTable::OnStartMeasured(const std::string& service, const TargetChoice& choice,
                                  Duration measured, TimePoint now)
{
  const auto found = m_engines.find(service);
  if (found == m_engines.end())
  {
    const Duration before = PlainTimeOf(service);
    m_plain_times[service] = before + (measured - before) / PLAIN_TIME_DIVISOR;
    return;
  }
  // With a queue in front of the request, the measured time shows the queue and not the engine.
  if (!choice.has_free_slot || choice.published_start <= Duration(0))
    return;
  Engine& engine = found->second;
  const double before = engine.correction.Factor();
  engine.correction.OnStart(choice.published_start, measured);
  const double factor = engine.correction.Factor();
  if (factor == before)
    return;
  engine.corrected = Corrected(engine.published, factor);
  if (EngineCorrection::IsNotable(before, factor))
  {
    LogEvent(Weight::Important, now, "engine.corrected", "service", service, "factor", factor,
             "before", before);
  }
}

Duration TargetTable::PlainTimeOf(const std::string& service) const
{
  const auto found = m_plain_times.find(service);
  return found == m_plain_times.end() ? PLAIN_REQUEST_TIME : found->second;
}

Duration TargetTable::ExpectedPlainStart(const Target& target, TimePoint now) const
{
  const double load = LoadOf(target, now);
  const double slots = std::max<std::uint32_t>(target.listed.slots, 1);
  const double turns = 1 + std::max(load + 1 - slots, 0.0) / slots;
  return std::chrono::duration_cast<Duration>(PlainTimeOf(target.listed.service) * turns);
}

Duration TargetTable::PassTimeOf(const std::string& service) const
{
  const EngineProfile* engine = EngineOf(service);
  return engine ? PassTime(*engine) : PlainTimeOf(service);
}

Duration TargetTable::TurnoverTimeOf(const std::string& service) const
{
  const EngineProfile* engine = EngineOf(service);
  return engine ? SlotInterval(*engine, 1) * std::max<std::uint32_t>(engine->slots, 1)
                : PlainTimeOf(service);
}

Duration TargetTable::GenerationTimeOf(const std::string& service,
                                       std::uint32_t answer_tokens) const
{
  const EngineProfile* engine = EngineOf(service);
  if (!engine)
    return Duration::zero();
  return ExpectedGeneration(*engine, {.requests = static_cast<double>(engine->slots)},
                            answer_tokens);
}
} // namespace Holdpost::Gateway
