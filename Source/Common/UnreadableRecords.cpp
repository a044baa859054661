// SPDX-License-Identifier: Apache-2.0
#include "Common/UnreadableRecords.h"

#include "Common/EventLog.h"

namespace Holdpost::Common
{
// A record that is written again with each heartbeat of its writer must not fill the log, nor may
// a writer of many keys fill the memory.
static constexpr Duration REPEAT_TIME = Seconds(60);
static constexpr std::size_t MAX_KEYS = 512;

UnreadableRecords& UnreadableRecords::Instance()
{
  static UnreadableRecords instance;
  return instance;
}

void UnreadableRecords::Note(std::string_view key, std::string_view reason, TimePoint now)
{
  ++m_count;
  const auto found = m_logged_at.find(key);
  if (found != m_logged_at.end() && now - found->second < REPEAT_TIME)
    return;
  if (found == m_logged_at.end() && m_logged_at.size() >= MAX_KEYS)
  {
    std::erase_if(m_logged_at,
                  [now](const auto& logged) { return now - logged.second >= REPEAT_TIME; });
    if (m_logged_at.size() >= MAX_KEYS)
      return;
  }
  m_logged_at.insert_or_assign(std::string(key), now);
  LogEvent(Weight::Important, now, "record.unreadable", "key", key, "reason", reason);
}
} // namespace Holdpost::Common
