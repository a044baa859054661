// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "Common/Types.h"

namespace Holdpost::Crashes
{
// Finds out when the crash ledger of a process that has stood still is up to date again: some of
// the processes that hold replicas are asked for all records until enough have answered. What they
// sent meanwhile may be lost.
class LedgerCatchUp
{
public:
  // Begins to ask `replicas`, of which at most MAX_ASKED are asked.
  void Begin(const std::vector<Common::Address>& replicas, Common::TimePoint now);
  // The replicas that are to be asked now.
  std::vector<Common::Address> OnTick(Common::TimePoint now);
  // Returns whether the ledger is up to date since this answer.
  bool OnAnswer(const Common::Address& replica);
  // Whether the ledger may lack records. Ends after MAX_TIME also if too few replicas answer, as
  // they may be down or cut off.
  bool IsUnderWay(Common::TimePoint now) const;
  // When the next replicas are to be asked; empty if none are.
  std::optional<Common::TimePoint> NextWakeup() const;

  static constexpr std::size_t MAX_ASKED = 8;
  static constexpr Common::Duration MAX_TIME = Common::Milliseconds(1500);

private:
  std::set<Common::Address> m_unanswered;
  std::size_t m_missing_answers = 0;
  Common::TimePoint m_ask_due{};
  Common::TimePoint m_ends_at{};
};
} // namespace Holdpost::Crashes
