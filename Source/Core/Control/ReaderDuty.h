// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <map>
#include <random>

#include "Common/Types.h"

// Decides whether this process reads the platform itself or leaves it to another one of its hall,
// which passes on what it reads. No agreement is needed: two that read at once are only dearer,
// and each receives the beat of the other soon.
namespace Holdpost::Control
{
// A process's place among those that could read; the least one keeps reading.
using ReaderRank = std::uint64_t;
ReaderRank RankOf(const Common::Address& process);

// How often a reader asks for the list of targets, so that a leaving target is known within
// `drain_within` even if the reader has to be taken over first.
Common::Milliseconds ListPeriod(Common::Milliseconds drain_within);

enum class DutyChange
{
  None,
  Begins,
  Ends,
};

class ReaderDuty
{
public:
  // Reads from the start, until the beat of another reader comes.
  ReaderDuty(ReaderRank rank, std::uint64_t seed) : m_rank(rank), m_random(seed) {}

  // Gives others a moment to tell what they know, before anything is asked of the platform.
  void WaitToBeTold(Common::TimePoint now);
  // No other process of the hall is known, so nobody can tell.
  void OnAlone(Common::TimePoint now);

  // How many processes of the hall could read, this one included.
  void SetMembers(std::size_t members) { m_members = members; }
  // Another process of the hall reads, and had an answer of the platform so long ago.
  void OnReaderBeat(ReaderRank rank, Common::Duration answer_age, Common::TimePoint now);
  // Takes over when what readers told is too old, and leaves a platform that answers nobody to a
  // few. `answered` is when it last answered this process.
  DutyChange OnTick(Common::TimePoint answered, Common::TimePoint now);
  bool Reads() const { return m_reads; }
  // Whether it leaves the platform to another reader.
  bool IsFollowing() const { return !m_reads && m_has_reader; }
  Common::TimePoint NextWakeup() const;

private:
  bool IsFresh(Common::Duration answer_age) const;
  // Whether enough others ask a platform that answers none of them.
  bool AreOthersFailing(Common::TimePoint now);
  // When this process takes a turn at a platform that answers nobody.
  Common::TimePoint NextTurn(Common::TimePoint now);

  ReaderRank m_rank;
  std::mt19937_64 m_random;
  std::size_t m_members = 1;
  bool m_reads = true;
  Common::TimePoint m_began{};
  bool m_has_reader = false;
  // Without a newer beat of a reader this process begins to read.
  Common::TimePoint m_take_over_at{};
  // That time is a turn at a platform that answers nobody.
  bool m_has_turn = false;
  // Readers that have had no answer for long, and when each told so.
  std::map<ReaderRank, Common::TimePoint> m_failing;
};
} // namespace Holdpost::Control
