// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/WeightsLoaderFixture.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using namespace Holdpost::Sidecar::LoaderTesting;
using Common::Error;
using Common::ErrorKind;

TEST_CASE("An engine gets one load order for each version")
{
  LoaderFixture fixture;
  WeightsLoader& loader = fixture.loader;
  EngineReport& report = fixture.report;
  loader.Begin(fixture.StagedAt(START), START);
  CHECK(loader.State() == LoaderState::Announced);
  CHECK_FALSE(loader.OnTick(START).has_value());
  const auto order = loader.OnTick(START + Milliseconds(40));
  REQUIRE(order.has_value());
  CHECK(order->version == 2);
  CHECK(order->expected_orders == 4);
  CHECK_FALSE(order->layers.has_value());
  CHECK_FALSE(loader.OnTick(START + Milliseconds(80)).has_value());
  fixture.now = START + Milliseconds(80);

  SUBCASE("accepted: the loader waits until the engine has the version")
  {
    fixture.Answer(*order, OrderOutcome::Accepted, Milliseconds(1));
    report.is_busy = true;
    report.orders = 5;
    report.weights_version = 0;
    fixture.Report();
    CHECK(loader.IsUnderWay());
    report.is_busy = false;
    report.weights_version = 2;
    fixture.Report();
    CHECK_FALSE(loader.IsUnderWay());
  }
  SUBCASE("without an answer: a report shows that the order was accepted")
  {
    fixture.Answer(*order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1));
    CHECK(loader.IsUnderWay());
    report.orders = 5;
    report.is_busy = true;
    fixture.Report();
    CHECK(loader.State() == LoaderState::Loading);
  }
  SUBCASE("without an answer: a report that was requested later shows that the order was not "
          "accepted, and the next order tells whether it still is")
  {
    fixture.Answer(*order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1));
    fixture.Report();
    CHECK(loader.State() == LoaderState::Unsettled);
    CHECK_FALSE(loader.AwaitsStage(fixture.now));
    const LoadStagedWeights next = fixture.OrderAgain();
    CHECK(next.version == 2);
    CHECK(next.expected_orders == 4);
  }
  SUBCASE("refused: the order may be sent again later")
  {
    fixture.Answer(*order, Error{ErrorKind::Conflict, ""}, Milliseconds(1));
    CHECK_FALSE(loader.IsUnderWay());
    loader.Begin(fixture.StagedAt(fixture.now), fixture.now);
    CHECK_FALSE(loader.IsUnderWay());
    loader.Begin(fixture.StagedAt(fixture.now), fixture.now + Milliseconds(200));
    CHECK(loader.IsUnderWay());
  }
  SUBCASE("a restarted engine has forgotten the order")
  {
    fixture.Answer(*order, OrderOutcome::Accepted, Milliseconds(1));
    report.orders = 0;
    report.weights_version = 0;
    fixture.Report();
    CHECK_FALSE(loader.IsUnderWay());
  }
  SUBCASE("accepted, but not loaded: the order may be sent again later")
  {
    fixture.Answer(*order, OrderOutcome::Accepted, Milliseconds(1));
    report.orders = 5;
    fixture.Report();
    CHECK(loader.IsUnderWay());
    fixture.now += Milliseconds(6000);
    fixture.Report();
    CHECK_FALSE(loader.IsUnderWay());
  }
}

// A paused process sends an order that was decided on before.
TEST_CASE("An order does not leave long after its stage was verified")
{
  LoaderFixture fixture;
  fixture.loader.Begin(fixture.StagedAt(START), START);
  CHECK_FALSE(fixture.loader.OnTick(START + Milliseconds(5000)).has_value());
  CHECK(fixture.loader.State() == LoaderState::Idle);
}

// A report that was requested before the order left does not tell what became of it.
TEST_CASE("An unanswered order is not given up because of an older report")
{
  LoaderFixture fixture;
  const Common::TimePoint asked_at = fixture.now;
  const LoadStagedWeights order = fixture.Order();
  fixture.Answer(order, Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
  fixture.loader.OnReport(fixture.report, asked_at, fixture.now);
  CHECK(fixture.loader.State() == LoaderState::Ordered);
  SUBCASE("nor as its engine does not answer for a while")
  {
    fixture.loader.OnEngineUnreachable();
    CHECK(fixture.loader.State() == LoaderState::Ordered);
  }
  SUBCASE("a late answer to an earlier order does not count for the next one")
  {
    fixture.Report();
    fixture.OrderAgain();
    fixture.Answer(order, OrderOutcome::Accepted, Milliseconds(1));
    CHECK(fixture.loader.State() == LoaderState::Ordered);
  }
}

// The engine serves its weights and refuses all orders, as one that leaves.
TEST_CASE("An engine that refuses all orders after one without an answer is not switching for good")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), Error{ErrorKind::Unreachable, ""}, Milliseconds(1500));
  fixture.Report();
  int orders = 0;
  while (fixture.loader.IsUnderWay() && orders < 1000)
  {
    fixture.Answer(fixture.OrderAgain(), Error{ErrorKind::SourceBusy, ""}, Milliseconds(5));
    fixture.Report();
    ++orders;
  }
  MESSAGE(orders << " orders refused, " << (fixture.now - START) / Milliseconds(1) << " ms");
  CHECK_FALSE(fixture.loader.IsUnderWay());
}

// An order of an earlier process of the sidecar was accepted first, at a time that is not known.
TEST_CASE("A load that explains a refused order is noticed")
{
  LoaderFixture fixture;
  fixture.Answer(fixture.Order(), Error{ErrorKind::Conflict, ""}, Milliseconds(5));
  ++fixture.report.orders;
  fixture.report.weights_version = 2;
  fixture.report.layers = {{{0, LoaderFixture::LAYERS}, 2}};
  fixture.Report();
  CHECK(fixture.loader.HasUnexplainedLoad());
}
