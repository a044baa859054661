// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Crashes/CrashTracker.h"
#include "Core/Distribution/Actions.h"
#include "Core/Gateway/Target.h"

// The messages between gateways and sidecars.
namespace Holdpost::Mesh
{
struct Sender
{
  std::string instance;
  std::string hall;
  // The address at which the sender receives messages.
  Common::Address address;
  // Increases with each start under the same instance name.
  std::uint64_t incarnation = 0;
};

// A named version of weights, and how long any process has known it.
struct AdvertisedVersion
{
  Control::NamedWeights named;
  Common::Milliseconds known{0};
  // Whether the age is assumed because no process that observed the naming has reported it.
  bool is_assumed = false;

  // The versions of a model that restrict requests, oldest first, with their ages at `now`.
  static std::vector<AdvertisedVersion> AllOf(const std::string& model,
                                              const Control::NamedVersions& versions,
                                              Common::TimePoint now,
                                              Common::Milliseconds switch_within)
  {
    std::vector<AdvertisedVersion> all;
    for (const auto& [version, since] : versions.RestrictingAt(now, switch_within))
    {
      const auto known = std::chrono::duration_cast<Common::Milliseconds>(now - since.time);
      all.push_back({{model, version}, std::max(known, Common::Milliseconds(0)), since.is_assumed});
    }
    return all;
  }
  Control::KnownSince Since(Common::TimePoint now) const { return {now - known, is_assumed}; }
};

// What a sidecar needs to know about the model of its service.
struct WeightsPlan
{
  std::string service;
  std::string model;
  std::uint32_t pieces = 0;
  std::uint32_t piece_bytes = 0;
  Common::Milliseconds warm_up{0};
  Common::Address origin;
  std::string origin_hall;
  // The bandwidth of the origin's link; 0 if unknown.
  std::uint64_t origin_bytes_per_second = 0;
  // The HTTP path at which the targets of the service identify themselves; empty if there is none.
  std::string health_path = {};
  // Number of layers of the model; 0 if unknown.
  std::uint32_t layers = 0;

  bool operator==(const WeightsPlan&) const = default;
};

// A sidecar, identified by the address at which it receives messages.
struct Peer
{
  Common::Address address;
  std::string hall;

  auto operator<=>(const Peer&) const = default;
};

// A briefing consists of a weights plan and a list of peers. Its stamp holds the versions of the
// state from which they were read; neither version decreases.
struct BriefingStamp
{
  // The settings version that last changed the plan, and the position of the last change in the
  // target list.
  Settings::DocumentVersion settings = 0;
  Control::Position targets = 0;

  bool operator==(const BriefingStamp&) const = default;
  bool IsBehind(const BriefingStamp& other) const
  {
    return settings < other.settings || targets < other.targets;
  }
};

// Sent periodically by every process to those that need it, because datagrams may be lost.
struct Hello
{
  bool is_gateway = false;
  Settings::DocumentVersion settings = 0;
  std::vector<AdvertisedVersion> weights;
  WeightsPlan plan; // has no model if the sender knows none or the receiver has the plan
  // The sidecars of the plan's service; empty if the plan is empty.
  std::vector<Peer> peers;
  // The stamp of the plan and the peers.
  BriefingStamp stamp;
  // The sender's clock, which a load report echoes so that the sender can measure the round-trip
  // time.
  Common::Milliseconds clock{0};
  // Whether the sender sends requests to the receiver's target and therefore needs every load
  // report.
  bool wants_load = false;
  // The demand for engines at the sender: the rate of arrivals and the refused share.
  Gateway::DemandReport demand;
  // The number of gateways of the sender's hall, including the sender.
  std::uint32_t near_gateways = 0;
  // The state hash of the sender's crash ledger.
  std::uint64_t crashes = 0;
};

// The work that a gateway has at the receiver's target, sent whenever it changes.
struct WorkUpdate
{
  Gateway::GatewayWork work;
};

// The rate limit that an answer of the receiver's target has named to a gateway; empty if an answer
// has named none any more.
struct LimitUpdate
{
  std::optional<double> per_second;
};

// A sidecar's report about its target.
struct LoadReport
{
  Gateway::TargetLoad load;
  // The number of gateways of all halls, as the sidecar counts them.
  std::uint32_t gateways = 0;
  // The stamp of the plan and the peers that the sidecar last received.
  BriefingStamp stamp;
  // The newest settings version that a gateway has announced to the sidecar, and the address of
  // that gateway.
  Settings::DocumentVersion settings = 0;
  Common::Address settings_at;
  // The versions of the target's model that restrict requests, sent only for a limited time after
  // the naming.
  std::vector<AdvertisedVersion> weights;
  // The gateways of the sidecar's hall, sent periodically to gateways of that hall.
  std::vector<Common::Address> near_gateways;
  // The clock from the receiver's last hello, and the time since that hello arrived; zero if none
  // arrived.
  Common::Milliseconds echo{0};
  Common::Milliseconds echo_age{0};
  // The time since the target was asked for the state that it last told its agent, which it has
  // answered; empty if there is none.
  std::optional<Common::Milliseconds> read_age = std::nullopt;
  // The state hash of the sender's crash ledger.
  std::uint64_t crashes = 0;
};

struct Announce
{
  Distribution::Announcement announcement;
};

struct PieceRequest
{
  std::uint64_t id = 0; // chosen by the sender of the request
  Common::Digest version;
  std::uint32_t piece = 0;
};

struct PieceCancel
{
  std::uint64_t id = 0;
};

struct PieceReply
{
  std::uint64_t id = 0;
  Common::Result<Common::Bytes> result;
};

// Requests a settings document that is newer than this version.
struct DocumentRequest
{
  Settings::DocumentVersion newer_than = 0;
};

struct DocumentUpdate
{
  Settings::DocumentVersion version = 0;
  // The document's text as the platform wrote it, compressed relative to the text of version
  // `base`; `base` is 0 if there is none.
  Settings::DocumentVersion base = 0;
  Common::Bytes packed;
  // The versions that restrict requests, as far as the sender knows. The receiver needs them as
  // soon as it has the settings, because it selects targets by them.
  std::vector<AdvertisedVersion> weights = {};
};

// Requests a target list that was read further than this position.
struct TargetsRequest
{
  Control::Position newer_than = 0;
};

struct TargetsUpdate
{
  Control::TargetListChanges news;
};

// Sent periodically by a gateway that reads the platform for its hall; reports how far it has read.
struct ReaderBeat
{
  Control::Position targets = 0;
  // The position of the last change in the target list.
  Control::Position targets_changed = 0;
  Settings::DocumentVersion settings = 0;
  std::vector<AdvertisedVersion> weights;
  // The time since the platform last answered this gateway.
  Common::Milliseconds answer_age{0};
};

// Asks a seed for the gateways of the sender's hall.
struct GatewaysRequest
{
  // Whether the sender is a gateway, which the seed then lists for other processes.
  bool is_gateway = false;
};

struct GatewaysReply
{
  // The gateways of the receiver's hall.
  std::vector<Common::Address> gateways;
};

// Sent by a sidecar that has received the plan and the peers from no gateway; requests a hello with
// both.
struct BriefingRequest
{
};

// Records of the sender's crash ledger: those that have changed, or all of them.
struct CrashRecords
{
  std::vector<Crashes::CrashRecord> records;
};

// Sent by a gateway that has stood still; requests all records of the receiver's crash ledger.
struct CrashRecordsRequest
{
};

// All records of the sender's crash ledger, in answer to a request.
struct CrashRecordsAnswer
{
  std::vector<Crashes::CrashRecord> records;
};

// Sent by a sidecar whose engine has ended without notice.
struct EngineEnded
{
  Crashes::EngineEnd end;
};

// Targets that have said that they leave.
struct LeavingTargets
{
  std::vector<Gateway::LeavingTarget> targets;
};

using Message =
    std::variant<Hello, LoadReport, Announce, PieceRequest, PieceCancel, PieceReply,
                 DocumentRequest, DocumentUpdate, TargetsRequest, TargetsUpdate, ReaderBeat,
                 WorkUpdate, GatewaysRequest, GatewaysReply, BriefingRequest, CrashRecords,
                 EngineEnded, LimitUpdate, LeavingTargets, CrashRecordsRequest, CrashRecordsAnswer>;
} // namespace Holdpost::Mesh
