// SPDX-License-Identifier: Apache-2.0
#include "Node/SettingsFollower.h"

#include <algorithm>

#include "Common/Hash.h"
#include "Common/Log.h"

namespace Holdpost::Node
{
using Common::Duration;
using Common::Error;
using Common::EventLoop;
using Common::Milliseconds;
using Common::Offset;
using Common::Result;
using PlatformPeer::LogRead;

static constexpr Milliseconds LONG_POLL = Milliseconds(1000);
static constexpr Milliseconds BACKOFF_LEAST = Milliseconds(100);
static constexpr Milliseconds BACKOFF_MOST = Milliseconds(2000);
// Enough for neighbours that missed minutes; older ones get the whole state.
static constexpr std::size_t RECENT_BYTES_MOST = 1 << 20;
// A snapshot is due after so many records; each instance adds its own jitter, so that mostly one
// writes it.
static constexpr Offset SNAPSHOT_EVERY = 2000;
static constexpr Offset SNAPSHOT_JITTER = 1000;

SettingsFollower::SettingsFollower(EventLoop& loop, PlatformPeer::PlatformClient& platform,
                                   Common::Metrics& metrics, std::uint64_t seed,
                                   Callbacks callbacks)
    : m_loop(loop), m_platform(platform), m_metrics(metrics), m_seed(seed),
      m_callbacks(std::move(callbacks)), m_retry(loop.MakeTimer([this] { Read(); }))
{
}

void SettingsFollower::Start()
{
  Read();
}

void SettingsFollower::Read()
{
  // Until the first answer the log is asked without waiting, so that a start is quick.
  const Milliseconds wait = m_is_log_reachable ? LONG_POLL : Milliseconds(0);
  m_platform.ReadLog(m_fold.Position(), wait,
                     [this](const Result<LogRead>& result) { OnRead(result); });
}

void SettingsFollower::OnRead(const Result<LogRead>& result)
{
  if (const auto* error = std::get_if<Error>(&result))
  {
    if (m_is_log_reachable)
      WARN_LOG(SETTINGS, "The platform's log is out of reach: {}.", error->message);
    m_is_log_reachable = false;
    m_metrics.Add("holdpost_log_read_failed_total");
    m_backoff = std::clamp<Duration>(m_backoff * 2, BACKOFF_LEAST, BACKOFF_MOST);
    m_retry->FireAfter(m_backoff);
    return;
  }
  if (!m_is_log_reachable)
    INFO_LOG(SETTINGS, "The platform's log is within reach.");
  m_is_log_reachable = true;
  m_backoff = Duration::zero();
  const auto& read = std::get<LogRead>(result);
  FoldRecords(read.records);
  if (m_fold.Position() >= read.head)
  {
    m_callbacks.on_log_read(read.sent);
    MaybeWriteSnapshot(read.first);
  }
  else if (read.records.empty())
  {
    // Behind a log that has nothing for us: never go back, wait for it.
    m_retry->FireAfter(BACKOFF_MOST);
    return;
  }
  m_loop.Defer([this] { Read(); });
}

void SettingsFollower::CountVerdict(const Settings::Verdict& verdict)
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

void SettingsFollower::Keep(const Settings::LogRecord& record)
{
  m_recent.push_back(record);
  m_recent_bytes += record.text.size();
  while (m_recent_bytes > RECENT_BYTES_MOST && m_recent.size() > 1)
  {
    m_recent_bytes -= m_recent.front().text.size();
    m_recent.pop_front();
  }
}

void SettingsFollower::FoldRecords(const std::vector<Settings::LogRecord>& records)
{
  if (records.empty())
    return;
  const Offset before = m_fold.Position();
  if (records.front().offset > before + 1)
  {
    // Records in between are gone from the log: only a snapshot can join the two.
    if (!m_fold.ApplyAll(records))
    {
      WARN_LOG(SETTINGS, "Found no snapshot that reaches back to offset {}.", before);
      return;
    }
  }
  for (const Settings::LogRecord& record : records)
  {
    if (record.offset == m_fold.Position() + 1)
      CountVerdict(m_fold.Apply(record));
    if (record.offset > before)
      Keep(record);
  }
  if (m_fold.Position() > before)
    m_callbacks.on_folded();
}

InstancePeer::LogStretch SettingsFollower::StretchAfter(Offset after) const
{
  InstancePeer::LogStretch stretch;
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

void SettingsFollower::OnStretch(const InstancePeer::LogStretch& stretch)
{
  if (!stretch.state.empty())
  {
    const auto adopted = m_fold.Adopt(stretch.state_position, stretch.state);
    if (Common::Succeeded(adopted))
    {
      m_recent.clear();
      m_recent_bytes = 0;
      m_metrics.Add("holdpost_settings_from_peer_total");
      INFO_LOG(SETTINGS, "Took the settings of offset {} from a peer.", m_fold.AcceptedOffset());
      m_callbacks.on_folded();
    }
    return;
  }
  if (!stretch.records.empty())
    m_metrics.Add("holdpost_settings_from_peer_total");
  FoldRecords(stretch.records);
}

void SettingsFollower::MaybeWriteSnapshot(Offset first)
{
  m_last_snapshot = std::max(m_last_snapshot, first == 0 ? 0 : first - 1);
  const Offset due = m_last_snapshot + SNAPSHOT_EVERY + m_seed % SNAPSHOT_JITTER;
  if (m_is_writing_snapshot || m_fold.Position() < due)
    return;
  m_is_writing_snapshot = true;
  const Offset position = m_fold.Position();
  m_platform.Append(Settings::EncodeRecord(Settings::Snapshot{position, m_fold.Serialize()}),
                    [this, position](const Result<Offset>& result)
                    {
                      // A lost answer is harmless: a second snapshot of one offset says the same.
                      m_is_writing_snapshot = false;
                      if (Common::Succeeded(result))
                        m_last_snapshot = position;
                    });
}
} // namespace Holdpost::Node
