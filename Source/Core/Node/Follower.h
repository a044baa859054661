// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "Common/Metrics.h"
#include "Core/Node/Events.h"
#include "Core/Settings/Fold.h"

// Keeps the fold up to date from the platform's log and, while that is away, from other instances.
namespace Holdpost::NodeCore
{
class Follower
{
public:
  struct Progress
  {
    // New records were folded; the settings may have changed.
    bool has_folded = false;
    // When the read was sent that showed the log up to its head.
    std::optional<Common::TimePoint> caught_up_at;
  };

  // Takes every record of the log in order, besides the fold.
  struct RecordReader
  {
    std::function<void(const Settings::LogRecord&)> on_record;
    std::function<void(Common::Offset first)> on_first;
    std::function<Common::Offset()> position;
  };

  // The seed sets this instance's jitter.
  Follower(std::uint64_t seed, Common::Metrics& metrics) : m_seed(seed), m_metrics(metrics) {}

  void Start(Actions* actions) { Read(actions); }
  // Before Start. The log is then read from where the reader stands, if that is behind the fold.
  void SetReader(RecordReader reader) { m_reader = std::move(reader); }
  // The longest that a read may wait for records; a lease is only as fresh as the last read.
  // A snapshot is due after so many records.
  void SetSnapshotEvery(Common::Offset records) { m_snapshot_every = records; }
  void SetLongPoll(Common::Milliseconds wait) { m_long_poll = wait; }
  Progress OnLogRead(const LogReadDone& done, Common::TimePoint now, Actions* actions);
  void OnSnapshotWritten(const AppendDone& done);
  // From a peer that is ahead. Returns true if something was folded.
  bool OnStretch(const LogStretch& stretch);
  void OnTick(Common::TimePoint now, Actions* actions);

  // For a peer that is behind: records after `after`, or the whole state if they are not kept.
  LogStretch StretchAfter(Common::Offset after) const;
  const Settings::Fold& Fold() const { return m_fold; }
  // True once the log or a peer has vouched for a state.
  bool HasState() const { return m_fold.AcceptedOffset() > 0; }
  bool IsLogReachable() const { return m_is_log_reachable; }

private:
  void Read(Actions* actions);
  bool FoldRecords(const std::vector<Settings::LogRecord>& records);
  void CountVerdict(const Settings::Verdict& verdict);
  void Keep(const Settings::LogRecord& record);
  void MaybeWriteSnapshot(Common::Offset first, Actions* actions);

  std::uint64_t m_seed;
  std::optional<RecordReader> m_reader;
  Common::Metrics& m_metrics;
  Settings::Fold m_fold;
  std::deque<Settings::LogRecord> m_recent;
  std::size_t m_recent_bytes = 0;
  Common::Milliseconds m_long_poll{1000};
  bool m_is_log_reachable = false;
  Common::Duration m_backoff{};
  // When to read again after a failure; empty while a read is under way.
  std::optional<Common::TimePoint> m_read_due;
  Common::Offset m_snapshot_every = 2000;
  Common::Offset m_last_snapshot = 0;
  bool m_is_writing_snapshot = false;
};
} // namespace Holdpost::NodeCore
