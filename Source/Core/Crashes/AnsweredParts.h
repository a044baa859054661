// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>

#include "Common/Types.h"
#include "Core/Crashes/CrashCause.h"

// Remembers which prompt parts a gateway saw answered whole lately. Most parts have no crash record
// when they are answered, so the ledger alone would not know.
namespace Holdpost::Crashes
{
class AnsweredParts
{
public:
  void OnAnswered(const PromptPart& part, Common::TimePoint at);
  // The last whole answer to a prompt with the part; empty if none is remembered.
  std::optional<Common::TimePoint> LastAnswer(const PromptPart& part) const;

private:
  using Times = std::map<PromptPart, Common::TimePoint>;

  // Entries are dropped by generation: when the present one is old or full, it becomes the earlier
  // one, and the earlier one is dropped.
  Times m_present;
  Times m_earlier;
  Common::TimePoint m_present_since{};
};
} // namespace Holdpost::Crashes
