// SPDX-License-Identifier: Apache-2.0
#include "Core/Sidecar/Sidecar.h"

#include <utility>

#include "Common/EventLog.h"

// Communication of a sidecar with its engine: the engine's reports, the content of its stage, and
// the load orders.
namespace Holdpost::Sidecar
{
using Common::Duration;
using Common::Error;
using Common::LogEvent;
using Common::Milliseconds;
using Common::TimePoint;
using Common::Weight;

static constexpr std::uint32_t MAX_FAILED_REPORTS = 3;
// An engine that is full does not report its id. After this number of reads the sidecar stops
// asking, as the engine is in the target list by then.
static constexpr std::uint32_t MAX_IDENTITY_READS = 4;
static constexpr Milliseconds IDENTITY_RETRY_DELAY = Milliseconds(300);
// The maximum number of pieces found on the stage that are read at once.
static constexpr std::uint32_t MAX_CONCURRENT_FOUND_READS = 2;
// A verification that is older than this does not show what is on the stage now.
static constexpr Milliseconds VERIFICATION_LIFETIME = Milliseconds(2000);

void Sidecar::Handle(const ReportRead& event, TimePoint now, Actions* actions)
{
  m_is_reading_report = false;
  const auto* report = std::get_if<EngineReport>(&event.result);
  if (!report)
  {
    if (++m_reports_failed == MAX_FAILED_REPORTS)
    {
      LogEvent(Weight::Important, now, "engine.lost", "target", m_target_id, "incarnation",
               m_report ? m_report->incarnation : 0, "running", m_report ? m_report->running : 0,
               "reason", std::get<Error>(event.result).message);
      OnEngineLost();
      m_report.reset();
      OnEngineRestarted();
    }
    // Repeated, as messages may be lost.
    if (m_end_reports < MAX_END_REPORTS)
    {
      ++m_end_reports;
      ReportEngineEnd(actions);
    }
    return;
  }
  if (m_reports_failed >= MAX_FAILED_REPORTS)
    LogEvent(Weight::Important, now, "engine.regained", "weights", report->weights_version);
  m_reports_failed = 0;
  // While the engine loads weights, it may report that it has no weights at all.
  const bool has_restarted =
      m_report &&
      (report->incarnation != m_report->incarnation || report->orders < m_report->orders ||
       (report->weights_version < m_report->weights_version && !m_loader.IsUnderWay()));
  if (has_restarted)
  {
    LogEvent(Weight::Important, now, "engine.restarted", "before", m_target_id, "weights",
             report->weights_version);
    OnEngineLost();
    ReportEngineEnd(actions);
    OnEngineRestarted();
  }
  m_end_reports = MAX_END_REPORTS;
  m_report = *report;
  m_known_report_asked_at = m_report_asked_at;
  m_requests_at_report = TotalWork(now).requests;
  m_loader.OnReport(*report, now);
  ChooseVersion(now, actions);
  SendLoadReports(now, actions);
}

void Sidecar::OnEngineLost()
{
  if (!m_report)
    return;
  m_lost_engine = {m_options.target, m_target_id, m_report->incarnation};
  m_end_reports = 0;
}

void Sidecar::OnEngineRestarted()
{
  m_loader.OnEngineLost();
  m_stage.VerifyAgain();
  m_target_id.clear();
  m_permits.Reset();
  m_identity_reads = 0;
}

void Sidecar::TickIdentity(TimePoint now, Actions* actions)
{
  const bool is_wanted = m_report && m_target_id.empty() && !m_plan.health_path.empty() &&
                         m_identity_reads < MAX_IDENTITY_READS;
  if (!is_wanted || m_is_reading_identity || now < m_identity_due)
    return;
  m_is_reading_identity = true;
  m_identity_due = now + IDENTITY_RETRY_DELAY;
  ++m_identity_reads;
  actions->push_back(ReadIdentity{m_plan.health_path});
}

void Sidecar::Handle(const IdentityRead& event, TimePoint now, Actions* actions)
{
  m_is_reading_identity = false;
  const auto* id = std::get_if<std::string>(&event.result);
  // An id that was requested before the engine restarted is not the id of the new incarnation.
  if (!id || m_identity_reads == 0)
    return;
  m_target_id = *id;
  SendLoadReports(now, actions);
}

void Sidecar::Handle(const StagedListed& event, TimePoint /*now*/, Actions* /*actions*/)
{
  m_is_listing = false;
  if (const auto* pieces = std::get_if<std::vector<std::uint32_t>>(&event.result))
  {
    m_has_listed_stage = true;
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
      Distribution::Actions new_actions;
      m_exchange.RestorePiece(VersionDigest(m_plan.model, m_wanted), event.piece, *data, now,
                              &new_actions);
      Translate(std::move(new_actions), now, actions);
      if (swarm && swarm->IsValidPiece(event.piece, **data))
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

void Sidecar::Handle(const LoadAnswered& event, TimePoint now, Actions* actions)
{
  m_loader.OnAnswered(event, now);
  m_report_due = now;
  OnTick(now, actions);
}

void Sidecar::Handle(const OriginFetched& event, TimePoint now, Actions* actions)
{
  m_origin_fetches.erase(event.id);
  UpdateOriginState(event.result, now);
  Distribution::Actions new_actions;
  m_exchange.OnFetched(event.id, event.result, now, &new_actions);
  Translate(std::move(new_actions), now, actions);
}

void Sidecar::UpdateOriginState(const Common::Result<Common::Bytes>& result, TimePoint now)
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

void Sidecar::TickStage(TimePoint now, Actions* actions)
{
  const Distribution::Swarm* swarm = WantedSwarm();
  // While the engine loads weights from the stage, the stage must not change.
  if (!swarm || !swarm->ManifestHeld() || m_loader.IsUnderWay() || !m_report || m_report->is_busy)
    return;
  if (LoadedVersion() >= m_wanted && swarm->IsHeld() && m_stage.IsStaged())
    return;
  // Pieces that an earlier incarnation of the sidecar left on the stage need not be fetched again.
  if (!m_has_listed_stage && !m_is_listing)
  {
    m_is_listing = true;
    actions->push_back(ListStaged{m_plan.model});
  }
  while (!m_found_staged.empty() && m_found_in_flight < MAX_CONCURRENT_FOUND_READS)
  {
    ++m_found_in_flight;
    actions->push_back(ReadStaged{m_plan.model, m_found_staged.back()});
    m_found_staged.pop_back();
  }
  if (!m_has_listed_stage || m_found_in_flight > 0)
    return;
  StageActions new_actions;
  m_stage.OnTick(*swarm, now, &new_actions);
  for (StageAction& action : new_actions)
    std::visit([&](auto& typed) { actions->push_back(std::move(typed)); }, action);
}

void Sidecar::TickLoader(TimePoint now, Actions* actions)
{
  if (m_wanted > 0 && m_report && !m_report->is_busy && LoadedVersion() < m_wanted &&
      !m_loader.IsUnderWay())
  {
    const auto verified_since = m_stage.VerifiedSince();
    const std::optional<TimePoint> switch_at = SwitchAt(now);
    const bool is_due = switch_at && now >= *switch_at;
    if (verified_since && now - *verified_since > VERIFICATION_LIFETIME && is_due)
      m_stage.VerifyAgain();
    else if (verified_since && is_due)
      m_loader.Begin(m_plan.model, m_wanted, now);
    if (m_loader.IsUnderWay())
      SendLoadReports(now, actions);
  }
  if (const auto start = m_loader.OnTick(now))
  {
    m_metrics.Add("holdpost_orders_total");
    actions->push_back(*start);
  }
}
} // namespace Holdpost::Sidecar
