// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/Follower.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Common/Log.h"

namespace Holdpost::NodeCore
{
using Common::Duration;
using Common::Error;
using Common::Milliseconds;
using Common::Offset;
using Common::TimePoint;

static constexpr Milliseconds BACKOFF_LEAST = Milliseconds(100);
static constexpr Milliseconds BACKOFF_MOST = Milliseconds(2000);
// Enough for neighbours that missed minutes; older ones get the whole state.
static constexpr std::size_t RECENT_BYTES_MOST = 1 << 20;
// Each instance adds its own part of this share to the time when a snapshot is due, so that mostly
// one writes it.
static constexpr Offset SNAPSHOT_JITTER_SHARE = 2;

void Follower::Read(Actions* actions)
{
  // Until the first answer the log is asked without waiting, so that a start is quick.
  const Offset after =
      m_reader ? std::min(m_fold.Position(), m_reader->position()) : m_fold.Position();
  actions->push_back(ReadLog{after, m_is_log_reachable ? m_long_poll : Milliseconds(0)});
  m_read_due.reset();
}

void Follower::OnTick(TimePoint now, Actions* actions)
{
  if (m_read_due && now >= *m_read_due)
    Read(actions);
}

Follower::Progress Follower::OnLogRead(const LogReadDone& done, TimePoint now, Actions* actions)
{
  if (const auto* error = std::get_if<Error>(&done.result))
  {
    if (m_is_log_reachable)
      WARN_LOG(SETTINGS, "The platform's log is out of reach: {}.", error->message);
    m_is_log_reachable = false;
    m_metrics.Add("holdpost_log_read_failed_total");
    m_backoff = std::clamp<Duration>(m_backoff * 2, BACKOFF_LEAST, BACKOFF_MOST);
    m_read_due = now + m_backoff;
    return {};
  }
  if (!m_is_log_reachable)
    INFO_LOG(SETTINGS, "The platform's log is within reach.");
  m_is_log_reachable = true;
  m_backoff = Duration::zero();
  const auto& read = std::get<LogRead>(done.result);
  Progress progress;
  if (m_reader)
  {
    m_reader->on_first(read.first);
    for (const Settings::LogRecord& record : read.records)
      m_reader->on_record(record);
  }
  progress.has_folded = FoldRecords(read.records);
  const bool is_reader_behind = m_reader && m_reader->position() < read.head;
  if (m_fold.Position() >= read.head && !is_reader_behind)
  {
    progress.caught_up_at = read.sent;
    MaybeWriteSnapshot(read.first, actions);
  }
  else if (!progress.has_folded && !is_reader_behind)
  {
    // Nothing that can be joined on: never go back, wait for a snapshot or a peer.
    m_read_due = now + BACKOFF_MOST;
    return progress;
  }
  Read(actions);
  return progress;
}

void Follower::CountVerdict(const Settings::Verdict& verdict)
{
  if (const auto* rejected = std::get_if<Settings::Rejected>(&verdict))
  {
    m_metrics.Add("holdpost_settings_rejected_total",
                  Common::Reason(Common::AnswerFor(rejected->error.kind).name));
    WARN_LOG(SETTINGS, "Rejected the record at offset {}: {}.", rejected->offset,
             rejected->error.message);
  }
  else if (const auto* accepted = std::get_if<Settings::Accepted>(&verdict))
  {
    m_metrics.Add("holdpost_settings_accepted_total");
    INFO_LOG(SETTINGS, "The settings of offset {} are in force.", accepted->offset);
  }
}

void Follower::Keep(const Settings::LogRecord& record)
{
  // A snapshot is of what stands before it; any other is no sound writer's.
  const auto offset = Settings::SnapshotOffset(record.text);
  if (offset && *offset < record.offset)
    m_last_snapshot = std::max(m_last_snapshot, *offset);
  m_recent.push_back(record);
  m_recent_bytes += record.text.size();
  while (m_recent_bytes > RECENT_BYTES_MOST && m_recent.size() > 1)
  {
    m_recent_bytes -= m_recent.front().text.size();
    m_recent.pop_front();
  }
}

bool Follower::FoldRecords(const std::vector<Settings::LogRecord>& records)
{
  const Offset before = m_fold.Position();
  const bool has_gap = !records.empty() && records.front().offset > before + 1;
  // Records in between are gone from the log: only a snapshot can join the two.
  if (has_gap && !m_fold.ApplyAll(records))
    WARN_LOG(SETTINGS, "Found no snapshot that reaches back to offset {}.", before);
  for (const Settings::LogRecord& record : records)
  {
    if (record.offset == m_fold.Position() + 1)
      CountVerdict(m_fold.Apply(record));
    if (record.offset > before && record.offset <= m_fold.Position())
      Keep(record);
  }
  return m_fold.Position() > before;
}

LogStretch Follower::StretchAfter(Offset after) const
{
  LogStretch stretch;
  if (after >= m_fold.Position())
    return stretch;
  if (m_recent.empty() || m_recent.front().offset > after + 1)
  {
    stretch.state_position = m_fold.Position();
    stretch.state = m_fold.Serialize();
    return stretch;
  }
  for (const Settings::LogRecord& record : m_recent)
  {
    if (record.offset > after)
      stretch.records.push_back(record);
  }
  return stretch;
}

bool Follower::OnStretch(const LogStretch& stretch)
{
  if (stretch.state.empty())
  {
    const bool has_folded = FoldRecords(stretch.records);
    if (has_folded)
      m_metrics.Add("holdpost_settings_from_peer_total");
    return has_folded;
  }
  if (!Common::Succeeded(m_fold.Adopt(stretch.state_position, stretch.state)))
    return false;
  m_recent.clear();
  m_recent_bytes = 0;
  m_metrics.Add("holdpost_settings_from_peer_total");
  INFO_LOG(SETTINGS, "Took the settings of offset {} from a peer.", m_fold.AcceptedOffset());
  return true;
}

void Follower::MaybeWriteSnapshot(Offset first, Actions* actions)
{
  m_last_snapshot = std::max(m_last_snapshot, first == 0 ? 0 : first - 1);
  const Offset due =
      m_last_snapshot + m_snapshot_every + m_seed % (m_snapshot_every / SNAPSHOT_JITTER_SHARE);
  if (m_is_writing_snapshot || m_fold.Position() < due)
    return;
  m_is_writing_snapshot = true;
  m_last_snapshot = m_fold.Position();
  actions->push_back(AppendRecord{
      AppendPurpose::WriteSnapshot,
      Settings::EncodeRecord(Settings::Snapshot{m_fold.Position(), m_fold.Serialize()})});
}

void Follower::OnSnapshotWritten(const AppendDone& done)
{
  // A lost answer is harmless: a second snapshot of one offset says the same.
  m_is_writing_snapshot = false;
  if (!Common::Succeeded(done.result))
    m_metrics.Add("holdpost_snapshot_failed_total");
}
} // namespace Holdpost::NodeCore
