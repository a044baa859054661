// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "Common/Types.h"
#include "Core/Control/NamedVersions.h"

// Determines the time since which a version that a read of the platform returns is known, because
// the platform's records carry no write time. A version whose naming was not observed is taken to
// be older rather than younger, as its switch deadline, which counts from the naming, could
// otherwise be too late.
namespace Holdpost::Control
{
// The maximum age that a version is assumed to have when a process starts, chosen so that its
// switch deadline lies `start_grace` after the start. From then on the process has to meet switch
// deadlines.
Common::Milliseconds AssumedAge(Common::Milliseconds switch_within,
                                Common::Milliseconds start_grace);

class NamingTracker
{
public:
  explicit NamingTracker(Common::Milliseconds assumed_age) : m_assumed_age(assumed_age) {}

  // Records that the process runs; the first call records its start. A long time between two calls
  // means that the process was suspended.
  void OnRunning(Common::TimePoint now);
  // Record that the platform is asked for its target list, and that it has answered. It answers
  // such requests immediately.
  void OnListRequested(Common::TimePoint now);
  void OnListAnswered(Common::TimePoint now);
  // Records that the platform is asked for the operators' changes: for the newest state, or for
  // changes since a position.
  void OnOperatorRequested(bool is_newest, Common::TimePoint now);
  void OnOperatorFailed(Common::TimePoint now);
  void OnOperatorAnswered(Common::TimePoint now);
  // Records that another process has announced all versions that were named until this time.
  void OnAllVersionsAnnounced(Common::TimePoint until);

  // Whether versions may have been named while the process was suspended, and no read that was sent
  // since then has been answered.
  bool MayHaveMissedNamings() const { return m_may_have_missed; }
  // Whether the current read may return versions that were named before the read was sent.
  bool MayReturnOldNamings() const { return m_may_return_old_namings; }
  // The time since which versions returned by the current read are known, if they were not known
  // before.
  KnownSince KnownSinceOfRead(Common::TimePoint now) const;

private:
  // The current network delay of the platform's answers.
  Common::Duration AnswerDelay(Common::TimePoint now) const;
  // Whether the time is so soon after a suspension that what is received then may have waited in a
  // socket meanwhile.
  bool IsCatchingUp(Common::TimePoint now) const;

  Common::Milliseconds m_assumed_age;
  std::optional<Common::TimePoint> m_started_at;
  Common::TimePoint m_ran_at{};
  // The last suspension of the process: the last time at which it ran before, and the first time
  // after.
  std::optional<Common::TimePoint> m_suspended_at;
  Common::TimePoint m_resumed_at{};
  bool m_may_have_missed = false;
  // All versions that were named until this time are known, from whatever source.
  std::optional<Common::TimePoint> m_announced_until;
  // The value of `m_announced_until` after the last answer to this process's reads of the
  // operators' changes.
  std::optional<Common::TimePoint> m_read_until;
  bool m_has_failed = false;
  bool m_may_return_old_namings = true;
  Common::TimePoint m_operator_requested_at{};
  std::optional<Common::TimePoint> m_list_requested_at;
  Common::Duration m_list_read_duration{};
};
} // namespace Holdpost::Control
