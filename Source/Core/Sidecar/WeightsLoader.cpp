// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/WeightsLoader.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace Holdpost::Sidecar
{
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The time until gateways know that the target accepts no new requests.
static constexpr Milliseconds ANNOUNCEMENT_LEAD_TIME = Milliseconds(30);
static constexpr Milliseconds ORDER_RETRY_DELAY = Milliseconds(150);

void WeightsLoader::Begin(const StagedVersion& staged, TimePoint now)
{
  if (IsUnderWay() || now < m_not_before)
    return;
  m_staged = staged;
  m_state = LoaderState::Announced;
  m_since = now;
  LogEvent(Weight::Important, now, "switch.begun", "model", staged.model, "version", staged.version,
           "verified_ms", now - staged.verified_since, "orders", m_orders_seen);
}

std::optional<LoadStagedWeights> WeightsLoader::OnTick(TimePoint now)
{
  if (m_state != LoaderState::Announced || now - m_since < ANNOUNCEMENT_LEAD_TIME)
    return std::nullopt;
  m_state = LoaderState::Ordered;
  m_since = now;
  m_is_unanswered = false;
  LogEvent(Weight::Important, now, "switch.ordered", "version", m_staged.version, "verified_ms",
           now - m_staged.verified_since, "orders", m_orders_seen);
  // The engine's order count is also used as the fencing token. It never decreases during one
  // incarnation, and a new incarnation forgets the tokens.
  return LoadStagedWeights{++m_last_ticket, m_staged.model, m_staged.version, m_orders_seen,
                           m_orders_seen};
}

void WeightsLoader::OnAnswered(const LoadAnswered& answered, TimePoint now)
{
  if (m_state != LoaderState::Ordered || answered.ticket != m_last_ticket)
    return;
  if (Common::Succeeded(answered.result))
  {
    LogEvent(Weight::Important, now, "switch.accepted", "version", m_staged.version, "verified_ms",
             now - m_staged.verified_since, "answered_ms", now - m_since);
    m_state = LoaderState::Loading;
    return;
  }
  const auto& error = std::get<Common::Error>(answered.result);
  LogEvent(Weight::Important, now, "switch.order_failed", "version", m_staged.version, "reason",
           Common::AnswerFor(error.kind).name, "message", error.message, "verified_ms",
           now - m_staged.verified_since, "answered_ms", now - m_since);
  if (Common::AnswerFor(error.kind).outcome == Common::Outcome::Unknown)
  {
    m_is_unanswered = true;
    return;
  }
  m_state = LoaderState::Idle;
  m_not_before = now + ORDER_RETRY_DELAY;
}

void WeightsLoader::OnReport(const EngineReport& report, TimePoint now)
{
  const bool is_accepted = report.is_busy || report.orders > m_orders_seen;
  if (m_state == LoaderState::Ordered && m_is_unanswered)
  {
    LogEvent(Weight::Important, now, "switch.unanswered", "version", m_staged.version, "accepted",
             is_accepted, "verified_ms", now - m_staged.verified_since, "orders", report.orders);
    m_state = is_accepted ? LoaderState::Loading : LoaderState::Idle;
    m_not_before = now + ORDER_RETRY_DELAY;
  }
  const bool is_done = report.weights_version == m_staged.version && !report.is_busy;
  if (m_state == LoaderState::Loading && is_done)
  {
    LogEvent(Weight::Important, now, "switch.done", "version", m_staged.version, "took_ms",
             now - m_since, "orders", report.orders);
    m_state = LoaderState::Idle;
  }
  // A restarted engine has forgotten the order.
  if (m_state == LoaderState::Loading && !report.is_busy && report.orders < m_orders_seen)
    m_state = LoaderState::Idle;
  // A report that arrives while an order is open may be older than the order.
  if (m_state == LoaderState::Idle || m_state == LoaderState::Announced)
    m_orders_seen = report.orders;
}

void WeightsLoader::OnEngineLost()
{
  m_state = LoaderState::Idle;
  m_orders_seen = 0;
}
} // namespace Holdpost::Sidecar
