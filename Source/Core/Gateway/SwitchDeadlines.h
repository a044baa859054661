// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Gateway/TargetTable.h"

// Keeps the switch deadlines of each model. From the switch deadline of a version on, requests have
// to start with this version of the model's weights or a newer one.
namespace Holdpost::Gateway
{
class SwitchDeadlines
{
public:
  // `switch_within` is the time after the naming of a version by which all targets have to use it.
  explicit SwitchDeadlines(Common::Milliseconds switch_within) : m_switch_within(switch_within) {}
  void SetSwitchWithin(Common::Milliseconds switch_within) { m_switch_within = switch_within; }

  // A new version of weights was named, or a more reliable or earlier time of its naming is
  // known. Returns the switch deadline of the version, or nothing if it does not change.
  std::optional<Common::TimePoint> OnVersionNamed(const std::string& model,
                                                  const Control::KnownVersion& known,
                                                  Common::TimePoint now);
  // The switch deadlines of the model that restrict requests since the last change; the oldest
  // version is first.
  const std::vector<SwitchDeadline>& DeadlinesOf(const std::string& model) const;
  // Of the versions that replace this one, the version with the earliest switch deadline; empty if
  // there is none.
  std::optional<SwitchDeadline> EarliestReplacing(const std::string& model,
                                                  std::uint64_t version) const;
  // The time until all targets have to use the version; negative after that. It is longer than the
  // time until `due`, which has a safety margin.
  static Common::Duration TimeLeft(const SwitchDeadline& switch_deadline, Common::TimePoint now);
  // Whether, for any model, the switch deadline of a version newer than this one has passed.
  bool IsOverdue(std::uint64_t version, Common::TimePoint now) const;
  // Whether the gateway has to look for requests that may begin with old weights.
  bool IsAnyDue(Common::TimePoint now) const;
  // The number of switch deadlines that restrict requests, and the number of those that were merged
  // into others because a model had too many; for all models together.
  std::size_t Count() const;
  std::uint64_t MergedCount() const;

private:
  struct ModelDeadlines
  {
    Control::NamedVersions versions;
    // The deadlines of those versions that restrict requests.
    std::vector<SwitchDeadline> deadlines;
  };

  // Computes the deadlines anew after the versions have changed.
  void UpdateDeadlines(ModelDeadlines& model, Common::TimePoint now) const;

  Common::Milliseconds m_switch_within;
  std::map<std::string, ModelDeadlines> m_models; // by name
};

// Requests at a target are cancelled before the switch deadline by the network delay to the target,
// so that the cancellation arrives in time, but by at most this time.
constexpr Common::Duration MAX_NETWORK_DELAY = Common::Milliseconds(1500);
} // namespace Holdpost::Gateway
