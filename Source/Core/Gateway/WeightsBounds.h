// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "Core/Gateway/TargetTable.h"

// From when on requests have to begin on which weights of a model.
namespace Holdpost::Gateway
{
class WeightsBounds
{
public:
  // Weights have to be in use everywhere so long after they were named.
  explicit WeightsBounds(Common::Milliseconds switch_within) : m_switch_within(switch_within) {}
  void SetSwitchWithin(Common::Milliseconds switch_within) { m_switch_within = switch_within; }

  // New weights were named, or more is known of when they were. Returns when they have to be in
  // use, or nothing if that was known already.
  std::optional<Common::TimePoint>
  OnNamed(const std::string& model, const Control::KnownVersion& known, Common::TimePoint now);
  // Oldest first.
  const std::vector<WeightsBound>& Of(const std::string& model) const;
  // Of the versions that replace this one, the one that has to be in use first; empty if none does.
  std::optional<WeightsBound> FirstToReplace(const std::string& model, std::uint64_t version) const;
  // How long it is until the version has to be in use everywhere; below zero once that is over.
  // `due` of a bound comes a margin earlier.
  static Common::Duration TimeLeft(const WeightsBound& bound, Common::TimePoint now);
  // Whether some model's weights of this version should have been replaced by now.
  bool IsOverdue(std::uint64_t version, Common::TimePoint now) const;
  // Whether requests have to be looked for that may begin on old weights.
  bool IsAnyDue(Common::TimePoint now) const;

private:
  Common::Milliseconds m_switch_within;
  std::map<std::string, std::vector<WeightsBound>> m_bounds; // by model
};

// Requests are taken back from targets behind a slow way by as much earlier, and by no more.
constexpr Common::Duration TARGET_WAY_MOST = Common::Milliseconds(1500);
} // namespace Holdpost::Gateway
