// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "Common/EventLoop.h"
#include "Common/Metrics.h"
#include "Core/Settings/Fold.h"
#include "Peers/Instance/Messages.h"
#include "Peers/Platform/PlatformClient.h"

// Keeps the fold up to date from the platform's log and, while that is away, from other instances.
namespace Holdpost::Node
{
class SettingsFollower
{
public:
  struct Callbacks
  {
    // New records were folded; the settings may have changed.
    std::function<void()> on_folded;
    // A read of the log that left at `sent` has been folded.
    std::function<void(Common::TimePoint sent)> on_log_read;
  };

  SettingsFollower(Common::EventLoop& loop, PlatformPeer::PlatformClient& platform,
                   Common::Metrics& metrics, std::uint64_t seed, Callbacks callbacks);
  void Start();

  const Settings::Fold& Fold() const { return m_fold; }
  // True once the log or a peer has vouched for a state.
  bool HasState() const { return m_fold.AcceptedOffset() > 0; }
  bool IsLogReachable() const { return m_is_log_reachable; }

  // For a peer that is behind: records after `after`, or the whole state if they are not kept.
  InstancePeer::LogStretch StretchAfter(Common::Offset after) const;
  // From a peer that is ahead.
  void OnStretch(const InstancePeer::LogStretch& stretch);

private:
  void Read();
  void OnRead(const Common::Result<PlatformPeer::LogRead>& result);
  void FoldRecords(const std::vector<Settings::LogRecord>& records);
  void CountVerdict(const Settings::Verdict& verdict);
  void Keep(const Settings::LogRecord& record);
  void MaybeWriteSnapshot(Common::Offset first);

  Common::EventLoop& m_loop;
  PlatformPeer::PlatformClient& m_platform;
  Common::Metrics& m_metrics;
  std::uint64_t m_seed;
  Callbacks m_callbacks;
  std::unique_ptr<Common::Watch> m_retry;
  Settings::Fold m_fold;
  std::deque<Settings::LogRecord> m_recent;
  std::size_t m_recent_bytes = 0;
  bool m_is_log_reachable = false;
  Common::Duration m_backoff{};
  Common::Offset m_last_snapshot = 0;
  bool m_is_writing_snapshot = false;
};
} // namespace Holdpost::Node
