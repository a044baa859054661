// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

#include "Common/BufferAccount.h"
#include "Common/Metrics.h"
#include "Core/Gateway/ReadAdmission.h"
#include "Peers/Caller/CallerConnection.h"

// Keeps what a gateway holds for its callers within a maximum: carries out which requests are read
// on, held back or refused, and shows it in the log and in the metrics.
namespace Holdpost::Node
{
// The bytes that a gateway may hold in buffers for callers and targets, out of the memory that the
// process may use, which is never taken for more than the machine has.
std::size_t MaxBufferBytes(std::size_t process_bytes);

class CallerMemory
{
public:
  // Answers a request that is not whole with an error that says to come back.
  using Refuse = std::function<void(CallerPeer::CallerConnection& caller)>;

  CallerMemory(const Common::BufferAccount& account, std::size_t max_bytes,
               Common::Metrics& metrics, Refuse refuse);

  void SetMaxBytes(std::size_t max_bytes) { m_admission.SetMaxBytes(max_bytes); }
  // No request may be taken in.
  bool IsFull() const { return m_admission.IsFull(m_account.Held()); }
  bool NeedsReview() const { return m_admission.NeedsReview(); }
  // The bytes of an answer that may wait for its caller before the target is held back.
  std::size_t MaxUnsentBytes() const;

  // More of a request that is not whole has come. `max_body_bytes` is the maximum of its body.
  void OnPartialRequest(CallerPeer::CallerConnection& caller, std::size_t max_body_bytes,
                        Common::TimePoint now);
  // The caller's request is whole, or the caller has left.
  void OnReadEnded(CallerPeer::CallerConnection& caller);
  // Looks at what has changed. Cheap while no memory is short.
  void Review(Common::TimePoint now);
  void SetMetrics(Common::Metrics& metrics) const;

private:
  void RefuseCaller(CallerPeer::CallerConnection& caller, Common::TimePoint now);
  void LogShortage(Common::TimePoint now);
  CallerPeer::CallerConnection* CallerOf(Gateway::ReadNumber number) const;

  const Common::BufferAccount& m_account;
  Gateway::ReadAdmission m_admission;
  Common::Metrics& m_metrics;
  Refuse m_refuse;
  // Whose requests are large and not whole.
  std::map<CallerPeer::CallerConnection*, Gateway::ReadNumber> m_numbers;
  std::map<Gateway::ReadNumber, CallerPeer::CallerConnection*> m_callers;
  Gateway::ReadNumber m_next_number = 1;
  bool m_was_short = false;
};
} // namespace Holdpost::Node
