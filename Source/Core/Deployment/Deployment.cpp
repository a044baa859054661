// SPDX-License-Identifier: Apache-2.0
#include "Core/Deployment/Deployment.h"

#include <algorithm>

namespace Holdpost::Deployment
{
using Common::Digest;
using Common::Duration;
using Common::Error;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;

static constexpr Duration BACKOFF_LEAST = Milliseconds(200);
static constexpr Duration BACKOFF_MOST = Milliseconds(10000);
// The least time between two checks of what the engine has.
static constexpr Duration CHECK_PERIOD = Milliseconds(1000);

// Whether an order that failed so may have changed what the engine has.
static bool MayHaveBeenTaken(const Error& error)
{
  return Common::AnswerFor(error.kind).outcome != Common::Outcome::NotRun;
}

bool Deployment::IsHeld(const Digest& version) const
{
  return std::ranges::find(m_held, version) != m_held.end();
}

bool Deployment::IsSwitchWanted() const
{
  if (!m_plan || !m_plan->is_model)
    return false;
  return m_serving.service != m_plan->service || m_serving.version != m_plan->version ||
         !m_serving.is_ready;
}

std::optional<Deployment::KnownVersion> Deployment::Known() const
{
  if (!m_serving.is_ready || m_serving.version.IsZero() || m_order)
    return std::nullopt;
  return KnownVersion{m_serving.version, m_generation};
}

void Deployment::RequestCheck()
{
  m_is_check_requested = m_serving.is_ready && m_plan && m_plan->is_model;
}

void Deployment::OnOtherVersion(TimePoint now)
{
  m_serving.version = Digest();
  m_serving.is_ready = false;
  m_order_not_before = std::min(m_order_not_before, now);
}

void Deployment::KeepWanted(Actions* actions)
{
  std::vector<Digest> wanted;
  if (m_plan && m_plan->is_model)
    wanted.push_back(m_plan->version);
  if (m_serving.is_ready && !m_serving.version.IsZero() && m_serving.version != m_plan->version)
    wanted.push_back(m_serving.version);
  std::erase_if(m_held, [&](const Digest& held)
                { return std::ranges::find(wanted, held) == wanted.end(); });
  actions->push_back(KeepVersions{wanted});
}

void Deployment::CancelOpenOrder(Actions* actions)
{
  actions->push_back(CancelOrder{m_order->order});
  m_order.reset();
  // The engine may have taken the order or take it yet.
  m_serving.version = Digest();
}

void Deployment::OnPlan(const std::optional<Placement::ServicePlan>& plan, TimePoint now,
                        Actions* actions)
{
  if (plan == m_plan)
    return;
  m_plan = plan;
  m_order_not_before = now;
  m_backoff = Duration::zero();
  const bool is_other_order =
      m_order && (!plan || plan->version != m_order->version || plan->service != m_order->service);
  if (is_other_order)
    CancelOpenOrder(actions);
  // A service that the tree takes away from this target gets no new work at once; a new version of
  // the same service leaves the old one in place until the new one is ready.
  if (!plan || plan->service != m_serving.service)
    m_serving = {};
  if (!plan)
  {
    m_held.clear();
    actions->push_back(KeepVersions{});
    return;
  }
  if (!plan->is_model)
  {
    m_serving = {plan->service, Digest(), true, false, 0, 0};
    m_held.clear();
    actions->push_back(KeepVersions{});
    return;
  }
  KeepWanted(actions);
  actions->push_back(WantVersion{plan->version});
}

void Deployment::OnVersionHeld(const Digest& version, TimePoint now, Actions* actions)
{
  if (!IsHeld(version))
    m_held.push_back(version);
  m_order_not_before = std::min(m_order_not_before, now);
  (void)actions;
}

void Deployment::OnTick(TimePoint now, bool may_order, bool may_switch, Actions* actions)
{
  const bool is_check = !IsSwitchWanted() && m_is_check_requested;
  if (m_order || !may_order || (!is_check && !IsSwitchWanted()) || !IsHeld(m_plan->version))
    return;
  // A check switches nothing off, so the limit on loads is not asked.
  if (is_check ? now < m_check_not_before : !may_switch || now < m_order_not_before)
    return;
  ++m_generation;
  m_is_check_requested = false;
  m_check_not_before = now + CHECK_PERIOD;
  m_order = OrderLoad{m_next_order++, m_plan->service, m_plan->model, m_plan->version, is_check};
  actions->push_back(*m_order);
}

void Deployment::OnOrderDone(std::uint64_t order, const Result<std::monostate>& result,
                             TimePoint now, Actions* actions)
{
  if (!m_order || m_order->order != order)
    return;
  const OrderLoad done = *m_order;
  m_order.reset();
  if (!Common::Succeeded(result))
  {
    if (done.is_check)
      return OnOtherVersion(now);
    m_backoff = std::clamp(m_backoff * 2, BACKOFF_LEAST, BACKOFF_MOST);
    m_order_not_before = now + m_backoff;
    if (MayHaveBeenTaken(std::get<Error>(result)))
      m_serving.version = Digest();
    return;
  }
  m_backoff = Duration::zero();
  // Ready only if the tree still names what was loaded.
  if (!m_plan || m_plan->version != done.version || m_plan->service != done.service)
    return;
  m_serving = {done.service, done.version, true, false, 0, 0};
  KeepWanted(actions);
}
} // namespace Holdpost::Deployment
