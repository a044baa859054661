// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "Core/Gateway/Messages.h"

// Answers with neither a length nor chunks whose connections have closed. The kernel closes the
// sockets of a process that is killed in the same way, so such an answer counts as whole only once
// it is known that the same incarnation of the target still ran after the close. One proof serves
// all answers that closed before it. The same probes tell whether a target that lost an answer has
// ended.
namespace Holdpost::Gateway
{
struct ClosedAnswer
{
  RequestNumber number = 0;
  TargetId target;
  Common::Address address;
  std::uint64_t incarnation = 0; // 0 if it is not known
  Common::TimePoint closed_at{};
  // Probes wait until then, because cheaper proofs may come.
  Common::TimePoint probe_from{};
  // It is broken if it has not been proved by then.
  Common::TimePoint expires{};
  std::string health_path; // empty if the target cannot be probed
};

// What showed that a target ran.
enum class RunProof
{
  // The report of the agent beside it.
  Report,
  // The answer to another request that was sent after the close.
  Answer,
  // The answer to a probe.
  Probe,
  // None: the target has neither an agent nor a health page that could tell.
  Unprovable,
};
std::string_view RunProofName(RunProof proof);

class ClosedAnswers
{
public:
  void Add(ClosedAnswer answer);
  void Forget(RequestNumber number) { m_answers.erase(number); }
  bool IsEmpty() const { return m_answers.empty() && m_lost.empty(); }
  // A target without an agent has lost an answer. It is probed from `probe_from` on, until a probe
  // tells whether it has ended, or until `expires`.
  void AddLost(ProbeTarget target, Common::TimePoint probe_from, Common::TimePoint expires);
  // A probe that was sent at the time has told whether the target has ended.
  void ForgetLost(const TargetId& target, Common::TimePoint sent_at);

  // The target ran at the time or later; returns the answers that this proves.
  std::vector<ClosedAnswer> TakeProved(const TargetId& target, std::uint64_t incarnation,
                                       Common::TimePoint ran_at);
  // The same by a report of the agent at the address, which may not know the target's id.
  std::vector<ClosedAnswer> TakeProvedAt(const Common::Address& address, const TargetId& target,
                                         std::uint64_t incarnation, Common::TimePoint ran_at);
  // Another incarnation or another target ran at the address at the time.
  std::vector<ClosedAnswer> TakeReplacedAt(const Common::Address& address, const TargetId& target,
                                           std::uint64_t incarnation,
                                           std::optional<Common::TimePoint> ran_at);
  // The target has ended.
  std::vector<ClosedAnswer> TakeEnded(const Common::Address& address, const TargetId& target,
                                      std::uint64_t incarnation);
  // The answers that were not proved in time.
  std::vector<ClosedAnswer> TakeExpired(Common::TimePoint now);

  // The targets that are probed now: one probe at a time for each.
  std::vector<ProbeTarget> TakeDueProbes(Common::TimePoint now);
  // Returns when the probe was sent; empty if none is open.
  std::optional<Common::TimePoint> OnProbeEnded(const TargetId& target, Common::TimePoint now);
  std::optional<Common::TimePoint> NextWakeup() const;

private:
  struct Probe
  {
    std::optional<Common::TimePoint> sent_at; // empty if none is open
    Common::TimePoint next{};
  };

  struct LostTarget
  {
    ProbeTarget target;
    Common::TimePoint probe_from{};
    Common::TimePoint expires{};
  };

  template <typename Condition>
  std::vector<ClosedAnswer> TakeWhere(const Condition& condition);
  // When a target that waits for a probe from a time on may be probed; empty while a probe is open.
  std::optional<Common::TimePoint> ProbeDue(const TargetId& target,
                                            Common::TimePoint probe_from) const;
  std::optional<Common::TimePoint> ProbeDue(const ClosedAnswer& answer) const;

  std::map<RequestNumber, ClosedAnswer> m_answers;
  std::map<TargetId, LostTarget> m_lost;
  std::map<TargetId, Probe> m_probes;
};
} // namespace Holdpost::Gateway
