// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Common/Types.h"
#include "Core/Sidecar/EngineMessages.h"

// Gives the engine the order to load staged weights, once for each version, and finds out what
// became of an order without an answer before it gives another.
namespace Holdpost::Sidecar
{
enum class LoaderState
{
  // Nothing is to be loaded.
  Idle,
  // Gateways are told to send nothing new, before the order goes out.
  Announced,
  // The order is on its way.
  Ordered,
  // The engine has taken the order.
  Loading,
};

class WeightsLoader
{
public:
  // Begins to load the version. Does nothing while another is being loaded.
  void Begin(const std::string& model, std::uint64_t version, Common::TimePoint now);
  // The order that is to go out now, if any.
  std::optional<StartWeights> OnTick(Common::TimePoint now);
  void OnAnswered(const StartAnswered& answered, Common::TimePoint now);
  void OnReport(const EngineReport& report, Common::TimePoint now);
  // The engine cannot be reached; whatever it had begun is lost.
  void OnEngineLost();

  LoaderState State() const { return m_state; }
  bool IsUnderWay() const { return m_state != LoaderState::Idle; }
  std::uint64_t Version() const { return m_version; }

private:
  std::string m_model;
  std::uint64_t m_version = 0;
  LoaderState m_state = LoaderState::Idle;
  Common::TimePoint m_since{};
  std::uint64_t m_orders_seen = 0;
  // The order had no answer: the next report decides.
  bool m_is_unanswered = false;
  Common::TimePoint m_not_before{};
};
} // namespace Holdpost::Sidecar
