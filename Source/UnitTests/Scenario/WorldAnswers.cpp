// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Scenario/World.h"

#include <algorithm>

#include <fmt/format.h>

// The targets and callers of a scenario, and the check of what callers were told.
namespace Holdpost::Scenario
{
using Common::Digest;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using namespace NodeCore;

static constexpr Duration TO_PEER = Milliseconds(1);
static constexpr Duration TO_TARGET = Milliseconds(1);
static constexpr Duration LOAD_TIME = Milliseconds(50);
static constexpr Duration TOKEN_TIME = Milliseconds(5);

void World::Do(Node& node, LoadTarget& action)
{
  m_most_loading = std::max(m_most_loading, ++m_loading);
  After(LOAD_TIME,
        [this, name = node.name, load = action]
        {
          --m_loading;
          Node* agent = Alive(name);
          // The order is on its way only if the agent may still give it.
          if (!agent || agent->is_frozen)
            return;
          Target& target = m_targets[agent->target];
          TargetLoaded loaded{load.order, std::monostate{}};
          if (!agent->agent->MayOrder(m_now) ||
              (m_targets_check_fence && load.fence.claim < target.highest_fence))
          {
            ++m_orders_fenced;
            loaded.result = Error{ErrorKind::Fenced, "the order is too late"};
            return Feed(name, std::move(loaded));
          }
          target.highest_fence = std::max(target.highest_fence, load.fence.claim);
          const Weights& weights = m_weights.at(NameOf(load.version));
          for (std::size_t i = 0; i < weights.pieces.size(); ++i)
          {
            if (i >= load.pieces.size() || *load.pieces[i] != *weights.pieces[i])
              m_wrong_load = fmt::format("{} gave its target a wrong piece {}", name, i);
          }
          target.loaded = load.version;
          Feed(name, std::move(loaded));
        });
}

void World::Do(Node& /*node*/, CancelLoad& /*action*/) {}

void World::Do(Node& node, RunOnTarget& action)
{
  const Runs::RunRequest& request = action.request;
  Asked& asked = m_asked[{request.key.entry, request.key.number}];
  ++asked.runs;
  if (!asked.key.empty())
    ++m_key_runs[asked.organisation + "/" + asked.key];
  const Digest version = m_targets[node.target].loaded;
  const std::string text = fmt::format("{}/{}/{}.{};", version.Short(), request.organisation,
                                       request.key.entry, request.key.number);
  After(TO_TARGET,
        [this, agent = node.name, tag = action.tag, version, text, tokens = asked.tokens]
        {
          if (!m_runs[tag].is_over && Alive(agent))
            Feed(agent, TargetAnswered{tag, 200, "text/plain", version});
          SendToken(agent, tag, 0, tokens, text);
        });
}

void World::Do(Node& /*node*/, AnswerHead& action)
{
  const Run& run = m_runs[action.tag];
  After(TO_PEER, [this, entry = run.entry,
                  head = RunHead{run.number, action.status, action.content_type, action.version}]
        { Feed(entry, head); });
}

void World::SendToken(const std::string& agent, CallTag tag, int next, int count,
                      const std::string& text)
{
  const Run& run = m_runs[tag];
  Node* node = Alive(agent);
  if (run.is_over || !node)
    return;
  const bool is_cut = next == count / 2 && m_cut_answers[agent] > 0;
  if (is_cut)
  {
    --m_cut_answers[agent];
    return Feed(agent, TargetRunEnded{tag, Error{ErrorKind::TargetFailed, "the stream broke"}});
  }
  if (next == count)
    return Feed(agent, TargetRunEnded{tag, std::nullopt});
  if (!node->is_frozen)
  {
    After(TO_PEER,
          [this, entry = run.entry, chunk = RunChunk{run.number, text}] { Feed(entry, chunk); });
    ++next;
  }
  After(TOKEN_TIME, [=, this] { SendToken(agent, tag, next, count, text); });
}

void World::Do(Node& /*node*/, CancelTargetRun& action)
{
  m_runs[action.tag].is_over = true;
}

void World::Ask(const std::string& entry, const std::string& service,
                const std::string& organisation, int tokens, const std::string& key)
{
  Node* node = Alive(entry);
  if (!node)
    return Note(fmt::format("{} is not there to be asked", entry));
  const std::uint64_t number = node->next_ask++;
  Asked& asked = m_asked[{entry, number}];
  asked.organisation = organisation;
  asked.tokens = tokens;
  asked.key = key;
  ++m_open_asks;
  CallerArrived caller{number, {}};
  caller.request.model = "model-of-" + service;
  caller.request.credential = "credential-of-" + organisation;
  caller.request.cost = tokens;
  caller.request.prompt_start = "prompt";
  caller.request.idempotency_key = key;
  Feed(entry, std::move(caller));
}

void World::Tell(const std::string& entry, std::uint64_t number, const std::string& how,
                 Common::Outcome outcome)
{
  Asked& asked = m_asked[{entry, number}];
  asked.told = how;
  asked.outcome = outcome;
  --m_open_asks;
  Note(fmt::format("{} answers request {} of {}: {}", entry, number, asked.organisation, how));
}

void World::Do(Node& /*node*/, StartAnswer& /*action*/) {}

void World::Do(Node& node, PassPart& action)
{
  m_asked[{node.name, action.number}].parts += action.data;
}

void World::Do(Node& node, EndAnswer& action)
{
  Tell(node.name, action.number, "whole", Common::Outcome::Ran);
}

void World::Do(Node& node, CutAnswer& action)
{
  Tell(node.name, action.number, "cut", Common::AnswerFor(action.error.kind).outcome);
}

void World::Do(Node& node, RefuseCaller& action)
{
  const Common::ErrorAnswer& answer = Common::AnswerFor(action.error.kind);
  Tell(node.name, action.number,
       fmt::format("{}, {}", answer.name, Common::OutcomeName(answer.outcome)), answer.outcome);
}

int World::Answers(const std::string& how) const
{
  return static_cast<int>(std::ranges::count_if(m_asked, [&](const auto& entry)
                                                { return entry.second.told.starts_with(how); }));
}

std::string World::FindWrongAnswer() const
{
  for (const auto& [key, runs] : m_key_runs)
  {
    if (runs > 1)
      return fmt::format("the request of key {} ran {} times", key, runs);
  }
  for (const auto& [key, asked] : m_asked)
  {
    const std::string name = fmt::format("request {}.{}", key.first, key.second);
    if (asked.runs > 1)
      return name + " ran twice";
    if (!asked.told.empty() && asked.outcome == Common::Outcome::NotRun && asked.runs > 0)
      return name + " ran, but its caller was told that it did not";
    const std::string part = asked.parts.substr(0, asked.parts.find(';') + 1);
    std::string expected;
    for (int i = 0; i < asked.tokens; ++i)
      expected.append(part);
    if (asked.told == "whole" && asked.parts != expected)
      return fmt::format("{} got an answer that is not whole, or mixed: {}", name, asked.parts);
    // A retry under a key gets the answer of the first request.
    const std::string owner =
        asked.key.empty() ? fmt::format("/{}/{}.{};", asked.organisation, key.first, key.second)
                          : fmt::format("/{}/", asked.organisation);
    if (!part.empty() && part.find(owner) == std::string::npos)
      return fmt::format("{} got a foreign answer: {}", name, part);
  }
  return "";
}
} // namespace Holdpost::Scenario
