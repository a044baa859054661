// SPDX-License-Identifier: Apache-2.0
#include <random>

#include <doctest/doctest.h>

#include "Core/Control/ControlFollower.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};

OperatorRead MakeRead(Settings::DocumentVersion version, Position next)
{
  auto document = std::make_shared<Settings::Document>();
  document->version = version;
  return {document, Common::MakeBytes("text"), {}, next};
}

Gateway::ListedTarget MakeTarget(const std::string& id)
{
  Gateway::ListedTarget target;
  target.id = id;
  return target;
}

struct Fixture
{
  ControlFollower follower{{Milliseconds(600), Milliseconds(2500)}, 1};
  Common::TimePoint now = START;
  Actions actions;

  void Tick(Common::Duration time = Milliseconds(0))
  {
    now += time;
    follower.OnTick(now, &actions);
  }
};
} // namespace

TEST_CASE("The newest state is read first, then changes are waited for")
{
  Fixture f;
  f.Tick();
  CHECK(Testing::Only<ReadOperator>(f.actions).at(0).from == 0);
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 0);
  CHECK(f.follower.OnOperatorRead(MakeRead(4, 9), f.now));
  f.Tick();
  const auto reads = Take<ReadOperator>(f.actions);
  REQUIRE(reads.size() == 1);
  CHECK(reads[0].from == 9);
  CHECK(reads[0].wait == Milliseconds(2500));
  f.Tick(Milliseconds(5000));
  CHECK(Take<ReadOperator>(f.actions).empty());
}

TEST_CASE("A platform without a document yet is asked again after a pause")
{
  Fixture f;
  f.Tick();
  f.actions.clear();
  CHECK_FALSE(f.follower.OnOperatorRead(OperatorRead{nullptr, nullptr, {}, 3}, f.now));
  f.Tick();
  CHECK(Take<ReadOperator>(f.actions).empty());
  f.Tick(Milliseconds(200));
  CHECK(Take<ReadOperator>(f.actions).size() == 1);

  SUBCASE("Ever less often, up to once a second")
  {
    std::size_t reads = 0;
    for (int step = 0; step < 500; ++step)
    {
      CHECK_FALSE(f.follower.OnOperatorRead(OperatorRead{nullptr, nullptr, {}, 3}, f.now));
      f.Tick(Milliseconds(10));
      reads += Take<ReadOperator>(f.actions).size();
    }
    CHECK(reads <= 12);
  }
  SUBCASE("Others may rely on it as soon as both reads were answered")
  {
    CHECK_FALSE(f.follower.HasReadAll());
    f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
    CHECK(f.follower.HasReadAll());
  }
}

TEST_CASE("A list of targets from a peer counts if it was read further")
{
  Fixture f;
  f.Tick();
  CHECK_FALSE(f.follower.HasTargets());
  CHECK(f.follower.OfferTargets({0, 20, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}}));
  CHECK(f.follower.HasTargets());
  CHECK(f.follower.Targets().size() == 2);
  CHECK_FALSE(f.follower.OfferTargets({0, 20, {{"c", MakeTarget("c")}}}));
  CHECK(f.follower.Targets().size() == 2);

  // The platform is asked to go on from there.
  f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
  f.actions.clear();
  f.Tick(Milliseconds(1500));
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 20);

  // Without its history the platform tells everything anew; what a peer read before is older.
  f.follower.OnTargetsRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
  CHECK_FALSE(f.follower.OfferTargets({0, 15, {{"c", MakeTarget("c")}}}));
  CHECK(f.follower.Targets().size() == 2);
}

TEST_CASE("One process reads the list for others, which need its changes only")
{
  Fixture reader;
  Fixture other;
  reader.Tick();
  CHECK(reader.follower.OnTargetsRead(
      TargetsRead{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5}, reader.now));
  CHECK(other.follower.OfferTargets(reader.follower.WholeTargets()));
  CHECK(other.follower.Targets() == reader.follower.Targets());

  // Records that only say that a target is there are no news, and are not missed.
  CHECK_FALSE(
      reader.follower.OnTargetsRead(TargetsRead{false, {{"a", MakeTarget("a")}}, 9}, reader.now));
  CHECK(reader.follower.OnTargetsRead(
      TargetsRead{false, {{"a", MakeTarget("a")}, {"b", std::nullopt}, {"c", MakeTarget("c")}}, 12},
      reader.now));
  const TargetsNews news = reader.follower.LastTargetsNews();
  CHECK(news.changes.size() == 2);

  SUBCASE("they come")
  {
    CHECK(other.follower.OfferTargets(news));
    CHECK(other.follower.Targets() == reader.follower.Targets());
    CHECK_FALSE(other.follower.MissesTargets(14, reader.follower.TargetsChanged()));
    CHECK(other.follower.TargetsPosition() == 14);
  }
  SUBCASE("they are lost, which the reader's next beat shows")
  {
    CHECK(other.follower.MissesTargets(14, reader.follower.TargetsChanged()));
    CHECK(reader.follower.OnTargetsRead(TargetsRead{false, {{"d", MakeTarget("d")}}, 15},
                                        reader.now));
    CHECK_FALSE(other.follower.OfferTargets(reader.follower.LastTargetsNews()));
    CHECK(other.follower.OfferTargets(reader.follower.WholeTargets()));
    CHECK(other.follower.Targets() == reader.follower.Targets());
  }
  SUBCASE("a read of one's own that began before is older")
  {
    CHECK(other.follower.OfferTargets(news));
    CHECK_FALSE(
        other.follower.OnTargetsRead(TargetsRead{false, {{"b", MakeTarget("b")}}, 8}, other.now));
    CHECK(other.follower.Targets() == reader.follower.Targets());
  }
}

TEST_CASE("What others are told of the list comes to the same as the list")
{
  Fixture f;
  f.Tick();
  ControlFollower other{{}, 2};
  CHECK(f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}}, 5}, f.now));
  REQUIRE(other.OfferTargets(f.follower.WholeTargets()));
  const auto read = [&](const TargetsRead& targets)
  {
    if (f.follower.OnTargetsRead(targets, f.now))
      CHECK(other.OfferTargets(f.follower.LastTargetsNews()));
    CHECK(other.Targets() == f.follower.Targets());
  };
  SUBCASE("a target that comes and goes within one read")
  {
    read({false, {{"b", MakeTarget("b")}, {"b", std::nullopt}, {"c", MakeTarget("c")}}, 8});
    CHECK(other.Targets().size() == 2);
  }
  SUBCASE("one that goes and comes back")
  {
    read({false, {{"a", std::nullopt}, {"a", MakeTarget("a")}, {"c", MakeTarget("c")}}, 8});
  }
  SUBCASE("one that leaves and is back in its state before")
  {
    Gateway::ListedTarget leaving = MakeTarget("a");
    leaving.state = Gateway::TargetState::Leaving;
    read({false, {{"a", leaving}, {"a", MakeTarget("a")}, {"c", MakeTarget("c")}}, 8});
  }
  SUBCASE("whatever happens to them")
  {
    std::mt19937 random(7);
    Position position = 5;
    for (int round = 0; round < 400; ++round)
    {
      TargetsRead next;
      for (std::uint32_t i = 0; i < random() % 6; ++i)
      {
        const std::string id(1, static_cast<char>('a' + random() % 5));
        Gateway::ListedTarget target = MakeTarget(id);
        target.weights_version = random() % 3;
        target.state = random() % 4 == 0 ? Gateway::TargetState::Leaving : target.state;
        const bool is_gone = random() % 3 == 0;
        next.changes.push_back({id, is_gone ? std::nullopt : std::optional(target)});
      }
      position += next.changes.size();
      next.next = position;
      read(next);
    }
  }
}

TEST_CASE("Who leaves reading to another process asks the platform nothing, and anew afterwards")
{
  Fixture f;
  f.Tick();
  f.actions.clear();
  f.follower.OnOperatorRead(MakeRead(4, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}}, 5}, f.now);
  f.follower.SetReading(false);
  f.Tick(Milliseconds(5000));
  CHECK(f.actions.empty());
  CHECK(f.follower.NextWakeup() == Common::TimePoint::max());
  f.follower.SetReading(true);
  f.Tick();
  CHECK(Testing::Only<ReadOperator>(f.actions).at(0).from == 0);
  // The list too: who read it meanwhile may have kept targets whose records had lapsed.
  CHECK(Testing::Only<ReadTargets>(f.actions).at(0).from == 0);
}

TEST_CASE("Who takes over reading drops what the one before had kept after an outage")
{
  Fixture f;
  f.Tick();
  f.follower.OnTargetsRead(TargetsRead{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5},
                           f.now);
  ControlFollower next{{}, 2};
  REQUIRE(next.OfferTargets(f.follower.WholeTargets()));
  next.SetReading(false);
  // After an outage both records have lapsed; the target "a" is not coming back.
  f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
  f.now += Milliseconds(4000);
  f.follower.OnTargetsRead(TargetsRead{false, {{"a", std::nullopt}, {"b", std::nullopt}}, 7},
                           f.now);
  REQUIRE(f.follower.Targets().size() == 2);
  next.MissesTargets(f.follower.TargetsPosition(), f.follower.TargetsChanged());
  next.SetReading(true);
  Actions actions;
  next.OnTick(f.now, &actions);
  const auto read = Testing::Only<ReadTargets>(actions).at(0);
  // What the platform answers: the whole list, or what has changed since.
  next.OnTargetsRead(read.from == 0 ? TargetsRead{true, {{"b", MakeTarget("b")}}, 8}
                                    : TargetsRead{false, {{"b", MakeTarget("b")}}, 8},
                     f.now);
  REQUIRE(next.Targets().size() == 1);
  CHECK(next.Targets()[0].id == "b");
}

TEST_CASE("Versions only rise, wherever they come from")
{
  Fixture f;
  f.Tick();
  CHECK(f.follower.OnOperatorRead(MakeRead(7, 1), f.now));
  CHECK_FALSE(f.follower.OnOperatorRead(MakeRead(6, 2), f.now));
  auto document = std::make_shared<Settings::Document>();
  document->version = 8;
  CHECK(f.follower.OfferDocument(document, Common::MakeBytes("peer")));
  CHECK_FALSE(f.follower.OnOperatorRead(MakeRead(7, 3), f.now));
  CHECK(f.follower.Version() == 8);
  CHECK(*f.follower.DocumentText() == "peer");
}

TEST_CASE("A position that is gone is given up for the newest state")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 50), f.now);
  f.Tick();
  f.actions.clear();
  f.follower.OnOperatorRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
  f.Tick(Milliseconds(200));
  CHECK(Take<ReadOperator>(f.actions).at(0).from == 0);
  CHECK(f.follower.Version() == 1);
}

TEST_CASE("A platform that fails is asked again with growing pauses")
{
  Fixture f;
  int asked = 0;
  for (int i = 0; i < 100; ++i)
  {
    f.Tick(Milliseconds(50));
    if (!Testing::Only<ReadOperator>(f.actions).empty())
    {
      ++asked;
      f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "503"}, f.now);
    }
    f.actions.clear();
  }
  CHECK(asked >= 6);
  CHECK(asked <= 16);
  CHECK_FALSE(f.follower.IsReachable());
}

TEST_CASE("The list of targets is folded from its changes")
{
  Fixture f;
  f.Tick();
  TargetsRead whole{true, {{"a", MakeTarget("a")}, {"b", MakeTarget("b")}}, 5};
  CHECK(f.follower.OnTargetsRead(whole, f.now));
  CHECK(f.follower.Targets().size() == 2);
  f.actions.clear();
  f.Tick(Milliseconds(599));
  CHECK(Take<ReadTargets>(f.actions).empty());
  f.Tick(Milliseconds(1));
  CHECK(Take<ReadTargets>(f.actions).at(0).from == 5);
  CHECK(f.follower.OnTargetsRead(TargetsRead{false, {{"a", std::nullopt}}, 6}, f.now));
  CHECK(f.follower.Targets().size() == 1);
  SUBCASE("a beat that changes nothing is no news")
  {
    CHECK_FALSE(f.follower.OnTargetsRead(TargetsRead{false, {{"b", MakeTarget("b")}}, 7}, f.now));
  }
  SUBCASE("a failed read takes nobody for gone")
  {
    f.follower.OnTargetsRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
    CHECK(f.follower.Targets().size() == 1);
  }
  SUBCASE("a whole list drops what it leaves out")
  {
    CHECK(f.follower.OnTargetsRead(TargetsRead{true, {}, 8}, f.now));
    CHECK(f.follower.Targets().empty());
  }
}

TEST_CASE("Another process is asked for settings that the platform does not bring in time")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(3, 1), f.now);
  CHECK_FALSE(f.follower.OnPeerVersion(3, f.now).has_value());
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now).has_value());
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now + Milliseconds(200)).has_value());
  CHECK(f.follower.OnPeerVersion(4, f.now + Milliseconds(310)) == Settings::DocumentVersion(3));
  // Not at every report.
  CHECK_FALSE(f.follower.OnPeerVersion(4, f.now + Milliseconds(400)).has_value());
  CHECK(f.follower.OnPeerVersion(4, f.now + Milliseconds(800)).has_value());
}

namespace
{
KnownSince SinceOf(const Fixture& f, std::uint64_t version)
{
  for (const KnownVersion& known : f.follower.Weights().at("m").All())
  {
    if (known.version == version)
      return known.since;
  }
  FAIL("the version is not known");
  return {};
}

OperatorRead NameVersion(std::uint64_t version, Settings::DocumentVersion settings, Position next)
{
  OperatorRead read = MakeRead(settings, next);
  read.weights = {{"m", version}};
  return read;
}
} // namespace

TEST_CASE("A version is named when the platform's answer was sent, not when it came")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("by what the last read of the list took")
  {
    f.Tick(Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(30)});
  }
  SUBCASE("by how long the present one is open already")
  {
    f.Tick(Milliseconds(600));
    f.now += Milliseconds(450);
    f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - Milliseconds(450)});
  }
}

TEST_CASE("A version that was named before the start is as old as it may be")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  CHECK(options.assumed_age == Milliseconds(6000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  f.now += Milliseconds(700);
  SUBCASE("if nobody tells since when it is known")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
    SUBCASE("until a process that knew of the naming tells")
    {
      const KnownSince seen{START - Milliseconds(1000)};
      CHECK(f.follower.OfferWeights({"m", 2}, seen));
      CHECK(SinceOf(f, 2) == seen);
    }
    SUBCASE("and the next one is named when it is read")
    {
      f.Tick();
      f.now += Milliseconds(2000);
      f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
      f.Tick(Milliseconds(1000));
      f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
      f.follower.OnOperatorRead(NameVersion(3, 2, 10), f.now);
      CHECK(SinceOf(f, 3) == KnownSince{f.now});
    }
  }
  SUBCASE("also if another process that does not know it has told of the version before")
  {
    const KnownSince assumed{START - Milliseconds(5500), true};
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now - Milliseconds(100));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("unless another process has told of all versions until a moment ago, but not of it")
  {
    const Common::TimePoint told = f.now - Milliseconds(300);
    f.follower.OnToldAll(told);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    // The list was asked for at the start and has not come yet.
    CHECK(SinceOf(f, 2) == KnownSince{START});
  }
}

TEST_CASE("What the reader before has missed was named after it last told")
{
  constexpr Milliseconds ASSUMED_AGE{6000};
  Fixture f;
  f.follower = ControlFollower({.assumed_age = ASSUMED_AGE}, 1);
  f.follower.SetReading(false);
  f.Tick();
  const Common::TimePoint told = f.now;
  f.follower.OnToldAll(told);
  f.now += Milliseconds(1200);
  f.follower.SetReading(true);
  f.Tick();
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  SUBCASE("if that is not long ago")
  {
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{told});
  }
  SUBCASE("after a long silence it may have been named at any time since")
  {
    f.now += Milliseconds(9000);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{f.now - ASSUMED_AGE, true});
  }
  SUBCASE("but not while the platform refused what was asked")
  {
    f.now += Milliseconds(8000);
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "timeout"}, f.now);
    f.Tick(Milliseconds(200));
    const Common::TimePoint refused = f.now;
    f.follower.OnOperatorRead(Error{ErrorKind::PlatformUnavailable, "down"}, f.now);
    f.Tick(Milliseconds(500));
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == KnownSince{refused});
  }
}

TEST_CASE("A version whose naming nobody saw stays assumed when it is read again")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  const KnownSince assumed{START - Milliseconds(6000), true};
  SUBCASE("by a read that was open when another process told of it")
  {
    f.Tick();
    f.now += Milliseconds(40);
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now);
    f.now += Milliseconds(160);
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("by a process that takes over reading")
  {
    f.follower.SetReading(false);
    f.Tick();
    f.follower.OfferWeights({"m", 2}, assumed);
    f.follower.OnToldAll(f.now);
    f.now += Milliseconds(30000);
    f.follower.OnToldAll(f.now);
    f.now += Milliseconds(1200);
    f.follower.SetReading(true);
    f.Tick();
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
  SUBCASE("by the same process, after its position is gone")
  {
    f.Tick();
    f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
    REQUIRE(SinceOf(f, 2) == assumed);
    f.Tick();
    f.follower.OnOperatorRead(Error{ErrorKind::PositionGone, "gone"}, f.now);
    f.Tick(Milliseconds(300));
    f.follower.OnOperatorRead(NameVersion(2, 1, 20), f.now);
    CHECK(SinceOf(f, 2) == assumed);
  }
}

TEST_CASE("A process that the platform has never answered vouches for no naming")
{
  FollowerOptions options;
  options.assumed_age = AssumedAge(Milliseconds(10000), Milliseconds(4000));
  Fixture f;
  f.follower = ControlFollower(options, 1);
  f.Tick();
  // As GatewayControl tells it of a reader without an answer yet.
  f.follower.OnToldAll(f.now - std::chrono::hours(1));
  f.now += Milliseconds(200);
  f.follower.OnOperatorRead(NameVersion(2, 1, 9), f.now);
  CHECK(SinceOf(f, 2) == KnownSince{START - Milliseconds(6000), true});
}

TEST_CASE("A process that stood still while the list was read takes no later version to be older")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.now += Milliseconds(30);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  f.Tick(Milliseconds(600));
  // Nothing ran, so no answer was under way for so long.
  f.now += Milliseconds(8000);
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.Tick(Milliseconds(100));
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  // A read that gets no byte is given up after a second.
  CHECK(SinceOf(f, 2).time >= f.now - Milliseconds(1000));
}

TEST_CASE("What is read on after others had told was named after they last did")
{
  Fixture f;
  f.Tick();
  f.follower.OnOperatorRead(MakeRead(1, 9), f.now);
  f.follower.OnTargetsRead(TargetsRead{true, {}, 1}, f.now);
  // As in SidecarNode: gateways of the hall tell, and the follower is left alone until they are
  // silent for 1.5 s.
  f.now += Milliseconds(30000);
  const Common::TimePoint told = f.now;
  f.follower.OnToldAll(told);
  f.Tick(Milliseconds(1500));
  f.follower.OnTargetsRead(TargetsRead{false, {}, 1}, f.now);
  f.follower.OnOperatorRead(NameVersion(2, 2, 10), f.now);
  CHECK(SinceOf(f, 2).time <= told);
}
