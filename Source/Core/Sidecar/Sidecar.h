// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Metrics.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Crashes/CrashExchange.h"
#include "Core/Distribution/Exchange.h"
#include "Core/Mesh/MeshMessages.h"
#include "Core/Mesh/SeedSearch.h"
#include "Core/Sidecar/EngineMessages.h"
#include "Core/Sidecar/PermitIssuer.h"
#include "Core/Sidecar/StageManager.h"
#include "Core/Sidecar/SwitchSchedule.h"
#include "Core/Sidecar/WeightsLoader.h"

// The state machine of the process beside a model engine that keeps its own stage: it reports the
// load of the engine to gateways, fetches named weights from its peers and the origin, stages them
// and orders the engine to load them. It takes events with the current time and returns actions.
namespace Holdpost::Sidecar
{
struct SidecarOptions
{
  // The address under which other instances reach this sidecar; it is also the name of the sidecar
  // among its peers.
  Common::Address address;
  std::string hall;
  Common::Address target;
  std::string service;
  std::uint64_t link_bytes_per_second = 0;
  Common::Milliseconds switch_within = Control::DEFAULT_SWITCH_WITHIN;
  // Gateways of any hall, from the settings; these addresses may be stale.
  std::vector<Common::Address> seeds = {};
};

// Fetches a piece from the origin, or the manifest for MANIFEST_PIECE; the answer is an
// OriginFetched.
struct FetchFromOrigin
{
  Distribution::FetchId id = 0;
  Common::Address origin;
  std::string model;
  std::uint64_t version = 0;
  std::uint32_t piece = 0;
};

struct CancelOriginFetch
{
  Distribution::FetchId id = 0;
};

struct OriginFetched
{
  Distribution::FetchId id = 0;
  Common::Result<Common::Bytes> result;
};

// Sends a message to a peer or gateway. A message with `may_be_lost` set is sent as a
// datagram if it fits into one, and may then be lost.
struct SendMessage
{
  Common::Address to;
  Mesh::Message message;
  bool may_be_lost = true;
};

using Action = std::variant<ReadReport, ReadIdentity, ListStaged, ReadStaged, StagePiece,
                            LoadStagedWeights, FetchFromOrigin, CancelOriginFetch, SendMessage>;
using Actions = std::vector<Action>;

class Sidecar
{
public:
  Sidecar(SidecarOptions options, Common::Metrics& metrics);

  void Handle(const ReportRead& event, Common::TimePoint now, Actions* actions);
  void Handle(const IdentityRead& event, Common::TimePoint now, Actions* actions);
  void Handle(const StagedListed& event, Common::TimePoint now, Actions* actions);
  void Handle(const StagedRead& event, Common::TimePoint now, Actions* actions);
  void Handle(const PieceStaged& event, Common::TimePoint now, Actions* actions);
  void Handle(const LoadAnswered& event, Common::TimePoint now, Actions* actions);
  void Handle(const OriginFetched& event, Common::TimePoint now, Actions* actions);
  void OnMessage(const Mesh::Sender& from, const Mesh::Message& message, Common::TimePoint now,
                 Actions* actions);
  void OnPeerDisconnected(const Common::Address& peer, Common::TimePoint now, Actions* actions);
  // Plan, weights and peers that the platform sends when the sidecar asks it directly.
  void OnPlan(const Mesh::WeightsPlan& plan, Common::TimePoint now);
  void OnWeights(const Control::NamedWeights& named, const Control::KnownSince& since);
  void OnPeers(const std::vector<Mesh::Peer>& peers, Common::TimePoint now, Actions* actions);

  void SetSwitchWithin(Common::Milliseconds within) { m_options.switch_within = within; }

  void SetSeeds(std::vector<Common::Address> seeds) { m_search.SetSeeds(std::move(seeds)); }

  void OnTick(Common::TimePoint now, Actions* actions);
  Common::TimePoint NextWakeup(Common::TimePoint now) const;
  // Whether no gateway of the hall has sent a message for a while, so that the sidecar has to ask
  // the platform.
  bool IsIsolated(Common::TimePoint now) const;
  // The model that the plan names, and its named versions with the time since which each is known;
  // the model is empty until a plan is known.
  const std::string& Model() const { return m_plan.model; }
  const Control::NamedVersions& NamedVersions() const { return m_named; }
  // The time up to which gateways of the hall have reported all named versions; empty if they have
  // never done so.
  const std::optional<Common::TimePoint>& VersionsReportedUntil() const
  {
    return m_versions_reported_until;
  }

  bool HasPlan() const { return !m_plan.model.empty(); }
  std::uint64_t WantedVersion() const { return m_wanted; }
  // The version of which the engine holds all layers; 0 if there is none.
  std::uint64_t LoadedVersion() const
  {
    return m_report && !HoldsPart(*m_report, m_plan.layers) ? m_report->weights_version : 0;
  }
  const Distribution::Exchange& Weights() const { return m_exchange; }
  const Crashes::CrashLedger& CrashLedger() const { return m_crashes; }
  // When the engine can begin requests with the wanted version; empty if it has the version, or if
  // the engine is not known to run.
  std::optional<Gateway::WeightsForecast> ForecastWeights(Common::TimePoint now) const;
  // Number of pieces of the version that this sidecar holds.
  std::uint32_t PiecesHeld(std::uint64_t version) const;

private:
  // How many times the end of the engine is reported to gateways, as messages may be lost.
  static constexpr std::uint32_t MAX_END_REPORTS = 4;

  struct KnownGateway
  {
    std::string hall;
    Settings::DocumentVersion settings = 0;
    Common::Milliseconds clock{0};
    // The time of the last message of any kind from the gateway, and of the last hello, which
    // carried the clock.
    Common::TimePoint last_seen{};
    Common::TimePoint last_hello{};
    Common::TimePoint last_report{};
    // The gateway needs every load report.
    bool wants_load = false;
    Gateway::DemandReport demand;
    // Number of gateways in the gateway's hall, as the gateway reports it.
    std::uint32_t near_gateways = 0;
    // The work that the gateway has at the target.
    Gateway::GatewayWork work;
    // When this sidecar last sent the gateway the list of the gateways in the hall.
    Common::TimePoint gateways_sent_at{};
  };

  void OnHello(const Mesh::Sender& from, const Mesh::Hello& hello, Common::TimePoint now,
               Actions* actions);
  void OnWorkAnnounced(const Mesh::Sender& from, const Gateway::GatewayWork& work,
                       Common::TimePoint now, Actions* actions);
  // Whether a gateway of the hall has sent a message within the given time.
  bool HasSeenGateway(Common::Duration within, Common::TimePoint now) const;
  // Asks the seeds for gateways of the hall while no gateway of it is known.
  void SearchGateways(Common::TimePoint now, Actions* actions);
  void RequestBriefings(const std::vector<Common::Address>& gateways, Actions* actions);
  void OnLimitUpdate(std::optional<double> per_second, Common::TimePoint now, Actions* actions);
  // The work that all gateways together have at the target.
  Gateway::GatewayWork TotalWork(Common::TimePoint now) const;
  // Adopts the plan and the peers of the hello unless they are older than the known ones.
  void OnBriefing(const Mesh::Hello& hello, Common::TimePoint now, Actions* actions);
  // Number of gateways in all halls, as the known gateways report it.
  std::uint32_t CountGateways() const;
  // The arrivals at the gateways of this hall, and at those gateways of other halls that send
  // requests to this target.
  Gateway::GatewayDemand TotalDemand() const;
  // The target's load from the engine's last report, updated with the work that gateways have
  // announced since then.
  Gateway::TargetLoad CurrentLoad(Common::TimePoint now) const;
  bool IsLoadReportDue(const KnownGateway& gateway, bool has_news, Common::TimePoint now) const;
  void ChooseVersion(Common::TimePoint now, Actions* actions);
  void SetWantedVersion(std::uint64_t version, Common::TimePoint now, Actions* actions);
  void PrefetchVersion(std::uint64_t version, Common::TimePoint now, Actions* actions);
  void UpdateExchangePeers(Common::TimePoint now, Actions* actions);
  void FetchVersion(std::uint64_t version, Common::TimePoint now, Actions* actions);
  // Whether the sidecar need not fetch anything yet, because the engine has the newest version or
  // may have it.
  bool MayDelayFetching(std::uint64_t newest, Common::TimePoint now) const;
  // Whether the links have settled after a start of all processes, so that the sidecar may fetch
  // what only its peers need.
  bool HasSettled(Common::TimePoint now) const;
  // Whether anything may be fetched from the origin. The manifest for the check of a load that an
  // earlier process ordered comes from peers until the links have settled.
  bool MayUseOrigin(Common::TimePoint now) const;
  // Whether the sidecar should copy a newer version instead of the wanted one.
  bool MayReplaceWanted(Common::TimePoint now) const;
  // Whether the hall holds so many pieces of the wanted version that the remaining ones will soon
  // be there, too.
  bool IsWantedMostlyFetched(const Distribution::Swarm* swarm) const;
  // Whether the version that was copied ahead is complete before the engine has loaded the wanted
  // one: the wanted version is then skipped, and the target is out of service for one switch
  // instead of two.
  bool MaySkipToPrefetched(Common::TimePoint now) const;
  // The earliest switch deadline of the named versions up to `newest` that the engine has not
  // loaded.
  Common::TimePoint EarliestSwitchDeadline(std::uint64_t newest) const;
  Common::Duration CopyTime() const;
  // How urgently the sidecar needs the pieces of the wanted version.
  enum class Urgency
  {
    // The engine has the version, and its pieces may be on the stage: the sidecar fetches nothing
    // yet.
    ChecksStage,
    // The engine has the version: the sidecar keeps the pieces for its peers.
    ForPeers,
    Normal,
    // The pieces are needed so soon that requests may wait for them.
    Urgent,
  };
  Urgency UrgencyAt(Common::TimePoint now) const;
  std::uint32_t MaxConcurrentPieces() const;
  // The transfer time of one piece over the local link at its current rate, and the times that
  // follow from it for a whole copy and for the missing pieces of a copy.
  Common::Duration CurrentPieceTime(Common::TimePoint now) const;
  Common::Duration CurrentCopyTime(Common::TimePoint now) const;
  Common::Duration RemainingCopyTime(const Distribution::Swarm* swarm, Common::TimePoint now) const;
  // The time until all pieces of the wanted version are held if they arrive as usual.
  Common::Duration ExpectedCopyTime(const Distribution::Swarm* swarm, Common::TimePoint now) const;
  // Whether no piece of the wanted version is missing, or some have arrived lately.
  bool ArePiecesArriving(const Distribution::Swarm* swarm, Common::TimePoint now) const;
  // Reports to all gateways at once when pieces begin to arrive.
  void OnPieceArrived(Common::TimePoint now, Actions* actions);
  // The time at which the engine should load the wanted version; empty if the engine has it.
  std::optional<Common::TimePoint> SwitchAt(Common::TimePoint now) const;
  // The origin is a dependency: the sidecar logs each time that the origin is lost or regained.
  void UpdateOriginState(const Common::Result<Common::Bytes>& result, Common::TimePoint now);
  // Reads the id under which the engine is listed, once for each start of the engine.
  void TickIdentity(Common::TimePoint now, Actions* actions);
  // Discards what is known of an engine that has restarted or does not answer.
  void ForgetEngine();
  // Remembers which start of the engine has ended, if it was known to run.
  void OnEngineLost();
  // Tells all known gateways that the engine has ended without notice.
  void ReportEngineEnd(Actions* actions) const;
  // Sends a gateway all crash records if its ledger lacks some.
  void CompareCrashes(const Common::Address& gateway, std::uint64_t state_hash,
                      Common::TimePoint now, Actions* actions);
  void SendCrashChanges(Common::TimePoint now, Actions* actions);
  // Passes a piece that was found on the stage on to the exchange.
  void OnFoundRead(const StagedRead& event, Common::TimePoint now, Actions* actions);
  StageAccess AllowedStageAccess() const;
  void TickStage(Common::TimePoint now, Actions* actions);
  // Begins to check a load that nothing explains: the stage is listed and read anew.
  void NoteInheritedLoad(Common::TimePoint now);
  // Whether the target gets no requests, as its load has not been checked yet.
  bool IsHeldForCheck(Common::TimePoint now) const;
  // Checks a load that an earlier incarnation of the sidecar ordered by the pieces found on the
  // stage, before any of them is written.
  void CheckInheritedLoad(Common::TimePoint now);
  // Reads the pieces that were on the stage at the start; returns whether all have been read.
  bool TickFoundPieces(Actions* actions);
  void TickLoader(Common::TimePoint now, Actions* actions);
  // Whether the engine should load the wanted version now.
  bool IsLoadDue(Common::TimePoint now) const;
  // The wanted version if the verification of the stage can be used for an order. A verification
  // that is too old is discarded.
  std::optional<StagedVersion> TakeVerified(Common::TimePoint now);
  void BeginLoad(Common::TimePoint now, Actions* actions);
  void ContinueLoad(Common::TimePoint now);
  // Tells the loader what the stage holds once all of it has been read.
  void ConfirmLoad(Common::TimePoint now);
  void LogProgress(Common::TimePoint now);
  // Logs the totals of all transfers since the start, so that the difference between two lines
  // shows the transfers of one push.
  void LogHeld(std::uint64_t version, Common::TimePoint now) const;
  // The named versions that are reported to gateways.
  std::vector<Mesh::AdvertisedVersion> ReportedVersions(Common::TimePoint now) const;
  void SendLoadReports(Common::TimePoint now, Actions* actions);
  std::vector<Common::Address> GatewaysOfLocalHall() const;
  // The permits under the engine's rate limit for the gateways to which a report is due.
  std::map<Common::Address, std::uint32_t> IssuePermits(bool has_news, Common::TimePoint now);
  void Translate(Distribution::Actions new_actions, Common::TimePoint now, Actions* actions);
  // The digest by which swarms identify a version.
  static Common::Digest VersionDigest(const std::string& model, std::uint64_t version);
  // The version that a swarm of this sidecar copies.
  std::uint64_t VersionOf(const Common::Digest& digest) const;
  const Distribution::Swarm* WantedSwarm() const;
  Distribution::ExchangeOptions MakeExchangeOptions() const;
  Common::Duration PieceTime() const;
  std::uint32_t MaxDownloadsWhileIncomplete() const;
  // The transfer time of a piece over the origin's link.
  Common::Duration OriginPieceTime() const;
  Common::Duration ClaimLifetime() const;

  SidecarOptions m_options;
  Common::Metrics& m_metrics;
  Distribution::Exchange m_exchange;
  StageManager m_stage;
  WeightsLoader m_loader;
  Mesh::WeightsPlan m_plan;
  // The stamp of the plan and the peers that gateways have sent.
  Mesh::BriefingStamp m_stamp;
  // The named versions, and the time since which any process knows each.
  Control::NamedVersions m_named;
  std::optional<Common::TimePoint> m_versions_reported_until;
  // The version that the engine should load next, a newer version that is copied in the meantime,
  // and the last completely copied version that was wanted before.
  std::uint64_t m_wanted = 0;
  std::uint64_t m_prefetched = 0;
  std::uint64_t m_previous = 0;
  Urgency m_urgency = Urgency::Normal;
  // When the last piece of any version arrived from the origin or a peer.
  std::optional<Common::TimePoint> m_last_piece_at;
  std::map<Common::Address, KnownGateway> m_gateways;
  PermitIssuer m_permits;
  Crashes::CrashLedger m_crashes;
  Crashes::CrashExchange m_crash_exchange;
  // The last start of the engine that was lost, and the number of times that its end was reported.
  Crashes::EngineEnd m_lost_engine;
  std::uint32_t m_end_reports = MAX_END_REPORTS;
  Mesh::SeedSearch m_search;
  std::vector<Mesh::Peer> m_peers;
  std::optional<Common::TimePoint> m_started_at;
  std::optional<EngineReport> m_report;
  // Number of requests that gateways had announced when the engine's report was read.
  std::uint32_t m_requests_at_report = 0;
  // When newly announced work is reported to the gateways at the latest; empty if there is none.
  std::optional<Common::TimePoint> m_load_due;
  Common::TimePoint m_load_sent_at{};
  bool m_is_reading_report = false;
  // When the report that is being read was asked for, and the last one that came.
  Common::TimePoint m_report_asked_at{};
  Common::TimePoint m_known_report_asked_at{};
  std::uint32_t m_reports_failed = 0;
  // The id under which the engine is listed; empty until the engine has reported it.
  Gateway::TargetId m_target_id;
  bool m_is_reading_identity = false;
  std::uint32_t m_identity_reads = 0; // since the engine started
  Common::TimePoint m_identity_due{};
  Common::TimePoint m_report_due{};
  Common::TimePoint m_peers_due{};
  bool m_is_view_confirmed = false;
  // Pieces that were found on the stage at the start. They are offered to the exchange once a
  // manifest is known.
  std::vector<std::uint32_t> m_found_staged;
  bool m_has_listed_stage = false;
  bool m_is_listing = false;
  std::set<CallTicket> m_found_reads;
  // The engine has accepted an order of another process of the sidecar; the pieces found on the
  // stage show whether they were correct.
  bool m_has_inherited_load = false;
  // When an order of another process was seen to be accepted; empty if none was.
  std::optional<Common::TimePoint> m_unexplained_load_at;
  bool m_has_engine_reported = false;
  // The start of the engine that reported last; 0 if none has.
  std::uint64_t m_last_incarnation = 0;
  // The stage is being read to find out whether the engine has loaded correct pieces.
  bool m_is_confirming_load = false;
  std::optional<Gateway::TargetLoad> m_sent_load;
  Common::TimePoint m_progress_due{};
  // Piece requests of peers, by the tag under which the exchange knows them.
  struct PieceRequest
  {
    Common::Address from;
    std::uint64_t id = 0;
  };
  std::map<Distribution::RequestTag, PieceRequest> m_piece_requests;
  Distribution::RequestTag m_next_tag = 1;
  std::set<Distribution::FetchId> m_origin_fetches;
  bool m_is_origin_lost = false;
  std::map<Distribution::FetchId, Common::Address> m_peer_fetches;
};
} // namespace Holdpost::Sidecar
