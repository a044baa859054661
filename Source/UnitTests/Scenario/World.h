// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Core/Distribution/Manifest.h"
#include "Core/Node/Agent.h"
#include "Core/Node/Entry.h"

// The decisions of a few instances with small fakes around them, on a clock of their own: no
// socket, no thread, no waiting. What happened is kept as a transcript.
namespace Holdpost::Scenario
{
class World
{
public:
  explicit World(std::uint64_t seed = 1) : m_seed(seed) {}

  // What there is.
  // An agent in the slot of a target; a second one for the same target takes it over.
  void AddAgent(const std::string& name, const std::string& hall, const std::string& target);
  void AddEntry(const std::string& name, const std::string& hall);
  void AddWeights(const std::string& name, std::uint32_t pieces, std::uint32_t piece_bytes);
  void SetTargetsCheckFence(bool checks) { m_targets_check_fence = checks; }
  // The weight store has every version, and sends so many bytes a second.
  void AddStore(std::uint64_t bytes_per_second)
  {
    m_has_store = true;
    m_store_link.SetRate(bytes_per_second);
  }
  void SetOriginRate(std::uint64_t bytes_per_second) { m_origin_link.SetRate(bytes_per_second); }

  // What happens.
  void Append(const std::string& who, const Settings::Change& change);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void Leave(const std::string& name);
  // "platform", "origin" or a hall; both directions.
  void Cut(const std::string& a, const std::string& b) { m_cuts.insert(Link(a, b)); }
  void Heal(const std::string& a, const std::string& b) { m_cuts.erase(Link(a, b)); }
  // The log and the list; the origin goes on.
  void SetPlatformDown(bool is_down) { m_is_platform_down = is_down; }
  void LoseAppendAnswers(int count) { m_lose_append_answers = count; }
  void CorruptAtOrigin(int count) { m_corrupt_at_origin = count; }
  // Every piece that the agent sends is wrong from now on.
  void CorruptAt(const std::string& agent) { m_corrupt_agents.insert(agent); }
  // Pieces that the agent owes are not sent any more; all else goes on.
  void StallAt(const std::string& agent) { m_stalled_agents.insert(agent); }
  void CutAnswersAt(const std::string& agent, int count) { m_cut_answers[agent] = count; }
  void Ask(const std::string& entry, const std::string& service, const std::string& organisation,
           int tokens, const std::string& key = "");
  void RunUntil(Common::TimePoint until);

  // What can be seen.
  Common::TimePoint Now() const { return m_now; }
  const Settings::Fold& LogFold() const { return m_log_fold; }
  Common::Digest VersionOf(const std::string& weights) const;
  bool IsServing(const std::string& agent, const std::string& weights) const;
  std::size_t CountServing(const std::string& weights) const;
  double CopiesFetched(const std::string& weights) const;
  const NodeCore::Base* Find(const std::string& name) const;
  std::uint64_t Counter(const std::string& node, const std::string& name,
                        const std::string& label) const;
  std::string Metrics(const std::string& node) const { return m_nodes.at(node).metrics->Render(); }
  int Answers(const std::string& how) const;
  int OpenAsks() const { return m_open_asks; }
  int OrdersFenced() const { return m_orders_fenced; }
  // The most targets that ever loaded at once.
  int LoadingAtOnce() const { return m_most_loading; }
  // Empty if no request ran twice, none ran after "not run", and no answer was foreign or mixed.
  std::string FindWrongAnswer() const;
  std::string FindWrongLoad() const { return m_wrong_load; }
  void Note(const std::string& line);
  const std::vector<std::string>& Transcript() const { return m_transcript; }

private:
  struct Node
  {
    std::string name;
    std::string hall;
    std::string target; // agents only
    std::unique_ptr<Common::Metrics> metrics;
    std::unique_ptr<NodeCore::Base> core;
    NodeCore::Agent* agent = nullptr;
    Common::Address address;
    bool is_alive = true;
    bool is_frozen = false;
    std::vector<NodeCore::Event> held; // came while frozen
    std::string serving;               // as last noted
    std::uint64_t next_ask = 1;
  };

  struct Weights
  {
    Common::Bytes manifest;
    std::vector<Common::Bytes> pieces;
    std::uint64_t bytes = 0;
    std::uint64_t fetched = 0;
    std::uint64_t fetched_from_store = 0;
  };

  struct Target
  {
    Common::Digest loaded;
    Common::Offset highest_fence = 0;
  };

  // A run on a target, from the entry's call to the end of the answer.
  struct Run
  {
    std::string entry;
    std::uint64_t number = 0;
    std::string agent;
    bool is_over = false;
  };

  struct Asked
  {
    std::string organisation;
    int tokens = 0;
    std::string key;
    std::string parts;
    std::string told; // empty while open
    Common::Outcome outcome = Common::Outcome::Unknown;
    int runs = 0;
  };

  struct Later
  {
    Common::TimePoint at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator>(const Later& other) const
    {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  static std::pair<std::string, std::string> Link(const std::string& a, const std::string& b);
  void After(Common::Duration delay, std::function<void()> call);
  void AddNode(const std::string& name, const std::string& hall, const std::string& target);
  Node* Alive(const std::string& name);
  Node* ByAddress(const Common::Address& address);
  bool IsCut(const std::string& a, const std::string& b) const
  {
    return m_cuts.contains(Link(a, b));
  }
  void Feed(const std::string& name, NodeCore::Event event);
  void Tick(const std::string& name, std::uint64_t incarnation);
  void Carry(Node& node, NodeCore::Actions actions);
  void NoteServing(Node& node);
  // Calls `deliver` at the receiver, or tells the sender that it is out of reach.
  void Send(Node& from, const std::string& to, const Common::Address& address,
            std::function<void(Node&)> deliver, const std::function<void()>& lost = nullptr);

  void Do(Node& node, NodeCore::ReadLog& action);
  void Do(Node& node, NodeCore::AppendRecord& action);
  void Do(Node& node, NodeCore::ReadList& action);
  void Do(Node& node, NodeCore::FetchFromPlatform& action);
  void Do(Node& node, NodeCore::SendReport& action);
  void Do(Node& node, NodeCore::SendAnnouncement& action);
  void Do(Node& node, NodeCore::FetchPiece& action);
  void Do(Node& node, NodeCore::CancelFetch& action);
  void Do(Node& node, NodeCore::FetchRecords& action);
  void Do(Node& node, NodeCore::StartRun& action);
  void Do(Node& node, NodeCore::CancelRun& action);
  void Do(Node& node, NodeCore::AskToBar& action);
  void Do(Node& node, NodeCore::AskKey& action);
  void Do(Node& node, NodeCore::AnswerKey& action);
  void Do(Node& node, NodeCore::AnswerReport& action);
  void Do(Node& node, NodeCore::AnswerPiece& action);
  void Do(Node& node, NodeCore::AnswerRecords& action);
  void Do(Node& node, NodeCore::AnswerHead& action);
  void Do(Node& node, NodeCore::AnswerRunEnd& action);
  void Do(Node& node, NodeCore::AnswerBar& action);
  void Do(Node& node, NodeCore::LoadTarget& action);
  void Do(Node& node, NodeCore::CancelLoad& action);
  void Do(Node& node, NodeCore::RunOnTarget& action);
  void Do(Node& node, NodeCore::CancelTargetRun& action);
  void Do(Node& node, NodeCore::StartAnswer& action);
  void Do(Node& node, NodeCore::PassPart& action);
  void Do(Node& node, NodeCore::EndAnswer& action);
  void Do(Node& node, NodeCore::CutAnswer& action);
  void Do(Node& node, NodeCore::RefuseCaller& action);
  void Do(Node& node, NodeCore::Quit& action);

  void AnswerLogRead(const std::string& name, NodeCore::ReadLog read, Common::TimePoint sent,
                     Common::TimePoint until);
  Common::Offset AppendText(const std::string& text);
  void SendToken(const std::string& agent, NodeCore::CallTag tag, int next, int count,
                 const std::string& text);
  void Tell(const std::string& entry, std::uint64_t number, const std::string& how,
            Common::Outcome outcome);
  std::string NameOf(const Common::Digest& version) const;

  std::uint64_t m_seed;
  // Not zero, as a start of time would be hard to tell from an unset time.
  Common::TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_order = 0;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> m_later;
  std::map<std::string, Node> m_nodes;
  std::uint16_t m_next_port = 1;
  std::uint64_t m_next_incarnation = 1;
  std::vector<Settings::LogRecord> m_log;
  Settings::Fold m_log_fold;
  std::map<std::string, Weights> m_weights;
  Distribution::LinkBudget m_origin_link;
  Distribution::LinkBudget m_store_link;
  bool m_has_store = false;
  std::map<std::string, Target> m_targets;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::set<std::string> m_corrupt_agents;
  std::set<std::string> m_stalled_agents;
  std::map<std::string, int> m_cut_answers;
  bool m_is_platform_down = false;
  bool m_targets_check_fence = true;
  int m_lose_append_answers = 0;
  int m_corrupt_at_origin = 0;
  int m_orders_fenced = 0;
  int m_loading = 0;
  int m_most_loading = 0;
  std::string m_wrong_load;

  NodeCore::CallTag m_next_tag = 1;
  std::map<NodeCore::CallTag, std::function<void(NodeCore::Action&)>> m_calls;
  // The open call behind each fetch from a peer: who was asked, and the tag there.
  std::map<std::pair<std::string, Distribution::FetchId>, std::pair<std::string, NodeCore::CallTag>>
      m_fetch_calls;
  std::map<NodeCore::CallTag, Run> m_runs;
  std::map<std::pair<std::string, std::uint64_t>, Asked> m_asked;
  std::map<std::string, int> m_key_runs; // by organisation and key
  int m_open_asks = 0;
  std::vector<std::string> m_transcript;
};
} // namespace Holdpost::Scenario
