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
#include "Core/Distribution/Exchange.h"
#include "Core/Mesh/MeshMessages.h"
#include "Core/Mesh/SeedSearch.h"
#include "Core/Sidecar/EngineMessages.h"
#include "Core/Sidecar/StageKeeper.h"
#include "Core/Sidecar/SwitchSchedule.h"
#include "Core/Sidecar/WeightsLoader.h"

// The decisions of the process beside a model engine that keeps its own stage: it tells gateways
// how full the engine is, fetches named weights from its peers and the origin, stages them and has
// them loaded. Takes events with the present time and returns actions.
namespace Holdpost::Sidecar
{
struct SidecarOptions
{
  // Where other instances reach this one; also its name among its peers.
  Common::Address address;
  std::string hall;
  Common::Address target;
  std::string service;
  std::uint64_t link_bytes_per_second = 0;
  Common::Milliseconds switch_within{8000};
  // Gateways of any hall, from the settings; they may be stale.
  std::vector<Common::Address> seeds = {};
};

// A piece from the origin, or the manifest for MANIFEST_PIECE; the answer is an OriginFetched.
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

// Tell a peer or gateway; `is_small` messages may be lost.
struct Tell
{
  Common::Address to;
  Mesh::Message message;
  bool is_small = true;
};

using Action = std::variant<ReadReport, ReadIdentity, ListStaged, ReadStaged, StagePiece,
                            StartWeights, FetchFromOrigin, CancelOriginFetch, Tell>;
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
  void Handle(const StartAnswered& event, Common::TimePoint now, Actions* actions);
  void Handle(const OriginFetched& event, Common::TimePoint now, Actions* actions);
  void OnMessage(const Mesh::Sender& from, const Mesh::Message& message, Common::TimePoint now,
                 Actions* actions);
  void OnPeerBroken(const Common::Address& peer, Common::TimePoint now, Actions* actions);
  // What the platform says, when it is asked directly.
  void OnPlan(const Mesh::WeightsPlan& plan, Common::TimePoint now);
  void OnWeights(const Control::NamedWeights& named, const Control::KnownSince& since);
  void OnPeers(const std::vector<Mesh::Peer>& peers, Common::TimePoint now, Actions* actions);

  void SetSwitchWithin(Common::Milliseconds within) { m_options.switch_within = within; }

  void SetSeeds(std::vector<Common::Address> seeds) { m_search.SetSeeds(std::move(seeds)); }

  void OnTick(Common::TimePoint now, Actions* actions);
  Common::TimePoint NextWakeup(Common::TimePoint now) const;
  // Whether no gateway of the hall has sent anything for a while, so that the platform has to be
  // asked.
  bool IsAlone(Common::TimePoint now) const;
  // Of which versions are named, and since when; the model is empty until a plan is known.
  const std::string& Model() const { return m_plan.model; }
  const std::map<std::uint64_t, Control::KnownSince>& NamedVersions() const { return m_named; }
  // Until when gateways of the hall have told of all versions that were named; empty if never.
  const std::optional<Common::TimePoint>& ToldVersionsUntil() const
  {
    return m_told_versions_until;
  }

  bool HasPlan() const { return !m_plan.model.empty(); }
  std::uint64_t WantedVersion() const { return m_wanted; }
  std::uint64_t LoadedVersion() const { return m_report ? m_report->weights_version : 0; }
  const Distribution::Exchange& Weights() const { return m_exchange; }
  // Pieces of the version that are here.
  std::uint32_t PiecesHeld(std::uint64_t version) const;

private:
  struct KnownGateway
  {
    std::string hall;
    Settings::DocumentVersion settings = 0;
    Common::Milliseconds clock{0};
    // Any message of it, and the hello with the clock.
    Common::TimePoint last_seen{};
    Common::TimePoint greeted{};
    Common::TimePoint told{};
    // It needs each report.
    bool wants_load = false;
    Gateway::OwnDemand demand;
    // Gateways of its hall, as it says.
    std::uint32_t near_gateways = 0;
    // What it has at the target.
    Gateway::OwnWork work;
    // When it was last told of the other gateways of the hall.
    Common::TimePoint listed{};
  };

  void OnHello(const Mesh::Sender& from, const Mesh::Hello& hello, Common::TimePoint now,
               Actions* actions);
  void OnWork(const Mesh::Sender& from, const Gateway::OwnWork& work, Common::TimePoint now,
              Actions* actions);
  // Whether a gateway of the hall has said anything within so long.
  bool SeesGateway(Common::Duration within, Common::TimePoint now) const;
  // Asks seeds for gateways of the hall while none is known.
  void SearchGateways(Common::TimePoint now, Actions* actions);
  void AskForBriefing(const std::vector<Common::Address>& gateways, Actions* actions);
  // What all gateways have at the target.
  Gateway::OwnWork WorkOfAll(Common::TimePoint now) const;
  // Takes the plan and the peers, if they are not older than what is known.
  void OnBriefed(const Mesh::Hello& hello, Common::TimePoint now, Actions* actions);
  // Of all halls, as those that are known say.
  std::uint32_t CountGateways() const;
  // What comes to the gateways that send here.
  Gateway::GatewayDemand DemandOfAll() const;
  // The target's load as it was reported, and what has come since.
  Gateway::TargetLoad LoadNow(Common::TimePoint now) const;
  bool IsDue(const KnownGateway& gateway, bool has_news, Common::TimePoint now) const;
  void ChooseVersion(Common::TimePoint now, Actions* actions);
  void WantVersion(std::uint64_t version, Common::TimePoint now, Actions* actions);
  void CopyAhead(std::uint64_t version, Common::TimePoint now, Actions* actions);
  void TellExchangeOfPeers(Common::TimePoint now, Actions* actions);
  void FetchVersion(std::uint64_t version, Common::TimePoint now, Actions* actions);
  // Whether nothing needs to be fetched yet, as the engine has the newest version, or may have it.
  bool MayWaitWithFetching(std::uint64_t newest, Common::TimePoint now) const;
  // Whether a newer version is to be copied instead of the one that is wanted.
  bool MayReplaceWanted(Common::TimePoint now) const;
  // Whether so much of it is in the hall that the rest is soon there, too.
  bool IsWantedMostlyFetched(const Distribution::Swarm* swarm) const;
  // Whether the version that was copied ahead is here before the wanted one was loaded: then that
  // one is skipped, and the target is without work for one switch instead of two.
  bool MayJumpAhead(Common::TimePoint now) const;
  // When the first of the named versions up to `newest` that the engine has not loaded is due.
  Common::TimePoint EarliestBound(std::uint64_t newest) const;
  Common::Duration CopyTime() const;
  // How much the pieces of the wanted version are needed.
  enum class Urgency
  {
    // The engine has the version, and its pieces may lie on the stage: nothing is fetched yet.
    FindsStaged,
    // The engine has the version: its pieces are kept for others.
    ForOthers,
    Usual,
    // Needed so soon that requests may wait for them.
    Haste,
  };
  Urgency UrgencyAt(Common::TimePoint now) const;
  std::uint32_t PiecesAtOnce() const;
  // What one piece takes on the own link as it is now, and what a whole copy and the rest of one
  // do.
  Common::Duration PieceTimeNow(Common::TimePoint now) const;
  Common::Duration WholeCopyTime(Common::TimePoint now) const;
  Common::Duration TimeToHold(const Distribution::Swarm* swarm, Common::TimePoint now) const;
  // When the engine is to take the wanted version; empty if it has it.
  std::optional<Common::TimePoint> SwitchAt(Common::TimePoint now) const;
  // The origin is a dependency: each time that it is lost or regained is told.
  void NoteOrigin(const Common::Result<Common::Bytes>& result, Common::TimePoint now);
  // Finds out under which id the engine is listed, once for each start of it.
  void TickIdentity(Common::TimePoint now, Actions* actions);
  void OnEngineRestarted();
  void TickStage(Common::TimePoint now, Actions* actions);
  void TickLoader(Common::TimePoint now, Actions* actions);
  void LogProgress(Common::TimePoint now);
  // All transfers since the start, so that two lines show what one push took.
  void LogHeld(std::uint64_t version, Common::TimePoint now) const;
  void TellLoad(Common::TimePoint now, Actions* actions);
  std::vector<Common::Address> NearGateways() const;
  void Translate(Distribution::Actions made, Common::TimePoint now, Actions* actions);
  // What swarms know a version by.
  static Common::Digest VersionDigest(const std::string& model, std::uint64_t version);
  const Distribution::Swarm* WantedSwarm() const;
  Distribution::ExchangeOptions MakeExchangeOptions() const;
  Common::Duration PieceTime() const;
  std::uint32_t DownloadsWhileLacking() const;
  // What a piece takes on the origin's link.
  Common::Duration OriginPieceTime() const;
  Common::Duration ClaimLifetime() const;

  SidecarOptions m_options;
  Common::Metrics& m_metrics;
  Distribution::Exchange m_exchange;
  StageKeeper m_stage;
  WeightsLoader m_loader;
  Mesh::WeightsPlan m_plan;
  // What gateways have told of the plan and the peers.
  Mesh::BriefingStamp m_stamp;
  // Versions that were named, and since when this is known somewhere.
  std::map<std::uint64_t, Control::KnownSince> m_named;
  std::optional<Common::TimePoint> m_told_versions_until;
  // The one that the engine is to load next, and a newer one that is copied meanwhile.
  std::uint64_t m_wanted = 0;
  std::uint64_t m_ahead = 0;
  std::uint64_t m_before = 0;
  Urgency m_urgency = Urgency::Usual;
  std::map<Common::Digest, std::uint64_t> m_versions;
  std::map<Common::Address, KnownGateway> m_gateways;
  Mesh::SeedSearch m_search;
  std::vector<Mesh::Peer> m_peers;
  std::optional<Common::TimePoint> m_began;
  std::optional<EngineReport> m_report;
  // What gateways had told of when the report was read.
  std::uint32_t m_requests_at_report = 0;
  // New work is told of by then.
  std::optional<Common::TimePoint> m_tell_due;
  Common::TimePoint m_told_at{};
  bool m_is_reading_report = false;
  std::uint32_t m_reports_failed = 0;
  // Under which id the engine is listed; empty until it has said so.
  Gateway::TargetId m_target_id;
  bool m_is_reading_identity = false;
  std::uint32_t m_identity_reads = 0; // since its start
  Common::TimePoint m_identity_due{};
  Common::TimePoint m_report_due{};
  Common::TimePoint m_peers_due{};
  bool m_is_view_confirmed = false;
  // Pieces found on the stage at the start, offered to the exchange once a manifest is known.
  std::vector<std::uint32_t> m_found_staged;
  bool m_has_listed = false;
  bool m_is_listing = false;
  std::uint32_t m_found_in_flight = 0;
  std::optional<Gateway::TargetLoad> m_told;
  Common::TimePoint m_progress_due{};
  // Pieces asked of this sidecar, by the tag under which the exchange knows them.
  struct Asked
  {
    Common::Address from;
    std::uint64_t id = 0;
  };
  std::map<Distribution::RequestTag, Asked> m_asked;
  Distribution::RequestTag m_next_tag = 1;
  std::set<Distribution::FetchId> m_at_origin;
  bool m_is_origin_lost = false;
  std::map<Distribution::FetchId, Common::Address> m_at_peers;
};
} // namespace Holdpost::Sidecar
