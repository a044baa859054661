// SPDX-License-Identifier: Apache-2.0
#include "Core/Gateway/ReadAdmission.h"

#include <algorithm>
#include <utility>

namespace Holdpost::Gateway
{
using Common::Milliseconds;
using Common::TimePoint;

static constexpr std::size_t MAX_SMALL_BYTES = 64 << 10;
// Shares of the maximum at which memory becomes short, and at which it no longer is.
static constexpr double SHORT_SHARE = 0.75;
static constexpr double ENOUGH_SHARE = 0.65;
// The share that large requests may fill. Small ones and answers need the rest.
static constexpr double LARGE_SHARE = 0.9;
// Callers give an attempt up if nobody has read it within about a second, so a request that is held
// back is refused in time for another attempt, and one that is not whole by then is not waited for.
static constexpr Milliseconds MAX_HOLD_TIME = Milliseconds(500);
static constexpr Milliseconds MAX_READ_TIME = Milliseconds(1000);
// A caller of which nothing comes for so long does not count as one that sends.
static constexpr Milliseconds STALL_TIME = Milliseconds(250);

Common::Error MemoryFullError()
{
  const Common::ErrorAnswer& row = Common::AnswerFor(Common::ErrorKind::MemoryFull);
  return {row.kind, "too much is held for callers", row.retry_after};
}

bool ReadAdmission::IsSmall(std::size_t read_bytes)
{
  return read_bytes <= MAX_SMALL_BYTES;
}

std::size_t ReadAdmission::MaxRequestBytes() const
{
  return static_cast<std::size_t>(static_cast<double>(m_max_bytes) * LARGE_SHARE);
}

std::size_t ReadAdmission::HeldBackCount() const
{
  return static_cast<std::size_t>(
      std::ranges::count_if(m_reads, [](const auto& entry) { return entry.second.is_held_back; }));
}

void ReadAdmission::UpdateShortage(std::size_t held_bytes, TimePoint now)
{
  const double share = static_cast<double>(held_bytes) / static_cast<double>(m_max_bytes);
  if (!m_short_since && share >= SHORT_SHARE)
    m_short_since = now;
  else if (m_short_since && share < ENOUGH_SHARE)
    m_short_since.reset();
}

bool ReadAdmission::IsStalled(const Read& read, TimePoint now)
{
  return !read.is_held_back && now - read.progressed >= STALL_TIME;
}

std::vector<ReadNumber> ReadAdmission::Fitting(std::size_t held_bytes, TimePoint now) const
{
  std::vector<ReadNumber> fitting;
  std::size_t expected = held_bytes;
  for (const auto& [number, read] : m_reads)
  {
    if (IsStalled(read, now) || expected + read.request.missing_bytes > MaxRequestBytes())
      continue;
    expected += read.request.missing_bytes;
    fitting.push_back(number);
  }
  return fitting;
}

ReadDecision ReadAdmission::OnRead(ReadNumber number, const PartialRequest& request,
                                   std::size_t held_bytes, TimePoint now)
{
  UpdateShortage(held_bytes, now);
  const bool can_ever_fit = request.read_bytes + request.missing_bytes <= MaxRequestBytes();
  if (IsFull(held_bytes) || !can_ever_fit)
  {
    m_reads.erase(number);
    return ReadDecision::Refuse;
  }
  if (IsSmall(request.read_bytes))
    return ReadDecision::ReadOn;
  Read& read = m_reads.try_emplace(number, Read{request, now, now}).first->second;
  read.request = request;
  read.progressed = now;
  read.is_held_back = IsShort() && !std::ranges::binary_search(Fitting(held_bytes, now), number);
  return read.is_held_back ? ReadDecision::HoldBack : ReadDecision::ReadOn;
}

void ReadAdmission::Refuse(Reads::iterator refused, std::size_t* held_bytes, Changes* changes)
{
  *held_bytes -= std::min(*held_bytes, refused->second.request.read_bytes);
  changes->refused.push_back(refused->first);
  m_reads.erase(refused);
}

void ReadAdmission::RefuseSlow(std::size_t* held_bytes, TimePoint now, Changes* changes)
{
  for (auto read = m_reads.begin(); read != m_reads.end();)
  {
    const auto slow = read++;
    if (now - std::max(slow->second.since, *m_short_since) >= MAX_READ_TIME)
      Refuse(slow, held_bytes, changes);
  }
}

ReadAdmission::Reads::iterator ReadAdmission::NextRefused(std::size_t held_bytes, TimePoint now)
{
  if (held_bytes > m_max_bytes)
  {
    return std::ranges::max_element(
        m_reads, {}, [](const auto& entry) { return entry.second.request.read_bytes; });
  }
  const auto stalled = std::ranges::find_if(m_reads, [now](const auto& entry)
                                            { return IsStalled(entry.second, now); });
  if (stalled != m_reads.end())
    return stalled;
  const std::vector<ReadNumber> fitting = Fitting(held_bytes, now);
  for (auto read = m_reads.end(); read != m_reads.begin();)
  {
    --read;
    const bool is_overdue = now - std::max(read->second.since, *m_short_since) >= MAX_HOLD_TIME;
    if (is_overdue && !std::ranges::binary_search(fitting, read->first))
      return read;
  }
  return m_reads.end();
}

void ReadAdmission::LetReadOn(std::size_t held_bytes, TimePoint now, Changes* changes)
{
  const std::vector<ReadNumber> fitting = Fitting(held_bytes, now);
  for (auto& [number, read] : m_reads)
  {
    const bool may_read = !IsShort() || std::ranges::binary_search(fitting, number);
    if (!may_read || !std::exchange(read.is_held_back, false))
      continue;
    read.progressed = now;
    changes->read_on.push_back(number);
  }
}

ReadAdmission::Changes ReadAdmission::Review(std::size_t held_bytes, TimePoint now)
{
  Changes changes;
  UpdateShortage(held_bytes, now);
  if (!NeedsReview())
    return changes;
  if (IsShort())
    RefuseSlow(&held_bytes, now, &changes);
  // Each one that is refused leaves room for those before it.
  for (UpdateShortage(held_bytes, now); IsShort(); UpdateShortage(held_bytes, now))
  {
    const auto refused = NextRefused(held_bytes, now);
    if (refused == m_reads.end())
      break;
    Refuse(refused, &held_bytes, &changes);
  }
  LetReadOn(held_bytes, now, &changes);
  return changes;
}
} // namespace Holdpost::Gateway
