// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <utility>

#include <doctest/doctest.h>

#include "Core/Sidecar/WeightsLoader.h"

// A loader of weights with an engine, and functions that give and answer its orders.
namespace Holdpost::Sidecar::LoaderTesting
{
using Common::Milliseconds;

inline const Common::TimePoint START{std::chrono::hours(1)};

// A loader whose engine has accepted four orders, and its verified stage.
struct LoaderFixture
{
  LoaderFixture()
  {
    report.incarnation = 7;
    report.weights_version = 1;
    report.orders = 4;
    loader.OnReport(report, START, START);
  }

  StagedVersion StagedAt(Common::TimePoint read_at) const
  {
    return {"m", 2, LAYERS, {read_at, read_at}, writes, may_be_overwritten};
  }
  LoadStagedWeights Order()
  {
    loader.Begin(StagedAt(now), now);
    now += Milliseconds(40);
    const auto order = loader.OnTick(now);
    REQUIRE(order.has_value());
    return *order;
  }
  // The next order of a load that awaits a verified stage.
  LoadStagedWeights OrderAgain()
  {
    now += Milliseconds(200);
    REQUIRE(loader.AwaitsStage(now));
    loader.Continue(StagedAt(now), now);
    const auto order = loader.OnTick(now);
    REQUIRE(order.has_value());
    return *order;
  }
  // The order by which the engine gives layers up. It takes nothing from the stage, which has to
  // stay as it is until then.
  LoadStagedWeights OrderGivingUp()
  {
    now += Milliseconds(500);
    CHECK_FALSE(loader.AwaitsStage(now));
    CHECK(loader.AllowedAccess() == StageAccess::None);
    const auto order = loader.OnTick(now);
    REQUIRE(order.has_value());
    CHECK(order->layers == LayerRange{0, LAYERS / 2});
    return *order;
  }
  // The next order of a repair.
  LoadStagedWeights RepairOrder()
  {
    return loader.AllowedAccess() == StageAccess::None ? OrderGivingUp() : OrderAgain();
  }
  void Answer(const LoadStagedWeights& order, Common::Result<OrderOutcome> result,
              Milliseconds after)
  {
    now += after;
    loader.OnAnswered({order.ticket, std::move(result)}, now);
  }
  void Report() { loader.OnReport(report, now, now); }
  // The engine accepts an order and reports that it has carried it out.
  void Load(const LoadStagedWeights& order)
  {
    Answer(order, OrderOutcome::Accepted, Milliseconds(5));
    ++report.orders;
    report.weights_version = 2;
    report.layers = {{order.layers.value_or(LayerRange{0, LAYERS}), 2}};
    Report();
  }

  // The engine carries out an order that it has accepted too late.
  void LoadAfterAcceptance()
  {
    report.is_busy = true;
    ++report.orders;
    Report();
    CHECK(loader.State() == LoaderState::Loading);
    CHECK(loader.AwaitsConfirmation());
    CHECK(loader.AllowedAccess() == StageAccess::Read);
    report.is_busy = false;
    report.weights_version = 2;
    report.layers = {{{0, LAYERS}, 2}};
    Report();
    CHECK(loader.State() == LoaderState::Confirming);
  }

  static constexpr std::uint32_t LAYERS = 6;
  static constexpr Milliseconds TOO_LATE = Milliseconds(3100);

  WeightsLoader loader;
  EngineReport report;
  Common::TimePoint now = START;
  std::uint64_t writes = 24;
  bool may_be_overwritten = false;
};
} // namespace Holdpost::Sidecar::LoaderTesting
