// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/ClosedAnswers.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Gateway
{
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;

// The time from the end of a probe to the next one of the same target.
static constexpr Milliseconds PROBE_PAUSE = Milliseconds(50);

std::string_view RunProofName(RunProof proof)
{
  switch (proof)
  {
  case RunProof::Report:
    return "report";
  case RunProof::Answer:
    return "answer";
  case RunProof::Unprovable:
    return "unprovable";
  case RunProof::Probe:
    break;
  }
  return "probe";
}

static bool AreSame(std::uint64_t a, std::uint64_t b)
{
  return a == 0 || b == 0 || a == b;
}

// Whether what an agent tells of a target, whose id or incarnation it may not know, is about the
// target of the answer.
static bool IsOf(const ClosedAnswer& answer, const TargetId& target, std::uint64_t incarnation)
{
  return (target.empty() || answer.target == target) && AreSame(answer.incarnation, incarnation);
}

template <typename Condition>
std::vector<ClosedAnswer> ClosedAnswers::TakeWhere(const Condition& condition)
{
  std::vector<ClosedAnswer> taken;
  std::erase_if(m_answers,
                [&](const auto& entry)
                {
                  if (!condition(entry.second))
                    return false;
                  taken.push_back(entry.second);
                  return true;
                });
  return taken;
}

void ClosedAnswers::Add(ClosedAnswer answer)
{
  m_answers[answer.number] = std::move(answer);
}

std::vector<ClosedAnswer> ClosedAnswers::TakeProved(const TargetId& target,
                                                    std::uint64_t incarnation, TimePoint ran_at)
{
  return TakeWhere(
      [&](const ClosedAnswer& answer)
      {
        return answer.target == target && AreSame(answer.incarnation, incarnation) &&
               answer.closed_at <= ran_at;
      });
}

std::vector<ClosedAnswer> ClosedAnswers::TakeProvedAt(const Address& address,
                                                      const TargetId& target,
                                                      std::uint64_t incarnation, TimePoint ran_at)
{
  const auto is_proved = [&](const ClosedAnswer& answer)
  {
    const bool is_identified = !target.empty() || (incarnation > 0 && answer.incarnation > 0);
    return is_identified && answer.address == address && IsOf(answer, target, incarnation) &&
           answer.closed_at <= ran_at;
  };
  return TakeWhere(is_proved);
}

std::vector<ClosedAnswer> ClosedAnswers::TakeReplacedAt(const Address& address,
                                                        const TargetId& target,
                                                        std::uint64_t incarnation,
                                                        std::optional<TimePoint> ran_at)
{
  const auto is_replaced = [&](const ClosedAnswer& answer)
  {
    if (answer.address != address)
      return false;
    // A report of the target before may have been delayed.
    const bool is_other =
        !target.empty() && answer.target != target && ran_at && *ran_at >= answer.closed_at;
    return is_other || (answer.incarnation > 0 && incarnation > answer.incarnation);
  };
  return TakeWhere(is_replaced);
}

std::vector<ClosedAnswer> ClosedAnswers::TakeEnded(const Address& address, const TargetId& target,
                                                   std::uint64_t incarnation)
{
  return TakeWhere([&](const ClosedAnswer& answer)
                   { return answer.address == address && IsOf(answer, target, incarnation); });
}

std::vector<ClosedAnswer> ClosedAnswers::TakeExpired(TimePoint now)
{
  return TakeWhere([now](const ClosedAnswer& answer) { return now >= answer.expires; });
}

void ClosedAnswers::AddLost(ProbeTarget target, TimePoint probe_from, TimePoint expires)
{
  const TargetId id = target.target;
  m_lost[id] = {std::move(target), probe_from, expires};
}

void ClosedAnswers::ForgetLost(const TargetId& target, TimePoint sent_at)
{
  const auto found = m_lost.find(target);
  if (found != m_lost.end() && found->second.probe_from <= sent_at)
    m_lost.erase(found);
}

std::optional<TimePoint> ClosedAnswers::ProbeDue(const TargetId& target, TimePoint probe_from) const
{
  const auto probe = m_probes.find(target);
  if (probe == m_probes.end())
    return probe_from;
  if (probe->second.sent_at)
    return std::nullopt;
  return std::max(probe_from, probe->second.next);
}

std::optional<TimePoint> ClosedAnswers::ProbeDue(const ClosedAnswer& answer) const
{
  if (answer.health_path.empty())
    return std::nullopt;
  return ProbeDue(answer.target, answer.probe_from);
}

std::vector<ProbeTarget> ClosedAnswers::TakeDueProbes(TimePoint now)
{
  std::erase_if(m_probes, [now](const auto& entry)
                { return !entry.second.sent_at && entry.second.next <= now; });
  std::erase_if(m_lost, [now](const auto& entry) { return now >= entry.second.expires; });
  std::vector<ProbeTarget> probes;
  const auto take = [&](const std::optional<TimePoint>& due, const ProbeTarget& target)
  {
    if (!due || *due > now)
      return;
    m_probes[target.target].sent_at = now;
    probes.push_back(target);
  };
  for (const auto& [number, answer] : m_answers)
    take(ProbeDue(answer), {answer.target, answer.address, answer.health_path});
  for (const auto& [id, lost] : m_lost)
    take(ProbeDue(id, lost.probe_from), lost.target);
  return probes;
}

std::optional<TimePoint> ClosedAnswers::OnProbeEnded(const TargetId& target, TimePoint now)
{
  const auto found = m_probes.find(target);
  if (found == m_probes.end())
    return std::nullopt;
  found->second.next = now + PROBE_PAUSE;
  return std::exchange(found->second.sent_at, std::nullopt);
}

std::optional<TimePoint> ClosedAnswers::NextWakeup() const
{
  std::optional<TimePoint> next;
  const auto take = [&next](TimePoint at) { next = std::min(next.value_or(at), at); };
  for (const auto& [number, answer] : m_answers)
  {
    take(answer.expires);
    if (const auto due = ProbeDue(answer))
      take(*due);
  }
  for (const auto& [id, lost] : m_lost)
  {
    if (const auto due = ProbeDue(id, lost.probe_from))
      take(*due);
  }
  return next;
}
} // namespace Holdpost::Gateway
