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
// If reading all pieces takes longer than that, the verification can be used for this time after
// its end; the load is then confirmed by reading the stage again.
static constexpr Milliseconds SLOW_VERIFICATION_LIFETIME = Milliseconds(500);
// For this time a target gets no requests while a load that nothing explains is being checked. The
// check needs the manifest, which cannot be fetched while the origin is away.
static constexpr Milliseconds MAX_HOLD_FOR_CHECK = Milliseconds(10000);

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
      m_loader.OnEngineUnreachable();
      ForgetEngine();
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
    if (!m_loader.IsUnderWay())
      m_loader.OnEngineRestarted();
    ForgetEngine();
    m_has_inherited_load = false;
  }
  m_end_reports = MAX_END_REPORTS;
  if (std::exchange(m_last_incarnation, report->incarnation) != report->incarnation)
  {
    m_stage.OnEngineRestarted();
    m_has_inherited_load = false;
  }
  const bool is_first = !std::exchange(m_has_engine_reported, true);
  m_report = *report;
  m_known_report_asked_at = m_report_asked_at;
  m_requests_at_report = TotalWork(now).requests;
  m_loader.OnReport(*report, m_report_asked_at, now);
  // An engine that had weights before this process began may have loaded them for an earlier one.
  if (is_first && report->orders > 0 && !m_loader.IsUnderWay())
    m_has_inherited_load = true;
  NoteInheritedLoad(now);
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

void Sidecar::ForgetEngine()
{
  m_unexplained_load_at.reset();
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
  if (m_found_reads.erase(event.ticket) > 0)
    OnFoundRead(event, now, actions);
  else if (const Distribution::Swarm* swarm = WantedSwarm())
  {
    const std::uint64_t bad_reads = m_stage.BadReads();
    m_stage.OnRead(event, *swarm, now);
    m_metrics.Add("holdpost_stage_pieces_bad_total", {}, m_stage.BadReads() - bad_reads);
  }
  OnTick(now, actions);
}

void Sidecar::OnFoundRead(const StagedRead& event, TimePoint now, Actions* actions)
{
  const auto* data = std::get_if<Common::Bytes>(&event.result);
  if (!data)
    return;
  Distribution::Actions new_actions;
  m_exchange.RestorePiece(VersionDigest(m_plan.model, m_wanted), event.piece, *data, now,
                          &new_actions);
  Translate(std::move(new_actions), now, actions);
  const Distribution::Swarm* swarm = WantedSwarm();
  if (swarm && swarm->IsValidPiece(event.piece, **data))
    m_stage.OnFound(event.piece);
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

StageAccess Sidecar::AllowedStageAccess() const
{
  const Distribution::Swarm* swarm = WantedSwarm();
  if (!swarm || !swarm->ManifestHeld() || !m_report)
    return StageAccess::None;
  // While the engine loads weights from the stage, the stage must not change.
  const StageAccess access = m_loader.AllowedAccess();
  if (m_report->is_busy && access == StageAccess::ReadAndWrite)
    return StageAccess::None;
  const bool is_done = LoadedVersion() >= m_wanted && swarm->IsHeld() && m_stage.IsStaged() &&
                       !m_has_inherited_load && !m_loader.IsUnderWay();
  return is_done ? StageAccess::None : access;
}

void Sidecar::TickStage(TimePoint now, Actions* actions)
{
  const bool was_confirming = std::exchange(m_is_confirming_load, m_loader.AwaitsConfirmation());
  // What was read before the engine accepted the order does not show what it has loaded.
  if (m_is_confirming_load && !was_confirming)
    m_stage.VerifyAgain();
  const StageAccess access = AllowedStageAccess();
  if (access == StageAccess::None)
    return;
  if (access == StageAccess::ReadAndWrite && !TickFoundPieces(actions))
    return;
  CheckInheritedLoad(now);
  // Only the stage shows that the engine's layers may be bad, until it is ordered to give them up.
  if (m_has_inherited_load && LoadedVersion() == m_wanted && !m_loader.IsUnderWay())
    return;
  StageActions new_actions;
  m_stage.OnTick(*WantedSwarm(), access, now, &new_actions);
  for (StageAction& action : new_actions)
    std::visit([&](auto& typed) { actions->push_back(std::move(typed)); }, action);
}

void Sidecar::NoteInheritedLoad(TimePoint now)
{
  if (!m_loader.HasUnexplainedLoad())
    return m_unexplained_load_at.reset();
  if (m_unexplained_load_at)
    return;
  m_unexplained_load_at = now;
  m_has_inherited_load = true;
  // Readings of before do not show what the engine has loaded.
  m_has_listed_stage = false;
  m_found_staged.clear();
  m_found_reads.clear();
  m_stage.Forget();
}

bool Sidecar::IsHeldForCheck(TimePoint now) const
{
  return m_unexplained_load_at && now - *m_unexplained_load_at < MAX_HOLD_FOR_CHECK;
}

void Sidecar::CheckInheritedLoad(TimePoint now)
{
  // A newer version takes the place of one that cannot be checked any more.
  if (!m_has_inherited_load || LoadedVersion() != m_wanted || m_loader.IsUnderWay())
    return;
  // A piece that this process wrote may have been bad when the engine loaded it.
  const bool is_sound = m_stage.IsStaged() && m_stage.Writes() == 0;
  // Without a sign of a recent load the engine serves until all pieces for a repair are there.
  if (!is_sound && !m_unexplained_load_at && !WantedSwarm()->IsHeld())
    return;
  m_has_inherited_load = false;
  m_unexplained_load_at.reset();
  if (is_sound)
    return m_loader.OnUnexplainedLoadConfirmed();
  m_loader.Repair({m_plan.model, m_wanted, m_plan.layers, {now, now}, m_stage.Writes()}, now);
}

bool Sidecar::TickFoundPieces(Actions* actions)
{
  // Pieces that an earlier incarnation of the sidecar left on the stage need not be fetched again.
  if (!m_has_listed_stage && !m_is_listing)
  {
    m_is_listing = true;
    actions->push_back(ListStaged{m_plan.model});
  }
  while (!m_found_staged.empty() && m_found_reads.size() < MAX_CONCURRENT_FOUND_READS)
  {
    const CallTicket ticket = m_stage.IssueTicket();
    m_found_reads.insert(ticket);
    actions->push_back(ReadStaged{ticket, m_plan.model, m_found_staged.back()});
    m_found_staged.pop_back();
  }
  return m_has_listed_stage && m_found_reads.empty();
}

void Sidecar::TickLoader(TimePoint now, Actions* actions)
{
  if (m_loader.AwaitsStage(now))
    ContinueLoad(now);
  else if (m_loader.State() == LoaderState::Confirming)
    ConfirmLoad(now);
  else if (IsLoadDue(now))
    BeginLoad(now, actions);
  if (const auto order = m_loader.OnTick(now))
  {
    m_metrics.Add("holdpost_orders_total");
    if (m_loader.TakesPieces())
      m_metrics.Record("holdpost_order_verified_seconds", now - m_loader.Verified().began);
    actions->push_back(*order);
  }
}

bool Sidecar::IsLoadDue(TimePoint now) const
{
  if (m_wanted == 0 || !m_report || m_report->is_busy || LoadedVersion() >= m_wanted ||
      m_loader.IsUnderWay())
    return false;
  const std::optional<TimePoint> switch_at = SwitchAt(now);
  return switch_at && now >= *switch_at;
}

std::optional<StagedVersion> Sidecar::TakeVerified(TimePoint now)
{
  const std::optional<Verification> verified = m_stage.Verified();
  if (!verified)
    return std::nullopt;
  const bool is_slow = verified->Took() >= VERIFICATION_LIFETIME;
  const bool is_fresh = is_slow ? now - verified->ended <= SLOW_VERIFICATION_LIFETIME
                                : now - verified->began <= VERIFICATION_LIFETIME;
  if (!is_fresh)
  {
    m_stage.VerifyAgain();
    return std::nullopt;
  }
  return StagedVersion{m_plan.model, m_wanted,         m_plan.layers,
                       *verified,    m_stage.Writes(), m_stage.MayBeOverwritten()};
}

void Sidecar::BeginLoad(TimePoint now, Actions* actions)
{
  const auto staged = TakeVerified(now);
  if (!staged)
    return;
  m_loader.Begin(*staged, now);
  if (!m_loader.IsUnderWay())
    return;
  m_has_inherited_load = false;
  SendLoadReports(now, actions);
}

void Sidecar::ContinueLoad(TimePoint now)
{
  if (const auto staged = TakeVerified(now))
    m_loader.Continue(*staged, now);
}

void Sidecar::ConfirmLoad(TimePoint now)
{
  if (!m_stage.IsReadCompletely())
    return;
  const bool is_sound = m_loader.OnStageRead(m_stage.Verified().has_value(), m_stage.Writes(), now);
  m_metrics.Add("holdpost_loads_confirmed_total",
                is_sound ? "outcome=\"sound\"" : "outcome=\"unsound\"");
}
} // namespace Holdpost::Sidecar
