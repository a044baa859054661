// SPDX-License-Identifier: Apache-2.0
#include "Core/Control/ControlFollower.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace Holdpost::Control
{
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::LogEvent;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;
using Common::Weight;

static constexpr Duration MIN_PAUSE = Milliseconds(100);
// The platform usually sends a change to all processes at nearly the same time, so it gets this
// much time to deliver settings before a peer is asked for them.
static constexpr Duration PLATFORM_HEAD_START = Milliseconds(300);
static constexpr Duration PEER_REQUEST_PERIOD = Milliseconds(400);
static constexpr Duration MAX_PAUSE = Milliseconds(1000);

Duration Backoff::Next()
{
  m_pause = std::clamp(m_pause * 2, MIN_PAUSE, MAX_PAUSE);
  // The jittered pause lies between half of `m_pause` and all of it.
  const auto half = static_cast<std::uint64_t>(m_pause.count() / 2);
  return Duration(m_pause.count() / 2 + static_cast<Duration::rep>(m_random() % (half + 1)));
}

ControlFollower::ControlFollower(FollowerOptions options, std::uint64_t seed)
    : m_options(options), m_naming_tracker(options.assumed_age), m_operator_backoff(seed),
      m_targets_backoff(seed + 1)
{
}

void ControlFollower::OnTick(TimePoint now, Actions* actions)
{
  OnRunning(now);
  if (!m_is_reader)
    return;
  if (!m_is_reading_operator_changes && now >= m_operator_due)
  {
    m_is_reading_operator_changes = true;
    const bool has_state = m_operator_next > 0 && m_document;
    m_naming_tracker.OnOperatorRequested(!has_state, now);
    // What was missed is read without waiting, so that the next read returns new versions only.
    const bool may_wait = has_state && !m_naming_tracker.MayHaveMissedNamings();
    actions->push_back(ReadOperatorChanges{has_state ? m_operator_next : 0,
                                           may_wait ? m_options.long_poll : Milliseconds(0),
                                           ++m_operator_read});
  }
  if (!m_is_reading_targets && now >= m_targets_due)
  {
    m_is_reading_targets = true;
    m_naming_tracker.OnListRequested(now);
    actions->push_back(ReadTargets{m_targets_next});
  }
}

TimePoint ControlFollower::NextWakeup() const
{
  TimePoint next = TimePoint::max();
  if (!m_is_reader)
    return next;
  if (!m_is_reading_operator_changes)
    next = std::min(next, m_operator_due);
  if (!m_is_reading_targets)
    next = std::min(next, m_targets_due);
  return next;
}

void ControlFollower::SetReading(bool is_reader)
{
  if (std::exchange(m_is_reader, is_reader) || !is_reader)
    return;
  // Only the newest state matters, not the changes that were written while another process was
  // reading. The target list is read in full, because the previous reader may have kept targets
  // whose records had lapsed.
  m_operator_next = 0;
  m_targets_next = 0;
  m_operator_due = {};
  m_targets_due = {};
  m_operator_backoff.Reset();
  m_targets_backoff.Reset();
}

void ControlFollower::NoteReachable(bool is_reachable, TimePoint now)
{
  if (std::exchange(m_is_reachable, is_reachable) != is_reachable)
  {
    LogEvent(Weight::Important, now, is_reachable ? "platform.regained" : "platform.lost",
             "settings", Version(), "targets", m_targets.Size());
  }
}

void ControlFollower::NoteEra(std::uint64_t era, TimePoint now)
{
  const std::optional<std::uint64_t> before = m_era;
  m_era = std::max(before.value_or(era), era);
  if (m_era == before || !before)
    return;
  LogEvent(Weight::Important, now, "platform.restored", "era", era, "before", *before, "settings",
           Version(), "targets", m_targets.Size());
  m_operator_next = 0;
  m_is_reading_operator_changes = false;
  m_operator_due = now;
  m_operator_backoff.Reset();
  m_targets_next = 0;
  m_targets_due = now;
}

void ControlFollower::OnOperatorFailed(const Error& error, TimePoint now)
{
  m_naming_tracker.OnOperatorFailed(now);
  const bool is_position_gone = error.kind == ErrorKind::PositionGone;
  const bool may_read_newest = is_position_gone && m_operator_next > 0;
  if (is_position_gone)
    m_operator_next = 0;
  else
    NoteReachable(false, now);
  m_operator_due = may_read_newest ? now : now + m_operator_backoff.Next();
}

bool ControlFollower::OnOperatorRead(const Result<OperatorChanges>& result, TimePoint now,
                                     std::optional<std::uint64_t> number)
{
  OnRunning(now);
  if (number.value_or(m_operator_read) != m_operator_read)
    return false;
  m_is_reading_operator_changes = false;
  if (const auto* error = std::get_if<Error>(&result))
  {
    OnOperatorFailed(*error, now);
    return false;
  }
  NoteReachable(true, now);
  m_last_answer = now;
  m_has_read_operator = true;
  const auto& read = std::get<OperatorChanges>(result);
  NoteEra(EraOf(read.next), now);
  m_operator_next = read.next;
  if (m_document || read.document)
    m_operator_backoff.Reset();
  // Until the first document is written there is no position to wait at, so the platform is polled
  // with growing pauses.
  m_operator_due = m_document || read.document ? now : now + m_operator_backoff.Next();
  bool is_new = read.document && OfferDocument(read.document, read.text);
  is_new = OfferReadWeights(read.weights, now) || is_new;
  m_naming_tracker.OnOperatorAnswered(now);
  return is_new;
}

bool ControlFollower::OfferReadWeights(const std::vector<NamedWeights>& weights, TimePoint now)
{
  const KnownSince since = m_naming_tracker.KnownSinceOfRead(now);
  bool is_new = false;
  for (const NamedWeights& named : weights)
  {
    // A read that may return old namings gives no information about the age of a version that is
    // already known.
    if (m_naming_tracker.MayReturnOldNamings() && m_weights[named.model].IsKnown(named.version))
      continue;
    is_new = OfferWeights(named, since) || is_new;
  }
  return is_new;
}

bool ControlFollower::OfferDocument(const std::shared_ptr<const Settings::Document>& document,
                                    const Common::Bytes& text)
{
  if (document->version <= Version())
    return false;
  m_previous_version = Version();
  m_previous_text = std::exchange(m_document_text, text);
  m_document = document;
  return true;
}

std::optional<Settings::DocumentVersion>
ControlFollower::OnPeerVersion(Settings::DocumentVersion version, TimePoint now)
{
  if (version <= Version())
  {
    m_behind_since.reset();
    return std::nullopt;
  }
  if (!m_behind_since)
    m_behind_since = now;
  if (now - *m_behind_since < PLATFORM_HEAD_START || now < m_peer_request_due)
    return std::nullopt;
  m_peer_request_due = now + PEER_REQUEST_PERIOD;
  return Version();
}

bool ControlFollower::OfferWeights(const NamedWeights& named, const KnownSince& since)
{
  return m_weights[named.model].Offer({named.version, since}, m_options.switch_within);
}

bool ControlFollower::OnTargetsRead(const Result<TargetsRead>& result, TimePoint now)
{
  OnRunning(now);
  m_is_reading_targets = false;
  m_naming_tracker.OnListAnswered(now);
  if (const auto* error = std::get_if<Error>(&result))
  {
    const bool is_position_gone = error->kind == ErrorKind::PositionGone;
    const bool may_read_whole = is_position_gone && m_targets_next > 0;
    if (is_position_gone)
      m_targets_next = 0;
    else
      m_targets.OnReadFailed(now);
    m_targets_due = may_read_whole ? now : now + m_targets_backoff.Next();
    return false;
  }
  m_targets_backoff.Reset();
  m_last_answer = now;
  m_has_read_targets = true;
  NoteEra(EraOf(std::get<TargetsRead>(result).next), now);
  m_targets_due = now + m_options.list_period;
  const bool is_changed = m_targets.OnRead(std::get<TargetsRead>(result), now);
  m_targets_next = m_targets.KnownPosition();
  return is_changed;
}

bool ControlFollower::OfferTargets(const TargetListChanges& update, TimePoint now)
{
  if (!m_targets.Offer(update, now))
    return false;
  NoteEra(EraOf(update.position), now);
  m_targets_next = m_targets.KnownPosition();
  return true;
}

bool ControlFollower::OnPeerTargetsPosition(Position position, Position changed, TimePoint now)
{
  if (m_targets.OnPeerPosition(position, changed))
    return true;
  NoteEra(EraOf(position), now);
  m_targets_next = m_targets.KnownPosition();
  return false;
}
} // namespace Holdpost::Control
