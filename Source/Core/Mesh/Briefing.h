// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Core/Control/NamedVersions.h"
#include "Core/Mesh/MeshMessages.h"

// What a gateway tells the sidecars of its service again and again: the plan of the weights, the
// versions that were named, and who the other sidecars are.
namespace Holdpost::Mesh
{
struct Outgoing
{
  Common::Address to;
  Message message;
};

// A process's clock as it is told to others, who give it back.
Common::Milliseconds ClockOf(Common::TimePoint now);
// How long a hello and its report were on their way; empty if the report answers no hello.
std::optional<Common::Milliseconds> RoundTrip(const LoadReport& report, Common::TimePoint now);

// What a gateway does with the targets of its service.
struct TargetUse
{
  // The sidecars of those that it sends to; empty for all.
  std::set<Common::Address> sidecars;
  // Targets of other halls are needed, too.
  bool needs_other_halls = false;
  Gateway::OwnDemand demand;
  // Gateways of the own hall, this one included.
  std::uint32_t near_gateways = 1;
};

// Hellos are short: the plan and the peers go to those that are new, and to those that say that
// they lack what is newer. The gateway that reads the platform is the first to tell; the others
// give it time for that.
class Briefing
{
public:
  // `seed` is for the time that others are given.
  explicit Briefing(std::string hall, std::uint64_t seed = 0)
      : m_hall(std::move(hall)), m_random(seed)
  {
  }

  void SetSettings(Settings::DocumentVersion version) { m_settings = version; }
  // Each is told at once if it is new. `settings` and `changed` are what it was read from.
  void SetPlan(const WeightsPlan& plan, Settings::DocumentVersion settings, Common::TimePoint now);
  void SetSidecars(const std::vector<Peer>& sidecars, Control::Position changed,
                   Common::TimePoint now);
  void SetWeights(const Control::NamedWeights& named, const Control::KnownSince& since);
  // News of whether other halls are needed is told at once.
  void SetUse(TargetUse use);
  // Whether this gateway reads the platform for its hall.
  void SetReads(bool reads) { m_reads = reads; }
  // A sidecar has said what it was last told.
  void OnReported(const Common::Address& sidecar, const BriefingStamp& stamp,
                  Common::TimePoint now);

  // What a sidecar that has been told nothing needs.
  Hello WholeHello(Common::TimePoint now) const;
  // The versions of weights that are told at the moment.
  std::vector<ToldWeights> ToldAt(Common::TimePoint now) const;
  void OnTick(Common::TimePoint now, std::vector<Outgoing>* outgoing);
  Common::TimePoint NextWakeup() const;

private:
  // What a sidecar knows, as far as it has said.
  struct Briefed
  {
    BriefingStamp stamp;
    Common::TimePoint reported_at{};
    // The last that it was told, and when.
    BriefingStamp told;
    Common::TimePoint told_at{};
  };

  void OnNews(Common::TimePoint now);
  Hello MakeHello(Common::TimePoint now) const;
  void AddWhole(Hello* hello) const;
  void Tell(const Peer& sidecar, const Hello& hello, Common::TimePoint now,
            std::vector<Outgoing>* outgoing);
  void TellNew(Common::TimePoint now, std::vector<Outgoing>* outgoing);
  void TellUsed(bool is_near, Common::TimePoint now, std::vector<Outgoing>* outgoing);
  // Whether the sidecar is to be told the plan and the peers.
  bool NeedsWhole(const Peer& sidecar, Common::TimePoint now) const;
  bool IsUsed(const Peer& sidecar) const;
  bool WantsLoad(const Peer& sidecar) const;
  void TellSoon() { m_near_due = {}; }

  std::string m_hall;
  std::mt19937_64 m_random;
  bool m_reads = true;
  Settings::DocumentVersion m_settings = 0;
  WeightsPlan m_plan;
  std::vector<Peer> m_sidecars;
  // Of the plan and the sidecars, and when others that lack it may be told.
  BriefingStamp m_stamp;
  Common::TimePoint m_others_due{};
  std::map<std::string, Control::NamedVersions> m_weights; // by model
  std::map<Common::Address, Briefed> m_briefed;            // of this hall
  bool m_has_new_sidecars = false;
  Common::TimePoint m_near_due{};
  Common::TimePoint m_far_due{};
  TargetUse m_use;
};
} // namespace Holdpost::Mesh
