// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <set>

#include "Core/Sidecar/StageManager.h"
#include "Core/Sidecar/SwitchSchedule.h"
#include "Core/Sidecar/WeightsLoader.h"
#include "Support/Actions.h"

using namespace Holdpost;
using namespace Holdpost::Sidecar;
using Common::Bytes;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Testing::Take;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr std::uint32_t PIECES = 4;
constexpr std::uint32_t PIECE_BYTES = 1024;

// A swarm that holds all pieces of a version.
struct Weights
{
  Weights()
  {
    std::string all;
    for (std::uint32_t i = 0; i < PIECES; ++i)
    {
      pieces.push_back(Common::MakeBytes(std::string(PIECE_BYTES, static_cast<char>('a' + i))));
      all += *pieces.back();
    }
    const auto manifest =
        Common::MakeBytes(EncodeManifest(Distribution::MakeManifest("m", all, PIECE_BYTES)));
    Distribution::SwarmOptions options;
    swarm = std::make_unique<Distribution::Swarm>(
        Common::Sha256(*manifest), Distribution::Fetcher{"self", "here"}, options, 1, &shared);
    Distribution::Actions actions;
    swarm->SetPeers({}, {}, START, &actions);
    swarm->OnViewConfirmed(START, &actions);
    while (!swarm->IsHeld())
    {
      for (const auto& fetch : Take<Distribution::FetchPiece>(actions))
      {
        const bool is_manifest = fetch.piece == Distribution::MANIFEST_PIECE;
        swarm->OnFetched(fetch.id, is_manifest ? manifest : pieces[fetch.piece], START, &actions);
      }
      swarm->OnTick(START + Milliseconds(5000), &actions);
    }
  }

  std::vector<Bytes> pieces;
  Distribution::SwarmShared shared;
  std::unique_ptr<Distribution::Swarm> swarm;
};

// Executes the manager's calls on an engine whose stage is a map.
void ExecuteCalls(StageManager& manager, const Weights& weights,
                  std::map<std::uint32_t, Bytes>& stage)
{
  for (int turn = 0; turn < 100; ++turn)
  {
    StageActions actions;
    manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    for (const StageAction& action : actions)
    {
      if (const auto* put = std::get_if<StagePiece>(&action))
      {
        stage[put->piece] = put->data;
        manager.OnStaged({put->ticket, put->piece, std::monostate()}, START);
      }
      if (const auto* get = std::get_if<ReadStaged>(&action))
      {
        const auto found = stage.find(get->piece);
        manager.OnRead({get->ticket, get->piece,
                        found == stage.end() ? Common::Result<Bytes>(Error{ErrorKind::NotFound, ""})
                                             : Common::Result<Bytes>(found->second)},
                       *weights.swarm, START);
      }
    }
    if (actions.empty())
      return;
  }
}

// A manager that has found all pieces of version 1 on the stage.
StageManager FoundStage()
{
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  for (std::uint32_t piece = 0; piece < PIECES; ++piece)
    manager.OnFound(piece);
  return manager;
}
} // namespace

TEST_CASE("The stage is filled and verified by reading it back")
{
  const Weights weights;
  StageManager manager;
  std::map<std::uint32_t, Bytes> stage;
  manager.SetVersion("m", 2, PIECES);
  ExecuteCalls(manager, weights, stage);
  CHECK(manager.IsStaged());
  CHECK(manager.Verified().has_value());

  SUBCASE("a piece that is corrupted on the stage is detected by the next verification and staged "
          "again")
  {
    stage[2] = Common::MakeBytes("spoilt");
    manager.VerifyAgain();
    CHECK_FALSE(manager.Verified().has_value());
    ExecuteCalls(manager, weights, stage);
    CHECK(manager.Verified().has_value());
    CHECK(*stage[2] == *weights.pieces[2]);
  }
  SUBCASE("another version starts from nothing: no piece of it is staged")
  {
    manager.SetVersion("m", 3, PIECES);
    CHECK_FALSE(manager.IsStaged());
    CHECK_FALSE(manager.Verified().has_value());
  }
}

TEST_CASE("Pieces that are already on the stage are not staged again, but verified")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  CHECK(Testing::Only<StagePiece>(actions).empty());
  CHECK_FALSE(Take<ReadStaged>(actions).empty());
}

TEST_CASE("A piece that the engine did not accept is staged again after a pause")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto first = Take<StagePiece>(actions);
  REQUIRE_FALSE(first.empty());
  manager.OnStaged({first[0].ticket, first[0].piece, Error{ErrorKind::Unreachable, ""}}, START);
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  CHECK(Take<StagePiece>(actions).empty());
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START + Milliseconds(150), &actions);
  CHECK(Take<StagePiece>(actions).at(0).piece == first[0].piece);
}

TEST_CASE("Answers of calls that were made before the state changed do not count")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto reads = Take<ReadStaged>(actions);
  REQUIRE_FALSE(reads.empty());

  SUBCASE("a reading of the verification before")
  {
    manager.VerifyAgain();
    manager.OnRead({reads[0].ticket, reads[0].piece, weights.pieces[reads[0].piece]},
                   *weights.swarm, START);
    CHECK(manager.VerifiedCount() == 0);
    manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    CHECK(Take<ReadStaged>(actions).at(0).piece == reads[0].piece);
  }
  SUBCASE("a reading of another version")
  {
    manager.SetVersion("m", 2, PIECES);
    manager.OnRead({reads[0].ticket, reads[0].piece, weights.pieces[reads[0].piece]},
                   *weights.swarm, START);
    CHECK(manager.StagedCount() == 0);
  }
  SUBCASE("a write of another version: the piece is not written again until it has ended")
  {
    StageManager writer;
    writer.SetVersion("m", 1, PIECES);
    writer.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    const auto writes = Take<StagePiece>(actions);
    REQUIRE(writes.size() == 2);
    writer.SetVersion("m", 2, PIECES);
    writer.OnStaged({writes[1].ticket, writes[1].piece, std::monostate()}, START);
    CHECK(writer.StagedCount() == 0);
    writer.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
    const auto next = Take<StagePiece>(actions);
    REQUIRE(next.size() == 1);
    CHECK(next[0].piece != writes[0].piece);
  }
}

// The engine carries a write of the version before out behind the reading of the next one.
TEST_CASE("A write of another version without an answer may still overwrite the stage")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const auto writes = Take<StagePiece>(actions);
  REQUIRE(writes.size() == 2);
  const auto answer = [&](const StagePiece& write, Common::Result<std::monostate> result) {
    manager.OnStaged({write.ticket, write.piece, std::move(result)}, START);
  };

  SUBCASE("the call ended before the next version")
  {
    answer(writes[0], Error{ErrorKind::Unreachable, ""});
    CHECK_FALSE(manager.MayBeOverwritten());
    manager.SetVersion("m", 2, PIECES);
  }
  SUBCASE("the call ends after it")
  {
    manager.SetVersion("m", 2, PIECES);
    CHECK_FALSE(manager.MayBeOverwritten());
    answer(writes[0], Error{ErrorKind::Unreachable, ""});
  }
  CHECK(manager.MayBeOverwritten());
  manager.OnEngineRestarted();
  CHECK_FALSE(manager.MayBeOverwritten());
}

TEST_CASE("A write that was refused cannot overwrite the stage")
{
  const Weights weights;
  StageManager manager;
  manager.SetVersion("m", 1, PIECES);
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const StagePiece write = Take<StagePiece>(actions).at(0);
  manager.OnStaged({write.ticket, write.piece, Error{ErrorKind::SourceBusy, ""}}, START);
  manager.SetVersion("m", 2, PIECES);
  CHECK_FALSE(manager.MayBeOverwritten());
}

TEST_CASE("A reading that brings no content is repeated and writes nothing")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const ReadStaged read = Take<ReadStaged>(actions).at(0);
  manager.OnRead({read.ticket, read.piece, Error{ErrorKind::Unreachable, ""}}, *weights.swarm,
                 START);
  CHECK(manager.IsStaged());
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START + Milliseconds(150), &actions);
  CHECK(Testing::Only<StagePiece>(actions).empty());
  CHECK(Take<ReadStaged>(actions).at(0).piece == read.piece);
}

// The process stands still between a reading and its answer.
TEST_CASE("A reading whose answer took long is repeated")
{
  const Weights weights;
  StageManager manager = FoundStage();
  StageActions actions;
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, START, &actions);
  const ReadStaged read = Take<ReadStaged>(actions).at(0);
  const Common::TimePoint now = START + Milliseconds(5000);
  manager.OnRead({read.ticket, read.piece, weights.pieces[read.piece]}, *weights.swarm, now);
  CHECK(manager.VerifiedCount() == 0);
  manager.OnTick(*weights.swarm, StageAccess::ReadAndWrite, now, &actions);
  CHECK(Take<ReadStaged>(actions).at(0).piece == read.piece);
}

TEST_CASE("The age of a verification is that of its first reading")
{
  const Weights weights;
  StageManager manager = FoundStage();
  Common::TimePoint now = START;
  while (!manager.Verified())
  {
    StageActions actions;
    manager.OnTick(*weights.swarm, StageAccess::Read, now, &actions);
    now += Milliseconds(700);
    for (const ReadStaged& read : Take<ReadStaged>(actions))
      manager.OnRead({read.ticket, read.piece, weights.pieces[read.piece]}, *weights.swarm, now);
  }
  CHECK(manager.Verified()->began == START);
  CHECK(manager.Verified()->Took() == Milliseconds(1400));
}

namespace
{
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
} // namespace

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

TEST_CASE("Targets switch one after the other, and all before the switch deadline")
{
  std::vector<Mesh::Peer> peers;
  peers.reserve(20);
  for (int i = 0; i < 20; ++i)
    peers.push_back({{"10.0.0." + std::to_string(i), 7700}, "here"});
  const SwitchWindow window{START, Milliseconds(8000), Milliseconds(3500)};
  std::set<std::size_t> ranks;
  for (const Mesh::Peer& peer : peers)
  {
    const std::size_t rank = SwitchOrderRank(peer.address, peers, 7);
    CHECK(ranks.insert(rank).second);
    const Common::TimePoint at = PlannedSwitchTime(window, rank, peers.size());
    CHECK(at >= START + Milliseconds(3500));
    CHECK(at <= START + Milliseconds(7000));
  }
  CHECK(PlannedSwitchTime(window, 5, 20) < PlannedSwitchTime(window, 6, 20));
  // Another version results in another order, so that no target is always the last.
  bool differs = false;
  for (const Mesh::Peer& peer : peers)
    differs = differs ||
              SwitchOrderRank(peer.address, peers, 7) != SwitchOrderRank(peer.address, peers, 8);
  CHECK(differs);
}
