// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <random>

#include "Common/Types.h"

// Decides whether this process reads the platform itself or leaves that to another process of its
// hall, which forwards what it reads. The processes need no agreement: two concurrent readers only
// cost more requests, and each soon receives the heartbeat of the other.
namespace Holdpost::Control
{
// The rank of a process among those that can read the platform; the process with the lowest rank
// keeps reading.
using ReaderRank = std::uint64_t;
ReaderRank ReaderRankOf(const Common::Address& process);

// The interval at which a reader polls the target list, chosen so that a leaving target is known
// within `drain_within` even if another process has to take over reading first.
Common::Milliseconds ListPeriod(Common::Milliseconds drain_within);

enum class ReadingChange
{
  None,
  Begins,
  Ends,
};

class ReaderElection
{
public:
  // The process reads from the start until it receives the heartbeat of another reader.
  ReaderElection(ReaderRank rank, std::uint64_t seed) : m_rank(rank), m_random(seed) {}

  // Waits a short time for the state of other processes before anything is requested from the
  // platform.
  void WaitForPeerState(Common::TimePoint now);
  // Ends the wait for peer state: no other process of the hall is known, so none can send its
  // state.
  void OnNoPeers(Common::TimePoint now);

  // The number of processes of the hall that can read the platform, including this one.
  void SetProcessCount(std::size_t members) { m_process_count = members; }
  // Handles the heartbeat of another process of the hall that reads the platform and received its
  // last answer `answer_age` ago.
  void OnReaderHeartbeat(ReaderRank rank, Common::Duration answer_age, Common::TimePoint now);
  // Takes over reading when the state from other readers is too old, and limits the number of
  // readers while the platform answers none of them. `last_answer_at` is the time of the platform's
  // last answer to this process.
  ReadingChange OnTick(Common::TimePoint last_answer_at, Common::TimePoint now);
  bool IsReader() const { return m_is_reader; }
  // Whether this process relies on another reader.
  bool IsFollowing() const { return !m_is_reader && m_has_reader; }
  Common::TimePoint NextWakeup() const;

private:
  bool IsFresh(Common::Duration answer_age) const;
  // Whether enough other processes query a platform that answers none of them.
  bool AreOthersFailing(Common::TimePoint now);
  // The time of this process's next turn at querying a platform that answers no process.
  Common::TimePoint NextTurn(Common::TimePoint now);

  ReaderRank m_rank;
  std::mt19937_64 m_random;
  std::size_t m_process_count = 1;
  bool m_is_reader = true;
  Common::TimePoint m_reading_since{};
  bool m_has_reader = false;
  // The time at which this process starts to read unless it receives a newer heartbeat of a reader.
  Common::TimePoint m_take_over_at{};
  // Whether `m_take_over_at` is a turn at querying a platform that answers no process.
  bool m_has_turn = false;
  // Readers whose last answer from the platform is too old, with the time of the heartbeat that
  // reported it.
  std::map<ReaderRank, Common::TimePoint> m_failing;
};
} // namespace Holdpost::Control
