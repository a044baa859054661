// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Common/Mailbox.h"
#include "Common/YamlReader.h"

namespace Holdpost::Sidecar
{
using Common::Address;
using Common::Digest;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr Milliseconds REPORT_PERIOD = Milliseconds(100);
// While weights are being loaded the end is not to be missed.
static constexpr Milliseconds REPORT_PERIOD_LOADING = Milliseconds(25);
static constexpr Milliseconds TELL_PERIOD = Milliseconds(100);
static constexpr Milliseconds TELL_PERIOD_ACROSS = Milliseconds(250);
// Gateways are told of each other so often.
static constexpr Milliseconds LIST_PERIOD = Milliseconds(1000);
// Gateways are told of a version that was named not longer ago than this, and of so many.
static constexpr Milliseconds TELL_VERSION_FOR = Milliseconds(20000);
static constexpr std::size_t VERSIONS_TOLD = 2;
static constexpr Milliseconds GATEWAY_LIFETIME = Milliseconds(3000);
static constexpr Milliseconds ALONE_AFTER = Milliseconds(1500);
static constexpr Milliseconds PEERS_PERIOD = Milliseconds(1000);
// A proof older than this says nothing of what lies on the stage now.
static constexpr Milliseconds PROOF_LIFETIME = Milliseconds(2000);
static constexpr Milliseconds PATIENCE = Milliseconds(500);
static constexpr Milliseconds STALL = Milliseconds(900);
// The origin is shared by few, and all wait for it when it has failed.
static constexpr Milliseconds ORIGIN_PAUSE_MOST = Milliseconds(300);
static constexpr std::uint32_t DOWNLOADS_AT_ONCE = 6;
static constexpr std::size_t UPLOADS_AT_ONCE = 6;
// A peer that would wait behind more than so many asks another one.
static constexpr std::size_t UPLOADS_WAITING = 3;
// Requests for pieces that are remembered until the peer says that it has the piece.
static constexpr std::size_t ASKED_MOST = 256;
static constexpr Milliseconds PIECE_TIME_LEAST = Milliseconds(5);
static constexpr Milliseconds CLAIM_LEAST = Milliseconds(300);
static constexpr Milliseconds CLAIM_MOST = Milliseconds(5000);
static constexpr std::uint32_t REPORTS_FAILED_MOST = 3;
// Reads of what was found on the stage at once.
static constexpr std::uint32_t FOUND_READS_MOST = 2;
// From the last piece until all engines have loaded.
// Gateways hear of a switch so long before.
static constexpr Milliseconds SWITCH_HORIZON = Milliseconds(3000);
static constexpr Milliseconds PROGRESS_PERIOD = Milliseconds(500);
static constexpr Milliseconds SWITCH_TIME = Milliseconds(2500);

static Digest VersionDigest(const std::string& model, std::uint64_t version)
{
  return Common::Sha256(fmt::format("{}@{}", model, version));
}

Sidecar::Sidecar(SidecarOptions options, Common::Metrics& metrics)
    : m_options(std::move(options)), m_metrics(metrics),
      m_exchange(m_options.address.ToString(), m_options.hall,
                 Common::StableHash(m_options.address.ToString()))
{
  m_exchange.SetOptions(MakeExchangeOptions());
}

Distribution::ExchangeOptions Sidecar::MakeExchangeOptions() const
{
  Distribution::ExchangeOptions options;
  options.link_bytes_per_second = m_options.link_bytes_per_second;
  options.link_pacing = Distribution::LinkPacing::Wire;
  options.swarm.patience = PATIENCE;
  options.swarm.stall = STALL;
  options.swarm.backoff_most = ORIGIN_PAUSE_MOST;
  options.upload_queue_most = UPLOADS_WAITING;
  options.uploads_unconfirmed_most = UPLOADS_AT_ONCE;
  options.swarm.adapts_window = true;
  options.swarm.window_in_all = DOWNLOADS_AT_ONCE;
  options.swarm.piece_time = PieceTime();
  options.swarm.is_named_by_content = false;
  options.swarm.has_weight_store = false;
  options.swarm.shares_crossings = true;
  options.swarm.origin_hall = m_plan.origin_hall;
  options.swarm.claim_lifetime = ClaimLifetime();
  return options;
}

Duration Sidecar::PieceTime() const
{
  if (m_options.link_bytes_per_second == 0)
    return PIECE_TIME_LEAST;
  const std::chrono::duration<double> time(m_plan.piece_bytes /
                                           static_cast<double>(m_options.link_bytes_per_second));
  return std::max<Duration>(std::chrono::duration_cast<Duration>(time), PIECE_TIME_LEAST);
}

// All of the hall may bring in a piece at once over the origin's one link, so a piece takes as many
// times of what the link needs for one, and some may have to come twice.
Duration Sidecar::ClaimLifetime() const
{
  static constexpr int MORE_TIMES = 8;
  const auto members = std::ranges::count(m_peers, m_options.hall, &Mesh::Peer::hall);
  return std::clamp<Duration>((2 * members + MORE_TIMES) * PieceTime(), CLAIM_LEAST, CLAIM_MOST);
}

const Distribution::Swarm* Sidecar::WantedSwarm() const
{
  return m_wanted == 0 ? nullptr : m_exchange.Find(VersionDigest(m_plan.model, m_wanted));
}

std::uint32_t Sidecar::PiecesHeld(std::uint64_t version) const
{
  const Distribution::Swarm* swarm = m_exchange.Find(VersionDigest(m_plan.model, version));
  return swarm ? swarm->PiecesHeld() : 0;
}

// --- what is heard ---

void Sidecar::OnMessage(const Mesh::Sender& from, const Mesh::Message& message, TimePoint now,
                        Actions* actions)
{
  Distribution::Actions made;
  std::visit(
      Common::Overloaded{
          [&](const Mesh::Hello& hello) { OnHello(from, hello, now, actions); },
          [&](const Mesh::Announce& announce) {
            m_exchange.OnAnnouncement(from.address.ToString(), announce.announcement, now, &made);
          },
          [&](const Mesh::AskPiece& ask)
          {
            const std::uint64_t tag = m_next_tag++;
            m_asked[tag] = {from.address, ask.id};
            if (m_asked.size() > ASKED_MOST)
              m_asked.erase(m_asked.begin());
            const bool is_for_other_hall = from.hall != m_options.hall;
            m_exchange.OnPieceRequest(tag, ask.version, ask.piece, is_for_other_hall, now, &made);
          },
          [&](const Mesh::CancelPiece& cancel)
          {
            const auto asked = std::ranges::find_if(
                m_asked, [&](const auto& entry)
                { return entry.second.from == from.address && entry.second.id == cancel.id; });
            if (asked == m_asked.end())
              return;
            const Distribution::RequestTag tag = asked->first;
            m_asked.erase(asked);
            m_exchange.OnRequestAbandoned(tag, now, &made);
          },
          [&](const Mesh::TellPiece& tell)
          {
            // Says that the piece is here, too.
            if (const auto peer = m_at_peers.extract(tell.id))
              actions->push_back(Tell{peer.mapped(), Mesh::CancelPiece{tell.id}, false});
            m_exchange.OnFetched(tell.id, tell.result, now, &made);
          },
          [](const auto&) {}},
      message);
  Translate(std::move(made), now, actions);
}

void Sidecar::OnHello(const Mesh::Sender& from, const Mesh::Hello& hello, TimePoint now,
                      Actions* actions)
{
  if (!hello.is_gateway)
    return;
  HeardGateway& gateway = m_gateways[from.address];
  gateway.hall = from.hall;
  gateway.settings = hello.settings;
  gateway.clock = hello.clock;
  gateway.heard = now;
  if (!hello.plan.model.empty())
    OnPlan(hello.plan, now);
  for (const Mesh::ToldWeights& told : hello.weights)
    OnWeights(told.named, now - told.known);
  if (!hello.peers.empty())
    OnPeers(hello.peers, now, actions);
  ChooseVersion(now, actions);
}

bool Sidecar::IsAlone(TimePoint now) const
{
  // After a start the gateways are given as long to speak first.
  if (!m_began || now - *m_began < ALONE_AFTER)
    return false;
  return std::ranges::none_of(
      m_gateways, [&](const auto& entry)
      { return entry.second.hall == m_options.hall && now - entry.second.heard < ALONE_AFTER; });
}

void Sidecar::OnPlan(const Mesh::WeightsPlan& plan, TimePoint now)
{
  if (plan == m_plan || (!m_options.service.empty() && plan.service != m_options.service))
    return;
  LogEvent(Weight::Important, now, "plan.known", "service", plan.service, "model", plan.model,
           "pieces", plan.pieces, "origin", plan.origin.ToString(), "origin_hall",
           plan.origin_hall);
  m_plan = plan;
  m_exchange.SetOptions(MakeExchangeOptions());
}

void Sidecar::OnWeights(const Control::NamedWeights& named, TimePoint known_since)
{
  if (named.model != m_plan.model)
    return;
  const auto [found, is_new] = m_named.try_emplace(named.version, known_since);
  if (!is_new)
    found->second = std::min(found->second, known_since);
}

void Sidecar::OnPeers(const std::vector<Mesh::Peer>& peers, TimePoint now, Actions* actions)
{
  const bool is_new = peers != m_peers;
  m_peers = peers;
  if (is_new)
    m_exchange.SetOptions(MakeExchangeOptions());
  m_is_view_confirmed = true;
  m_peers_due = std::min(m_peers_due, now);
  (void)actions;
}

// --- which version ---

Duration Sidecar::CopyTime() const
{
  // Over the time that one link needs for one copy, as measured with 20 targets in three halls.
  static constexpr double OVER_LINK = 1.3;
  const double bytes = static_cast<double>(m_plan.pieces) * m_plan.piece_bytes;
  const auto rate =
      static_cast<double>(std::max<std::uint64_t>(m_options.link_bytes_per_second, 1));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(OVER_LINK * bytes / rate));
}

bool Sidecar::MayReplaceWanted(TimePoint now) const
{
  // An older version is brought to its end unless a newer one can take its place in time.
  const Distribution::Swarm* swarm = WantedSwarm();
  if (m_loader.IsUnderWay() || (swarm && swarm->IsHeld()))
    return false;
  const TimePoint bound = m_named.at(m_wanted) + m_options.switch_within;
  if (now + CopyTime() + SWITCH_TIME <= bound)
    return true;
  // One that is going to be late anyhow, and is not nearly here, is not worth its bytes.
  const Duration left = TimeToHold(swarm, now);
  return now + left > bound && left > WholeCopyTime(now) / 2;
}

Duration Sidecar::PieceTimeNow(TimePoint now) const
{
  return std::max(PieceTime(), m_exchange.NarrowPieceTime(now));
}

Duration Sidecar::WholeCopyTime(TimePoint now) const
{
  return static_cast<Duration::rep>(m_plan.pieces) * PieceTimeNow(now);
}

Duration Sidecar::TimeToHold(const Distribution::Swarm* swarm, TimePoint now) const
{
  const std::uint32_t held = swarm ? swarm->PiecesHeld() : 0;
  return static_cast<Duration::rep>(m_plan.pieces - std::min(held, m_plan.pieces)) *
         PieceTimeNow(now);
}

void Sidecar::ChooseVersion(TimePoint now, Actions* actions)
{
  if (m_plan.model.empty() || m_named.empty())
    return;
  const std::uint64_t newest = m_named.rbegin()->first;
  if (newest <= m_wanted)
    return;
  const bool is_wanted_done = m_wanted == 0 || LoadedVersion() >= m_wanted;
  if ((is_wanted_done && !m_loader.IsUnderWay()) || (!is_wanted_done && MayReplaceWanted(now)))
    return WantVersion(newest, now, actions);
  const Distribution::Swarm* swarm = WantedSwarm();
  // Once all of a version is in the hall, the origin has nothing else to do.
  const bool is_drawn = swarm && swarm->ManifestHeld() && swarm->PiecesUnseen() == 0;
  if (newest > m_ahead && is_drawn)
    CopyAhead(newest, now, actions);
}

void Sidecar::CopyAhead(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.ahead", "version", version, "wanted", m_wanted);
  m_ahead = version;
  FetchVersion(version, now, actions);
}

void Sidecar::WantVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  LogEvent(Weight::Important, now, "weights.wanted", "version", version, "before", m_wanted,
           "loaded", LoadedVersion(), "known_ms", now - m_named[version]);
  // A copy that was given up must not go on taking the links.
  if (const Distribution::Swarm* swarm = WantedSwarm(); swarm && swarm->IsHeld())
    m_before = m_wanted;
  m_wanted = version;
  m_ahead = std::max(m_ahead, version);
  m_stage.Want(m_plan.model, version, m_plan.pieces);
  FetchVersion(version, now, actions);
}

void Sidecar::FetchVersion(std::uint64_t version, TimePoint now, Actions* actions)
{
  const Digest digest = VersionDigest(m_plan.model, version);
  m_versions[digest] = version;
  Distribution::Actions made;
  // The version before is kept for peers that still need it.
  m_exchange.KeepOnly(
      {digest, VersionDigest(m_plan.model, m_wanted), VersionDigest(m_plan.model, m_before)},
      &made);
  m_exchange.Want(digest, now, &made);
  Translate(std::move(made), now, actions);
  TellExchangeOfPeers(now, actions);
}

std::optional<TimePoint> Sidecar::SwitchAt(TimePoint now) const
{
  if (m_wanted == 0 || LoadedVersion() >= m_wanted)
    return std::nullopt;
  // One that answers nothing has nothing to lose.
  if (LoadedVersion() == 0 || (m_report && m_report->running + m_report->queued == 0))
    return now;
  const SwitchWindow window{m_named.at(m_wanted), m_options.switch_within, CopyTime()};
  const TimePoint planned =
      PlannedSwitch(window, SwitchRank(m_options.address, m_peers, m_wanted), m_peers.size());
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!swarm || swarm->IsHeld() || !swarm->ManifestHeld())
    return planned;
  const std::uint32_t left = swarm->ManifestHeld()->PieceCount() - swarm->PiecesHeld();
  return std::max(planned, now + CopyTime() * left / swarm->ManifestHeld()->PieceCount());
}

// --- the engine ---

void Sidecar::Handle(const ReportRead& event, TimePoint now, Actions* actions)
{
  m_is_reading_report = false;
  const auto* report = std::get_if<EngineReport>(&event.result);
  if (!report)
  {
    if (++m_reports_failed == REPORTS_FAILED_MOST)
    {
      LogEvent(Weight::Important, now, "engine.lost", "reason",
               std::get<Error>(event.result).message);
      m_report.reset();
      m_loader.OnEngineLost();
      m_stage.ProveAgain();
    }
    return;
  }
  if (m_reports_failed >= REPORTS_FAILED_MOST)
    LogEvent(Weight::Important, now, "engine.regained", "weights", report->weights_version);
  m_reports_failed = 0;
  // While it loads it may tell of no weights at all.
  const bool has_restarted =
      m_report && (report->orders < m_report->orders ||
                   (report->weights_version < m_report->weights_version && !m_loader.IsUnderWay()));
  if (has_restarted)
  {
    LogEvent(Weight::Important, now, "engine.restarted", "weights", report->weights_version);
    m_loader.OnEngineLost();
    m_stage.ProveAgain();
  }
  m_report = *report;
  m_loader.OnReport(*report, now);
  ChooseVersion(now, actions);
  TellLoad(now, actions);
}

void Sidecar::Handle(const StagedListed& event, TimePoint /*now*/, Actions* /*actions*/)
{
  m_is_listing = false;
  if (const auto* pieces = std::get_if<std::vector<std::uint32_t>>(&event.result))
  {
    m_has_listed = true;
    m_found_staged = *pieces;
  }
}

void Sidecar::Handle(const StagedRead& event, TimePoint now, Actions* actions)
{
  const Distribution::Swarm* swarm = WantedSwarm();
  if (m_found_in_flight > 0)
  {
    --m_found_in_flight;
    if (const auto* data = std::get_if<Common::Bytes>(&event.result))
    {
      Distribution::Actions made;
      m_exchange.OfferPiece(VersionDigest(m_plan.model, m_wanted), event.piece, *data, now, &made);
      Translate(std::move(made), now, actions);
      if (swarm && swarm->IsRight(event.piece, **data))
        m_stage.OnFound(event.piece);
    }
    return OnTick(now, actions);
  }
  if (swarm)
    m_stage.OnRead(event, *swarm, now);
  OnTick(now, actions);
}

void Sidecar::Handle(const PieceStaged& event, TimePoint now, Actions* actions)
{
  m_stage.OnStaged(event, now);
  OnTick(now, actions);
}

void Sidecar::Handle(const StartAnswered& event, TimePoint now, Actions* actions)
{
  m_loader.OnAnswered(event, now);
  m_report_due = now;
  OnTick(now, actions);
}

void Sidecar::Handle(const OriginFetched& event, TimePoint now, Actions* actions)
{
  m_at_origin.erase(event.id);
  NoteOrigin(event.result, now);
  Distribution::Actions made;
  m_exchange.OnFetched(event.id, event.result, now, &made);
  Translate(std::move(made), now, actions);
}

void Sidecar::NoteOrigin(const Common::Result<Common::Bytes>& result, TimePoint now)
{
  const auto* error = std::get_if<Error>(&result);
  const bool is_lost = error != nullptr;
  if (std::exchange(m_is_origin_lost, is_lost) == is_lost)
    return;
  const std::string origin = m_plan.origin.ToString();
  if (error)
    LogEvent(Weight::Important, now, "origin.lost", "origin", origin, "reason", error->message);
  else
    LogEvent(Weight::Important, now, "origin.regained", "origin", origin);
}

void Sidecar::OnPeerBroken(const Address& peer, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnPeerLost(peer.ToString(), now, &made);
  Translate(std::move(made), now, actions);
}

void Sidecar::TickStage(TimePoint now, Actions* actions)
{
  const Distribution::Swarm* swarm = WantedSwarm();
  // While the engine takes weights from the stage, nothing there may change.
  if (!swarm || !swarm->ManifestHeld() || m_loader.IsUnderWay() || !m_report || m_report->is_busy)
    return;
  if (LoadedVersion() >= m_wanted && swarm->IsHeld() && m_stage.IsStaged())
    return;
  // What an earlier life left on the stage need not be fetched again.
  if (!m_has_listed && !m_is_listing)
  {
    m_is_listing = true;
    actions->push_back(ListStaged{m_plan.model});
  }
  while (!m_found_staged.empty() && m_found_in_flight < FOUND_READS_MOST)
  {
    ++m_found_in_flight;
    actions->push_back(ReadStaged{m_plan.model, m_found_staged.back()});
    m_found_staged.pop_back();
  }
  if (!m_has_listed || m_found_in_flight > 0)
    return;
  StageActions made;
  m_stage.OnTick(*swarm, now, &made);
  for (StageAction& action : made)
    std::visit([&](auto& typed) { actions->push_back(std::move(typed)); }, action);
}

void Sidecar::TickLoader(TimePoint now, Actions* actions)
{
  if (m_wanted > 0 && m_report && !m_report->is_busy && LoadedVersion() < m_wanted &&
      !m_loader.IsUnderWay())
  {
    const auto proven = m_stage.ProvenSince();
    const std::optional<TimePoint> switch_at = SwitchAt(now);
    const bool is_due = switch_at && now >= *switch_at;
    if (proven && now - *proven > PROOF_LIFETIME && is_due)
      m_stage.ProveAgain();
    else if (proven && is_due)
      m_loader.Begin(m_plan.model, m_wanted, now);
    if (m_loader.IsUnderWay())
      TellLoad(now, actions);
  }
  if (const auto start = m_loader.OnTick(now))
  {
    m_metrics.Add("holdpost_orders_total");
    actions->push_back(*start);
  }
}

// --- what is told ---

void Sidecar::TellLoad(TimePoint now, Actions* actions)
{
  Gateway::TargetLoad load;
  load.address = m_options.target;
  load.is_switching = m_loader.IsUnderWay();
  if (m_report)
  {
    load.running = m_report->running;
    load.queued = m_report->queued;
    load.weights_version = m_report->weights_version;
    load.is_switching = load.is_switching || m_report->is_busy;
    load.pace = m_report->pace;
  }
  if (const auto switch_at = SwitchAt(now); switch_at && LoadedVersion() > 0)
  {
    const auto left = std::chrono::duration_cast<Milliseconds>(*switch_at - now);
    if (left < SWITCH_HORIZON)
      load.switch_in = std::max(left, Milliseconds(0));
  }
  load.inbound_delay = std::chrono::duration_cast<Milliseconds>(m_exchange.InboundDelay(now));
  const bool has_news = !m_told || m_told->is_switching != load.is_switching ||
                        m_told->weights_version != load.weights_version;
  m_told = load;
  std::erase_if(m_gateways,
                [now](const auto& entry) { return now - entry.second.heard > GATEWAY_LIFETIME; });
  Mesh::LoadReport report;
  report.load = load;
  report.gateways = static_cast<std::uint32_t>(m_gateways.size());
  for (auto named = m_named.rbegin(); named != m_named.rend(); ++named)
  {
    const auto known = std::chrono::duration_cast<Milliseconds>(now - named->second);
    if (report.weights.size() == VERSIONS_TOLD || known > TELL_VERSION_FOR)
      break;
    report.weights.push_back({{m_plan.model, named->first}, known});
  }
  for (const auto& [address, gateway] : m_gateways)
  {
    if (gateway.settings > report.settings)
    {
      report.settings = gateway.settings;
      report.settings_at = address;
    }
  }
  for (auto& [address, gateway] : m_gateways)
  {
    const bool is_near = gateway.hall == m_options.hall;
    const Duration period = is_near ? TELL_PERIOD : TELL_PERIOD_ACROSS;
    // A little early rather than one whole period late.
    if (!has_news && now - gateway.told < period - Milliseconds(20))
      continue;
    gateway.told = now;
    report.near_gateways.clear();
    if (is_near && now - gateway.listed >= LIST_PERIOD)
    {
      gateway.listed = now;
      report.near_gateways = NearGateways();
    }
    report.echo = gateway.clock;
    report.echo_age = std::chrono::duration_cast<Milliseconds>(now - gateway.heard);
    actions->push_back(Tell{address, report, true});
  }
}

std::vector<Address> Sidecar::NearGateways() const
{
  std::vector<Address> near_gateways;
  for (const auto& [address, gateway] : m_gateways)
  {
    if (gateway.hall == m_options.hall)
      near_gateways.push_back(address);
  }
  return near_gateways;
}

void Sidecar::Translate(Distribution::Actions made, TimePoint now, Actions* actions)
{
  for (Distribution::Action& action : made)
  {
    std::visit(
        Common::Overloaded{
            [&](Distribution::FetchPiece& fetch)
            {
              if (fetch.peer.empty())
              {
                actions->push_back(FetchFromOrigin{fetch.id, m_plan.origin, m_plan.model,
                                                   m_versions[fetch.version], fetch.piece});
                m_at_origin.insert(fetch.id);
                return;
              }
              const auto address = Common::ParseAddress(fetch.peer);
              m_at_peers[fetch.id] = *address;
              actions->push_back(
                  Tell{*address, Mesh::AskPiece{fetch.id, fetch.version, fetch.piece}, false});
            },
            [&](Distribution::CancelFetch& cancel)
            {
              if (m_at_origin.erase(cancel.id) > 0)
                actions->push_back(CancelOriginFetch{cancel.id});
              else if (const auto peer = m_at_peers.extract(cancel.id))
                actions->push_back(Tell{peer.mapped(), Mesh::CancelPiece{cancel.id}, false});
            },
            [&](Distribution::SendAnnouncement& send)
            {
              if (const auto address = Common::ParseAddress(send.peer))
                actions->push_back(
                    Tell{*address, Mesh::Announce{std::move(send.announcement)}, false});
            },
            [&](Distribution::AnswerPiece& answer)
            {
              const auto asked = m_asked.find(answer.tag);
              if (asked == m_asked.end())
                return;
              const bool is_refused = !Common::Succeeded(answer.result);
              actions->push_back(Tell{asked->second.from,
                                      Mesh::TellPiece{asked->second.id, std::move(answer.result)},
                                      false});
              if (is_refused)
                m_asked.erase(asked);
            },
            [](Distribution::PieceHeld&) {},
            [&](Distribution::VersionHeld& held) { LogHeld(m_versions[held.version], now); },
            [&](Distribution::CountTransfer& count)
            {
              const std::string label =
                  fmt::format("event=\"{}\"", Distribution::TransferEventName(count.event));
              m_metrics.Add("holdpost_transfers_total", label);
              if (count.bytes > 0)
                m_metrics.Add("holdpost_transfer_bytes_total", label, count.bytes);
            }},
        action);
  }
}

// --- time ---

void Sidecar::OnTick(TimePoint now, Actions* actions)
{
  if (!m_began)
    m_began = now;
  if (!m_is_reading_report && now >= m_report_due)
  {
    m_is_reading_report = true;
    m_report_due = now + (m_loader.IsUnderWay() ? REPORT_PERIOD_LOADING : REPORT_PERIOD);
    actions->push_back(ReadReport{});
  }
  if (now >= m_peers_due)
    TellExchangeOfPeers(now, actions);
  Distribution::Actions made;
  m_exchange.OnTick(now, &made);
  Translate(std::move(made), now, actions);
  TickStage(now, actions);
  TickLoader(now, actions);
  LogProgress(now);
}

void Sidecar::TellExchangeOfPeers(TimePoint now, Actions* actions)
{
  if (m_wanted > 0 && m_is_view_confirmed)
  {
    m_peers_due = now + PEERS_PERIOD;
    Distribution::Actions made;
    std::vector<Distribution::NeighbourCandidate> candidates;
    for (const std::uint64_t version : std::set<std::uint64_t>{m_wanted, m_ahead})
    {
      const Digest digest = VersionDigest(m_plan.model, version);
      for (const Mesh::Peer& peer : m_peers)
      {
        if (peer.address != m_options.address)
          candidates.push_back({peer.address.ToString(), peer.hall, digest});
      }
    }
    m_exchange.SetCandidates(std::move(candidates), now, &made);
    m_exchange.OnViewConfirmed(now, &made);
    Translate(std::move(made), now, actions);
  }
}

void Sidecar::LogHeld(std::uint64_t version, TimePoint now) const
{
  const auto count = [this](Distribution::TransferEvent event)
  {
    return m_metrics.Counter("holdpost_transfers_total",
                             fmt::format("event=\"{}\"", Distribution::TransferEventName(event)));
  };
  using Distribution::TransferEvent;
  LogEvent(Weight::Important, now, "weights.held", "version", version, "from_origin",
           count(TransferEvent::PieceFromOrigin), "from_peers", count(TransferEvent::PieceFromPeer),
           "sent", count(TransferEvent::PieceSent), "twice", count(TransferEvent::PieceTwice),
           "corrupt", count(TransferEvent::PieceCorruptFromOrigin), "origin_failed",
           count(TransferEvent::OriginFailed), "origin_stalled",
           count(TransferEvent::OriginStalled), "peers_stalled", count(TransferEvent::PeerStalled),
           "refused", count(TransferEvent::RequestRefused), "hedges", count(TransferEvent::Hedge),
           "doubted", count(TransferEvent::ManifestDoubted));
}

void Sidecar::LogProgress(TimePoint now)
{
  if (m_wanted == 0 || LoadedVersion() >= m_wanted || now < m_progress_due)
    return;
  m_progress_due = now + PROGRESS_PERIOD;
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!swarm)
    return;
  LogEvent(Weight::Important, now, "weights.progress", "version", m_wanted, "pieces",
           swarm->PiecesHeld(), "from_origin", swarm->OpenAtOrigin(), "from_peers",
           swarm->OpenAtPeers(), "neighbours", swarm->NeighbourCount(), "unseen",
           swarm->PiecesUnseen(), "staged", m_stage.StagedCount(), "proven", m_stage.ProvenCount(),
           "inbound_delay_ms", m_exchange.InboundDelay(now), "busy", m_report && m_report->is_busy);
}

TimePoint Sidecar::NextWakeup(TimePoint now) const
{
  TimePoint next = m_is_reading_report ? now + REPORT_PERIOD : m_report_due;
  if (const auto exchange = m_exchange.NextWakeup(now))
    next = std::min(next, *exchange);
  if (m_loader.State() == LoaderState::Announced)
    next = std::min(next, now + Milliseconds(10));
  return next;
}
} // namespace Holdpost::Sidecar
