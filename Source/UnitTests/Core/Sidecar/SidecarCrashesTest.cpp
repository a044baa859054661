// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Sidecar/Sidecar.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Address;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
const Mesh::Sender FIRST{"front-1", "here", {"10.0.0.1", 7700}, 1};
const Mesh::Sender SECOND{"front-2", "there", {"10.0.0.2", 7700}, 1};
const Address TARGET{"10.0.1.1", 8001};

// A sidecar whose engine runs, and two gateways.
struct Fixture
{
  Fixture()
  {
    Hello(FIRST, 0);
    Hello(SECOND, 0);
    ReadReport(5);
    actions.clear();
  }
  void Hello(const Mesh::Sender& from, std::uint64_t crashes)
  {
    Mesh::Hello hello;
    hello.is_gateway = true;
    hello.crashes = crashes;
    sidecar.OnMessage(from, hello, now, &actions);
  }
  void ReadReport(std::uint64_t incarnation)
  {
    EngineReport report;
    report.incarnation = incarnation;
    report.weights_version = 1;
    sidecar.Handle(ReportRead{report}, now, &actions);
  }
  void FailReport()
  {
    sidecar.Handle(ReportRead{Common::Error{Common::ErrorKind::Unreachable, "refused"}}, now,
                   &actions);
  }
  void Advance(Milliseconds time)
  {
    now += time;
    sidecar.OnTick(now, &actions);
  }
  template <typename Typed>
  std::vector<std::pair<Address, Typed>> TakeSent()
  {
    std::vector<std::pair<Address, Typed>> typed;
    for (const SendMessage& sent : Take<SendMessage>(actions))
    {
      if (const auto* message = std::get_if<Typed>(&sent.message))
        typed.emplace_back(sent.to, *message);
    }
    return typed;
  }
  static std::vector<Crashes::CrashRecord> Records(const std::string& body)
  {
    return {{Gateway::FingerprintOf("firm", "api.example", Common::Sha256(body)),
             {{1, Milliseconds(0)}},
             {}}};
  }

  Common::Metrics metrics;
  Common::TimePoint now = START;
  Actions actions;
  Holdpost::Sidecar::Sidecar sidecar{{{"10.0.1.1", 7700}, "here", TARGET, "llm"}, metrics};
};
} // namespace

TEST_CASE("A sidecar tells all gateways when its engine ends without notice")
{
  Fixture f;
  SUBCASE("and does not answer any more")
  {
    f.FailReport();
    f.FailReport();
    CHECK(f.TakeSent<Mesh::EngineEnded>().empty());
    f.FailReport();
    const auto told = f.TakeSent<Mesh::EngineEnded>();
    REQUIRE(told.size() == 2);
    CHECK(told[0].first == FIRST.address);
    CHECK(told[0].second.end.target == TARGET);
    CHECK(told[0].second.end.incarnation == 5);
    // Repeated, but not for as long as the engine is down.
    for (int i = 0; i < 20; ++i)
      f.FailReport();
    CHECK(f.TakeSent<Mesh::EngineEnded>().size() == 2 * 3);
  }
  SUBCASE("and has started again already")
  {
    f.ReadReport(6);
    const auto told = f.TakeSent<Mesh::EngineEnded>();
    REQUIRE(told.size() == 2);
    CHECK(told[0].second.end.incarnation == 5);
    f.ReadReport(6);
    CHECK(f.TakeSent<Mesh::EngineEnded>().empty());
  }
}

TEST_CASE("A sidecar passes crash records on between gateways")
{
  Fixture f;
  f.sidecar.OnMessage(FIRST, Mesh::CrashRecords{Fixture::Records("one")}, f.now, &f.actions);
  f.sidecar.OnMessage(SECOND, Mesh::CrashRecords{Fixture::Records("two")}, f.now, &f.actions);
  f.Advance(Milliseconds(100));
  const auto told = f.TakeSent<Mesh::CrashRecords>();
  REQUIRE(told.size() == 2);
  CHECK(told[0].second.records.size() == 2);
  CHECK(told[1].second.records == told[0].second.records);

  SUBCASE("and gives all of them to a gateway that has just started")
  {
    f.Hello({"front-3", "here", {"10.0.0.3", 7700}, 1}, 0);
    const auto given = f.TakeSent<Mesh::CrashRecords>();
    REQUIRE(given.size() == 1);
    CHECK(given[0].first == Address{"10.0.0.3", 7700});
    CHECK(given[0].second.records.size() == 2);
  }
  SUBCASE("and nothing to one that has them")
  {
    f.Hello(FIRST, f.sidecar.CrashLedger().StateHash());
    CHECK(f.TakeSent<Mesh::CrashRecords>().empty());
  }
}
