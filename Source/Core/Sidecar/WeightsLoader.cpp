// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/WeightsLoader.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

// The load orders of a sidecar and their outcome.
namespace Holdpost::Sidecar
{
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

// The time until gateways know that the target accepts no new requests.
static constexpr Milliseconds ANNOUNCEMENT_LEAD_TIME = Milliseconds(30);
// If the order could not leave within this time after its announcement, the process stood still:
// the verification has to be looked at again.
static constexpr Milliseconds MAX_ANNOUNCEMENT_TIME = Milliseconds(500);
// The retry delay of an order that needs no verified stage.
static constexpr Milliseconds GIVE_UP_RETRY_DELAY = Milliseconds(500);
// A piece may have turned bad this time before the engine loads it. So the oldest reading may be
// this old when the engine accepts the order.
static constexpr Milliseconds MAX_VERIFICATION_AGE = Milliseconds(3000);
// If an engine that is not busy has not reported what was ordered this time after it accepted the
// order, the load has failed.
static constexpr Milliseconds LOAD_TIMEOUT = Milliseconds(5000);
// An engine that refuses all orders for this time will not accept an earlier one either.
static constexpr Milliseconds MAX_UNSETTLED_TIME = Milliseconds(10000);

void WeightsLoader::SetState(LoaderState state, TimePoint now)
{
  m_state = state;
  m_since = now;
}

void WeightsLoader::Begin(const StagedVersion& staged, TimePoint now)
{
  if (IsUnderWay() || now < m_not_before)
    return;
  ForgetOrders();
  m_staged = staged;
  m_began = now;
  ResumeInterruptedRepair();
  SetState(LoaderState::Announced, now);
  LogEvent(Weight::Important, now, "switch.begun", "model", staged.model, "version", staged.version,
           "verified_ms", now - staged.verified.began, "orders", m_orders_seen);
}

void WeightsLoader::Continue(const StagedVersion& staged, TimePoint now)
{
  if (!AwaitsStage(now))
    return;
  m_staged = staged;
  m_is_order_due = true;
}

bool WeightsLoader::AwaitsStage(TimePoint now) const
{
  return IsNextOrderPending() && !OnlyGivesUpLayers() && !m_is_order_due && now >= m_not_before;
}

bool WeightsLoader::TakeDueOrder(TimePoint now)
{
  if (OnlyGivesUpLayers())
    return m_is_reachable && !m_report.is_busy && now >= m_not_before;
  return std::exchange(m_is_order_due, false);
}

StageAccess WeightsLoader::AllowedAccess() const
{
  switch (m_state)
  {
  case LoaderState::Idle:
  case LoaderState::Unsettled:
  case LoaderState::Repairing:
    // As long as the engine holds all layers, only the stage shows that they may be bad.
    return OnlyGivesUpLayers() ? StageAccess::None : StageAccess::ReadAndWrite;
  case LoaderState::Announced:
  case LoaderState::Ordered:
    return StageAccess::None;
  case LoaderState::Loading:
  case LoaderState::Confirming:
    break;
  }
  return AwaitsConfirmation() ? StageAccess::Read : StageAccess::None;
}

std::optional<LoadStagedWeights> WeightsLoader::OnTick(TimePoint now)
{
  const bool was_announced =
      m_state == LoaderState::Announced && now - m_since >= ANNOUNCEMENT_LEAD_TIME;
  if (was_announced && now - m_since > MAX_ANNOUNCEMENT_TIME)
  {
    LogEvent(Weight::Important, now, "switch.delayed", "version", m_staged.version, "verified_ms",
             now - m_staged.verified.began, "announced_ms", now - m_since);
    SetState(LoaderState::Idle, now);
    return std::nullopt;
  }
  const bool takes_pieces = !OnlyGivesUpLayers();
  if (!was_announced && !TakeDueOrder(now))
    return std::nullopt;
  m_order = {++m_last_ticket, m_orders_seen, DueLayers(), takes_pieces};
  m_unanswered_at.reset();
  if (!m_oldest_order && takes_pieces)
    m_oldest_order = m_staged;
  SetState(LoaderState::Ordered, now);
  LogEvent(Weight::Important, now, "switch.ordered", "version", m_staged.version, "verified_ms",
           now - m_staged.verified.began, "orders", m_orders_seen, "first_layer",
           m_order.layers ? m_order.layers->first : 0, "end_layer",
           m_order.layers ? m_order.layers->end : m_staged.layers, "takes_pieces", takes_pieces);
  // The engine's order count is also used as the fencing token. It never decreases during one
  // incarnation, and a new incarnation forgets the tokens.
  return LoadStagedWeights{m_order.ticket,          m_staged.model, m_staged.version,
                           m_order.expected_orders, m_orders_seen,  m_order.layers};
}

void WeightsLoader::OnAnswered(const LoadAnswered& answered, TimePoint now)
{
  if (m_state != LoaderState::Ordered || answered.ticket != m_order.ticket)
    return;
  if (const auto* error = std::get_if<Common::Error>(&answered.result))
    return OnOrderFailed(*error, now);
  m_is_already_held = std::get<OrderOutcome>(answered.result) == OrderOutcome::AlreadyHeld;
  OnAccepted(m_is_already_held ? Acceptance::OfUnknownOrder : Acceptance::OfLastOrder, now);
}

void WeightsLoader::OnOrderFailed(const Common::Error& error, TimePoint now)
{
  LogEvent(Weight::Important, now, "switch.order_failed", "version", m_staged.version, "reason",
           Common::AnswerFor(error.kind).name, "message", error.message, "verified_ms",
           now - m_staged.verified.began, "answered_ms", now - m_since);
  if (Common::AnswerFor(error.kind).outcome == Common::Outcome::Unknown)
  {
    m_unanswered_at = now;
    m_has_unanswered_orders = true;
    return;
  }
  m_not_before = now + (m_order.takes_pieces ? ORDER_RETRY_DELAY : GIVE_UP_RETRY_DELAY);
  if (m_has_unanswered_orders && now - m_began < MAX_UNSETTLED_TIME)
    return SetState(LoaderState::Unsettled, now);
  m_has_unanswered_orders = false;
  m_oldest_order.reset();
  OnLoadFailed(now);
}

void WeightsLoader::OnLoadFailed(TimePoint now)
{
  if (m_repair_orders.empty())
    SetState(LoaderState::Idle, now);
  else
    OnRepairOrderFailed(now);
}

void WeightsLoader::OnAccepted(Acceptance acceptance, TimePoint now)
{
  const bool is_last = acceptance == Acceptance::OfLastOrder;
  const StagedVersion& basis = is_last || !m_oldest_order ? m_staged : *m_oldest_order;
  const Duration age = now - basis.verified.began;
  const bool is_confirmed =
      !m_order.takes_pieces ||
      (age < MAX_VERIFICATION_AGE && !m_is_already_held && !m_staged.may_be_overwritten);
  LogEvent(Weight::Important, now, "switch.accepted", "version", m_staged.version, "verified_ms",
           age, "answered_ms", now - m_since, "last_order", is_last, "in_time", is_confirmed);
  if (!is_confirmed)
    m_stage_writes_at_load =
        std::min(m_stage_writes_at_load.value_or(basis.stage_writes), basis.stage_writes);
  m_oldest_order.reset();
  m_unanswered_at.reset();
  m_has_unanswered_orders = false;
  SetState(LoaderState::Loading, now);
}

bool WeightsLoader::ShowsAcceptance(const EngineReport& report) const
{
  return report.orders > m_order.expected_orders || (report.is_busy && m_has_unanswered_orders);
}

bool WeightsLoader::ShowsCompletion(const EngineReport& report) const
{
  const bool has_accepted = m_is_already_held || report.orders > m_order.expected_orders;
  if (!has_accepted || report.is_busy || report.weights_version != m_staged.version)
    return false;
  if (m_repair_orders.empty())
    return true;
  // An engine need not report its layers. It has begun something, unless it held all before.
  return report.layers.empty() ? !m_is_already_held
                               : HoldsExactly(report, m_repair_orders.front(), m_staged.version);
}

void WeightsLoader::OnReport(const EngineReport& report, TimePoint asked_at, TimePoint now)
{
  if (report.incarnation != m_incarnation || report.orders < m_orders_seen)
    OnRestartReported(report, now);
  NoteUnexplainedLoad(report, now);
  m_incarnation = report.incarnation;
  m_report = report;
  m_is_reachable = true;
  const bool is_order_open = m_state == LoaderState::Ordered || m_state == LoaderState::Unsettled;
  if (is_order_open && ShowsAcceptance(report))
    OnAccepted(Acceptance::OfUnknownOrder, now);
  // A report that was requested while the order was under way may be older than the order.
  else if (m_state == LoaderState::Ordered && m_unanswered_at && asked_at >= *m_unanswered_at)
  {
    LogEvent(Weight::Important, now, "switch.unanswered", "version", m_staged.version,
             "verified_ms", now - m_staged.verified.began, "orders", report.orders);
    m_not_before = now + ORDER_RETRY_DELAY;
    SetState(LoaderState::Unsettled, now);
  }
  if (m_state == LoaderState::Loading)
    OnReportWhileLoading(report, asked_at, now);
  const bool is_no_order_open = m_state == LoaderState::Idle || m_state == LoaderState::Announced ||
                                m_state == LoaderState::Repairing;
  if (is_no_order_open)
    m_orders_seen = report.orders;
}

// Another process of the sidecar may have ordered a load, whose verification is not known.
void WeightsLoader::NoteUnexplainedLoad(const EngineReport& report, TimePoint now)
{
  const bool is_idle = m_state == LoaderState::Idle || m_state == LoaderState::Announced;
  // What the engine accepted before the first report is no sign of a recent order.
  const bool is_first = !std::exchange(m_has_report, true);
  const bool has_risen = !is_first && report.orders > m_orders_seen;
  if (!is_idle || m_has_unexplained_load || (!has_risen && !report.is_busy))
    return;
  LogEvent(Weight::Important, now, "load.unexplained", "orders", report.orders, "expected",
           m_orders_seen, "weights", report.weights_version);
  m_has_unexplained_load = true;
}

void WeightsLoader::OnRestartReported(const EngineReport& report, TimePoint now)
{
  const bool was_ordered = m_state == LoaderState::Ordered || m_state == LoaderState::Unsettled ||
                           m_state == LoaderState::Loading;
  const bool has_accepted = was_ordered && (report.orders > 0 || report.is_busy);
  const std::uint64_t stage_writes = m_oldest_order.value_or(m_staged).stage_writes;
  OnEngineRestarted();
  if (!has_accepted)
    return;
  // The order was accepted by the new start, on whose stage nothing has been read.
  LogEvent(Weight::Important, now, "switch.accepted", "version", m_staged.version, "verified_ms",
           now - m_staged.verified.began, "last_order", false, "in_time", false);
  m_order = {m_order.ticket, 0, {}, true};
  m_stage_writes_at_load = stage_writes;
  SetState(LoaderState::Loading, now);
}

void WeightsLoader::OnReportWhileLoading(const EngineReport& report, TimePoint asked_at,
                                         TimePoint now)
{
  if (!ShowsCompletion(report))
  {
    if (report.is_busy || asked_at - m_since < LOAD_TIMEOUT)
      return;
    LogEvent(Weight::Important, now, "switch.not_loaded", "version", m_staged.version, "orders",
             report.orders, "weights", report.weights_version);
    m_orders_seen = report.orders;
    m_has_unexplained_load = true;
    return OnLoadFailed(now);
  }
  m_orders_seen = report.orders;
  m_is_already_held = false;
  if (!m_repair_orders.empty())
    m_repair_orders.pop_front();
  if (!m_repair_orders.empty())
    return SetState(LoaderState::Repairing, now);
  if (m_stage_writes_at_load)
    return SetState(LoaderState::Confirming, now);
  Finish(now);
}

void WeightsLoader::Finish(TimePoint now)
{
  LogEvent(Weight::Important, now, "switch.done", "version", m_staged.version, "took_ms",
           now - m_began, "orders", m_orders_seen);
  m_is_unsound = false;
  m_has_unexplained_load = false;
  SetState(LoaderState::Idle, now);
}

void WeightsLoader::ForgetOrders()
{
  m_is_order_due = false;
  m_is_already_held = false;
  m_unanswered_at.reset();
  m_has_unanswered_orders = false;
  m_oldest_order.reset();
  m_stage_writes_at_load.reset();
  m_repair_orders.clear();
  m_repair_failures = 0;
}

void WeightsLoader::OnEngineUnreachable()
{
  m_is_reachable = false;
  if (m_state == LoaderState::Announced)
    m_state = LoaderState::Idle;
}

void WeightsLoader::OnEngineRestarted()
{
  ForgetOrders();
  m_is_unsound = false;
  m_has_unexplained_load = false;
  m_state = LoaderState::Idle;
  m_orders_seen = 0;
}
} // namespace Holdpost::Sidecar
