// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Common/Types.h"
#include "Core/Sidecar/EngineMessages.h"

// Orders the engine to load staged weights, once for each version. If an order gets no answer, the
// loader finds out whether the engine accepted it before it sends another order.
namespace Holdpost::Sidecar
{
enum class LoaderState
{
  // No load is in progress.
  Idle,
  // The switch is announced to the gateways, so that they send no new requests before the order
  // goes out.
  Announced,
  // The order has been sent and its outcome is not known yet.
  Ordered,
  // The engine has accepted the order.
  Loading,
};

// A version that lies on the engine's stage.
struct StagedVersion
{
  std::string model;
  std::uint64_t version = 0;
  // When the first of its pieces was read back. All of them were correct when they were read.
  Common::TimePoint verified_since{};
};

class WeightsLoader
{
public:
  // Starts loading the version. Does nothing while a version is being loaded or shortly after a
  // failed order.
  void Begin(const StagedVersion& staged, Common::TimePoint now);
  // The order that is due at this time, if any.
  std::optional<LoadStagedWeights> OnTick(Common::TimePoint now);
  void OnAnswered(const LoadAnswered& answered, Common::TimePoint now);
  void OnReport(const EngineReport& report, Common::TimePoint now);
  // The engine is unreachable or has restarted; a load that it had started is lost.
  void OnEngineLost();

  LoaderState State() const { return m_state; }
  bool IsUnderWay() const { return m_state != LoaderState::Idle; }
  std::uint64_t Version() const { return m_staged.version; }
  Common::TimePoint VerifiedSince() const { return m_staged.verified_since; }
  // The time of the last change of the state.
  Common::TimePoint Since() const { return m_since; }

private:
  StagedVersion m_staged;
  LoaderState m_state = LoaderState::Idle;
  Common::TimePoint m_since{};
  std::uint64_t m_orders_seen = 0;
  // The order got no answer: the next report shows whether the engine accepted it.
  bool m_is_unanswered = false;
  CallTicket m_last_ticket = 0;
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
