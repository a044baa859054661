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
