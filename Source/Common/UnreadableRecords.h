// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "Common/Types.h"

// Records of a platform's store that cannot be read. Each shows in the log when it is first read,
// and again after a while; the metrics count every read.
namespace Holdpost::Common
{
class UnreadableRecords
{
public:
  // The records of this process.
  static UnreadableRecords& Instance();

  // Counts a record that could not be read, and logs it unless its key was logged not long ago.
  void Note(std::string_view key, std::string_view reason, TimePoint now);
  // The number of times that records could not be read.
  std::size_t Count() const { return m_count; }

private:
  std::map<std::string, TimePoint, std::less<>> m_logged_at; // by key
  std::size_t m_count = 0;
};
} // namespace Holdpost::Common
