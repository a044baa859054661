// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Scenario/Script.h"

#include <charconv>
#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "UnitTests/Scenario/World.h"

namespace Holdpost::Scenario
{
using Common::Milliseconds;
using Common::TimePoint;
using Settings::Field;
using Settings::Path;

namespace
{
struct StepError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

using Words = std::vector<std::string>;

std::int64_t Number(const std::string& text)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    throw StepError(fmt::format("found '{}', expected a number", text));
  return value;
}

Milliseconds Time(const std::string& text)
{
  if (text.ends_with("ms"))
    return Milliseconds(Number(text.substr(0, text.size() - 2)));
  if (text.ends_with("s"))
    return Milliseconds(1000 * Number(text.substr(0, text.size() - 1)));
  throw StepError(fmt::format("found '{}', expected a time such as 2s or 500ms", text));
}

class Script
{
public:
  void Step(Words words);
  World& Fakes() { return m_world; }

private:
  void Set(const Words& words);
  void Publish(const Words& words);
  Settings::Tree MakeTree(const std::string& weights) const;
  void Race(const Words& words);
  void Expect(const Words& words);
  void ExpectNumber(const std::string& what, double found, const Words& words, std::size_t at);

  World m_world;
  TimePoint m_start = m_world.Now();
  std::map<std::string, int> m_counts; // agents and entries made so far
  std::vector<std::string> m_halls;
  Settings::Values m_root;
  Settings::Values m_service;
  std::vector<std::string> m_organisations = {"bygg", "rens"};
};

Settings::Tree Script::MakeTree(const std::string& weights) const
{
  Settings::Tree tree;
  tree[Path()] = {m_root, 0};
  tree[*Path::Parse("/ost")];
  for (const std::string& hall : m_halls)
    tree[*Path::Parse("/ost/" + hall)];
  Settings::Values service = m_service;
  service[Field::Pool] = std::string("runners");
  service[Field::Model] = std::string("model-of-assist");
  service[Field::Version] = m_world.VersionOf(weights).ToHex();
  tree[*Path::Parse("/*/*/assist")] = {service, 0};
  for (const std::string& organisation : m_organisations)
  {
    tree[*Path::Parse("/*/*/*/" + organisation)] = {
        {{Field::CredentialSha256, Common::Sha256("credential-of-" + organisation).ToHex()}}, 0};
  }
  return tree;
}

void Script::Set(const Words& words)
{
  const Settings::FieldRule* rule = Settings::FindRule(words.at(1));
  if (!rule)
    throw StepError(fmt::format("found an unknown setting '{}'", words[1]));
  const Settings::Value value = Settings::ParseValue(*rule, words.at(2));
  const bool is_of_service = rule->highest == Settings::Level::Service;
  (is_of_service ? m_service : m_root)[rule->field] = value;
}

void Script::Publish(const Words& words)
{
  Settings::Change change = ChangeBetween(m_world.LogFold(), MakeTree(words.at(1)));
  change.id = fmt::format("change-{}", m_world.LogFold().Position());
  m_world.Append("operator", change);
}

// Two operators change the same node, each having read the log before the other wrote.
void Script::Race(const Words& words)
{
  const Settings::Change first = ChangeBetween(m_world.LogFold(), MakeTree(words.at(1)));
  const Settings::Change second = ChangeBetween(m_world.LogFold(), MakeTree(words.at(2)));
  m_world.Append("operator-1", first);
  m_world.Append("operator-2", second);
}

void Script::ExpectNumber(const std::string& what, double found, const Words& words, std::size_t at)
{
  const bool is_most = words.at(at) == "most";
  const bool is_least = words.at(at) == "least";
  const double bound = std::stod(words.at(is_most || is_least ? at + 1 : at));
  const bool holds = is_most ? found <= bound : is_least ? found >= bound : found == bound;
  if (!holds)
    throw StepError(fmt::format("{}: found {}", what, found));
}

void Script::Expect(const Words& words)
{
  const std::string& what = words.at(0);
  if (what == "serving") // serving WEIGHTS [most|least] N
    return ExpectNumber(what, static_cast<double>(m_world.CountServing(words.at(1))), words, 2);
  if (what == "copies") // copies WEIGHTS [most|least] N
    return ExpectNumber(what, m_world.CopiesFetched(words.at(1)), words, 2);
  if (what == "answers") // answers HOW [most|least] N
    return ExpectNumber(what, m_world.Answers(words.at(1)), words, 2);
  if (what == "open") // open N
    return ExpectNumber(what, m_world.OpenAsks(), words, 1);
  if (what == "fenced") // fenced [most|least] N
    return ExpectNumber(what, m_world.OrdersFenced(), words, 1);
  if (what == "loading-at-once") // loading-at-once [most|least] N
    return ExpectNumber(what, m_world.LoadingAtOnce(), words, 1);
  if (what == "accepted") // accepted NODE N
  {
    const auto offset = m_world.Find(words.at(1))->Settings().Fold().AcceptedOffset();
    return ExpectNumber(what, static_cast<double>(offset), words, 2);
  }
  if (what == "counter") // counter NODE NAME LABEL [most|least] N
  {
    const auto count = m_world.Counter(words.at(1), words.at(2), words.at(3));
    return ExpectNumber(words.at(3), static_cast<double>(count), words, 4);
  }
  if (what == "nothing-wrong")
  {
    const std::string wrong = m_world.FindWrongLoad() + m_world.FindWrongAnswer();
    if (!wrong.empty())
      throw StepError(wrong);
    return;
  }
  const auto* node = m_world.Find(what); // AGENT serves WEIGHTS
  if (!node || words.at(1) != "serves")
    throw StepError(fmt::format("found an unknown expectation '{}'", what));
  if (!m_world.IsServing(what, words.at(2)))
    throw StepError(fmt::format("{} does not serve {}", what, words[2]));
}

void Script::Step(Words words)
{
  if (words.at(0) == "at")
  {
    m_world.RunUntil(m_start + Time(words.at(1)));
    words.erase(words.begin(), words.begin() + 2);
  }
  const std::string verb = words.at(0);
  const auto add = [&](const std::string& kind, auto make)
  {
    for (std::int64_t i = 0; i < Number(words.at(2)); ++i)
      make(fmt::format("{}-{}", kind, ++m_counts[kind]), words.at(1));
  };
  static const std::map<std::string, std::function<void(Script&, const Words&)>> VERBS = {
      {"set", [](Script& s, const Words& w) { s.Set(w); }},
      {"publish", [](Script& s, const Words& w) { s.Publish(w); }},
      {"race", [](Script& s, const Words& w) { s.Race(w); }},
      {"show", [](Script& s, const Words& w) { s.m_world.Note(s.m_world.Metrics(w.at(1))); }},
      {"hall", [](Script& s, const Words& w) { s.m_halls.push_back(w.at(1)); }},
      {"weights",
       [](Script& s, const Words& w)
       {
         s.m_world.AddWeights(w.at(1), static_cast<std::uint32_t>(Number(w.at(2))),
                              static_cast<std::uint32_t>(Number(w.at(3))));
       }},
      {"kill", [](Script& s, const Words& w) { s.m_world.Kill(w.at(1)); }},
      {"freeze", [](Script& s, const Words& w) { s.m_world.Freeze(w.at(1)); }},
      {"thaw", [](Script& s, const Words& w) { s.m_world.Thaw(w.at(1)); }},
      {"leave", [](Script& s, const Words& w) { s.m_world.Leave(w.at(1)); }},
      {"cut", [](Script& s, const Words& w) { s.m_world.Cut(w.at(1), w.at(2)); }},
      {"heal", [](Script& s, const Words& w) { s.m_world.Heal(w.at(1), w.at(2)); }},
      {"platform-down", [](Script& s, const Words&) { s.m_world.SetPlatformDown(true); }},
      {"platform-up", [](Script& s, const Words&) { s.m_world.SetPlatformDown(false); }},
      {"lose-append-answers", [](Script& s, const Words& w)
       { s.m_world.LoseAppendAnswers(static_cast<int>(Number(w.at(1)))); }},
      {"corrupt-origin", [](Script& s, const Words& w)
       { s.m_world.CorruptAtOrigin(static_cast<int>(Number(w.at(1)))); }},
      {"corrupt", [](Script& s, const Words& w) { s.m_world.CorruptAt(w.at(1)); }},
      {"stall", [](Script& s, const Words& w) { s.m_world.StallAt(w.at(1)); }},
      {"cut-answers", [](Script& s, const Words& w)
       { s.m_world.CutAnswersAt(w.at(1), static_cast<int>(Number(w.at(2)))); }},
      {"origin-rate", [](Script& s, const Words& w)
       { s.m_world.SetOriginRate(static_cast<std::uint64_t>(Number(w.at(1)))); }},
      {"store", [](Script& s, const Words& w)
       { s.m_world.AddStore(static_cast<std::uint64_t>(Number(w.at(1)))); }},
      {"targets-without-fence",
       [](Script& s, const Words&) { s.m_world.SetTargetsCheckFence(false); }},
      {"agent", [](Script& s, const Words& w) { s.m_world.AddAgent(w.at(1), w.at(2), w.at(3)); }},
  };
  if (verb == "agents")
    return add("agent", [&](const auto& name, const auto& hall)
               { m_world.AddAgent(name, hall, "target-" + name); });
  if (verb == "entries")
    return add("entry", [&](const auto& name, const auto& hall) { m_world.AddEntry(name, hall); });
  if (verb == "ask") // ask ENTRY ORGANISATION TOKENS [TIMES]
  {
    const auto times = words.size() > 4 ? Number(words[4]) : 1;
    for (std::int64_t i = 0; i < times; ++i)
      m_world.Ask(words.at(1), "assist", words.at(2), static_cast<int>(Number(words.at(3))));
    return;
  }
  if (verb == "ask-keyed") // ask-keyed ENTRY ORGANISATION TOKENS KEY
  {
    m_world.Ask(words.at(1), "assist", words.at(2), static_cast<int>(Number(words.at(3))),
                words.at(4));
    return;
  }
  if (verb == "expect")
    return Expect({words.begin() + 1, words.end()});
  if (verb == "run")
    return;
  const auto found = VERBS.find(verb);
  if (found == VERBS.end())
    throw StepError(fmt::format("found an unknown step '{}'", verb));
  found->second(*this, words);
}

Words Split(const std::string& line)
{
  std::istringstream stream(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; stream >> word;)
    words.push_back(word);
  return words;
}
} // namespace

ScriptResult RunScript(const std::string& text)
{
  Script script;
  ScriptResult result;
  std::istringstream lines(text);
  int number = 0;
  for (std::string line; std::getline(lines, line);)
  {
    ++number;
    const Words words = Split(line);
    if (words.empty())
      continue;
    try
    {
      script.Step(words);
    }
    catch (const std::exception& error)
    {
      result.failure = fmt::format("{}: {}: {}", number, line, error.what());
      break;
    }
  }
  result.transcript = script.Fakes().Transcript();
  return result;
}
} // namespace Holdpost::Scenario
