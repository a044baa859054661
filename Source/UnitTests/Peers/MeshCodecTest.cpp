// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Mesh/MeshCodec.h"

using namespace Holdpost;
using Common::Milliseconds;

namespace
{
const Mesh::Sender FROM{"front-1", "oslo-a", {"10.1.0.4", 7700}, 42};

template <typename T>
T There(const T& message)
{
  const auto envelope = MeshPeer::Decode(MeshPeer::Encode(FROM, message));
  REQUIRE(envelope.has_value());
  CHECK(envelope->from.instance == FROM.instance);
  CHECK(envelope->from.hall == FROM.hall);
  CHECK(envelope->from.address == FROM.address);
  CHECK(envelope->from.incarnation == FROM.incarnation);
  return std::get<T>(envelope->message);
}
} // namespace

TEST_CASE("Mesh messages come as they were sent")
{
  SUBCASE("hello")
  {
    Mesh::Hello hello;
    hello.is_gateway = true;
    hello.settings = 17;
    hello.weights = {{{"m", 3}, Milliseconds(250)}};
    hello.plan = {"svc",      "m",    96,       24576, Milliseconds(300), {"10.9.0.1", 80},
                  "bergen-a", 912500, "/health"};
    hello.peers = {{{"10.1.0.5", 7700}, "oslo-a"}, {{"10.2.0.5", 7700}, "bergen-a"}};
    hello.clock = Milliseconds(123456);
    hello.wants_load = true;
    hello.stamp = {17, 40};
    hello.near_gateways = 13;
    hello.demand = {120, 0.25};
    hello.crashes = 0xfedcba9876543210;
    const Mesh::Hello got = There(hello);
    CHECK(got.is_gateway);
    CHECK(got.settings == 17);
    CHECK(got.weights[0].named == hello.weights[0].named);
    CHECK(got.weights[0].known == Milliseconds(250));
    CHECK(got.plan == hello.plan);
    CHECK(got.peers == hello.peers);
    CHECK(got.clock == hello.clock);
    CHECK(got.wants_load);
    CHECK(got.stamp == hello.stamp);
    CHECK(got.near_gateways == 13);
    CHECK(got.crashes == hello.crashes);
    CHECK(got.demand.arrivals_per_second == 120);
    CHECK(got.demand.refused_share == doctest::Approx(0.25));
  }
  SUBCASE("load report")
  {
    Mesh::LoadReport report;
    report.load.address = {"10.1.0.5", 8001};
    report.load.running = 12;
    report.load.queued = 3;
    report.load.demand = {900, 80, 0.5};
    report.load.unread_prompt_tokens = 0;
    report.load.weights_version = 2;
    report.load.is_switching = true;
    report.load.next_version = 3;
    report.load.is_load_unchecked = true;
    report.load.id = "i-7f3a91c2";
    report.load.switch_in = Milliseconds(0);
    report.load.pace = 1.25;
    report.load.inbound_delay = Milliseconds(310);
    report.load.rate_limit = 0.7;
    report.load.permits = 2;
    report.load.weights_forecast = {4, Milliseconds(2600), true};
    report.gateways = 7;
    report.stamp = {16, 38};
    report.settings = 99;
    report.settings_at = {"10.1.0.4", 7700};
    report.weights = {{{"m", 2}, Milliseconds(2300)}, {{"m", 3}, Milliseconds(300)}};
    report.near_gateways = {{"10.1.0.4", 7700}, {"10.1.0.5", 7700}};
    report.echo = Milliseconds(1000);
    report.echo_age = Milliseconds(40);
    report.read_age = Milliseconds(0);
    report.crashes = 12;
    const Mesh::LoadReport got = There(report);
    CHECK(got.load == report.load);
    CHECK(got.gateways == 7);
    CHECK(got.stamp == report.stamp);
    CHECK(got.settings == 99);
    CHECK(got.settings_at == report.settings_at);
    REQUIRE(got.weights.size() == 2);
    CHECK(got.weights[1].named == report.weights[1].named);
    CHECK(got.weights[1].known == Milliseconds(300));
    CHECK_FALSE(got.weights[1].is_assumed);
    CHECK(got.near_gateways == report.near_gateways);
    CHECK(got.echo == report.echo);
    CHECK(got.echo_age == report.echo_age);
    CHECK(got.read_age == report.read_age);
    CHECK(got.crashes == 12);
  }
  SUBCASE("the work of a gateway")
  {
    CHECK(There(Mesh::WorkUpdate{{3, 4200}}).work == Gateway::GatewayWork{3, 4200});
  }
  SUBCASE("pieces and their announcement")
  {
    const Common::Digest version = Common::Sha256("v");
    Distribution::Announcement announcement{version, 96, true, true, "bits", {1, 2}, {3}};
    const auto announced = There(Mesh::Announce{announcement}).announcement;
    CHECK(announced.version == version);
    CHECK(announced.bitmap == "bits");
    CHECK(announced.pieces == announcement.pieces);
    CHECK(announced.claimed == announcement.claimed);
    CHECK(There(Mesh::PieceRequest{5, version, 7}).piece == 7);
    const auto told = There(Mesh::PieceReply{5, Common::MakeBytes(std::string(24576, 'z'))});
    CHECK(*std::get<Common::Bytes>(told.result) == std::string(24576, 'z'));
    const auto refused = There(Mesh::PieceReply{
        6, Common::Error{Common::ErrorKind::SourceBusy, "busy", Milliseconds(30)}});
    CHECK(std::get<Common::Error>(refused.result).kind == Common::ErrorKind::SourceBusy);
    CHECK(std::get<Common::Error>(refused.result).retry_after == Milliseconds(30));
  }
  SUBCASE("documents")
  {
    CHECK(There(Mesh::DocumentRequest{12}).newer_than == 12);
    const auto told = There(Mesh::DocumentUpdate{
        13, 11, Common::MakeBytes("packed"), {{{"m", 2}, Milliseconds(70), true}}});
    REQUIRE(told.weights.size() == 1);
    CHECK(told.weights[0].named.version == 2);
    CHECK(told.weights[0].is_assumed);
    CHECK(told.version == 13);
    CHECK(told.base == 11);
    CHECK(*told.packed == "packed");
  }
  SUBCASE("lists of targets")
  {
    CHECK(There(Mesh::TargetsRequest{12}).newer_than == 12);
    Gateway::ListedTarget model{"i-1", "svc", "oslo-a", {"10.1.0.9", 8001}, 16};
    model.weights_version = 3;
    model.needs_weights = true;
    Gateway::ListedTarget leaving{"i-2", "files", "bergen-a", {"10.2.0.9", 8001}, 6};
    leaving.state = Gateway::TargetState::Leaving;
    const Control::TargetListChanges news{
        38,
        40,
        {{"i-1", model, Control::Removal::Gone, {4, 0, 57}},
         {"i-2", leaving},
         {"i-3", std::nullopt, Control::Removal::Gone, {4, 1788408695000, 9}}}};
    const Control::TargetListChanges told = There(Mesh::TargetsUpdate{news}).news;
    CHECK(told.base == 38);
    CHECK(told.position == 40);
    CHECK(told.changes == news.changes);
  }
  SUBCASE("who the gateways of a hall are")
  {
    CHECK(There(Mesh::GatewaysRequest{true}).is_gateway);
    CHECK_FALSE(There(Mesh::GatewaysRequest{false}).is_gateway);
    const std::vector<Common::Address> gateways = {{"10.1.0.4", 7700}, {"10.1.0.5", 7700}};
    CHECK(There(Mesh::GatewaysReply{gateways}).gateways == gateways);
    There(Mesh::BriefingRequest{});
  }
  SUBCASE("requests that crash engines, and engines that have ended")
  {
    const Crashes::CrashRecord counted{
        Gateway::FingerprintOf("firm", "api.example", Common::Sha256("body")),
        {{11, Milliseconds(40)}, {12, Milliseconds(0)}},
        {}};
    const Crashes::CrashRecord cleared{
        Gateway::FingerprintOf("firm", "api.example", Common::Sha256("other")),
        {},
        Milliseconds(0)};
    const Crashes::CrashRecord part{Crashes::PromptPartOf("llm", "5c1e07a2"),
                                    {{13, Milliseconds(40), Milliseconds(300), 0xfedcba98}},
                                    {},
                                    2,
                                    true};
    CHECK(There(Mesh::CrashRecords{{counted, cleared, part}}).records ==
          std::vector{counted, cleared, part});
    CHECK(There(Mesh::CrashRecordsAnswer{{counted, part}}).records == std::vector{counted, part});
    There(Mesh::CrashRecordsRequest{});
    const Crashes::EngineEnd end{{"10.1.0.9", 8001}, "i-1", 1788408695000};
    CHECK(There(Mesh::EngineEnded{end}).end == end);
  }
  SUBCASE("a rate limit that a target has named, or none any more")
  {
    CHECK(There(Mesh::LimitUpdate{0.7}).per_second == 0.7);
    CHECK_FALSE(There(Mesh::LimitUpdate{}).per_second.has_value());
  }
  SUBCASE("targets that have said that they leave")
  {
    const std::vector<Gateway::LeavingTarget> leaving = {{"i-1", 1788408695000}, {"i-2", 0}};
    CHECK(There(Mesh::LeavingTargets{leaving}).targets == leaving);
  }
  SUBCASE("a reader's beat")
  {
    const Mesh::ReaderBeat beat{40, 38, 17, {{{"m", 3}, Milliseconds(250)}}, Milliseconds(90)};
    const Mesh::ReaderBeat got = There(beat);
    CHECK(got.targets == 40);
    CHECK(got.targets_changed == 38);
    CHECK(got.settings == 17);
    CHECK(got.weights.at(0).named.version == 3);
    CHECK(got.answer_age == Milliseconds(90));
  }
}

// Guards against counts and times that come as small ones because the message has fewer bits.
TEST_CASE("Numbers that are too large for a message come as the largest that it holds")
{
  static constexpr std::uint32_t MAX_COUNT = 65535;
  Mesh::LoadReport report;
  report.load.running = report.load.queued = 65536;
  report.gateways = 65537;
  report.load.pace = 1e300;
  report.load.unread_prompt_tokens = UINT32_MAX;
  report.echo_age = Milliseconds(1LL << 33);
  report.load.switch_in = Milliseconds(1LL << 40);
  const Mesh::LoadReport got = There(report);
  CHECK(got.load.running == MAX_COUNT);
  CHECK(got.load.queued == MAX_COUNT);
  CHECK(got.gateways == MAX_COUNT);
  CHECK(got.load.pace > 600);
  CHECK(got.load.unread_prompt_tokens.value_or(0) >= UINT32_MAX - 1);
  CHECK(got.echo_age >= Milliseconds(UINT32_MAX - 1));
  REQUIRE(got.load.switch_in.has_value());
  CHECK(*got.load.switch_in >= Milliseconds(UINT32_MAX - 1));
  report.load.pace = 1e-300;
  CHECK(There(report).load.pace > 0);
  CHECK(There(Mesh::WorkUpdate{{65536, 1}}).work.requests == MAX_COUNT);
  Gateway::ListedTarget target{"i-1", "svc", "oslo-a", {"10.1.0.9", 8001}, 65536};
  const auto told =
      There(Mesh::TargetsUpdate{{1, 2, {{"i-1", target, Control::Removal::Gone, {}}}}});
  CHECK(told.news.changes.at(0).target->slots == MAX_COUNT);
  target.slots = 0;
  const auto none =
      There(Mesh::TargetsUpdate{{1, 2, {{"i-1", target, Control::Removal::Gone, {}}}}});
  CHECK(none.news.changes.at(0).target->slots == 1);
}

// Guards against memory that is taken by a number of pieces that no weights have.
TEST_CASE("A plan of more or larger pieces than weights may have is no plan")
{
  Mesh::Hello hello;
  hello.plan = {"svc", "m", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "bergen-a"};
  CHECK(There(hello).plan == hello.plan);
  hello.plan.pieces = 4'000'000'000;
  CHECK(There(hello).plan.model.empty());
  hello.plan.pieces = 96;
  hello.plan.piece_bytes = 4'000'000'000;
  CHECK(There(hello).plan.model.empty());
}

TEST_CASE("Bytes that are no message are dropped")
{
  CHECK_FALSE(MeshPeer::Decode("").has_value());
  CHECK_FALSE(MeshPeer::Decode("not a message at all").has_value());
  std::string cut = MeshPeer::Encode(FROM, Mesh::DocumentRequest{1});
  cut.resize(cut.size() / 2);
  CHECK_FALSE(MeshPeer::Decode(cut).has_value());
}

TEST_CASE("A load report fits into a datagram with as many versions of a model as are kept")
{
  Mesh::LoadReport report;
  report.load.id = "i-0123456789";
  report.near_gateways.assign(40, {"10.1.0.4", 7700});
  const std::size_t without = MeshPeer::Encode(FROM, report).size();
  for (std::uint64_t version = 1; version <= Control::NamedVersions::MAX_VERSIONS; ++version)
    report.weights.push_back({{"fundi-model-large", version}, Milliseconds(500 * version), false});
  const std::size_t with = MeshPeer::Encode(FROM, report).size();
  MESSAGE("report with 40 gateways: " << without << " bytes, with all versions " << with);
  CHECK(with < 1400);
}

TEST_CASE("A hello fits into a datagram for the sizes of today")
{
  Mesh::Hello hello;
  hello.is_gateway = true;
  hello.plan = {"service", "model", 96, 24576, Milliseconds(300), {"10.9.0.1", 80}, "bergen-a"};
  for (std::uint16_t i = 0; i < 60; ++i)
    hello.peers.push_back({{"10.1.0." + std::to_string(i), 7700}, "hall-" + std::to_string(i % 3)});
  CHECK(MeshPeer::Encode(FROM, hello).size() < 1400);
}
