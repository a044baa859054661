// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/Sidecar.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const Mesh::Sender GATEWAY{"front-1", "here", {"10.0.0.1", 7700}, 1};

// A sidecar that knows the path at which its engine serves its id.
struct Fixture
{
  Fixture()
  {
    Mesh::Hello hello;
    hello.is_gateway = true;
    hello.wants_load = true;
    hello.plan = {"llm", "m",           96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "here",
                  0,     "/who-are-you"};
    sidecar.OnMessage(GATEWAY, hello, now, &actions);
  }
  void Report(std::uint64_t incarnation)
  {
    EngineReport report;
    report.incarnation = incarnation;
    report.weights_version = 1;
    sidecar.Handle(ReportRead{report}, now, &actions);
  }
  // The id reads that the sidecar requests after the given time has passed.
  std::vector<ReadIdentity> AdvanceBy(Common::Duration time)
  {
    now += time;
    sidecar.OnTick(now, &actions);
    return Take<ReadIdentity>(actions);
  }
  // The id in the next report to the gateway.
  Gateway::TargetId ReportedId()
  {
    actions.clear();
    Report(incarnation);
    Gateway::TargetId id;
    now += Milliseconds(100);
    sidecar.Handle(ReportRead{EngineReport{incarnation, 1}}, now, &actions);
    for (const SendMessage& send : Take<SendMessage>(actions))
    {
      if (const auto* report = std::get_if<Mesh::LoadReport>(&send.message))
        id = report->load.id;
    }
    return id;
  }

  Common::Metrics metrics;
  Holdpost::Sidecar::Sidecar sidecar{
      {{"10.0.0.9", 7700}, "here", {"10.0.0.9", 8000}, "llm", 0, Milliseconds(8000)}, metrics};
  Common::TimePoint now = START;
  Actions actions;
  std::uint64_t incarnation = 1;
};
} // namespace

TEST_CASE("A sidecar reads the id under which its engine is listed")
{
  Fixture f;
  CHECK(f.AdvanceBy(Milliseconds(10)).empty());
  f.Report(1);
  const auto asked = f.AdvanceBy(Milliseconds(10));
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].page == "/who-are-you");
  CHECK(f.ReportedId().empty());

  SUBCASE("once, and sends it with its reports")
  {
    f.sidecar.Handle(IdentityRead{std::string("i-1")}, f.now, &f.actions);
    CHECK(f.ReportedId() == "i-1");
    CHECK(f.AdvanceBy(Milliseconds(2000)).empty());

    SUBCASE("and reads it again after the engine has restarted")
    {
      f.incarnation = 2;
      f.Report(2);
      CHECK(f.ReportedId().empty());
      REQUIRE(f.AdvanceBy(Milliseconds(10)).size() == 1);
      f.sidecar.Handle(IdentityRead{std::string("i-2")}, f.now, &f.actions);
      CHECK(f.ReportedId() == "i-2");
    }
  }
  SUBCASE("but ignores an answer of an earlier incarnation of the engine")
  {
    f.incarnation = 2;
    f.Report(2);
    f.sidecar.Handle(IdentityRead{std::string("i-1")}, f.now, &f.actions);
    CHECK(f.ReportedId().empty());
  }
  SUBCASE("and retries a few times if the engine does not report it")
  {
    std::size_t reads = 0;
    for (int i = 0; i < 20; ++i)
    {
      f.sidecar.Handle(IdentityRead{Common::Error{Common::ErrorKind::SourceBusy, "full"}}, f.now,
                       &f.actions);
      reads += f.AdvanceBy(Milliseconds(400)).size();
    }
    CHECK(reads == 3);
  }
}

namespace
{
// What the next report to the gateway says of the engine.
Gateway::TargetLoad LoadOf(Fixture& f, const EngineReport& report)
{
  Gateway::TargetLoad load;
  f.now += Milliseconds(100);
  f.actions.clear();
  f.sidecar.Handle(ReportRead{report}, f.now, &f.actions);
  f.now += Milliseconds(100);
  f.sidecar.Handle(ReportRead{report}, f.now, &f.actions);
  for (const SendMessage& send : Take<SendMessage>(f.actions))
  {
    if (const auto* sent = std::get_if<Mesh::LoadReport>(&send.message))
      load = sent->load;
  }
  return load;
}

Mesh::Hello HelloOfModel()
{
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.wants_load = true;

  return hello;
}
} // namespace

// A sidecar was killed within a repair.
TEST_CASE("An engine that holds a part of the layers is not reported as one that can serve")
{
  Fixture f;
  f.sidecar.OnPlan({"llm", "m", 4, 1024, Milliseconds(300), {"10.9.0.1", 80}, "here", 0, "", 6},
                   f.now);
  const Gateway::TargetLoad load =
      LoadOf(f, {.incarnation = 1, .weights_version = 2, .orders = 5, .layers = {{{0, 3}, 2}}});
  REQUIRE(load.incarnation == 1);
  CHECK(load.is_switching);
}

// An order of an earlier process of the sidecar is accepted after the first report of the new one.
TEST_CASE("A load that this process did not order is not reported as usable before it is checked")
{
  Fixture f;
  f.sidecar.OnPlan({"llm", "m", 4, 1024, Milliseconds(300), {"10.9.0.1", 80}, "here", 0, "", 6},
                   f.now);
  REQUIRE(LoadOf(f, {.incarnation = 1, .weights_version = 1, .orders = 4}).incarnation == 1);
  const Gateway::TargetLoad load = LoadOf(f, {.incarnation = 1, .weights_version = 2, .orders = 5});
  REQUIRE(load.weights_version == 2);
  CHECK(load.is_switching);
}

// Another process of the sidecar had ordered a load, and its pieces are all correct.
TEST_CASE("A target is not kept from requests once an unexplained load is found to be sound")
{
  Fixture f;
  std::string all;
  std::vector<Common::Bytes> pieces;
  for (char piece = 'a'; piece < 'e'; ++piece)
  {
    pieces.push_back(Common::MakeBytes(std::string(1024, piece)));
    all += *pieces.back();
  }
  const auto manifest =
      Common::MakeBytes(EncodeManifest(Distribution::MakeManifest("m", all, 1024)));
  f.sidecar.OnPlan({"llm", "m", 4, 1024, Milliseconds(300), {"10.9.0.1", 80}, "here", 0, "", 6},
                   f.now);
  f.sidecar.OnPeers({}, f.now, &f.actions);
  f.sidecar.OnWeights({"m", 1}, {f.now});
  EngineReport report{.incarnation = 1, .weights_version = 1, .orders = 4};
  f.sidecar.Handle(ReportRead{report}, f.now, &f.actions);
  report.orders = 5;
  Gateway::TargetLoad load;
  int reads = 0;
  for (int turn = 0; turn < 60; ++turn)
  {
    f.now += Milliseconds(50);
    f.sidecar.OnMessage(GATEWAY, HelloOfModel(), f.now, &f.actions);
    f.sidecar.OnTick(f.now, &f.actions);
    const Actions actions = std::exchange(f.actions, {});
    for (const Action& action : actions)
    {
      if (std::holds_alternative<ReadReport>(action))
        f.sidecar.Handle(ReportRead{report}, f.now, &f.actions);
      if (const auto* fetch = std::get_if<FetchFromOrigin>(&action))
        f.sidecar.Handle(OriginFetched{fetch->id, fetch->piece == Distribution::MANIFEST_PIECE
                                                      ? manifest
                                                      : pieces.at(fetch->piece)},
                         f.now, &f.actions);
      if (std::holds_alternative<ListStaged>(action))
        f.sidecar.Handle(StagedListed{std::vector<std::uint32_t>{0, 1, 2, 3}}, f.now, &f.actions);
      if (const auto* read = std::get_if<ReadStaged>(&action))
      {
        ++reads;
        f.sidecar.Handle(StagedRead{read->ticket, read->piece, pieces.at(read->piece)}, f.now,
                         &f.actions);
      }
      if (const auto* send = std::get_if<SendMessage>(&action))
      {
        if (const auto* sent = std::get_if<Mesh::LoadReport>(&send->message))
          load = sent->load;
      }
    }
  }
  MESSAGE(reads << " reads");
  CHECK(load.weights_version == 1);
  CHECK_FALSE(load.is_switching);
}

// The engine's connection broke while the check waited for the manifest.
TEST_CASE("A load of an earlier process is still to be checked after the engine was out of reach")
{
  Fixture f;
  const EngineReport report{.incarnation = 1, .weights_version = 1, .orders = 4};
  REQUIRE(LoadOf(f, report).is_load_unchecked);
  for (int failures = 0; failures < 3; ++failures)
  {
    f.now += Milliseconds(100);
    f.sidecar.Handle(ReportRead{Common::Error{Common::ErrorKind::SourceBusy, "refused"}}, f.now,
                     &f.actions);
  }
  SUBCASE("if the engine is the same")
  {
    CHECK(LoadOf(f, report).is_load_unchecked);
  }
  SUBCASE("but not if it has started again")
  {
    CHECK_FALSE(LoadOf(f, {.incarnation = 2, .weights_version = 0}).is_load_unchecked);
  }
}
