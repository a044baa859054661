// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>

#include "Common/Types.h"
#include "Core/Control/NamedVersions.h"

// Since when versions are known that a read of the platform finds: no record tells when it was
// written. What is not seen being named is taken to be older rather than younger, as a bound that
// counts from the naming may otherwise come too late.
namespace Holdpost::Control
{
// How old a version may be at most when a process starts, so that its bound lies `start_grace`
// after the start: from then on the process is held to bounds.
Common::Milliseconds AssumedAge(Common::Milliseconds switch_within,
                                Common::Milliseconds start_grace);

class NamingWatch
{
public:
  explicit NamingWatch(Common::Milliseconds assumed_age) : m_assumed_age(assumed_age) {}

  // The process has started; later calls do nothing.
  void Begin(Common::TimePoint now);
  // The platform is asked for its list of targets, which it answers at once, and has answered.
  void OnListAsked(Common::TimePoint now);
  void OnListAnswered(Common::TimePoint now);
  // The platform is asked for what operators wrote: for the newest state, or for what changes.
  void OnOperatorAsked(bool is_newest, Common::TimePoint now);
  void OnOperatorFailed(Common::TimePoint now);
  void OnOperatorAnswered(Common::TimePoint now);
  // Another process has told of all versions that were named until then.
  void OnToldAll(Common::TimePoint until);

  // Whether the present read may find what was named before it was asked for.
  bool MayHaveMissed() const { return m_may_have_missed; }
  // Since when versions are known that the present read finds, if they were not known before.
  KnownSince SinceOfRead(Common::TimePoint now) const;

private:
  // How long answers of the platform are on their way at the moment.
  Common::Duration AnswerDelay(Common::TimePoint now) const;

  Common::Milliseconds m_assumed_age;
  std::optional<Common::TimePoint> m_began;
  // Until when all versions that were named are known, and by the own reads.
  std::optional<Common::TimePoint> m_told_until;
  std::optional<Common::TimePoint> m_read_until;
  bool m_has_failed = false;
  bool m_may_have_missed = true;
  Common::TimePoint m_operator_asked{};
  std::optional<Common::TimePoint> m_list_asked;
  Common::Duration m_list_took{};
};
} // namespace Holdpost::Control
