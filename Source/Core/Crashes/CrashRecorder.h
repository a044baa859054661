// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "Common/Error.h"
#include "Core/Control/ControlFollower.h"
#include "Core/Crashes/CrashLedger.h"

// Keeps the records of blocked causes on the platform, so that they outlast the end of all
// processes. Only processes that read the platform for their hall use it.
namespace Holdpost::Crashes
{
// Reads all records that were written.
struct ReadRecords
{
};

struct WriteRecord
{
  CrashRecord record;
};

// Removes a record that no longer counts.
struct DropRecord
{
  CrashCause cause;
};

using RecorderAction = std::variant<ReadRecords, WriteRecord, DropRecord>;
using RecorderActions = std::vector<RecorderAction>;

class CrashRecorder
{
public:
  explicit CrashRecorder(std::uint64_t seed) : m_backoff(seed) {}

  // Whether this process reads the platform for its hall. Each time that it begins to, the records
  // are read again, as another process may have written some.
  void SetReading(bool is_reader);
  // In a new era the platform may have lost records that were written. They are read again, and
  // those that are missing are written again.
  void SetEra(std::uint64_t era);
  void OnTick(const CrashLedger& ledger, Common::TimePoint now, RecorderActions* actions);
  Common::TimePoint NextWakeup(const CrashLedger& ledger) const;
  // Returns the records that count, for the ledger.
  std::vector<CrashRecord> OnRead(const Common::Result<std::vector<CrashRecord>>& result,
                                  Common::TimePoint now);
  void OnWritten(const CrashCause& cause, bool is_written, Common::TimePoint now);
  void OnDropped(bool is_dropped, Common::TimePoint now);

private:
  std::optional<CrashCause> NextToWrite(const CrashLedger& ledger) const;
  // Returns whether the answer counts: it is a success, and of the present era.
  bool OnAnswer(bool is_success, Common::TimePoint now);

  bool m_is_reader = false;
  std::uint64_t m_era = 0;
  // The call that is open was made in an earlier era.
  bool m_is_call_outdated = false;
  bool m_has_read = false;
  bool m_is_waiting = false;
  Common::TimePoint m_due{};
  Control::Backoff m_backoff;
  // The blocked causes whose records are on the platform.
  std::set<CrashCause> m_written;
  std::vector<CrashCause> m_to_drop;
};
} // namespace Holdpost::Crashes
