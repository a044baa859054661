// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "Core/Crashes/CauseInference.h"

using namespace Holdpost;
using namespace Holdpost::Crashes;
using Common::Milliseconds;
using Common::TimePoint;

namespace
{
const TimePoint START{std::chrono::hours(1)};

TimePoint At(int ms)
{
  return START + Milliseconds(ms);
}

CrashCause Part(const std::string& id)
{
  return PromptPartOf("llm", id);
}

CrashCause Request(const std::string& body)
{
  return Gateway::FingerprintOf("firm", "api.example", Common::Sha256(body));
}

// A crash under a request that was sent `under_way` ms before.
EngineCrash Crash(EngineRun engine, int at_ms, int under_way_ms = 250)
{
  return {engine, At(at_ms), At(at_ms - under_way_ms)};
}

// Of a process most of whose requests were answered whole.
FleetOutcomes MostAnswered(bool knows_answers = false)
{
  FleetOutcomes outcomes;
  outcomes.knows_answers = knows_answers;
  for (int ms = 0; ms < 5000; ms += 50)
    outcomes.answers.OnAnswered(At(ms));
  return outcomes;
}

Inference Infer(const std::vector<CauseEvidence>& evidence, bool knows_answers = false)
{
  return InferCauses(evidence, MostAnswered(knows_answers));
}

// Three crashes, each of a request that was sent after the one before.
std::vector<EngineCrash> ThreeTrials()
{
  return {Crash(1, 1000), Crash(2, 1400), Crash(3, 1800)};
}
} // namespace

TEST_CASE("Engines that end together are one trial of a part")
{
  CHECK(TrialsOf({}) == 0);
  CHECK(TrialsOf({Crash(1, 1000), Crash(2, 1000), Crash(3, 1100), Crash(4, 1240)}) == 1);
  CHECK(TrialsOf({Crash(2, 1300), Crash(1, 1000)}) == 2);
  CHECK(TrialsOf(ThreeTrials()) == 3);
}

TEST_CASE("A part is a cause after three trials in sequence")
{
  CHECK(Infer({{Part("a"), ThreeTrials()}}).causes == std::set{Part("a")});
  CHECK(Infer({{Part("a"), {Crash(1, 1000), Crash(2, 1400)}}}).causes.empty());
  CHECK(Infer({{Part("a"), {Crash(1, 1000), Crash(2, 1050), Crash(3, 1400)}}}).causes.empty());
  SUBCASE("or after five crashes at once, if it was never answered")
  {
    std::vector<EngineCrash> crashes;
    for (EngineRun engine = 1; engine <= 5; ++engine)
      crashes.push_back(Crash(engine, 1000));
    CHECK(Infer({{Part("a"), crashes}}, true).causes.size() == 1);
    CHECK(Infer({{Part("a"), crashes}}).causes.empty());
    CHECK(Infer({{Part("a"), crashes, At(-20000)}}, true).causes.empty());
    CHECK(Infer({{Part("a"), crashes, At(-40000)}}, true).causes.size() == 1);
    crashes.pop_back();
    CHECK(Infer({{Part("a"), crashes}}, true).causes.empty());
  }
}

TEST_CASE("Trials of a part are no evidence where many requests are lost with other engines")
{
  FleetOutcomes outcomes = MostAnswered();
  CHECK(InferCauses({{Part("a"), ThreeTrials()}}, outcomes).causes.size() == 1);
  for (int ms = 1000; ms < 5000; ms += 100)
    outcomes.lost.push_back({90, At(ms)});
  CHECK(InferCauses({{Part("a"), ThreeTrials()}}, outcomes).causes.empty());
  SUBCASE("unless another cause explains how these ended")
  {
    std::vector<EngineCrash> other = {Crash(90, 1000), Crash(91, 1400), Crash(92, 1800),
                                      Crash(93, 2200)};
    CHECK(
        InferCauses({{Part("a"), ThreeTrials()}, {Request("x"), other}}, outcomes).causes.size() ==
        2);
  }
  SUBCASE("and more trials are needed")
  {
    std::vector<EngineCrash> trials;
    for (EngineRun engine = 1; engine <= 9; ++engine)
      trials.push_back(Crash(engine, 1000 + 400 * static_cast<int>(engine)));
    CHECK(InferCauses({{Part("a"), trials}}, outcomes).causes.size() == 1);
  }
}

TEST_CASE("A process that has seen too little takes the inference of others over")
{
  const FleetOutcomes none;
  CauseEvidence evidence{Part("a"), ThreeTrials()};
  CHECK(InferCauses({evidence}, none).causes.empty());
  evidence.is_inferred_elsewhere = true;
  CHECK(InferCauses({evidence}, none).causes.size() == 1);
}

TEST_CASE("Crashes that one cause explains are no evidence against another one")
{
  const std::vector<EngineCrash> all = {Crash(1, 1000), Crash(2, 1400), Crash(3, 1800),
                                        Crash(4, 2200)};
  SUBCASE("the one with more crashes is the cause")
  {
    const Inference found = Infer({{Part("a"), ThreeTrials()}, {Part("b"), all}});
    CHECK(found.causes == std::set{Part("b")});
    CHECK(found.explained == std::set<EngineRun>{1, 2, 3, 4});
  }
  SUBCASE("but not a part that most prompts have, which was answered shortly before")
  {
    std::vector<EngineCrash> more = all;
    more.push_back(Crash(5, 2600));
    const Inference found = Infer({{Part("a"), more, At(900)}, {Part("b"), all}});
    CHECK(found.causes == std::set{Part("b")});
  }
  SUBCASE("of equal ones, the one that was never answered")
  {
    CHECK(Infer({{Part("a"), all, At(900), 7}, {Part("b"), all}}).causes == std::set{Part("b")});
  }
  SUBCASE("or the request, or the later part")
  {
    CHECK(Infer({{Part("a"), all}, {Request("x"), all}}).causes == std::set{Request("x")});
    CHECK(Infer({{Part("a"), all, {}, 2}, {Part("b"), all, {}, 1}}).causes == std::set{Part("a")});
  }
  SUBCASE("what is left may be enough for a second cause")
  {
    std::vector<EngineCrash> other = {Crash(4, 2200), Crash(5, 2600), Crash(6, 3000),
                                      Crash(7, 3400)};
    CHECK(Infer({{Part("a"), all}, {Part("b"), other}}).causes == std::set{Part("a"), Part("b")});
    other.pop_back();
    CHECK(Infer({{Part("a"), all}, {Part("b"), other}}).causes == std::set{Part("a")});
  }
}

namespace
{
// A random history of a fleet: requests with parts run at engines, which end under crashing parts
// or from outside.
class History
{
public:
  struct Options
  {
    int engines = 12;
    // The inference is that of one of them.
    int gateways = 7;
    double requests_per_second = 100;
    double culprit_share = 0;
    int culprits = 1;
    // Engines that are killed from outside, each second, and how many at once.
    double kills_per_second = 0;
    int killed_at_once = 1;
    int seconds = 9;
  };

  History(const Options& options, std::uint64_t seed) : m_options(options), m_random(seed)
  {
    m_outcomes.knows_answers = true;
    m_outcomes.answers.SetProcessCount(options.gateways);
  }

  // Plays one step after the other, and infers the causes from time to time. Stops sending requests
  // of a part that is blocked.
  void Play()
  {
    const int steps = m_options.seconds * 1000 / STEP_MS;
    for (m_now = 0; m_now < steps * STEP_MS; m_now += STEP_MS)
    {
      EndRuns();
      KillSome();
      if (Chance(m_options.requests_per_second * STEP_MS / 1000))
        Send();
      if (m_now % INFER_EACH_MS == 0)
        Infer();
    }
  }
  // Sound parts that were taken for causes at any time.
  std::size_t SoundBlocked() const { return m_sound_blocked.size(); }
  std::size_t CulpritsFound() const { return m_culprits_found.size(); }
  // Engines that ended under culprits.
  int Crashes() const { return m_crashes; }

private:
  static constexpr int STEP_MS = 5;
  // Before anything crashes.
  static constexpr int CALM_MS = 3000;
  static constexpr int INFER_EACH_MS = 100;
  // From the end of an engine until all processes know of it, and of the whole answers meanwhile.
  static constexpr int NOTICE_MS = 400;
  static constexpr int SETTLE_MS = 150;
  static constexpr int DOWN_MS = 3000;

  struct Run
  {
    int engine;
    int sent;
    int ends; // when it is answered whole, or when it ends its engine
    bool is_crashing;
    std::vector<std::string> parts;
    int gateway;
  };

  struct Known
  {
    std::vector<std::pair<int, EngineCrash>> crashes; // with the time at which they are known
    std::vector<int> answers;
    std::uint32_t position = 0;
  };

  bool Chance(double probability)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
  }
  int Below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }

  // Few first parts, and documents of which some are asked for often and most rarely.
  void Send()
  {
    std::vector<std::string> parts = {"first-" + std::to_string(Below(10))};
    const int document = Below(40);
    parts.push_back("document-" + std::to_string(document * document / 20));
    const bool is_culprit = m_now >= CALM_MS && Chance(m_options.culprit_share);
    if (is_culprit)
      parts.insert(parts.begin() + 1, "culprit-" + std::to_string(Below(m_options.culprits)));
    for (const std::string& part : parts)
    {
      if (m_blocked.contains(part))
        return;
    }
    const int engine = Below(m_options.engines);
    if (m_down_until[engine] > m_now)
      return;
    const int ends = m_now + (is_culprit ? 150 + Below(200) : 700 + Below(900));
    m_runs.push_back({engine, m_now, ends, is_culprit, parts, Below(m_options.gateways)});
  }
  void EndRuns()
  {
    for (;;)
    {
      const auto due =
          std::ranges::find_if(m_runs, [this](const Run& run) { return run.ends <= m_now; });
      if (due == m_runs.end())
        return;
      const Run run = *due;
      m_runs.erase(due);
      if (run.is_crashing)
      {
        ++m_crashes;
        m_runs.push_back(run);
        EndEngine(run.engine);
        continue;
      }
      for (const std::string& part : run.parts)
        m_known[part].answers.push_back(m_now);
      if (run.gateway == 0)
        m_outcomes.answers.OnAnswered(At(m_now));
    }
  }
  void EndEngine(int engine)
  {
    ++m_engine_run;
    for (const Run& run : m_runs)
    {
      if (run.engine != engine)
        continue;
      m_outcomes.lost.push_back({m_engine_run, At(m_now)});
      for (std::uint32_t i = 0; i < run.parts.size(); ++i)
      {
        Known& known = m_known[run.parts[i]];
        known.position = std::max(known.position, i);
        // Gateways report what they lost in any order.
        known.crashes.emplace_back(m_now + NOTICE_MS + Below(200),
                                   EngineCrash{m_engine_run, At(m_now), At(run.sent)});
      }
    }
    std::erase_if(m_runs, [engine](const Run& run) { return run.engine == engine; });
    m_down_until[engine] = m_now + DOWN_MS;
  }
  void KillSome()
  {
    if (m_now < CALM_MS || !Chance(m_options.kills_per_second * STEP_MS / 1000))
      return;
    const int first = Below(m_options.engines);
    for (int i = 0; i < m_options.killed_at_once; ++i)
      EndEngine((first + i) % m_options.engines);
  }
  std::optional<TimePoint> LastAnswer(const Known& known) const
  {
    std::optional<TimePoint> last;
    for (const int answer : known.answers)
    {
      if (answer + 100 <= m_now)
        last = At(answer);
    }
    return last;
  }
  void Infer()
  {
    std::vector<CauseEvidence> evidence;
    std::map<CrashCause, std::string> names;
    for (const auto& [name, known] : m_known)
    {
      CauseEvidence added{Part(name), {}, LastAnswer(known), known.position};
      std::map<EngineRun, EngineCrash> crashes;
      for (const auto& [known_at, crash] : known.crashes)
      {
        if (known_at > m_now || (added.last_answer && crash.at <= *added.last_answer))
          continue;
        EngineCrash& kept = crashes.try_emplace(crash.engine, crash).first->second;
        kept.sent = std::max(kept.sent, crash.sent);
      }
      for (const auto& [engine, crash] : crashes)
        added.crashes.push_back(crash);
      names[added.cause] = name;
      evidence.push_back(std::move(added));
    }
    std::set<std::string> conclusive;
    for (const CrashCause& cause : InferCauses(evidence, m_outcomes).causes)
      conclusive.insert(names.at(cause));
    std::erase_if(m_since, [&](const auto& entry) { return !conclusive.contains(entry.first); });
    m_blocked.clear();
    for (const std::string& name : conclusive)
    {
      if (m_now - m_since.try_emplace(name, m_now).first->second < SETTLE_MS)
        continue;
      m_blocked.insert(name);
      (name.starts_with("culprit") ? m_culprits_found : m_sound_blocked).insert(name);
    }
  }

  Options m_options;
  std::mt19937_64 m_random;
  int m_now = 0;
  std::vector<Run> m_runs;
  std::map<int, int> m_down_until;
  std::map<std::string, Known> m_known;
  std::map<std::string, int> m_since;
  std::set<std::string> m_blocked;
  std::set<std::string> m_sound_blocked;
  std::set<std::string> m_culprits_found;
  EngineRun m_engine_run = 0;
  FleetOutcomes m_outcomes;
  int m_crashes = 0;
};

struct Outcome
{
  std::size_t sound_blocked = 0;
  std::size_t culprits_found = 0;
  int most_crashes = 0;
  double mean_crashes = 0;
};

Outcome PlayHistories(const History::Options& options, int histories)
{
  Outcome outcome;
  int crashes = 0;
  for (int seed = 1; seed <= histories; ++seed)
  {
    History history(options, static_cast<std::uint64_t>(seed));
    history.Play();
    outcome.sound_blocked += history.SoundBlocked();
    outcome.culprits_found += history.CulpritsFound();
    outcome.most_crashes = std::max(outcome.most_crashes, history.Crashes());
    crashes += history.Crashes();
  }
  outcome.mean_crashes = static_cast<double>(crashes) / histories;
  return outcome;
}
} // namespace

TEST_CASE("In random histories culprits are found, and sound parts are not taken for them")
{
  static constexpr int HISTORIES = 500;
  History::Options options;
  std::size_t culprits = 0;
  SUBCASE("one culprit")
  {
    options.culprit_share = 0.04;
    culprits = 1;
  }
  SUBCASE("one culprit in many requests of a larger fleet")
  {
    options.engines = 40;
    options.requests_per_second = 190;
    options.culprit_share = 0.1;
    culprits = 1;
  }
  SUBCASE("half of the engines are killed, seen by a gateway that has few requests of its own")
  {
    options.kills_per_second = 0.6;
    options.killed_at_once = 6;
    options.gateways = 40;
  }
  SUBCASE("two culprits at once, beside kills from outside")
  {
    options.engines = 20;
    options.culprit_share = 0.08;
    options.culprits = 2;
    options.seconds = 15;
    options.kills_per_second = 0.5;
    culprits = 2;
  }
  SUBCASE("one engine after the other is killed from outside")
  {
    options.kills_per_second = 1;
  }
  SUBCASE("half of the engines are killed from outside at once, again and again")
  {
    options.kills_per_second = 0.6;
    options.killed_at_once = 6;
  }
  SUBCASE("all engines are killed from outside at once, again and again")
  {
    options.kills_per_second = 0.5;
    options.killed_at_once = 12;
  }
  const Outcome outcome = PlayHistories(options, HISTORIES);
  MESSAGE(outcome.sound_blocked << " sound parts blocked in " << HISTORIES << " histories, "
                                << outcome.culprits_found << " of " << HISTORIES * culprits
                                << " culprits found, " << outcome.mean_crashes
                                << " crashes by them in the mean, " << outcome.most_crashes
                                << " at most");
  CHECK(outcome.sound_blocked == 0);
  CHECK(outcome.culprits_found == HISTORIES * culprits);
}
