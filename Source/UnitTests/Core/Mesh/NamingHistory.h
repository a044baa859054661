// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "Core/Control/ControlFollower.h"
#include "Core/Gateway/SwitchDeadlines.h"
#include "Core/Mesh/BriefingSender.h"
#include "Core/Sidecar/Sidecar.h"
#include "Support/ScheduledCalls.h"

// Random histories of named versions, for tests of the switch deadlines that gateways keep.
namespace Holdpost::Testing
{
struct NamingHistoryOptions
{
  std::uint64_t seed = 1;
  int gateways = 3;
  int sidecars = 4;
  std::size_t versions = 5;
  // Each gap between two namings is drawn from this range.
  Common::Milliseconds min_gap{500};
  Common::Milliseconds max_gap{2000};
  // How many times gateways or sidecars restart or are suspended, or a gateway is cut off from all
  // others.
  int disturbances = 0;
};

// Sums over one history.
struct NamingHistoryOutcome
{
  // The times at which the deadlines of a gateway were compared with those of all namings.
  std::size_t checks = 0;
  // Those at which a gateway let requests begin on a version whose replacement was due.
  std::size_t too_late = 0;
  // The first of them, in words, and what happened before.
  std::string first_too_late;
  std::string events;
  // The longest time by which a gateway required a version before its deadline.
  Common::Duration max_early{};
  std::size_t max_kept = 0;
};

// A hall of gateways and sidecars on a virtual clock, and the platform that names versions. One
// gateway at a time reads the platform. Messages are delayed, reordered and lost.
class NamingHistory
{
public:
  // The name of the model whose versions are named.
  static constexpr const char* MODEL = "m";

  explicit NamingHistory(const NamingHistoryOptions& options);
  NamingHistoryOutcome Play();

private:
  static constexpr Common::Milliseconds STEP{20};
  static constexpr int LOST_PERCENT = 10;

  struct GatewayNode
  {
    Mesh::Sender self;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Control::ControlFollower> follower;
    std::unique_ptr<Mesh::BriefingSender> briefing;
    std::unique_ptr<Gateway::SwitchDeadlines> deadlines;
    bool is_reader = false;
    // Empty until the reader has answered once.
    std::optional<Common::TimePoint> reader_heard_at;
    Common::TimePoint beat_due{};
    // The gateway is bound by switch deadlines from this time on.
    Common::TimePoint in_touch_at{};
    Common::TimePoint cut_off_until{};
    Common::TimePoint suspended_until{};
  };
  struct SidecarNode
  {
    Mesh::Sender self;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Sidecar::Sidecar> sidecar;
    Common::TimePoint suspended_until{};
  };
  struct Naming
  {
    std::uint64_t version;
    Common::TimePoint at;
  };

  static Common::Milliseconds ToMilliseconds(Common::Duration time)
  {
    return std::chrono::duration_cast<Common::Milliseconds>(time);
  }
  int Draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }
  Common::Milliseconds MessageDelay();
  void Schedule(Common::Duration delay, std::function<void()> run);
  // Lets a process do something after the delay, unless it has restarted by then. A process that
  // is suspended does it later.
  template <typename Node>
  void ScheduleAt(Node& node, Common::Duration delay, std::function<void()> run);
  void ScheduleNamings();
  void ScheduleDisturbances();
  void StartGateway(GatewayNode& gateway);
  void StartSidecar(SidecarNode& node);
  void CutOff(GatewayNode& gateway, Common::Duration time);
  void Suspend(GatewayNode& gateway, Common::Duration time);
  bool IsCutOff(const GatewayNode& gateway) const { return m_now < gateway.cut_off_until; }

  void Tick(GatewayNode& gateway);
  void Tick(SidecarNode& node);
  void SendHellos(GatewayNode& gateway);
  void UpdateReader(GatewayNode& gateway);
  void SetReader(GatewayNode& gateway, bool is_reader);
  void Beat(GatewayNode& gateway);
  void Read(GatewayNode& gateway, const Control::ReadOperatorChanges& read);
  // The read ends without an answer.
  void Fail(GatewayNode& gateway, const Control::ReadOperatorChanges& read);
  // Answers the read of this incarnation of the gateway, or waits for a naming until the time.
  void AnswerRead(GatewayNode& gateway, std::uint64_t incarnation,
                  const Control::ReadOperatorChanges& read, Common::TimePoint until);
  void Carry(SidecarNode& node, Sidecar::Actions& actions);
  // Delivers a message that this gateway sends or receives, unless it is lost.
  template <typename Node>
  void Deliver(const GatewayNode& gateway, Node& to, std::function<void()> receive);
  void OnBeat(GatewayNode& gateway, std::size_t from, const Mesh::ReaderBeat& beat);
  void OnVersionsTold(GatewayNode& gateway, const std::vector<Mesh::AdvertisedVersion>& versions);
  void Apply(GatewayNode& gateway);

  // The newest version whose deadline has passed at `at`, of all that were named.
  std::uint64_t RequiredAt(Common::TimePoint at) const;
  void Compare(const GatewayNode& gateway);
  // Adds a line to the events of the outcome.
  template <typename... Args>
  void Note(fmt::format_string<Args...> text, Args&&... args)
  {
    m_outcome.events += fmt::format("\n{:6} ms: ", ToMilliseconds(m_now - m_started).count());
    m_outcome.events += fmt::format(text, std::forward<Args>(args)...);
  }

  NamingHistoryOptions m_options;
  std::mt19937_64 m_random;
  Common::Metrics m_metrics;
  const Common::TimePoint m_started;
  Common::TimePoint m_now = m_started;
  std::uint64_t m_order = 0;
  ScheduledCalls m_calls;
  std::vector<GatewayNode> m_gateways;
  std::vector<SidecarNode> m_sidecars;
  std::vector<Mesh::Peer> m_peers;
  std::vector<Naming> m_namings;
  Common::Duration m_namings_end{};
  NamingHistoryOutcome m_outcome;
};

template <typename Node>
void NamingHistory::ScheduleAt(Node& node, Common::Duration delay, std::function<void()> run)
{
  Schedule(delay,
           [this, &node, incarnation = node.incarnation, run = std::move(run)]
           {
             if (node.incarnation != incarnation)
               return;
             if (m_now < node.suspended_until)
               return ScheduleAt(node, node.suspended_until - m_now, run);
             run();
           });
}

template <typename Node>
void NamingHistory::Deliver(const GatewayNode& gateway, Node& to, std::function<void()> receive)
{
  if (!IsCutOff(gateway) && Draw(1, 100) > LOST_PERCENT)
    ScheduleAt(to, MessageDelay(), std::move(receive));
}
} // namespace Holdpost::Testing
