// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/EventLog.h"

// The reports of a sidecar to gateways, and its log lines.
namespace Holdpost::Sidecar
{
using Common::Address;
using Common::Duration;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr Milliseconds LOAD_REPORT_PERIOD = Milliseconds(100);
// The same period for gateways that do not need every report: they learn of versions from it.
static constexpr Milliseconds SPARSE_LOAD_REPORT_PERIOD = Milliseconds(1000);
// A sidecar reports new work at once, but leaves at least this time between two reports.
static constexpr Milliseconds MIN_LOAD_REPORT_GAP = Milliseconds(10);
// The work that a gateway announced no longer counts once the gateway has been silent for this
// time.
static constexpr Milliseconds WORK_LIFETIME = Milliseconds(1500);
// The period at which a sidecar sends the gateways of its hall the list of these gateways.
static constexpr Milliseconds GATEWAY_LIST_PERIOD = Milliseconds(1000);
// A sidecar reports versions to gateways if one of them has been known for no longer than this
// time, or if its switch deadline has not passed.
static constexpr Milliseconds MAX_REPORTED_VERSION_AGE = Milliseconds(20000);
static constexpr Milliseconds GATEWAY_LIFETIME = Milliseconds(3000);
// A sidecar announces a switch to gateways this time in advance.
static constexpr Milliseconds SWITCH_HORIZON = Milliseconds(3000);
static constexpr Milliseconds PROGRESS_PERIOD = Milliseconds(500);

void Sidecar::OnWorkAnnounced(const Mesh::Sender& from, const Gateway::GatewayWork& work,
                              TimePoint now, Actions* actions)
{
  KnownGateway& gateway = m_gateways[from.address];
  gateway.hall = from.hall;
  gateway.last_seen = now;
  const Gateway::GatewayWork before = std::exchange(gateway.work, work);
  if (work.requests <= before.requests || m_load_due)
    return;
  m_load_due = std::max(now, m_load_sent_at + MIN_LOAD_REPORT_GAP);
  if (now >= *m_load_due)
    SendLoadReports(now, actions);
}

Gateway::GatewayWork Sidecar::TotalWork(TimePoint now) const
{
  Gateway::GatewayWork all;
  for (const auto& [address, gateway] : m_gateways)
  {
    if (now - gateway.last_seen > WORK_LIFETIME)
      continue;
    all.requests += gateway.work.requests;
    all.unread_prompt_tokens += gateway.work.unread_prompt_tokens;
  }
  return all;
}

std::uint32_t Sidecar::CountGateways() const
{
  // The sidecar may not know all gateways: those that send requests to the target announce their
  // work to it, and others may not. Each known gateway reports the number of gateways in its hall,
  // so the larger of the number known and the number reported is taken for each hall.
  std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> halls;
  for (const auto& [address, gateway] : m_gateways)
  {
    auto& [seen, reported] = halls[gateway.hall];
    ++seen;
    reported = std::max(reported, gateway.near_gateways);
  }
  std::uint32_t count = 0;
  for (const auto& [hall, counts] : halls)
    count += std::max(counts.first, counts.second);
  return count;
}

Gateway::GatewayDemand Sidecar::TotalDemand() const
{
  Gateway::GatewayDemand all;
  double refused = 0;
  for (const auto& [address, gateway] : m_gateways)
  {
    const bool is_near = gateway.hall == m_options.hall;
    if (!is_near && !gateway.wants_load)
      continue;
    (is_near ? all.same_hall_per_second : all.other_halls_per_second) +=
        gateway.demand.arrivals_per_second;
    refused += gateway.demand.arrivals_per_second * gateway.demand.refused_share;
  }
  if (const double arrivals = all.same_hall_per_second + all.other_halls_per_second; arrivals > 0)
    all.refused_share = refused / arrivals;
  return all;
}

Gateway::TargetLoad Sidecar::CurrentLoad(TimePoint now) const
{
  Gateway::TargetLoad load;
  load.address = m_options.target;
  load.id = m_target_id;
  load.is_switching = m_loader.IsUnderWay() || m_loader.IsUnsound() || IsHeldForCheck(now);
  // An engine that has not accepted the order yet still begins requests on its old weights.
  const bool is_unsettled = m_loader.State() == LoaderState::Unsettled;
  // A load by an order of another process is reported as a switch while it is held for its check.
  load.is_load_unchecked = !m_report || (m_has_inherited_load && !m_unexplained_load_at);
  load.next_version = m_loader.IsUnderWay() && !is_unsettled ? m_loader.Version() : 0;
  if (m_report)
  {
    const Gateway::GatewayWork work = TotalWork(now);
    const std::uint32_t announced = work.requests - std::min(work.requests, m_requests_at_report);
    const std::uint32_t ended =
        m_requests_at_report - std::min(work.requests, m_requests_at_report);
    load.running = m_report->running - std::min(m_report->running, ended);
    load.queued = m_report->queued + announced;
    load.unread_prompt_tokens = work.unread_prompt_tokens;
    load.weights_version = LoadedVersion();
    load.incarnation = m_report->incarnation;
    load.is_switching =
        load.is_switching || m_report->is_busy || HoldsPart(*m_report, m_plan.layers);
    load.pace = m_report->pace;
    load.is_leaving = m_report->is_leaving;
  }
  if (const auto switch_at = SwitchAt(now); switch_at && LoadedVersion() > 0)
  {
    const auto left = std::chrono::duration_cast<Milliseconds>(*switch_at - now);
    if (left < SWITCH_HORIZON)
      load.switch_in = std::max(left, Milliseconds(0));
  }
  load.weights_forecast = ForecastWeights(now);
  load.rate_limit = m_permits.Limit();
  load.demand = TotalDemand();
  load.inbound_delay = std::chrono::duration_cast<Milliseconds>(m_exchange.InboundDelay(now));
  return load;
}

bool Sidecar::IsLoadReportDue(const KnownGateway& gateway, bool has_news, TimePoint now) const
{
  if (has_news)
    return true;
  // A report goes out up to 20 ms before its period is over: otherwise it would have to wait for
  // the next opportunity, a whole period later.
  const Duration period =
      (gateway.wants_load ? LOAD_REPORT_PERIOD : SPARSE_LOAD_REPORT_PERIOD) - Milliseconds(20);
  return now - gateway.last_report >= period || (gateway.wants_load && m_load_due);
}

std::vector<Mesh::AdvertisedVersion> Sidecar::ReportedVersions(TimePoint now) const
{
  const Milliseconds max_age = std::max(MAX_REPORTED_VERSION_AGE, m_options.switch_within);
  const auto reported =
      Mesh::AdvertisedVersion::AllOf(m_plan.model, m_named, now, m_options.switch_within);
  // A gateway that learns the time of one version has to learn the older ones, too: until then, it
  // takes that version to be older than all it has missed.
  const bool is_any_recent =
      std::ranges::any_of(reported, [max_age](const Mesh::AdvertisedVersion& version)
                          { return version.known <= max_age; });
  return is_any_recent ? reported : std::vector<Mesh::AdvertisedVersion>();
}

void Sidecar::SendLoadReports(TimePoint now, Actions* actions)
{
  const Gateway::TargetLoad load = CurrentLoad(now);
  const auto are_arriving = [](const Gateway::TargetLoad& reported)
  { return reported.weights_forecast && reported.weights_forecast->is_arriving; };
  const bool has_news = !m_sent_load || m_sent_load->is_switching != load.is_switching ||
                        m_sent_load->weights_version != load.weights_version ||
                        m_sent_load->id != load.id ||
                        are_arriving(*m_sent_load) != are_arriving(load) ||
                        m_sent_load->is_leaving != load.is_leaving ||
                        m_sent_load->is_load_unchecked != load.is_load_unchecked ||
                        m_sent_load->rate_limit.has_value() != load.rate_limit.has_value();
  m_sent_load = load;
  m_load_sent_at = now;
  std::erase_if(m_gateways, [now](const auto& entry)
                { return now - entry.second.last_seen > GATEWAY_LIFETIME; });
  Mesh::LoadReport report;
  report.load = load;
  report.gateways = CountGateways();
  report.stamp = m_stamp;
  report.crashes = m_crashes.StateHash();
  if (m_report)
    report.read_age = std::chrono::ceil<Milliseconds>(now - m_known_report_asked_at);
  report.weights = ReportedVersions(now);
  for (const auto& [address, gateway] : m_gateways)
  {
    if (gateway.settings > report.settings)
    {
      report.settings = gateway.settings;
      report.settings_at = address;
    }
  }
  const std::map<Address, std::uint32_t> permits = IssuePermits(has_news, now);
  for (auto& [address, gateway] : m_gateways)
  {
    if (!IsLoadReportDue(gateway, has_news, now))
      continue;
    const auto issued = permits.find(address);
    report.load.permits = issued == permits.end() ? 0 : issued->second;
    const bool is_near = gateway.hall == m_options.hall;
    gateway.last_report = now;
    report.near_gateways.clear();
    if (is_near && now - gateway.gateways_sent_at >= GATEWAY_LIST_PERIOD)
    {
      gateway.gateways_sent_at = now;
      report.near_gateways = GatewaysOfLocalHall();
    }
    report.echo = gateway.clock;
    report.echo_age = std::chrono::duration_cast<Milliseconds>(now - gateway.last_hello);
    actions->push_back(SendMessage{address, report, true});
  }
  m_load_due.reset();
}

void Sidecar::OnLimitUpdate(std::optional<double> per_second, TimePoint now, Actions* actions)
{
  const bool was_limited = m_permits.Limit().has_value();
  m_permits.OnLimit(per_second, now);
  if (was_limited != per_second.has_value())
    SendLoadReports(now, actions);
}

std::map<Address, std::uint32_t> Sidecar::IssuePermits(bool has_news, TimePoint now)
{
  std::vector<PermitIssuer::Applicant> applicants;
  for (const auto& [address, gateway] : m_gateways)
  {
    if (gateway.wants_load && IsLoadReportDue(gateway, has_news, now))
      applicants.push_back({address, gateway.demand.arrivals_per_second});
  }
  return m_permits.Issue(applicants, now);
}

std::vector<Address> Sidecar::GatewaysOfLocalHall() const
{
  std::vector<Address> near_gateways;
  for (const auto& [address, gateway] : m_gateways)
  {
    if (gateway.hall == m_options.hall)
      near_gateways.push_back(address);
  }
  return near_gateways;
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
  const auto forecast = ForecastWeights(now);
  LogEvent(Weight::Important, now, "weights.progress", "version", m_wanted, "pieces",
           swarm->PiecesHeld(), "from_origin", swarm->OpenPlatformFetches(), "from_peers",
           swarm->OpenPeerFetches(), "neighbours", swarm->NeighbourCount(), "unseen",
           swarm->UnavailablePieces(), "staged", m_stage.StagedCount(), "proven",
           m_stage.VerifiedCount(), "inbound_delay_ms", m_exchange.InboundDelay(now), "busy",
           m_report && m_report->is_busy, "loaded", LoadedVersion(), "ready_in_ms",
           forecast ? forecast->ready_in : Milliseconds(-1), "arriving",
           forecast && forecast->is_arriving, "left_ms", EarliestSwitchDeadline(m_wanted) - now,
           "running", m_report ? m_report->running : 0, "queued", m_report ? m_report->queued : 0,
           "sent_by_gateways", TotalWork(now).requests);
}
} // namespace Holdpost::Sidecar
