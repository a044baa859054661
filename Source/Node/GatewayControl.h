// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "Core/Control/AnswerThrottle.h"
#include "Core/Control/ControlFollower.h"
#include "Core/Control/PeerQuery.h"
#include "Core/Control/ReaderElection.h"
#include "Core/Crashes/CrashExchange.h"
#include "Core/Crashes/CrashRecorder.h"
#include "Core/Crashes/LedgerCatchUp.h"
#include "Core/Mesh/BriefingSender.h"
#include "Core/Mesh/GatewayMembership.h"
#include "Node/GatewayConfig.h"
#include "Peers/Control/ControlPlane.h"
#include "Peers/Mesh/MeshEndpoint.h"

// A gateway's part in knowing what is in force: it reads the platform or leaves that to another
// gateway of its hall, passes on what it reads, and tells sidecars what they need.
namespace Holdpost::Node
{
class GatewayControl
{
public:
  struct TargetsInUse
  {
    std::vector<Common::Address> targets;
    bool needs_other_halls = false;
    Gateway::DemandReport demand;
  };

  // What is new is told by these.
  struct Handlers
  {
    std::function<void(const std::shared_ptr<const Settings::Document>&)> on_document;
    std::function<void(const std::string& model, const Control::KnownVersion&)> on_weights;
    std::function<void(const std::vector<Gateway::ListedTarget>&)> on_targets;
    std::function<void(const Gateway::TargetLoad&)> on_load;
    std::function<void(const Gateway::GatewayCounts&)> on_gateways;
    std::function<void(const std::vector<Crashes::CrashRecord>&)> on_crash_records;
    std::function<void(const Crashes::EngineEnd&)> on_engine_end;
    std::function<void(const std::vector<Gateway::LeavingTarget>&)> on_leaving;
    // The targets that are known to leave.
    std::function<std::vector<Gateway::LeavingTarget>()> leaving_targets;
    // The ledger of which records are sent to others.
    std::function<Crashes::CrashLedger&()> crash_ledger;
    // The targets that are sent to, whether those of other halls are needed, and what comes.
    std::function<TargetsInUse()> targets_in_use;
    // A message is about to be handled.
    std::function<void()> on_message;
    // The crash ledger is up to date again.
    std::function<void()> on_caught_up;
    // Something is to be done earlier than was said.
    std::function<void()> on_wakeup;
  };

  GatewayControl(Common::EventLoop& loop, const MeshConfig& config,
                 ControlPeer::ControlPlane& control, Handlers handlers);
  GatewayControl(const GatewayControl&) = delete;
  GatewayControl& operator=(const GatewayControl&) = delete;

  Common::Result<Common::Address> Listen();
  // Takes over what may change while the process runs: the platform's address, seeds, bounds.
  void SetConfig(const MeshConfig& config);
  void Tick(Common::TimePoint now);
  Common::TimePoint NextWakeup() const;
  // Tells the sidecar beside the target what is open there.
  void SendWorkUpdate(const Common::Address& target, const Gateway::GatewayWork& work);
  // Tells the sidecar beside the target which rate limit the target has named.
  void SendLimitUpdate(const Common::Address& target, std::optional<double> per_second);
  // Tells the other gateways of the hall that the target leaves.
  void SendLeaving(const Gateway::LeavingTarget& target);
  // The process has stood still: asks sidecars for the crash records that it may lack. Returns
  // whether there are any to ask.
  bool CatchUp(Common::TimePoint now);
  // Drops connections to peers that carried nothing for a while.
  void CloseIdle(Common::TimePoint now) { m_mesh.CloseIdle(now); }

  bool IsPlatformReachable() const { return m_follower.IsReachable(); }
  bool HasTargets() const { return m_follower.HasTargets(); }
  // The newest era of the platform that is known here.
  std::uint64_t PlatformEra() const { return m_follower.Era(); }
  // Whether this gateway reads the platform for its hall.
  bool IsReader() const { return m_duty.IsReader(); }

private:
  void FollowPlatform(Common::TimePoint now);
  void Ask(const Control::ReadOperatorChanges& read);
  void Ask(const Control::ReadTargets& read);
  void UpdateDuty(Common::TimePoint now);
  // Asks a seed for what the platform does not tell.
  void QuerySeeds(Common::TimePoint now);
  // Whether settings and targets are known.
  bool KnowsAll() const;
  // Whether others may rely on what this gateway reads.
  bool MayBeFollowed() const;
  // Asks another gateway for settings and targets that are newer than those known here.
  void AskPeer(const Common::Address& peer);
  void Beat(Common::TimePoint now);
  Mesh::ReaderBeat MakeBeat(Common::TimePoint now) const;
  // Asks seeds for the other gateways of the hall.
  void SearchGateways(Common::TimePoint now);
  void PassOnDocument(Common::TimePoint now);
  void PassOnTargets(Common::TimePoint now);

  void ApplyOperator();
  void ApplyTargets();
  void UpdateBriefing();
  void UpdateTargetsInUse();
  // Sends changes of the crash ledger to the gateways of the hall and to the sidecars in use.
  void SendCrashChanges(Common::TimePoint now);
  void AskForCrashRecords(Common::TimePoint now);
  void OnCrashRecords(const std::vector<Crashes::CrashRecord>& records);
  void OnCrashRecordsAnswer(const Mesh::Sender& from, const Mesh::CrashRecordsAnswer& tell);
  // Keeps the records of blocked requests on the platform.
  void RecordCrashes(Common::TimePoint now);
  void Do(const Crashes::ReadRecords& read);
  void Do(const Crashes::WriteRecord& write);
  void Do(const Crashes::DropRecord& drop);

  void OnMessage(const Mesh::Sender& from, Mesh::Message& message);
  void OnLoadReport(const Mesh::Sender& from, const Mesh::LoadReport& report);
  void OnGateways(const std::vector<Common::Address>& gateways);
  void OnReaderHeartbeat(const Mesh::Sender& from, const Mesh::ReaderBeat& beat);
  void OnDocument(const Mesh::Sender& from, const Mesh::DocumentUpdate& tell);
  void OnTargets(const Mesh::Sender& from, const Mesh::TargetsUpdate& tell);
  void AnswerDocument(const Common::Address& to, Settings::DocumentVersion newer_than);
  void AnswerTargets(const Common::Address& to, Control::Position newer_than);
  bool OfferWeights(const std::vector<Mesh::AdvertisedVersion>& weights, Common::TimePoint now);
  // The document in force, next to the text of the base if that was in force before it.
  const Mesh::DocumentUpdate& PackDocument(Settings::DocumentVersion base);
  // The same with the versions of weights that are known now.
  Mesh::DocumentUpdate MakeTellDocument(Settings::DocumentVersion base, Common::TimePoint now);

  MeshConfig m_config;
  std::mt19937_64 m_random;
  ControlPeer::ControlPlane& m_control;
  Handlers m_handlers;
  Control::ControlFollower m_follower;
  Control::ReaderElection m_duty;
  Control::PeerQuery m_seed_query;
  Control::AnswerThrottle m_document_pacing;
  Control::AnswerThrottle m_targets_pacing;
  Mesh::DocumentUpdate m_packed_whole;
  Mesh::DocumentUpdate m_packed_change;
  Mesh::BriefingSender m_briefing;
  Mesh::GatewayMembership m_membership;
  Crashes::CrashExchange m_crash_exchange;
  Crashes::CrashRecorder m_crash_recorder;
  Crashes::LedgerCatchUp m_catch_up;
  std::set<Common::Address> m_sidecars_in_use;
  MeshPeer::MeshEndpoint m_mesh;
  Common::TimePoint m_beat_due{};
  // The answer to these is awaited until then.
  Common::TimePoint m_ask_document_due{};
  Common::TimePoint m_ask_targets_due{};
};
} // namespace Holdpost::Node
