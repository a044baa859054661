// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "Core/Settings/Fold.h"

// The stand-in's append-only log, in memory, with limited retention.
namespace Holdpost::Standin
{
class StandinLog
{
public:
  explicit StandinLog(std::size_t retain) : m_retain(retain) {}

  Common::Offset Append(std::string text);
  std::vector<Settings::LogRecord> After(Common::Offset offset, std::size_t most) const;
  Common::Offset First() const { return m_records.empty() ? 0 : m_records.front().offset; }
  Common::Offset Head() const { return m_head; }

private:
  std::size_t m_retain;
  std::deque<Settings::LogRecord> m_records;
  Common::Offset m_head = 0;
};
} // namespace Holdpost::Standin
