// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/Error.h"
#include "Core/Control/ControlMessages.h"
#include "Core/Control/NamedVersions.h"
#include "Core/Control/NamingTracker.h"
#include "Core/Control/TargetList.h"

// Follows the settings and the target list of the platform: decides when to read them and keeps the
// newest known state. Versions never decrease.
namespace Holdpost::Control
{
struct FollowerOptions
{
  // The time between two reads of the target list.
  Common::Milliseconds list_period{600};
  // How long one read of the operators' changes waits for the next change (long poll).
  Common::Milliseconds long_poll{2500};
  // The age that a version named before the start of this process is assumed to have at the start,
  // until a process that observed the naming reports its age.
  Common::Milliseconds assumed_age{0};
  // The time from the naming of a version to its switch deadline.
  Common::Milliseconds switch_within = DEFAULT_SWITCH_WITHIN;
};

// Computes the pauses between retries of a failing operation. The pause doubles up to a maximum and
// has jitter, so that many processes do not retry at the same moment.
class Backoff
{
public:
  explicit Backoff(std::uint64_t seed) : m_random(seed) {}
  Common::Duration Next();
  void Reset() { m_pause = {}; }

private:
  std::mt19937_64 m_random;
  Common::Duration m_pause{};
};

class ControlFollower
{
public:
  ControlFollower(FollowerOptions options, std::uint64_t seed);

  // Records that the process runs; the first call records its start, which may be earlier than its
  // first read of the platform.
  void OnRunning(Common::TimePoint now) { m_naming_tracker.OnRunning(now); }
  void OnTick(Common::TimePoint now, Actions* actions);
  Common::TimePoint NextWakeup() const;
  // While another process reads for this one, nothing is requested from the platform.
  void SetReading(bool is_reader);

  // Each of these functions returns true if the known state changes.
  // `read` is the number of the read that the result belongs to; the last one if it is empty.
  bool OnOperatorRead(const Common::Result<OperatorChanges>& result, Common::TimePoint now,
                      std::optional<std::uint64_t> read = std::nullopt);
  bool OnTargetsRead(const Common::Result<TargetsRead>& result, Common::TimePoint now);
  // Applies a document that another process sent.
  bool OfferDocument(const std::shared_ptr<const Settings::Document>& document,
                     const Common::Bytes& text);
  // Handles a settings version that another process announced. Returns the local version if that
  // process has to be asked for its document now, because the platform has not delivered it in
  // time.
  std::optional<Settings::DocumentVersion> OnPeerVersion(Settings::DocumentVersion version,
                                                         Common::TimePoint now);
  bool OfferWeights(const NamedWeights& named, const KnownSince& since);
  // Records that another process has announced all versions that were named until this time.
  void OnAllVersionsAnnounced(Common::TimePoint until)
  {
    m_naming_tracker.OnAllVersionsAnnounced(until);
  }
  // Applies target list changes that another process read. They are ignored if earlier changes are
  // missing.
  bool OfferTargets(const TargetListChanges& update, Common::TimePoint now);
  // Handles the news that another process has read the target list up to `position` and that its
  // last change is at `changed`. Returns whether that process has to be asked for the list, because
  // this process lacks a change.
  bool OnPeerTargetsPosition(Position position, Position changed, Common::TimePoint now);

  const std::shared_ptr<const Settings::Document>& Document() const { return m_document; }
  Settings::DocumentVersion Version() const { return m_document ? m_document->version : 0; }
  const Common::Bytes& DocumentText() const { return m_document_text; }
  // The version and the text of the document that was in force before the current one.
  Settings::DocumentVersion PreviousVersion() const { return m_previous_version; }
  const Common::Bytes& PreviousText() const { return m_previous_text; }
  // The newest named versions of each model.
  const std::map<std::string, NamedVersions>& Weights() const { return m_weights; }
  std::vector<Gateway::ListedTarget> Targets() const { return m_targets.All(); }
  bool HasTargets() const { return m_targets.IsKnown(); }
  // Whether the platform has answered both reads since the start, even if it has no settings yet.
  // If so, processes that follow this one do not have to request them from the platform too.
  bool HasReadAll() const { return m_has_read_operator && m_has_read_targets; }
  // The position up to which the target list is known, and the position of its last change.
  Position TargetsPosition() const { return m_targets.KnownPosition(); }
  Position LastTargetsChange() const { return m_targets.ChangedPosition(); }
  // The newest era of the platform that is known.
  std::uint64_t Era() const { return m_era.value_or(0); }
  // The changes of the last read, for processes that know the target list up to its base.
  const TargetListChanges& LastTargetListChanges() const { return m_targets.LastUpdate(); }
  // The full target list, for processes that know none of it.
  TargetListChanges FullTargetList() const { return m_targets.FullList(); }
  // The time of the platform's last answer, or the default time point before the first answer.
  Common::TimePoint LastAnswer() const { return m_last_answer; }
  bool IsReachable() const { return m_is_reachable; }
  void SetListPeriod(Common::Milliseconds period) { m_options.list_period = period; }
  void SetSwitchWithin(Common::Milliseconds within) { m_options.switch_within = within; }

private:
  void NoteReachable(bool is_reachable, Common::TimePoint now);
  // If the platform has come back from an older copy, reads it anew: positions of earlier eras no
  // longer exist, and a read that waits at one may wait in vain.
  void NoteEra(std::uint64_t era, Common::TimePoint now);
  // The read failed, because the position is gone or the platform does not answer.
  void OnOperatorFailed(const Common::Error& error, Common::TimePoint now);
  bool OfferReadWeights(const std::vector<NamedWeights>& weights, Common::TimePoint now);

  FollowerOptions m_options;
  NamingTracker m_naming_tracker;
  std::shared_ptr<const Settings::Document> m_document;
  Common::Bytes m_document_text;
  Settings::DocumentVersion m_previous_version = 0;
  Common::Bytes m_previous_text;
  std::map<std::string, NamedVersions> m_weights;
  TargetList m_targets;
  bool m_is_reachable = false;
  // The time since which other processes are known to have newer settings.
  std::optional<Common::TimePoint> m_behind_since;
  Common::TimePoint m_peer_request_due{};
  std::optional<std::uint64_t> m_era; // empty until the first answer or list
  std::uint64_t m_operator_read = 0;  // the number of the last read
  Position m_operator_next = 0;
  // The position from which the platform is asked for target list changes; 0 requests the full
  // list.
  Position m_targets_next = 0;
  bool m_is_reader = true;
  Common::TimePoint m_last_answer{};
  bool m_is_reading_operator_changes = false;
  bool m_is_reading_targets = false;
  bool m_has_read_operator = false;
  bool m_has_read_targets = false;
  Common::TimePoint m_operator_due{};
  Common::TimePoint m_targets_due{};
  Backoff m_operator_backoff;
  Backoff m_targets_backoff;
};
} // namespace Holdpost::Control
