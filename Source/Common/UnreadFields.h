// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/HttpMessage.h"
#include "Common/Types.h"

// Fields of other programs' messages that no code reads. A field that a peer begins to send shows
// in the log and in the metrics when it first comes.
namespace Holdpost::Common
{
// The names of the fields of one kind of message that have a reader, or that need none. Names
// compare without regard to case.
class KnownFields
{
public:
  explicit KnownFields(std::vector<std::string> names) : m_names(std::move(names)) {}
  bool Contains(std::string_view name) const;

private:
  std::vector<std::string> m_names;
};

class UnreadFields
{
public:
  // The fields of this process.
  static UnreadFields& Instance();

  // Whether a field needs no further record: it has one, or there is no room for another.
  bool IsRecorded(std::string_view message, std::string_view field) const;
  // Records a field of a message; logs it if it is the first one of its name. `message` names the
  // kind of message, `value` is logged in part.
  void Note(std::string_view message, std::string_view field, std::string_view value,
            TimePoint now);
  // Records all fields of an HTTP answer that are not known.
  void NoteUnknown(std::string_view message, const HttpFields& fields, const KnownFields& known,
                   TimePoint now);
  // The same for fields by name.
  void NoteUnknown(std::string_view message, const std::map<std::string, std::string>& fields,
                   const KnownFields& known, TimePoint now);
  // The number of different names that were recorded, up to a maximum.
  std::size_t Count() const { return m_seen.size(); }

private:
  std::set<std::string, std::less<>> m_seen; // "message field", in lower case
};
} // namespace Holdpost::Common
