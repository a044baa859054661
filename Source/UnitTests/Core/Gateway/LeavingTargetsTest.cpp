// SPDX-License-Identifier: Apache-2.0
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "GatewayFixture.h"

using namespace Holdpost;
using namespace Holdpost::Gateway;
using Testing::Only;
using Testing::Take;

namespace
{
ListedTarget WithIncarnation(ListedTarget target, std::uint64_t incarnation)
{
  target.incarnation = incarnation;
  return target;
}

// A gateway before two plain targets, of which one is asked and says in its answer that it leaves.
struct LeavingFixture : GatewayFixture
{
  LeavingFixture()
  {
    SetTargets({WithIncarnation(MakeTarget("desk-1", "desk"), 7),
                WithIncarnation(MakeTarget("desk-2", "desk"), 7)});
    const RequestNumber number = Arrive("/status/a");
    leaving = Take<Dispatch>(actions).at(0).target;
    Feed(AnswerHead{number, false, false, true});
  }
  // The targets that the next requests are sent to.
  std::set<TargetId> SentTo()
  {
    std::set<TargetId> targets;
    for (int i = 0; i < 8; ++i)
    {
      Arrive("/status/a");
      for (const Action& action : std::exchange(actions, {}))
      {
        if (const auto* dispatch = std::get_if<Dispatch>(&action))
          targets.insert(dispatch->target);
      }
    }
    return targets;
  }

  TargetId leaving;
};
} // namespace

TEST_CASE("A target that has said that it leaves gets no more requests")
{
  LeavingFixture f;
  const TargetId other = f.leaving == "desk-1" ? "desk-2" : "desk-1";
  CHECK(Only<ReportLeaving>(f.actions).at(0).target == LeavingTarget{f.leaving, 7});
  f.actions.clear();
  CHECK(f.SentTo() == std::set<TargetId>{other});

  SUBCASE("although a list says that it is ready")
  {
    f.SetTargets(f.listed);
    CHECK(f.SentTo() == std::set<TargetId>{other});
  }
  SUBCASE("although it was missing from the list for a while")
  {
    const auto listed = f.listed;
    f.SetTargets({});
    f.Advance(std::chrono::minutes(5));
    f.SetTargets(listed);
    CHECK(f.SentTo() == std::set<TargetId>{other});
  }
  SUBCASE("until it has started again")
  {
    auto listed = f.listed;
    for (ListedTarget& target : listed)
      target.incarnation = 8;
    f.SetTargets(listed);
    CHECK(f.SentTo().contains(f.leaving));
    // What another gateway heard of its earlier incarnation does not concern it.
    f.gateway.OnLeavingTargets({{f.leaving, 7}}, f.now);
    CHECK(f.SentTo().contains(f.leaving));
  }
  SUBCASE("nor does one of which another gateway knows")
  {
    f.gateway.OnLeavingTargets({{other, 7}}, f.now);
    CHECK(f.SentTo().empty());
  }
}

TEST_CASE("A target whose agent says that it leaves gets no more requests")
{
  GatewayFixture f;
  TargetLoad load{f.listed[1].address};
  load.weights_version = 1;
  f.gateway.OnTargetLoad(load, f.now, &f.actions);
  load.address = f.listed[0].address;
  load.is_leaving = true;
  f.gateway.OnTargetLoad(load, f.now, &f.actions);
  f.Arrive("/chat/a");
  CHECK(Take<Dispatch>(f.actions).at(0).target == "llm-2");
  // A later report of an agent that has just started and knows nothing does not change that.
  load.is_leaving = false;
  f.gateway.OnTargetLoad(load, f.now, &f.actions);
  f.Arrive("/chat/a");
  CHECK(Take<Dispatch>(f.actions).at(0).target == "llm-2");
}

TEST_CASE("An answer of another target at the address tells nothing of the chosen one")
{
  GatewayFixture f;
  const RequestNumber number = f.Arrive("/status/a");
  const TargetId chosen = Take<Dispatch>(f.actions).at(0).target;
  f.Feed(AnswerHead{number, false, true, true});
  CHECK(f.gateway.Targets().Leaving().empty());
  // The other one may be on the list, too.
  ListedTarget next = MakeTarget("desk-9", "desk");
  next.address = f.listed[chosen == "desk-1" ? 2 : 3].address;
  auto listed = f.listed;
  listed.push_back(next);
  f.SetTargets(listed);
  f.Feed(AnswerHead{number, false, true, true});
  CHECK(f.gateway.Targets().Leaving() == std::vector<LeavingTarget>{{"desk-9", 0}});
}

TEST_CASE("When all targets of a service leave, requests are refused at once")
{
  GatewayFixture f;
  f.gateway.OnLeavingTargets({{"desk-1", 0}, {"desk-2", 0}}, f.now);
  f.Arrive("/status/a");
  const Refuse refuse = Take<Refuse>(f.actions).at(0);
  CHECK(Common::AnswerFor(refuse.error.kind).outcome == Common::Outcome::NotRun);
  CHECK(refuse.error.retry_after.has_value());
}

TEST_CASE("The memory of leaving targets is bounded")
{
  LeavingTargets leaving;
  for (int i = 0; i < 20000; ++i)
    leaving.Add({fmt::format("i-{}", i), 1}, START + Milliseconds(i));
  CHECK(leaving.All().size() == 8192);
  CHECK(leaving.Contains("i-19999", 1));
  CHECK_FALSE(leaving.Contains("i-0", 1));
}
