// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/WeightsLoader.h"

#include <algorithm>

#include "Common/EventLog.h"

// Confirmation of a load whose pieces may have been bad, and its repair by a sequence of orders
// that replace the engine's layers one half after the other.
namespace Holdpost::Sidecar
{
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr std::uint32_t MAX_REPAIR_FAILURES = 5;
// A load that could not be confirmed or repaired within this time gives way to a newer version.
static constexpr Milliseconds MAX_REPAIR_TIME = Milliseconds(10000);

// An engine takes only layers that it does not hold, so each half is loaded in place of the other.
// It does not hold all layers before all of them are new. Empty if the layers cannot be divided.
static std::deque<LayerRange> RepairOrders(std::uint32_t layers)
{
  if (layers < 2)
    return {};
  const std::uint32_t middle = layers / 2;
  return {{0, middle}, {middle, layers}, {0, layers}};
}

void WeightsLoader::Repair(const StagedVersion& staged, TimePoint now)
{
  if (IsUnderWay())
    return;
  ForgetOrders();
  m_has_unexplained_load = false;
  m_staged = staged;
  m_began = now;
  BeginRepair(now);
}

void WeightsLoader::BeginRepair(TimePoint now)
{
  LogEvent(Weight::Important, now, "load.unsound", "version", m_staged.version, "after_ms",
           now - m_began);
  m_repair_failures = 0;
  m_repair_orders = RepairOrders(m_staged.layers);
  if (m_repair_orders.empty())
    GiveUpRepair(now);
  else
    SetState(LoaderState::Repairing, now);
}

void WeightsLoader::ResumeInterruptedRepair()
{
  // The layers that the engine kept may be bad.
  if (HoldsPart(m_report, m_staged.layers))
    m_repair_orders = RepairOrders(m_staged.layers);
}

bool WeightsLoader::OnlyGivesUpLayers() const
{
  const bool is_first =
      !m_repair_orders.empty() && m_repair_orders.size() == RepairOrders(m_staged.layers).size();
  return IsNextOrderPending() && is_first && m_report.weights_version == m_staged.version &&
         !HoldsPart(m_report, m_staged.layers);
}

std::optional<LayerRange> WeightsLoader::DueLayers() const
{
  const LayerRange all{0, m_staged.layers};
  if (m_repair_orders.empty() || m_repair_orders.front() == all)
    return std::nullopt;
  return m_repair_orders.front();
}

void WeightsLoader::OnRepairOrderFailed(TimePoint now)
{
  if (++m_repair_failures < MAX_REPAIR_FAILURES)
    SetState(LoaderState::Repairing, now);
  else
    GiveUpRepair(now);
}

void WeightsLoader::GiveUpRepair(TimePoint now)
{
  LogEvent(Weight::Important, now, "load.unrepaired", "version", m_staged.version);
  ForgetOrders();
  // Nothing but another version is loaded next.
  m_not_before = std::min(m_not_before, now + ORDER_RETRY_DELAY);
  m_is_unsound = true;
  SetState(LoaderState::Idle, now);
}

bool WeightsLoader::AwaitsConfirmation() const
{
  if (m_state == LoaderState::Confirming)
    return true;
  return m_state == LoaderState::Loading && m_stage_writes_at_load && m_repair_orders.size() <= 1;
}

bool WeightsLoader::OnStageRead(bool are_correct, std::uint64_t stage_writes, TimePoint now)
{
  // A piece that was written since may have been bad when the engine loaded it.
  const bool is_sound = are_correct && stage_writes == m_stage_writes_at_load;
  m_stage_writes_at_load.reset();
  if (!is_sound)
  {
    BeginRepair(now);
    return false;
  }
  LogEvent(Weight::Important, now, "load.confirmed", "version", m_staged.version, "after_ms",
           now - m_began);
  Finish(now);
  return true;
}

bool WeightsLoader::MayBeReplaced(TimePoint now) const
{
  const bool is_order_open = m_state != LoaderState::Idle && m_state != LoaderState::Confirming &&
                             m_state != LoaderState::Repairing;
  return !is_order_open && (m_state == LoaderState::Idle || now - m_began > MAX_REPAIR_TIME);
}

void WeightsLoader::GiveWay(TimePoint now)
{
  if (m_state == LoaderState::Confirming || m_state == LoaderState::Repairing)
    GiveUpRepair(now);
}
} // namespace Holdpost::Sidecar
