// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Membership/Report.h"
#include "Core/Placement/Placement.h"

// What one agent does with its target: from the plan for it to a service that may take requests.
namespace Holdpost::Deployment
{
// Fetch the version, then call OnVersionHeld.
struct WantVersion
{
  Common::Digest version;
};

// Forget all weights but these.
struct KeepVersions
{
  std::vector<Common::Digest> versions;
};

// Give the engine the weights and have it load them; the answer goes to OnOrderDone.
struct OrderLoad
{
  std::uint64_t order = 0;
  std::string service;
  std::string model;
  Common::Digest version;
  // The engine should have the version: it gets the order without the weights.
  bool is_check = false;
};

// Drop what is left of an order that is not wanted any more.
struct CancelOrder
{
  std::uint64_t order = 0;
};

using Action = std::variant<WantVersion, KeepVersions, OrderLoad, CancelOrder>;
using Actions = std::vector<Action>;

class Deployment
{
public:
  // What the tree wants of this target now; empty for nothing.
  void OnPlan(const std::optional<Placement::ServicePlan>& plan, Common::TimePoint now,
              Actions* actions);
  void OnVersionHeld(const Common::Digest& version, Common::TimePoint now, Actions* actions);
  void OnOrderDone(std::uint64_t order, const Common::Result<std::monostate>& result,
                   Common::TimePoint now, Actions* actions);
  // `may_order` is what the lease allows at this moment, `may_switch` the hall's limit on how many
  // load at once.
  void OnTick(Common::TimePoint now, bool may_order, bool may_switch, Actions* actions);

  // What the engine is known to answer with, as of one moment.
  struct KnownVersion
  {
    Common::Digest version;
    // Grows with each change of what is known.
    std::uint64_t generation = 0;

    bool operator==(const KnownVersion&) const = default;
  };

  // Empty while it is not certain, and for plain services.
  std::optional<KnownVersion> Known() const;
  // Has the engine asked whether it still has its version: a run gave reason to, as an engine that
  // has started again may have none.
  void RequestCheck();
  // The engine answers with another version than the known one: it has to load the wanted version
  // again before it may take requests.
  void OnOtherVersion(Common::TimePoint now);

  // The service and version that requests may be sent to; not ready while there is none. The
  // version is zero while it is not known which one a model engine has.
  const Membership::ServiceState& Serving() const { return m_serving; }
  // True if the target should load another version than it has.
  bool IsSwitchWanted() const;
  bool IsLoading() const { return m_order && !m_order->is_check; }

private:
  bool IsHeld(const Common::Digest& version) const;
  void KeepWanted(Actions* actions);
  void CancelOpenOrder(Actions* actions);

  std::optional<Placement::ServicePlan> m_plan;
  Membership::ServiceState m_serving;
  std::vector<Common::Digest> m_held;
  std::uint64_t m_next_order = 1;
  std::uint64_t m_generation = 0;
  std::optional<OrderLoad> m_order;
  Common::TimePoint m_order_not_before{};
  bool m_is_check_requested = false;
  Common::TimePoint m_check_not_before{};
  Common::Duration m_backoff{};
};
} // namespace Holdpost::Deployment
