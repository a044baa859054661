// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <map>
#include <optional>
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
  // The sidecars of those that it sends to.
  std::set<Common::Address> sidecars;
  // Targets of other halls are needed, too.
  bool needs_other_halls = false;
  Gateway::OwnDemand demand;
};

class Briefing
{
public:
  explicit Briefing(std::string hall) : m_hall(std::move(hall)) {}

  void SetSettings(Settings::DocumentVersion version) { m_settings = version; }
  // Each is told at once if it is new.
  void SetPlan(const WeightsPlan& plan);
  void SetSidecars(const std::vector<Peer>& sidecars);
  // `known_since` is when some process first knew of the version.
  void SetWeights(const Control::NamedWeights& named, Common::TimePoint known_since);

  // News of whether other halls are needed is told at once.
  void SetUse(TargetUse use);

  // The versions of weights that are told at the moment.
  std::vector<ToldWeights> ToldAt(Common::TimePoint now) const;
  void OnTick(Common::TimePoint now, std::vector<Outgoing>* outgoing);
  Common::TimePoint NextWakeup() const { return std::min({m_near_due, m_far_due, m_needed_due}); }

private:
  // Which of the sidecars a hello goes to.
  enum class Audience
  {
    Near,
    Far,
    // Those elsewhere that are used.
    FarUsed,
  };

  Hello MakeHello(Common::TimePoint now, bool is_whole) const;
  void TellAll(Audience audience, Common::TimePoint now, std::vector<Outgoing>* outgoing) const;
  bool IsIn(Audience audience, const Peer& sidecar) const;
  bool WantsLoad(const Peer& sidecar) const;
  void TellSoon() { m_near_due = {}; }

  std::string m_hall;
  Settings::DocumentVersion m_settings = 0;
  WeightsPlan m_plan;
  std::vector<Peer> m_sidecars;
  std::map<std::string, Control::NamedVersions> m_weights; // by model
  Common::TimePoint m_near_due{};
  Common::TimePoint m_far_due{};
  // When those of other halls are to be told that they are needed from now on.
  Common::TimePoint m_needed_due = Common::TimePoint::max();
  TargetUse m_use;
};
} // namespace Holdpost::Mesh
