// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Common/Types.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Distribution/Actions.h"
#include "Core/Gateway/Target.h"

// What gateways and sidecars tell each other.
namespace Holdpost::Mesh
{
struct Sender
{
  std::string instance;
  std::string hall;
  // Where the sender takes messages.
  Common::Address address;
  // Grows with each start under the same name.
  std::uint64_t incarnation = 0;
};

// The last versions of a model that are told: pushes of the ones before may still be under way.
inline constexpr std::size_t VERSIONS_TOLD = 3;

// Named weights, and how long they are known to any process.
struct ToldWeights
{
  Control::NamedWeights named;
  Common::Milliseconds known{0};
  // No process that knew of the naming itself has been heard of.
  bool is_assumed = false;

  static ToldWeights Of(const std::string& model, std::uint64_t version,
                        const Control::KnownSince& since, Common::TimePoint now)
  {
    const auto known = std::chrono::duration_cast<Common::Milliseconds>(now - since.time);
    return {{model, version}, std::max(known, Common::Milliseconds(0)), since.is_assumed};
  }
  Control::KnownSince Since(Common::TimePoint now) const { return {now - known, is_assumed}; }
};

// What a sidecar needs to know of its service's model.
struct WeightsPlan
{
  std::string service;
  std::string model;
  std::uint32_t pieces = 0;
  std::uint32_t piece_bytes = 0;
  Common::Milliseconds warm_up{0};
  Common::Address origin;
  std::string origin_hall;
  // Of the origin's link; 0 if not known.
  std::uint64_t origin_bytes_per_second = 0;
  // The page at which the service's targets say who they are; empty if there is none.
  std::string health_path = {};

  bool operator==(const WeightsPlan&) const = default;
};

// A sidecar, by the address where it takes messages.
struct Peer
{
  Common::Address address;
  std::string hall;

  auto operator<=>(const Peer&) const = default;
};

// What a plan and a list of peers were read from. Both only rise.
struct BriefingStamp
{
  // The settings by which the plan changed last, and the last change in the list of targets.
  Settings::DocumentVersion settings = 0;
  Control::Position targets = 0;

  bool operator==(const BriefingStamp&) const = default;
  bool IsBehind(const BriefingStamp& other) const
  {
    return settings < other.settings || targets < other.targets;
  }
};

// Sent by every process to those that need it, again and again: datagrams may be lost.
struct Hello
{
  bool is_gateway = false;
  Settings::DocumentVersion settings = 0;
  std::vector<ToldWeights> weights;
  WeightsPlan plan; // without a model if the sender knows none, or the receiver has it
  // The sidecars of the plan's service; empty with an empty plan.
  std::vector<Peer> peers;
  // Of the plan and the peers.
  BriefingStamp stamp;
  // The sender's clock, which a load report gives back: so the sender learns how long the way
  // takes.
  Common::Milliseconds clock{0};
  // The sender sends to the receiver's target, and needs each load report.
  bool wants_load = false;
  // What comes to the sender for engines.
  Gateway::OwnDemand demand;
  // Gateways of the sender's hall, this one included.
  std::uint32_t near_gateways = 0;
};

// What a gateway has at the receiver's target, told whenever that changes.
struct TellWork
{
  Gateway::OwnWork work;
};

// A sidecar's report of its target.
struct LoadReport
{
  Gateway::TargetLoad load;
  // Gateways of all halls, as the sidecar counts them.
  std::uint32_t gateways = 0;
  // Of the plan and the peers that the sidecar was last told.
  BriefingStamp stamp;
  // The newest settings that one of them told of, and which one did.
  Settings::DocumentVersion settings = 0;
  Common::Address settings_at;
  // The last weights that were named for the target's model, while that is not long ago.
  std::vector<ToldWeights> weights;
  // From time to time, the gateways of the sidecar's hall, for gateways there.
  std::vector<Common::Address> near_gateways;
  // The clock of the receiver's last hello, and how long ago that came; zero if none came.
  Common::Milliseconds echo{0};
  Common::Milliseconds echo_age{0};
};

struct Announce
{
  Distribution::Announcement announcement;
};

struct AskPiece
{
  std::uint64_t id = 0; // chosen by the one that asks
  Common::Digest version;
  std::uint32_t piece = 0;
};

struct CancelPiece
{
  std::uint64_t id = 0;
};

struct TellPiece
{
  std::uint64_t id = 0;
  Common::Result<Common::Bytes> result;
};

// Wants a settings document newer than this version.
struct AskDocument
{
  Settings::DocumentVersion newer_than = 0;
};

struct TellDocument
{
  Settings::DocumentVersion version = 0;
  // The text as the platform wrote it, packed next to the text of the base; 0 for none.
  Settings::DocumentVersion base = 0;
  Common::Bytes packed;
  // The last versions that the sender knows of: who knows the settings uses targets by them.
  std::vector<ToldWeights> weights = {};
};

// Wants a list of targets that was read further than this position.
struct AskTargets
{
  Control::Position newer_than = 0;
};

struct TellTargets
{
  Control::TargetsNews news;
};

// A gateway that reads the platform for its hall says how far it is, again and again.
struct ReaderBeat
{
  Control::Position targets = 0;
  // The last change in the list of targets.
  Control::Position targets_changed = 0;
  Settings::DocumentVersion settings = 0;
  std::vector<ToldWeights> weights;
  // How long ago the platform last answered it.
  Common::Milliseconds answer_age{0};
};

// Asked of a seed: which gateways the sender's hall has.
struct AskGateways
{
  // The sender is a gateway itself, and is named to others from then on.
  bool is_gateway = false;
};

struct TellGateways
{
  // Of the receiver's hall.
  std::vector<Common::Address> gateways;
};

// A sidecar that no gateway has told of the plan and the peers asks for a hello with both.
struct AskBriefing
{
};

using Message = std::variant<Hello, LoadReport, Announce, AskPiece, CancelPiece, TellPiece,
                             AskDocument, TellDocument, AskTargets, TellTargets, ReaderBeat,
                             TellWork, AskGateways, TellGateways, AskBriefing>;
} // namespace Holdpost::Mesh
