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
#include "Core/Control/NamingWatch.h"
#include "Core/Control/TargetList.h"

// Follows what a platform tells of settings and targets: when to ask, and what is known. Versions
// only rise.
namespace Holdpost::Control
{
struct FollowerOptions
{
  // Between two reads of the list of targets.
  Common::Milliseconds list_period{600};
  // How long one read of the operators' changes waits for the next.
  Common::Milliseconds long_poll{2500};
  // A version that was named before the start is taken to be so old then, until a process that knew
  // of the naming tells.
  Common::Milliseconds assumed_age{0};
};

// Times the attempts at something that fails: the pause doubles, with jitter, so that many
// processes don't come back at the same moment.
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

  // The process has started, though nothing may have to be asked yet.
  void Begin(Common::TimePoint now) { m_naming.Begin(now); }
  void OnTick(Common::TimePoint now, Actions* actions);
  Common::TimePoint NextWakeup() const;
  // While another process reads for this one, nothing is asked of the platform.
  void SetReading(bool reads);

  // Each returns true if something new is known.
  bool OnOperatorRead(const Common::Result<OperatorRead>& result, Common::TimePoint now);
  bool OnTargetsRead(const Common::Result<TargetsRead>& result, Common::TimePoint now);
  // Learnt from another process.
  bool OfferDocument(const std::shared_ptr<const Settings::Document>& document,
                     const Common::Bytes& text);
  // Another process has told of a version. Returns the own one if that process is to be asked for
  // its document now, as the platform has not brought it here in time.
  std::optional<Settings::DocumentVersion> OnPeerVersion(Settings::DocumentVersion version,
                                                         Common::TimePoint now);
  bool OfferWeights(const NamedWeights& named, const KnownSince& since);
  // Another process has told of all versions that were named until then.
  void OnToldAll(Common::TimePoint until) { m_naming.OnToldAll(until); }
  // What another process read of the list of targets; of no use if something before it is missing.
  bool OfferTargets(const TargetsNews& news);
  // Another process has read the list up to `position`, and `changed` was the last change in it.
  // Returns whether that process is to be asked, as a change is missing here.
  bool MissesTargets(Position position, Position changed);

  const std::shared_ptr<const Settings::Document>& Document() const { return m_document; }
  Settings::DocumentVersion Version() const { return m_document ? m_document->version : 0; }
  const Common::Bytes& DocumentText() const { return m_document_text; }
  // The document that was in force before.
  Settings::DocumentVersion VersionBefore() const { return m_version_before; }
  const Common::Bytes& TextBefore() const { return m_text_before; }
  // The last versions of each model.
  const std::map<std::string, NamedVersions>& Weights() const { return m_weights; }
  std::vector<Gateway::ListedTarget> Targets() const { return m_targets.All(); }
  bool HasTargets() const { return m_targets.IsKnown(); }
  // Whether the platform has answered both reads since the start. There may be no settings yet: who
  // follows this process need not ask for them as well.
  bool HasReadAll() const { return m_has_read_operator && m_has_read_targets; }
  // How far the list of targets is known, and the last change in it.
  Position TargetsPosition() const { return m_targets.Known(); }
  Position TargetsChanged() const { return m_targets.Changed(); }
  // The changes of the last read, for processes that know the list up to its base.
  const TargetsNews& LastTargetsNews() const { return m_targets.LastNews(); }
  // The whole list, for processes that know none of it.
  TargetsNews WholeTargets() const { return m_targets.Whole(); }
  // When the platform last answered; the start of time before that.
  Common::TimePoint LastAnswer() const { return m_last_answer; }
  bool IsReachable() const { return m_is_reachable; }
  void SetListPeriod(Common::Milliseconds period) { m_options.list_period = period; }

private:
  void NoteReachable(bool is_reachable, Common::TimePoint now);
  bool OfferRead(const std::vector<NamedWeights>& weights, Common::TimePoint now);

  FollowerOptions m_options;
  NamingWatch m_naming;
  std::shared_ptr<const Settings::Document> m_document;
  Common::Bytes m_document_text;
  Settings::DocumentVersion m_version_before = 0;
  Common::Bytes m_text_before;
  std::map<std::string, NamedVersions> m_weights;
  TargetList m_targets;
  bool m_is_reachable = false;
  // Since when others are known to have newer settings.
  std::optional<Common::TimePoint> m_behind_since;
  Common::TimePoint m_ask_due{};
  Position m_operator_next = 0;
  // Where the platform is asked to go on; 0 for the whole list.
  Position m_targets_next = 0;
  bool m_reads = true;
  Common::TimePoint m_last_answer{};
  bool m_is_reading_operator = false;
  bool m_is_reading_targets = false;
  bool m_has_read_operator = false;
  bool m_has_read_targets = false;
  Common::TimePoint m_operator_due{};
  Common::TimePoint m_targets_due{};
  Backoff m_operator_backoff;
  Backoff m_targets_backoff;
};
} // namespace Holdpost::Control
