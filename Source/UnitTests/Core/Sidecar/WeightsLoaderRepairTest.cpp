// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <vector>

#include "Core/Sidecar/WeightsLoaderFixture.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using namespace Holdpost::Sidecar::LoaderTesting;
using Common::Error;
using Common::ErrorKind;

// An order is under way while the engine stands still, and a piece turns bad meanwhile.
TEST_CASE("A load of pieces that were verified too long ago is confirmed by reading them again")
{
  LoaderFixture fixture;
  WeightsLoader& loader = fixture.loader;
  const LoadStagedWeights order = fixture.Order();
  CHECK(loader.AllowedAccess() == StageAccess::None);
  SUBCASE("the answer is late")
  {
    fixture.Answer(order, OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  }
  SUBCASE("the answer is lost, and a late report shows that the order was accepted")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
    loader.OnEngineUnreachable();
    fixture.now += LoaderFixture::TOO_LATE;
    fixture.report.is_busy = true;
  }
  SUBCASE("the answer is in time, but a write of another version may have come between")
  {
    fixture.may_be_overwritten = true;
    fixture.now += Milliseconds(200);
    loader.OnEngineRestarted();
    fixture.Report();
    fixture.Answer(fixture.Order(), OrderOutcome::Accepted, Milliseconds(5));
  }
  SUBCASE("the engine answers the next order that it holds the version")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
    fixture.Report();
    fixture.Answer(fixture.OrderAgain(), OrderOutcome::AlreadyHeld, Milliseconds(5));
  }
  SUBCASE("the engine refuses the next order, as it has accepted the first one")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
    fixture.Report();
    fixture.Answer(fixture.OrderAgain(), Error{ErrorKind::Conflict, ""}, LoaderFixture::TOO_LATE);
    CHECK(loader.State() == LoaderState::Unsettled);
  }
  fixture.LoadAfterAcceptance();
}

TEST_CASE("What becomes of a load that is confirmed by reading the stage again")
{
  LoaderFixture fixture;
  WeightsLoader& loader = fixture.loader;
  fixture.Answer(fixture.Order(), OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  fixture.LoadAfterAcceptance();

  SUBCASE("the pieces are correct")
  {
    CHECK(loader.OnStageRead(true, fixture.writes, fixture.now));
    CHECK_FALSE(loader.IsUnderWay());
  }
  SUBCASE("a piece is bad: each half of the layers is loaded anew before all are held")
  {
    CHECK_FALSE(loader.OnStageRead(false, fixture.writes, fixture.now));
    const std::vector<std::optional<LayerRange>> expected = {LayerRange{0, 3}, LayerRange{3, 6},
                                                             std::nullopt};
    for (const std::optional<LayerRange>& layers : expected)
    {
      CHECK(loader.IsUnderWay());
      const bool is_first = layers == expected.front();
      CHECK(loader.AllowedAccess() == (is_first ? StageAccess::None : StageAccess::ReadAndWrite));
      const LoadStagedWeights repair = fixture.RepairOrder();
      CHECK(loader.TakesPieces() != is_first);
      CHECK(repair.layers == layers);
      CHECK(repair.expected_orders == fixture.report.orders);
      fixture.Load(repair);
    }
    CHECK_FALSE(loader.IsUnderWay());
    CHECK_FALSE(loader.IsUnsound());
  }
  SUBCASE("a piece was written meanwhile: what the engine loaded is not known")
  {
    CHECK_FALSE(loader.OnStageRead(true, fixture.writes + 1, fixture.now));
    CHECK(loader.State() == LoaderState::Repairing);
  }
  SUBCASE("an engine that refuses to give layers up is left unsound until its next load")
  {
    loader.OnStageRead(false, fixture.writes, fixture.now);
    while (loader.IsUnderWay())
      fixture.Answer(fixture.RepairOrder(), Error{ErrorKind::SourceBusy, ""}, Milliseconds(1));
    CHECK(loader.IsUnsound());
    ++fixture.writes;
    fixture.now += Milliseconds(200);
    fixture.Load(fixture.Order());
    CHECK_FALSE(loader.IsUnsound());
  }
  SUBCASE("the engine restarts and accepts an order of before: that load is confirmed, too")
  {
    loader.OnStageRead(true, fixture.writes, fixture.now);
    fixture.now += Milliseconds(200);
    const LoadStagedWeights next = fixture.Order();
    fixture.Answer(next, Error{ErrorKind::Unreachable, ""}, Milliseconds(5));
    fixture.report = {.incarnation = 8, .is_busy = true, .orders = 1};
    fixture.Report();
    CHECK(loader.State() == LoaderState::Loading);
    CHECK(loader.AwaitsConfirmation());
  }
  SUBCASE("the engine restarts: there is nothing to confirm")
  {
    fixture.report = {.incarnation = 8};
    fixture.Report();
    CHECK_FALSE(loader.IsUnderWay());
  }
}

TEST_CASE("A load that was accepted in time is not confirmed")
{
  LoaderFixture fixture;
  const LoadStagedWeights order = fixture.Order();
  SUBCASE("by the order's answer")
  {
    fixture.Answer(order, OrderOutcome::Accepted, Milliseconds(1500));
  }
  SUBCASE("by a report that comes before the answer")
  {
    ++fixture.report.orders;
    fixture.now += Milliseconds(100);
    fixture.Report();
  }
  SUBCASE("by the answer to the second order, after which the engine refuses the first one")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(3000));
    fixture.Report();
    fixture.Answer(fixture.OrderAgain(), OrderOutcome::Accepted, Milliseconds(5));
  }
  CHECK(fixture.loader.State() == LoaderState::Loading);
  CHECK_FALSE(fixture.loader.AwaitsConfirmation());
}

// Another order was accepted while a repair is due, as one of an earlier process of the sidecar.
TEST_CASE("An order of a repair expects the number of orders that the engine reports")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  fixture.LoadAfterAcceptance();
  fixture.loader.OnStageRead(false, fixture.writes, fixture.now);
  REQUIRE(fixture.loader.State() == LoaderState::Repairing);
  ++fixture.report.orders;
  fixture.Report();
  CHECK(fixture.RepairOrder().expected_orders == fixture.report.orders);
}

// A sidecar that is killed then knows nothing of the repair, and takes such an engine for loaded.
TEST_CASE("An engine that is being repaired does not hold all layers before all of them are new")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  fixture.LoadAfterAcceptance();
  fixture.loader.OnStageRead(false, fixture.writes, fixture.now);
  std::set<std::uint32_t> bad;
  std::set<std::uint32_t> held;
  for (std::uint32_t layer = 0; layer < LoaderFixture::LAYERS; ++layer)
  {
    bad.insert(layer);
    held.insert(layer);
  }
  while (fixture.loader.IsUnderWay())
  {
    const LoadStagedWeights order = fixture.RepairOrder();
    const LayerRange range = order.layers.value_or(LayerRange{0, LoaderFixture::LAYERS});
    for (std::uint32_t layer = 0; layer < LoaderFixture::LAYERS; ++layer)
    {
      const bool is_wanted = layer >= range.first && layer < range.end;
      if (is_wanted && held.insert(layer).second)
        bad.erase(layer);
      if (!is_wanted)
      {
        held.erase(layer);
        bad.erase(layer);
      }
    }
    fixture.Load(order);
    const bool holds_all = held.size() == LoaderFixture::LAYERS;
    CHECK((!holds_all || bad.empty()));
  }
  CHECK(bad.empty());
}

// A sidecar is killed behind the writing that makes the stage correct: all that its successor sees
// is an engine with all layers and a correct stage.
TEST_CASE("The stage is not made correct before an engine that is to be repaired lacks layers")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  fixture.LoadAfterAcceptance();
  fixture.loader.OnStageRead(false, fixture.writes, fixture.now);
  CHECK(fixture.loader.AllowedAccess() == StageAccess::None);
  const LoadStagedWeights order = fixture.OrderGivingUp();
  SUBCASE("accepted: then the pieces may be written")
  {
    fixture.Answer(order, OrderOutcome::Accepted, Milliseconds(5));
    CHECK(fixture.loader.AllowedAccess() == StageAccess::None);
    ++fixture.report.orders;
    fixture.report.layers = {{{0, LoaderFixture::LAYERS / 2}, 2}};
    fixture.Report();
  }
  SUBCASE("refused: it is given again")
  {
    fixture.Answer(order, Error{ErrorKind::Conflict, ""}, Milliseconds(5));
    CHECK(fixture.loader.AllowedAccess() == StageAccess::None);
    fixture.Load(fixture.OrderGivingUp());
  }
  SUBCASE("without an answer: it is given again, and the engine accepts one of them")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
    fixture.Report();
    CHECK(fixture.loader.State() == LoaderState::Unsettled);
    const LoadStagedWeights next = fixture.OrderGivingUp();
    CHECK(next.expected_orders == order.expected_orders);
    fixture.Load(next);
  }
  SUBCASE("without an answer, and accepted much later")
  {
    fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, LoaderFixture::TOO_LATE);
    ++fixture.report.orders;
    fixture.report.layers = {{{0, LoaderFixture::LAYERS / 2}, 2}};
    fixture.Report();
  }
  CHECK(fixture.loader.AllowedAccess() == StageAccess::ReadAndWrite);
  // The written pieces do not count against the loads that follow.
  ++fixture.writes;
  fixture.Load(fixture.OrderAgain());
  fixture.Load(fixture.OrderAgain());
  CHECK_FALSE(fixture.loader.IsUnderWay());
  CHECK_FALSE(fixture.loader.IsUnsound());
}

// An order is taken by the new start of an engine, after a piece was written again.
TEST_CASE("A load by a restarted engine is confirmed against the stage of the oldest order")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
  fixture.Report();
  ++fixture.writes;
  fixture.Answer(fixture.OrderAgain(), Error{ErrorKind::Unreachable, ""}, Milliseconds(5));
  fixture.report = {.incarnation = 8,
                    .weights_version = 2,
                    .orders = 1,
                    .layers = {{{0, LoaderFixture::LAYERS}, 2}}};
  fixture.Report();
  REQUIRE(fixture.loader.State() == LoaderState::Confirming);
  CHECK_FALSE(fixture.loader.OnStageRead(true, fixture.writes, fixture.now));
}

// Engines need not report the layers that they hold.
TEST_CASE("A repair that ends in a whole load by an engine that reports no layers")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), OrderOutcome::Accepted, LoaderFixture::TOO_LATE);
  fixture.LoadAfterAcceptance();
  fixture.loader.OnStageRead(false, fixture.writes, fixture.now);
  const Common::TimePoint began = fixture.now;
  while (fixture.loader.IsUnderWay())
  {
    const LoadStagedWeights order = fixture.RepairOrder();
    fixture.Answer(order, OrderOutcome::Accepted, Milliseconds(5));
    ++fixture.report.orders;
    fixture.report.layers.clear();
    fixture.Report();
    while (fixture.loader.State() == LoaderState::Loading)
    {
      fixture.now += Milliseconds(100);
      fixture.Report();
    }
  }
  MESSAGE("unsound: " << fixture.loader.IsUnsound() << " after "
                      << (fixture.now - began) / Milliseconds(1) << " ms");
  CHECK_FALSE(fixture.loader.IsUnsound());
}
