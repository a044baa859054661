// SPDX-License-Identifier: Apache-2.0
#include "Node/CallerMemory.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <sys/sysinfo.h>

#include "Common/EventLog.h"

namespace Holdpost::Node
{
using CallerPeer::CallerConnection;
using Common::LogEvent;
using Common::TimePoint;
using Common::Weight;
using Gateway::PartialRequest;
using Gateway::ReadDecision;
using Gateway::ReadNumber;

// The rest is for code, state, idle connections, and buffers that grow while others are reviewed.
static constexpr std::size_t BUFFER_SHARE_DIVISOR = 2;
static constexpr std::size_t MAX_UNSENT_BYTES = 256 << 10;
static constexpr std::size_t MAX_UNSENT_BYTES_WHEN_SHORT = 32 << 10;

static std::size_t MachineBytes()
{
  struct sysinfo info = {};
  if (sysinfo(&info) != 0)
    return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

std::size_t MaxBufferBytes(std::size_t process_bytes)
{
  return std::min(process_bytes, MachineBytes()) / BUFFER_SHARE_DIVISOR;
}

CallerMemory::CallerMemory(const Common::BufferAccount& account, std::size_t max_bytes,
                           Common::Metrics& metrics, Refuse refuse)
    : m_account(account), m_admission(max_bytes), m_metrics(metrics), m_refuse(std::move(refuse))
{
}

std::size_t CallerMemory::MaxUnsentBytes() const
{
  return m_admission.IsShort() ? MAX_UNSENT_BYTES_WHEN_SHORT : MAX_UNSENT_BYTES;
}

void CallerMemory::OnPartialRequest(CallerConnection& caller, std::size_t max_body_bytes,
                                    TimePoint now)
{
  const std::size_t read = caller.ReadBytes();
  // One that does not tell its length may be small, whatever its maximum is.
  const std::size_t most = std::min(max_body_bytes, m_admission.MaxRequestBytes());
  const std::size_t whole = caller.DeclaredBytes().value_or(most);
  if (Gateway::ReadAdmission::IsSmall(read) && !IsFull() && whole <= m_admission.MaxRequestBytes())
    return;
  const auto [entry, is_new] = m_numbers.try_emplace(&caller, m_next_number);
  if (is_new)
    m_callers[m_next_number++] = &caller;
  const PartialRequest request{read, whole - std::min(whole, read)};
  const ReadDecision decision = m_admission.OnRead(entry->second, request, m_account.Held(), now);
  LogShortage(now);
  if (decision == ReadDecision::HoldBack)
    caller.HoldBack();
  else if (decision == ReadDecision::Refuse)
    RefuseCaller(caller, now);
}

void CallerMemory::OnReadEnded(CallerConnection& caller)
{
  const auto found = m_numbers.find(&caller);
  if (found == m_numbers.end())
    return;
  m_admission.OnReadEnded(found->second);
  m_callers.erase(found->second);
  m_numbers.erase(found);
}

CallerConnection* CallerMemory::CallerOf(ReadNumber number) const
{
  const auto found = m_callers.find(number);
  return found == m_callers.end() ? nullptr : found->second;
}

void CallerMemory::Review(TimePoint now)
{
  const Gateway::ReadAdmission::Changes changes = m_admission.Review(m_account.Held(), now);
  LogShortage(now);
  for (const ReadNumber number : changes.refused)
  {
    if (CallerConnection* caller = CallerOf(number))
      RefuseCaller(*caller, now);
  }
  for (const ReadNumber number : changes.read_on)
  {
    if (CallerConnection* caller = CallerOf(number))
      caller->ReadOn();
  }
}

void CallerMemory::RefuseCaller(CallerConnection& caller, TimePoint now)
{
  m_metrics.Add("holdpost_requests_not_read_total");
  LogEvent(Weight::Important, now, "request.not_read", "read_bytes", caller.ReadBytes(),
           "declared_bytes", caller.DeclaredBytes().value_or(0), "held_bytes", m_account.Held());
  OnReadEnded(caller);
  m_refuse(caller);
}

void CallerMemory::LogShortage(TimePoint now)
{
  const bool is_short = m_admission.IsShort();
  if (is_short == std::exchange(m_was_short, is_short))
    return;
  LogEvent(Weight::Important, now, is_short ? "memory.short" : "memory.enough", "held_bytes",
           m_account.Held(), "max_bytes", m_admission.MaxBytes(), "held_back",
           m_admission.HeldBackCount());
}

void CallerMemory::SetMetrics(Common::Metrics& metrics) const
{
  metrics.Set("holdpost_buffer_bytes", static_cast<double>(m_account.Held()));
  metrics.Set("holdpost_buffer_bytes_peak", static_cast<double>(m_account.Peak()));
  metrics.Set("holdpost_buffer_bytes_max", static_cast<double>(m_admission.MaxBytes()));
  metrics.Set("holdpost_requests_held_back", static_cast<double>(m_admission.HeldBackCount()));
}
} // namespace Holdpost::Node
