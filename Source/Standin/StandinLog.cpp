// SPDX-License-Identifier: Apache-2.0
#include "Standin/StandinLog.h"

#include <utility>

namespace Holdpost::Standin
{
Common::Offset StandinLog::Append(std::string text)
{
  m_records.push_back({++m_head, std::move(text)});
  if (m_records.size() > m_retain)
    m_records.pop_front();
  return m_head;
}

std::vector<Settings::LogRecord> StandinLog::After(Common::Offset offset, std::size_t most) const
{
  std::vector<Settings::LogRecord> records;
  if (m_records.empty() || offset >= m_head)
    return records;
  const std::size_t start = offset < First() ? 0 : offset + 1 - First();
  for (std::size_t i = start; i < m_records.size() && records.size() < most; ++i)
    records.push_back(m_records[i]);
  return records;
}
} // namespace Holdpost::Standin
