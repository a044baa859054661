// SPDX-License-Identifier: Apache-2.0
#include "Common/UnreadFields.h"

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

#include "Common/EventLog.h"

namespace Holdpost::Common
{
// A peer that makes up names must not fill the memory or the log.
static constexpr std::size_t MAX_NAMES = 64;
static constexpr std::size_t MAX_LOGGED_CHARACTERS = 64;

bool KnownFields::Contains(std::string_view name) const
{
  return std::ranges::any_of(m_names, [name](const std::string& known)
                             { return EqualsIgnoringCase(known, name); });
}

UnreadFields& UnreadFields::Instance()
{
  static UnreadFields instance;
  return instance;
}

static std::string RecordKey(std::string_view message, std::string_view field)
{
  std::string key = fmt::format("{} {}", message, field.substr(0, MAX_LOGGED_CHARACTERS));
  std::ranges::transform(key, key.begin(), [](unsigned char c) { return std::tolower(c); });
  return key;
}

bool UnreadFields::IsRecorded(std::string_view message, std::string_view field) const
{
  return m_seen.size() >= MAX_NAMES || m_seen.contains(RecordKey(message, field));
}

void UnreadFields::Note(std::string_view message, std::string_view field, std::string_view value,
                        TimePoint now)
{
  if (m_seen.size() >= MAX_NAMES || !m_seen.insert(RecordKey(message, field)).second)
    return;
  LogEvent(Weight::Important, now, "field.unread", "message", message, "field",
           field.substr(0, MAX_LOGGED_CHARACTERS), "value", value.substr(0, MAX_LOGGED_CHARACTERS));
}

void UnreadFields::NoteUnknown(std::string_view message, const HttpFields& fields,
                               const KnownFields& known, TimePoint now)
{
  for (const HttpField& field : fields)
  {
    if (!IsConnectionField(field.name) && !known.Contains(field.name))
      Note(message, field.name, field.value, now);
  }
}

void UnreadFields::NoteUnknown(std::string_view message,
                               const std::map<std::string, std::string>& fields,
                               const KnownFields& known, TimePoint now)
{
  for (const auto& [name, value] : fields)
  {
    if (!IsConnectionField(name) && !known.Contains(name))
      Note(message, name, value, now);
  }
}
} // namespace Holdpost::Common
