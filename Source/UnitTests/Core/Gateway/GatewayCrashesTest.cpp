// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Testing::Only;
using Testing::Take;

namespace
{
struct CrashingFixture : GatewayFixture
{
  CrashingFixture()
  {
    SetTargets({MakeTarget("llm-1", "llm", 1), MakeTarget("llm-2", "llm", 1),
                MakeTarget("llm-3", "llm", 1), MakeTarget("llm-4", "llm", 1)});
  }
  TargetId SentTo()
  {
    const auto sent = Take<Dispatch>(actions);
    REQUIRE(sent.size() == 1);
    return sent[0].target;
  }
  void Lose(RequestNumber number, AttemptEnd end = AttemptEnd::ClosedEarly)
  {
    Feed(AttemptFailed{number, AttemptFailure::Lost, {}, end});
  }
  void EndEngine(const TargetId& id)
  {
    for (const ListedTarget& target : listed)
    {
      if (target.id == id)
        gateway.OnEngineEnd({target.address, id, 0}, now, &actions);
    }
  }
  // The number of engines that crashed under the requests, which all have the same content.
  std::size_t Crashes()
  {
    const auto all = gateway.CrashLedger().All(now);
    return all.empty() ? 0 : all[0].crashes.size();
  }
  // What another gateway knows after three crashes.
  std::vector<Crashes::CrashRecord> ToldByOther()
  {
    Crashes::CrashRecord record;
    record.cause = FingerprintOf("firm", "api.example", {});
    record.crashes = {{1, Milliseconds(90)}, {2, Milliseconds(60)}, {3, Milliseconds(30)}};
    return {record};
  }
};
} // namespace

TEST_CASE("A gateway counts the engines that crash under a request")
{
  CrashingFixture f;
  const RequestNumber number = f.Arrive("/chat/");
  const TargetId first = f.SentTo();

  SUBCASE("that have ended")
  {
    f.Lose(number);
    CHECK(f.Crashes() == 0);
    f.EndEngine(first);
    CHECK(f.Crashes() == 1);
  }
  SUBCASE("but none that runs on")
  {
    f.Lose(number, AttemptEnd::Reset);
    f.Advance(Milliseconds(8000));
    f.EndEngine(first);
    CHECK(f.Crashes() == 0);
  }
  SUBCASE("but none that ends as planned")
  {
    std::vector<ListedTarget> list = f.listed;
    for (ListedTarget& target : list)
      target.state = target.id == first ? TargetState::Leaving : target.state;
    f.SetTargets(list);
    f.Lose(number);
    f.EndEngine(first);
    CHECK(f.Crashes() == 0);
  }
  SUBCASE("but none whose answer is no answer")
  {
    f.Lose(number, AttemptEnd::BadAnswer);
    f.EndEngine(first);
    CHECK(f.Crashes() == 0);
  }
  SUBCASE("nor one whose answer has no end")
  {
    f.Lose(number, AttemptEnd::TooManyBytes);
    f.EndEngine(first);
    CHECK(f.Crashes() == 0);
  }
  SUBCASE("until one answers it whole")
  {
    f.Lose(number);
    f.EndEngine(first);
    f.Feed(f.Began(number));
    f.Feed(AnswerEnded{number});
    CHECK(f.Crashes() == 0);
  }
}

TEST_CASE("A request that has crashed three engines is sent to none")
{
  CrashingFixture f;
  SUBCASE("when it comes again")
  {
    f.gateway.OnCrashRecords(f.ToldByOther(), f.now, &f.actions);
    f.Arrive("/chat/");
    CHECK(Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::CrashesTargets);
    CHECK_FALSE(refused[0].error.retry_after.has_value());
    // The same content of another organisation is another request.
    f.Arrive("/chat/", "key-2");
    CHECK(Only<Dispatch>(f.actions).size() == 1);
  }
  SUBCASE("and is taken back where it lies, without a promise that it has not run")
  {
    f.Arrive("/chat/");
    f.actions.clear();
    f.gateway.OnCrashRecords(f.ToldByOther(), f.now, &f.actions);
    CHECK(Only<CancelAttempt>(f.actions).size() == 1);
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::Unreachable);
  }
  SUBCASE("and does not wait for one either")
  {
    for (int i = 0; i < 8; ++i)
      f.Arrive("/chat/");
    f.SetTargets({});
    f.Arrive("/chat/");
    f.actions.clear();
    f.gateway.OnCrashRecords(f.ToldByOther(), f.now, &f.actions);
    f.Advance(Milliseconds(0));
    CHECK(f.gateway.OpenRequests() == 0);
  }
}

TEST_CASE("A request that has crashed two engines is not sent on by the gateway itself")
{
  CrashingFixture f;
  auto told = f.ToldByOther();
  told[0].crashes.pop_back();
  f.gateway.OnCrashRecords(told, f.now, &f.actions);
  SUBCASE("but goes to the engine with the least work when its caller sends it again")
  {
    TargetLoad busy;
    busy.running = 1;
    for (const ListedTarget& target : f.listed)
    {
      busy.address = target.address;
      busy.running = target.id == "llm-3" ? 0 : 1;
      f.gateway.OnTargetLoad(busy, f.now, &f.actions);
    }
    f.Arrive("/chat/");
    CHECK(f.SentTo() == "llm-3");
  }
  SUBCASE("after a lost answer")
  {
    const RequestNumber number = f.Arrive("/chat/");
    f.actions.clear();
    f.Lose(number);
    CHECK(Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::Unreachable);
  }
}

TEST_CASE("A gateway that stood still sends nothing until it has read what others sent")
{
  CrashingFixture f;
  f.gateway.HoldDispatch(f.now + Milliseconds(150));
  f.Arrive("/chat/");
  CHECK(Only<Dispatch>(f.actions).empty());

  SUBCASE("and then serves what came meanwhile")
  {
    f.Advance(Milliseconds(150));
    CHECK(Only<Dispatch>(f.actions).size() == 1);
  }
  // Regression: a late tick refused everything that was held.
  SUBCASE("and then serves what came meanwhile, however late it is run")
  {
    f.SetTargets({MakeTarget("llm-1", "llm", 1), MakeTarget("desk-1", "desk")});
    f.Arrive("/status/");
    f.Advance(Milliseconds(180));
    CHECK(Only<Dispatch>(f.actions).size() == 2);
    CHECK(Only<Refuse>(f.actions).empty());
  }
  SUBCASE("and refuses what crashes engines as not run")
  {
    f.gateway.OnCrashRecords(f.ToldByOther(), f.now, &f.actions);
    f.Advance(Milliseconds(150));
    CHECK(Only<Dispatch>(f.actions).empty());
    const auto refused = Take<Refuse>(f.actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::CrashesTargets);
  }
}
