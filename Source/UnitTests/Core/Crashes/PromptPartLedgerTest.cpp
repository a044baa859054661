// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Core/Crashes/CrashTracker.h"
#include "CrashFixtures.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Address;
using Common::Milliseconds;
using Common::TimePoint;
using Testing::At;
using Testing::START;

namespace
{
const PromptPart CULPRIT = PromptPartOf("llm", "bad");
const PromptPart FIRST = PromptPartOf("llm", "f1");

// No two requests are alike.
RequestCauses MakeCauses(const std::string& organisation = "firm",
                         const std::vector<std::string>& parts = {"f1", "bad"})
{
  static int s_number = 0;
  const auto request = Gateway::FingerprintOf(organisation, "api.example",
                                              Common::Sha256("body " + std::to_string(s_number++)));
  return CausesOf(request, "llm", organisation, parts);
}

Attempt AttemptAt(std::uint16_t engine, int sent_ms, RequestCauses causes = MakeCauses())
{
  return {std::move(causes), "llm-" + std::to_string(engine), {"10.0.0.1", engine}, 7, At(sent_ms)};
}

// Requests without any of the parts are answered whole, from 1 to 3 s.
void AnswerOthers(CrashTracker& tracker)
{
  for (int ms = 1000; ms < 3000; ms += 50)
    tracker.OnAnswered(MakeCauses("firm", {"other"}), At(ms), At(ms));
}

// Three engines end, each under a request that was sent after the end of the one before.
void CrashThree(CrashTracker& tracker, const std::string& organisation = "firm")
{
  AnswerOthers(tracker);
  for (std::uint16_t engine = 1; engine <= 3; ++engine)
  {
    const int sent = 1000 * engine;
    tracker.OnLost(AttemptAt(engine, sent, MakeCauses(organisation)), true, At(sent + 200));
  }
}
} // namespace

TEST_CASE("A part is identified by its service and its id")
{
  CHECK(PromptPartOf("llm", "ab") == PromptPartOf("llm", "ab"));
  CHECK(PromptPartOf("llm", "ab") != PromptPartOf("llm", "ac"));
  CHECK(PromptPartOf("llm", "ab") != PromptPartOf("chat", "ab"));
  CHECK(CrashCause(CULPRIT) != CrashCause(RequestFingerprint{CULPRIT.bytes}));
}

TEST_CASE("Requests of which no two are alike are blocked by the part that crashes engines")
{
  CrashTracker tracker;
  CrashThree(tracker);
  // Whole answers to sound requests with the same first part.
  tracker.OnAnswered(MakeCauses("firm", {"f1"}), At(3250), At(3250));
  CHECK_FALSE(tracker.IsBlocked(MakeCauses()));
  CHECK(tracker.IsSuspect(MakeCauses()));
  REQUIRE(tracker.NextWakeup().has_value());

  tracker.OnTick(*tracker.NextWakeup());
  CHECK(tracker.BlockedBy(MakeCauses()) == CrashCause(CULPRIT));
  CHECK(tracker.Ledger().TakeNewlyBlocked() == std::vector<CrashCause>{CULPRIT});
  CHECK_FALSE(tracker.IsBlocked(MakeCauses("firm", {"f1"})));
  CHECK_FALSE(tracker.IsSuspect(MakeCauses("firm", {"f1"})));

  SUBCASE("until an engine answers one of them whole")
  {
    tracker.OnAnswered(MakeCauses(), At(3600), At(3600));
    CHECK_FALSE(tracker.IsBlocked(MakeCauses()));
  }
  SUBCASE("for its organisation, and for all once engines end under requests of another one")
  {
    CHECK_FALSE(tracker.IsBlocked(MakeCauses("other")));
    tracker.OnLost(AttemptAt(4, 4000, MakeCauses("third")), true, At(4200));
    CHECK(tracker.IsBlocked(MakeCauses("other")));
    CHECK(tracker.Ledger().TakeNewlyBlocked() == std::vector<CrashCause>{CULPRIT});
  }
  SUBCASE("also by a process that learns of it from a record")
  {
    CrashTracker other;
    other.OnRecords(tracker.Ledger().All(At(3600)), At(3600));
    other.OnTick(At(3900));
    CHECK(other.IsBlocked(MakeCauses()));
    CHECK(other.Ledger().StateHash() == tracker.Ledger().StateHash());
  }
  SUBCASE("at once by one that learns of it later")
  {
    CrashTracker other;
    other.OnRecords({tracker.Ledger().RecordOf(CULPRIT, At(9000))}, At(9000));
    CHECK(other.IsBlocked(MakeCauses()));
  }
}

TEST_CASE("Parts of requests that were lost with engines that ended together are not blocked")
{
  CrashTracker tracker;
  tracker.OnTick(START);
  for (std::uint16_t engine = 1; engine <= 4; ++engine)
    tracker.OnLost(AttemptAt(engine, 800 + engine), true, At(1000 + engine));
  tracker.OnTick(At(2000));
  CHECK_FALSE(tracker.IsBlocked(MakeCauses()));
  CHECK_FALSE(tracker.IsSuspect(MakeCauses()));
}

TEST_CASE("Answers of targets that read no prompts do not show that engines run")
{
  CrashTracker tracker;
  for (int ms = 1000; ms < 5000; ms += 20)
    tracker.OnAnswered(MakeCauses("firm", {}), At(ms), At(ms));
  for (std::uint16_t engine = 1; engine <= 4; ++engine)
    tracker.OnLost(AttemptAt(engine, 1000 * engine), true, At(1000 * engine + 200));
  tracker.OnTick(At(6000));
  CHECK_FALSE(tracker.IsBlocked(MakeCauses()));
}

TEST_CASE("An answer that this process saw before it learnt of a crash clears it")
{
  CrashTracker other;
  CrashThree(other);
  CrashTracker tracker;
  tracker.OnAnswered(MakeCauses("firm", {"f1"}), At(3210), At(3210));
  tracker.OnRecords(other.Ledger().All(At(3400)), At(3400));
  CHECK(tracker.Ledger().CrashesOf(FIRST) == 0);
  CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 3);
  // An answer from before a crash does not clear it.
  tracker.OnLost(AttemptAt(4, 3900, MakeCauses("firm", {"f1"})), true, At(4000));
  CHECK(tracker.Ledger().CrashesOf(FIRST) == 1);
}

TEST_CASE("An answer that ends with its connection counts once it is known how the engine fared")
{
  CrashTracker tracker;
  tracker.OnLost(AttemptAt(1, 1000), true, At(1200));
  const Attempt attempt = AttemptAt(2, 2000);
  tracker.OnEndedWithConnection(attempt, false, At(2200));
  CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 1);

  SUBCASE("as a crash if it has ended")
  {
    tracker.OnEngineEnd({attempt.address, attempt.target, 7}, At(2450));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 2);
    tracker.OnEngineRuns({attempt.address, attempt.target, 7}, At(3000));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 2);
  }
  SUBCASE("as whole if it runs on")
  {
    // The agent may not know of the end yet.
    tracker.OnEngineRuns({attempt.address, attempt.target, 7}, At(2300));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 1);
    tracker.OnEngineRuns({attempt.address, "llm-9", 7}, At(2900));
    tracker.OnEngineRuns({attempt.address, "", 0}, At(2900));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 1);
    tracker.OnEngineRuns({attempt.address, attempt.target, 7}, At(2900));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 0);
  }
  SUBCASE("as whole if nothing is heard of its end")
  {
    tracker.OnTick(At(8300));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 0);
  }
  SUBCASE("as a crash at once if the end is known already")
  {
    tracker.OnEngineEnd({{"10.0.0.1", 3}, "llm-3", 7}, At(2100));
    tracker.OnEndedWithConnection(AttemptAt(3, 2000), false, At(2200));
    CHECK(tracker.Ledger().CrashesOf(CULPRIT) == 2);
  }
}

TEST_CASE("A request that crashes engines does not get its parts blocked")
{
  CrashTracker tracker;
  const RequestCauses causes = MakeCauses("firm", {"f1", "document"});
  for (std::uint16_t engine = 1; engine <= 5; ++engine)
    tracker.OnLost(AttemptAt(engine, 1000 * engine, causes), true, At(1000 * engine + 200));
  tracker.OnTick(At(9000));
  CHECK(tracker.BlockedBy(causes) == CrashCause(causes.request));
  CHECK_FALSE(tracker.IsBlocked(MakeCauses("firm", {"f1", "document"})));
}
