// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "Core/Gateway/Target.h"

namespace Holdpost::Gateway
{
// The targets that have said themselves that they leave: in an answer to a request, to their agent,
// or to another gateway. No list and no report takes that back, as both may be older. It ends with
// the next incarnation of the target.
class LeavingTargets
{
public:
  // Returns false if it is known.
  bool Add(const LeavingTarget& target, Common::TimePoint now);
  bool Contains(const TargetId& id, std::uint64_t incarnation) const;
  std::vector<LeavingTarget> All() const;

private:
  struct Entry
  {
    std::uint64_t incarnation = 0;
    Common::TimePoint known_since{};
  };

  // Keeps the number of entries bounded.
  void RemoveOldest();

  std::map<TargetId, Entry> m_targets;
};
} // namespace Holdpost::Gateway
