// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "Common/Types.h"

// One direction of a link on a virtual clock: packets of all connections wait in one queue.
namespace Holdpost::Testing
{
class QueueLink
{
public:
  using Schedule = std::function<void(Common::TimePoint, std::function<void()>)>;

  QueueLink(std::uint64_t bytes_per_second, Schedule schedule)
      : m_rate(bytes_per_second), m_schedule(std::move(schedule))
  {
  }

  void SetRate(std::uint64_t bytes_per_second) { m_rate = bytes_per_second; }
  // `done` runs when the packet is through.
  void Send(std::size_t bytes, Common::TimePoint now, std::function<void()> done)
  {
    m_waiting.push_back({bytes, std::move(done)});
    m_bytes_waiting += bytes;
    if (!m_is_sending)
      SendNext(now);
  }
  std::size_t BytesWaiting() const { return m_bytes_waiting; }

private:
  struct Packet
  {
    std::size_t bytes;
    std::function<void()> done;
  };

  void SendNext(Common::TimePoint now)
  {
    m_is_sending = !m_waiting.empty();
    if (!m_is_sending)
      return;
    const Packet packet = std::move(m_waiting.front());
    m_waiting.pop_front();
    const std::chrono::duration<double> time(static_cast<double>(packet.bytes) /
                                             static_cast<double>(m_rate));
    const Common::TimePoint end = now + std::chrono::duration_cast<Common::Duration>(time);
    m_schedule(end,
               [this, packet, end]
               {
                 m_bytes_waiting -= packet.bytes;
                 packet.done();
                 SendNext(end);
               });
  }

  std::uint64_t m_rate;
  Schedule m_schedule;
  std::deque<Packet> m_waiting;
  std::size_t m_bytes_waiting = 0;
  bool m_is_sending = false;
};
} // namespace Holdpost::Testing
