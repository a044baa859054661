// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/Hash.h"
#include "Common/Types.h"

// The targets of one service as an entry sees them, and the choice between them.
namespace Holdpost::Routing
{
struct TargetState
{
  // Requests that this entry may have running there at once, as the agent last said.
  std::uint32_t credits = 0;
  Common::Digest version;
};

class Targets
{
public:
  void Set(const std::string& name, const TargetState& state);
  void Remove(const std::string& name);
  void OnDispatched(const std::string& name);
  void OnEnded(const std::string& name);
  // The target said that it has no room: nothing is sent until it reports again.
  void OnRefused(const std::string& name);

  bool IsEmpty() const { return m_targets.empty(); }
  bool HasOther(const std::set<std::string>& tried) const;
  // A target with a free credit, or an empty name. `affinity` is 0 for none; equal values go to the
  // same target as long as its load is near the average.
  std::string Choose(std::uint64_t affinity, const std::set<std::string>& tried,
                     std::mt19937_64& random) const;
  std::uint32_t FreeCredits() const;
  std::uint32_t InUse() const;

private:
  struct Target
  {
    TargetState state;
    std::uint32_t in_use = 0;
    std::uint32_t Free() const { return state.credits > in_use ? state.credits - in_use : 0; }
  };

  bool IsNearAverage(const Target& target) const;

  std::map<std::string, Target> m_targets;
  // Requests still running at targets that are not offered any more.
  std::map<std::string, std::uint32_t> m_leftover;
};
} // namespace Holdpost::Routing
