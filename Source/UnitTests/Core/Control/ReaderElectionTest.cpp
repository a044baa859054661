// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "Core/Control/ReaderElection.h"

using namespace Holdpost;
using namespace Holdpost::Control;
using Common::Milliseconds;

namespace
{
const Common::TimePoint START{std::chrono::hours(1)};
constexpr ReaderRank LOWER_RANK = 1;
constexpr ReaderRank LOCAL_RANK = 5;
constexpr ReaderRank HIGHER_RANK = 9;

// Whether a process that received its last answer before the test starts to read.
bool StartsReading(ReaderElection& election, Common::TimePoint now)
{
  return election.OnTick(START - std::chrono::minutes(1), now) == ReadingChange::Begins;
}

// The processes of a hall and a platform that answers all, some or none of them. Each reader sends
// the age of its last answer to the others every HEARTBEAT_PERIOD.
struct Hall
{
  static constexpr Milliseconds HEARTBEAT_PERIOD = Milliseconds(300);
  static constexpr Milliseconds STEP = Milliseconds(10);

  struct Process
  {
    ReaderElection election;
    Common::TimePoint answered = START;
    Common::TimePoint heartbeat_due{};
    bool may_be_answered = true;
    std::size_t takeovers = 0;
  };

  explicit Hall(std::size_t count)
  {
    for (std::size_t i = 0; i < count; ++i)
    {
      processes.push_back({ReaderElection(i + 1, i + 1)});
      processes.back().election.SetProcessCount(count);
    }
  }
  void SendHeartbeat(std::size_t from)
  {
    processes[from].heartbeat_due = now + HEARTBEAT_PERIOD;
    for (std::size_t i = 0; i < processes.size(); ++i)
    {
      if (i != from)
        processes[i].election.OnReaderHeartbeat(from + 1, now - processes[from].answered, now);
    }
  }
  void RunFor(Milliseconds time)
  {
    for (const Common::TimePoint end = now + time; now < end; now += STEP)
    {
      for (std::size_t i = 0; i < processes.size(); ++i)
      {
        Process& process = processes[i];
        if (process.election.OnTick(process.answered, now) == ReadingChange::Begins)
        {
          ++process.takeovers;
          process.heartbeat_due = now;
        }
        if (!process.election.IsReader())
          continue;
        reading_time += STEP;
        if (is_platform_up && process.may_be_answered)
          process.answered = now;
        if (now >= process.heartbeat_due)
          SendHeartbeat(i);
      }
    }
  }
  std::size_t ReaderCount() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(processes, [](const Process& process)
                                                          { return process.election.IsReader(); }));
  }

  std::vector<Process> processes;
  Common::TimePoint now = START;
  bool is_platform_up = true;
  // The reading time summed over all processes.
  Common::Duration reading_time{};
};
} // namespace

TEST_CASE("A process reads until it receives the heartbeat of a reader with a lower rank")
{
  ReaderElection election(LOCAL_RANK, 1);
  CHECK(election.IsReader());
  election.OnReaderHeartbeat(HIGHER_RANK, Milliseconds(10), START);
  CHECK(election.IsReader());
  election.OnReaderHeartbeat(LOWER_RANK, Milliseconds(10), START);
  CHECK_FALSE(election.IsReader());

  SUBCASE("and then follows a reader of any rank, so that the role does not move without need")
  {
    election.OnReaderHeartbeat(HIGHER_RANK, Milliseconds(10), START + Milliseconds(900));
    CHECK_FALSE(StartsReading(election, START + Milliseconds(1500)));
    CHECK_FALSE(election.IsReader());
  }
  SUBCASE("and takes over when the reader's heartbeats stop")
  {
    CHECK_FALSE(StartsReading(election, START + Milliseconds(900)));
    CHECK(election.NextWakeup() <= START + Milliseconds(1200));
    CHECK(StartsReading(election, START + Milliseconds(1200)));
    CHECK(election.IsReader());
    CHECK_FALSE(StartsReading(election, START + Milliseconds(1300)));
  }
  SUBCASE("and takes over when the reader has lost the platform but still sends heartbeats")
  {
    election.OnReaderHeartbeat(LOWER_RANK, Milliseconds(600), START + Milliseconds(590));
    election.OnReaderHeartbeat(LOWER_RANK, Milliseconds(1100), START + Milliseconds(1090));
    CHECK(StartsReading(election, START + Milliseconds(1200)));
  }
}

TEST_CASE("A reader that has lost the platform does not keep other processes from reading")
{
  ReaderElection election(LOCAL_RANK, 1);
  election.OnReaderHeartbeat(LOWER_RANK, Milliseconds(3000), START);
  CHECK(election.IsReader());
}

TEST_CASE("Waiting processes do not all start to read at the same moment")
{
  ReaderElection first(LOCAL_RANK, 1);
  ReaderElection second(LOCAL_RANK + 1, 2);
  first.OnReaderHeartbeat(LOWER_RANK, Milliseconds(0), START);
  second.OnReaderHeartbeat(LOWER_RANK, Milliseconds(0), START);
  CHECK(first.NextWakeup() != second.NextWakeup());
}

TEST_CASE("A reader that polls at the required interval is never taken to be cut off")
{
  static constexpr Milliseconds HEARTBEAT_PERIOD = Milliseconds(300);
  static constexpr Milliseconds CALL_TIME = Milliseconds(20);
  for (const Milliseconds drain_within :
       {Milliseconds(1000), Milliseconds(2000), Milliseconds(4000), Milliseconds(20000)})
  {
    INFO("drain within " << drain_within.count() << " ms");
    const Milliseconds period = ListPeriod(drain_within);
    CHECK(period <= drain_within * 3 / 10);
    ReaderElection election(LOCAL_RANK, 1);
    Common::TimePoint answered = START;
    // The heartbeat after each answer is lost; the next heartbeat reports the age of the answer.
    for (int i = 0; i < 50; ++i)
    {
      for (Common::TimePoint now = answered + HEARTBEAT_PERIOD; now < answered + period + CALL_TIME;
           now += HEARTBEAT_PERIOD)
        election.OnReaderHeartbeat(LOWER_RANK,
                                   std::chrono::duration_cast<Milliseconds>(now - answered), now);
      answered += period + CALL_TIME;
      CHECK_FALSE(StartsReading(election, answered + HEARTBEAT_PERIOD - Milliseconds(1)));
    }
  }
}

TEST_CASE("A platform that answers no process is queried by only a few processes of a hall")
{
  Hall hall(30);
  hall.RunFor(Milliseconds(1000));
  REQUIRE(hall.ReaderCount() == 1);
  hall.is_platform_up = false;
  hall.RunFor(Milliseconds(2500));
  hall.reading_time = {};

  SUBCASE("and every other process takes a turn, as the platform may refuse only some of them")
  {
    hall.RunFor(std::chrono::minutes(3));
    CHECK(hall.reading_time / std::chrono::minutes(3) < 8);
    for (const Hall::Process& process : hall.processes)
      CHECK((process.election.IsReader() || process.takeovers > 0));
  }
  SUBCASE("and once the platform answers again, one reader remains within 400 ms")
  {
    hall.RunFor(Milliseconds(4000));
    hall.is_platform_up = true;
    hall.RunFor(Milliseconds(400));
    CHECK(hall.ReaderCount() == 1);
    hall.RunFor(Milliseconds(10000));
    CHECK(hall.ReaderCount() == 1);
  }
}

TEST_CASE("A platform that refuses a third of the processes is soon read by another process")
{
  for (std::uint64_t seed = 0; seed < 20; ++seed)
  {
    INFO("seed " << seed);
    Hall hall(30);
    hall.RunFor(Milliseconds(1000));
    std::mt19937_64 random(seed);
    for (Hall::Process& process : hall.processes)
      process.may_be_answered = random() % 3 > 0;
    hall.processes[0].may_be_answered = false;
    hall.RunFor(Milliseconds(1300));
    const bool is_read = std::ranges::any_of(
        hall.processes, [&](const Hall::Process& process)
        { return process.election.IsReader() && hall.now - process.answered < Milliseconds(50); });
    CHECK(is_read);
  }
}

TEST_CASE("A process that has just started waits briefly for the state of other processes")
{
  ReaderElection election(LOCAL_RANK, 1);
  election.WaitForPeerState(START);
  CHECK_FALSE(election.IsReader());
  CHECK_FALSE(election.IsFollowing());
  CHECK_FALSE(StartsReading(election, START + Milliseconds(19)));

  SUBCASE("and reads the platform if no other process does")
  {
    CHECK(election.NextWakeup() <= START + Milliseconds(250));
    CHECK(StartsReading(election, START + Milliseconds(250)));
  }
  SUBCASE("with jitter, so that many processes that start together read at different times")
  {
    std::set<Common::TimePoint> start_times;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
      ReaderElection other(seed, seed);
      other.WaitForPeerState(START);
      start_times.insert(other.NextWakeup());
    }
    CHECK(start_times.size() > 60);
  }
  SUBCASE("or reads immediately if no other process of its hall is known")
  {
    election.OnNoPeers(START + Milliseconds(5));
    CHECK(StartsReading(election, START + Milliseconds(5)));
  }
  SUBCASE("and follows a reader whose heartbeat arrives")
  {
    election.OnReaderHeartbeat(HIGHER_RANK, Milliseconds(50), START + Milliseconds(30));
    CHECK(election.IsFollowing());
    election.OnNoPeers(START + Milliseconds(40));
    CHECK_FALSE(StartsReading(election, START + Milliseconds(900)));
    CHECK(StartsReading(election, START + Milliseconds(1200)));
  }
}
