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

// The hellos that a gateway sends periodically to the sidecars of its service. They contain the
// named versions of the weights and, as the briefing, the weights plan and the list of the other
// sidecars.
namespace Holdpost::Mesh
{
struct Outgoing
{
  Common::Address to;
  Message message;
};

// The local clock as it is sent to other processes, which echo it.
Common::Milliseconds ClockOf(Common::TimePoint now);
// The round-trip time of a hello and its load report; empty if the report answers no hello.
std::optional<Common::Milliseconds> RoundTrip(const LoadReport& report, Common::TimePoint now);

// The target of the report ran at this time or later, by the local clock; empty if that is not
// known.
std::optional<Common::TimePoint> RanAt(const LoadReport& report, Common::TimePoint now);

// How a gateway uses the targets of its service.
struct TargetUse
{
  // The sidecars of the targets that the gateway sends requests to; empty for all sidecars.
  std::set<Common::Address> sidecars;
  // Whether targets of other halls are needed too.
  bool needs_other_halls = false;
  Gateway::DemandReport demand;
  // The number of gateways of the local hall, including this one.
  std::uint32_t near_gateways = 1;
};

// Keeps hellos small: the briefing goes only to sidecars that are new or report an outdated stamp.
// The gateway that reads the platform sends a changed briefing first; the other gateways wait a
// short time so that it can.
class BriefingSender
{
public:
  // `seed` is for the jitter of the time that a gateway leaves to the reader.
  explicit BriefingSender(std::string hall, std::uint64_t seed = 0)
      : m_hall(std::move(hall)), m_random(seed)
  {
  }

  void SetSettings(Settings::DocumentVersion version) { m_settings = version; }
  void SetSwitchWithin(Common::Milliseconds within) { m_switch_within = within; }
  // A changed value is sent immediately, except that a gateway that does not read the platform
  // waits before it sends a changed plan or list of sidecars to known sidecars. `settings` and
  // `changed` are the settings version and the target list position from which the value was read.
  void SetPlan(const WeightsPlan& plan, Settings::DocumentVersion settings, Common::TimePoint now);
  void SetSidecars(const std::vector<Peer>& sidecars, Control::Position changed,
                   Common::TimePoint now);
  void SetWeights(const Control::NamedWeights& named, const Control::KnownSince& since);
  // The hellos to other halls are sent immediately when targets there become needed.
  void SetTargetUse(TargetUse use);
  // The state hash of the local crash ledger, which is sent in all hellos.
  void SetCrashes(std::uint64_t state_hash) { m_crashes = state_hash; }
  // Whether this gateway reads the platform for its hall.
  void SetIsReader(bool reads) { m_is_reader = reads; }
  // Records the stamp of the last briefing that a sidecar received, as the sidecar reports it.
  void OnReported(const Common::Address& sidecar, const BriefingStamp& stamp,
                  Common::TimePoint now);

  // The hello with the briefing, for a sidecar that has received nothing yet.
  Hello FullHello(Common::TimePoint now) const;
  // The versions of weights that are sent in hellos, with their ages at `now`.
  std::vector<AdvertisedVersion> AdvertisedVersionsAt(Common::TimePoint now) const;
  void OnTick(Common::TimePoint now, std::vector<Outgoing>* outgoing);
  Common::TimePoint NextWakeup() const;

private:
  // The briefing state of a sidecar.
  struct SidecarState
  {
    BriefingStamp stamp;
    Common::TimePoint reported_at{};
    // The stamp of the last briefing that was sent to the sidecar, and the time of sending.
    BriefingStamp sent_stamp;
    Common::TimePoint sent_at{};
  };

  void OnBriefingChanged(Common::TimePoint now);
  Hello MakeHello(Common::TimePoint now) const;
  void AddBriefing(Hello* hello) const;
  void SendHello(const Peer& sidecar, const Hello& hello, Common::TimePoint now,
                 std::vector<Outgoing>* outgoing);
  void SendToNewSidecars(Common::TimePoint now, std::vector<Outgoing>* outgoing);
  void SendToUsedSidecars(bool is_local_hall, Common::TimePoint now,
                          std::vector<Outgoing>* outgoing);
  // Whether the next hello to the sidecar has to contain the briefing.
  bool NeedsBriefing(const Peer& sidecar, Common::TimePoint now) const;
  bool IsUsed(const Peer& sidecar) const;
  bool WantsLoad(const Peer& sidecar) const;
  void SendSoon() { m_local_hall_due = {}; }

  std::string m_hall;
  std::mt19937_64 m_random;
  bool m_is_reader = true;
  Settings::DocumentVersion m_settings = 0;
  WeightsPlan m_plan;
  std::vector<Peer> m_sidecars;
  // The stamp of the current briefing, that is, of the plan and the sidecars.
  BriefingStamp m_stamp;
  // A gateway that does not read the platform sends a changed briefing to a known sidecar only if
  // the sidecar has reported an outdated stamp at or after this time.
  Common::TimePoint m_non_reader_due{};
  Common::Milliseconds m_switch_within = Control::DEFAULT_SWITCH_WITHIN;
  std::map<std::string, Control::NamedVersions> m_weights;  // by model
  std::map<Common::Address, SidecarState> m_sidecar_states; // sidecars of the local hall
  bool m_has_new_sidecars = false;
  Common::TimePoint m_local_hall_due{};
  Common::TimePoint m_other_halls_due{};
  TargetUse m_use;
  std::uint64_t m_crashes = 0;
};
} // namespace Holdpost::Mesh
