// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Scenario/World.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Mailbox.h"

namespace Holdpost::Scenario
{
using Common::Bytes;
using Common::Digest;
using Common::Duration;
using Common::Error;
using Common::ErrorKind;
using Common::Milliseconds;
using Common::TimePoint;
using namespace NodeCore;

static constexpr Duration TO_PLATFORM = Milliseconds(2);
static constexpr Duration TO_PEER = Milliseconds(1);
static constexpr Duration CALL_TIMEOUT = Milliseconds(2000);
static constexpr Duration TICK = Milliseconds(50);
static const std::string PLATFORM = "platform";
static const std::string ORIGIN = "origin";

std::pair<std::string, std::string> World::Link(const std::string& a, const std::string& b)
{
  return std::minmax(a, b);
}

void World::After(Duration delay, std::function<void()> call)
{
  m_later.push({m_now + delay, m_order++, std::move(call)});
}

void World::RunUntil(TimePoint until)
{
  // A node that wakes again and again without need would keep the clock from moving on.
  static constexpr int CALLS_MOST = 100'000;
  static constexpr Duration IN_TIME = Milliseconds(1);
  TimePoint counted_from = m_now;
  int calls = 0;
  while (!m_later.empty() && m_later.top().at <= until)
  {
    const Later next = m_later.top();
    m_later.pop();
    m_now = next.at;
    if (m_now - counted_from >= IN_TIME)
    {
      counted_from = m_now;
      calls = 0;
    }
    if (++calls > CALLS_MOST)
      throw std::runtime_error("the clock does not move on: some node wakes again and again");
    next.call();
  }
  m_now = until;
}

void World::Note(const std::string& line)
{
  const auto since =
      std::chrono::duration<double>(m_now.time_since_epoch() - std::chrono::hours(1));
  m_transcript.push_back(fmt::format("{:8.3f} {}", since.count(), line));
}

void World::AddNode(const std::string& name, const std::string& hall, const std::string& target)
{
  Node& node = m_nodes[name];
  node = Node();
  node.name = name;
  node.hall = hall;
  node.target = target;
  node.metrics = std::make_unique<Common::Metrics>();
  node.address = {"10.0.0.1", m_next_port++};
  const std::uint64_t incarnation = m_next_incarnation++;
  Identity identity{name, hall, incarnation, {}};
  // A start finds a neighbour of its hall even when the platform is away.
  for (const auto& [other, known] : m_nodes)
  {
    if (other != name && known.hall == hall && known.is_alive)
      identity.neighbours.push_back(known.address);
  }
  if (!target.empty())
  {
    auto agent = std::make_unique<Agent>(
        AgentIdentity{identity, "runners", target, m_targets_check_fence}, *node.metrics);
    node.agent = agent.get();
    node.core = std::move(agent);
  }
  else
    node.core = std::make_unique<Entry>(identity, *node.metrics);
  Actions actions;
  node.core->Start(node.address, m_now, &actions);
  Carry(node, std::move(actions));
  After(Duration::zero(), [this, name, incarnation] { Tick(name, incarnation); });
}

void World::AddAgent(const std::string& name, const std::string& hall, const std::string& target)
{
  AddNode(name, hall, target);
}

void World::AddEntry(const std::string& name, const std::string& hall)
{
  AddNode(name, hall, "");
}

void World::AddWeights(const std::string& name, std::uint32_t pieces, std::uint32_t piece_bytes)
{
  std::mt19937_64 random(Common::StableHash(name, m_seed));
  std::string data(std::size_t(pieces) * piece_bytes, '\0');
  std::ranges::generate(data, [&] { return static_cast<char>(random()); });
  Weights& weights = m_weights[name];
  weights.manifest =
      Common::MakeBytes(EncodeManifest(Distribution::MakeManifest(name, data, piece_bytes)));
  for (std::size_t start = 0; start < data.size(); start += piece_bytes)
    weights.pieces.push_back(Common::MakeBytes(data.substr(start, piece_bytes)));
  weights.bytes = data.size();
}

Digest World::VersionOf(const std::string& weights) const
{
  return Common::Sha256(*m_weights.at(weights).manifest);
}

std::string World::NameOf(const Digest& version) const
{
  for (const auto& [name, weights] : m_weights)
  {
    if (Common::Sha256(*weights.manifest) == version)
      return name;
  }
  return version.Short();
}

World::Node* World::Alive(const std::string& name)
{
  const auto found = m_nodes.find(name);
  return found == m_nodes.end() || !found->second.is_alive ? nullptr : &found->second;
}

World::Node* World::ByAddress(const Common::Address& address)
{
  for (auto& [name, node] : m_nodes)
  {
    if (node.address == address)
      return &node;
  }
  return nullptr;
}

const Base* World::Find(const std::string& name) const
{
  const auto found = m_nodes.find(name);
  return found == m_nodes.end() ? nullptr : found->second.core.get();
}

std::uint64_t World::Counter(const std::string& node, const std::string& name,
                             const std::string& label) const
{
  return m_nodes.at(node).metrics->Counter(name, label);
}

void World::Feed(const std::string& name, Event event)
{
  Node* node = Alive(name);
  if (!node)
    return;
  if (node->is_frozen)
  {
    node->held.push_back(std::move(event));
    return;
  }
  Actions actions;
  node->core->Handle(std::move(event), m_now, &actions);
  Carry(*node, std::move(actions));
}

void World::Tick(const std::string& name, std::uint64_t incarnation)
{
  Node* node = Alive(name);
  if (!node || node->core->Self().incarnation != incarnation)
    return;
  Duration wait = TICK;
  if (!node->is_frozen)
  {
    Actions actions;
    node->core->OnTick(m_now, &actions);
    Carry(*node, std::move(actions));
    if (const auto next = node->core->NextWakeup(m_now))
      wait = std::clamp<Duration>(*next - m_now, Duration(1), TICK);
  }
  After(wait, [this, name, incarnation] { Tick(name, incarnation); });
}

void World::Carry(Node& node, Actions actions)
{
  for (Action& action : actions)
  {
    if (node.is_alive)
      std::visit([&](auto& typed) { Do(node, typed); }, action);
  }
  NoteServing(node);
}

void World::NoteServing(Node& node)
{
  if (!node.agent || !node.is_alive)
    return;
  const Membership::ServiceState& serving = node.agent->TargetState().Serving();
  const std::string text =
      serving.is_ready ? fmt::format("{} {}", serving.service, NameOf(serving.version)) : "";
  if (text == node.serving)
    return;
  node.serving = text;
  Note(fmt::format("{} serves {}", node.name, text.empty() ? "nothing" : text));
}

bool World::IsServing(const std::string& agent, const std::string& weights) const
{
  const Node& node = m_nodes.at(agent);
  const Membership::ServiceState& serving = node.agent->TargetState().Serving();
  return node.is_alive && serving.is_ready && serving.version == VersionOf(weights);
}

std::size_t World::CountServing(const std::string& weights) const
{
  return static_cast<std::size_t>(
      std::ranges::count_if(m_nodes, [&](const auto& entry)
                            { return entry.second.agent && IsServing(entry.first, weights); }));
}

double World::CopiesFetched(const std::string& weights) const
{
  const Weights& known = m_weights.at(weights);
  return static_cast<double>(known.fetched) / static_cast<double>(known.bytes);
}

void World::Kill(const std::string& name)
{
  Note(fmt::format("{} is killed", name));
  m_nodes.at(name).is_alive = false;
  // Its connections break: runs that it carried or waited for end.
  for (auto& [tag, run] : m_runs)
  {
    if (run.is_over || (run.agent != name && run.entry != name))
      continue;
    run.is_over = true;
    if (run.agent == name)
      Feed(run.entry, RunEnded{run.number, Error{ErrorKind::Unreachable, "lost the target"}});
    else
      Feed(run.agent, RunAbandoned{tag});
  }
}

void World::Freeze(const std::string& name)
{
  Note(fmt::format("{} is frozen", name));
  m_nodes.at(name).is_frozen = true;
}

void World::Thaw(const std::string& name)
{
  Note(fmt::format("{} goes on", name));
  Node& node = m_nodes.at(name);
  node.is_frozen = false;
  for (Event& event : std::exchange(node.held, {}))
    Feed(name, std::move(event));
}

void World::Leave(const std::string& name)
{
  Note(fmt::format("{} is asked to leave", name));
  Feed(name, LeaveRequested{});
}

void World::Do(Node& node, Quit& action)
{
  Note(fmt::format("{} is gone with code {}", node.name, action.exit_code));
  node.is_alive = false;
}

// The platform.

Common::Offset World::AppendText(const std::string& text)
{
  m_log.push_back({m_log.size() + 1, text});
  m_log_fold.Apply(m_log.back());
  return m_log.size();
}

void World::Append(const std::string& who, const Settings::Change& change)
{
  const Common::Offset offset = AppendText(Settings::EncodeRecord(change));
  const bool is_accepted = m_log_fold.AcceptedOffset() == offset;
  Note(fmt::format("{} publishes offset {}: {}", who, offset,
                   is_accepted ? "accepted" : "rejected"));
}

void World::AnswerLogRead(const std::string& name, ReadLog read, TimePoint sent, TimePoint until)
{
  Node* node = Alive(name);
  if (!node)
    return;
  if (m_is_platform_down || IsCut(node->hall, PLATFORM))
  {
    Feed(name, LogReadDone{Error{ErrorKind::PlatformUnavailable, "the log is away"}});
    return;
  }
  if (read.after >= m_log.size() && m_now < until)
  {
    After(Milliseconds(20), [=, this] { AnswerLogRead(name, read, sent, until); });
    return;
  }
  LogRead result{sent, m_log.empty() ? 0U : 1U, m_log.size(), {}};
  for (std::size_t i = read.after; i < m_log.size(); ++i)
    result.records.push_back(m_log[i]);
  Feed(name, LogReadDone{std::move(result)});
}

void World::Do(Node& node, ReadLog& action)
{
  After(TO_PLATFORM, [this, name = node.name, action, sent = m_now]
        { AnswerLogRead(name, action, sent, m_now + action.wait); });
}

void World::Do(Node& node, AppendRecord& action)
{
  After(TO_PLATFORM,
        [this, name = node.name, hall = node.hall, action]
        {
          AppendDone done{action.purpose, Error{ErrorKind::PlatformUnavailable, "no answer"}};
          if (!m_is_platform_down && !IsCut(hall, PLATFORM))
          {
            const Common::Offset offset = AppendText(action.text);
            if (m_lose_append_answers > 0)
              --m_lose_append_answers;
            else
              done.result = offset;
          }
          Feed(name, std::move(done));
        });
}

void World::Do(Node& node, ReadList& /*action*/)
{
  After(TO_PLATFORM,
        [this, name = node.name, hall = node.hall]
        {
          if (m_is_platform_down || IsCut(hall, PLATFORM))
            return Feed(name, ListReadDone{Error{ErrorKind::PlatformUnavailable, "cut off"}});
          std::vector<Membership::ListedInstance> list;
          for (const auto& [other, known] : m_nodes)
          {
            if (!known.is_alive)
              continue;
            list.push_back({other, known.hall, known.agent ? "runners" : "",
                            known.agent ? Membership::Role::Agent : Membership::Role::Entry,
                            known.address, false});
          }
          Feed(name, ListReadDone{std::move(list)});
        });
}

void World::Do(Node& node, FetchFromPlatform& action)
{
  const bool is_store = action.source == Distribution::PlatformSource::Store;
  if (is_store && !m_has_store)
  {
    After(TO_PLATFORM,
          [this, name = node.name, id = action.id] {
            Feed(name, PieceFetched{id, Error{ErrorKind::NotFound, "not in the store"}});
          });
    return;
  }
  if (IsCut(node.hall, ORIGIN) || IsCut(node.hall, PLATFORM))
  {
    After(TO_PLATFORM,
          [this, name = node.name, id = action.id] {
            Feed(name, PieceFetched{id, Error{ErrorKind::PlatformUnavailable, "cut off"}});
          });
    return;
  }
  Weights& weights = m_weights.at(NameOf(action.version));
  Bytes data = weights.manifest;
  if (action.piece != Distribution::MANIFEST_PIECE)
  {
    data = weights.pieces.at(action.piece);
    (is_store ? weights.fetched_from_store : weights.fetched) += data->size();
    if (m_corrupt_at_origin > 0)
    {
      --m_corrupt_at_origin;
      data = Common::MakeBytes(std::string(data->size(), 'x'));
    }
  }
  Distribution::LinkBudget& link = is_store ? m_store_link : m_origin_link;
  const TimePoint due = link.BookSend(data->size(), m_now) + TO_PLATFORM;
  After(due - m_now,
        [this, name = node.name, id = action.id, data] {
          Feed(name, PieceFetched{id, data});
        });
}

// Other instances.

void World::Send(Node& from, const std::string& to, const Common::Address& address,
                 std::function<void(Node&)> deliver, const std::function<void()>& lost)
{
  const auto unreachable = [this, name = from.name, to, lost]
  {
    if (lost)
      lost();
    Feed(name, PeerUnreachable{to});
  };
  Node* receiver = ByAddress(address);
  if (receiver && receiver->is_alive && IsCut(from.hall, receiver->hall))
    return After(CALL_TIMEOUT, unreachable);
  After(TO_PEER,
        [this, address, deliver = std::move(deliver), unreachable]
        {
          Node* there = ByAddress(address);
          if (there && there->is_alive)
            deliver(*there);
          else
            unreachable();
        });
}

void World::Do(Node& node, SendReport& action)
{
  const CallTag tag = m_next_tag++;
  m_calls[tag] = [this, name = node.name](Action& answer)
  {
    auto& report = std::get<AnswerReport>(answer).report;
    After(TO_PEER, [this, name, report] { Feed(name, ReportAnswered{report}); });
  };
  Send(node, action.to, action.address,
       [this, tag, report = action.report](Node& there) {
         Feed(there.name, ReportReceived{tag, report});
       });
  // A frozen receiver is found out by the time that the answer takes.
  After(CALL_TIMEOUT,
        [this, tag, name = node.name, to = action.to]
        {
          if (m_calls.erase(tag) > 0 && Alive(to))
            Feed(name, PeerUnreachable{to});
        });
}

void World::Do(Node& node, SendAnnouncement& action)
{
  Send(node, action.to, action.address,
       [this, from = action.from, announcement = action.announcement](Node& there) {
         Feed(there.name, AnnouncementReceived{from, announcement});
       });
}

void World::Do(Node& node, FetchPiece& action)
{
  const CallTag tag = m_next_tag++;
  const std::string name = node.name;
  m_fetch_calls[{name, action.id}] = {action.to, tag};
  m_calls[tag] = [this, name, id = action.id, from = action.to](Action& answer)
  {
    m_fetch_calls.erase({name, id});
    auto result = std::get<AnswerPiece>(answer).result;
    if (m_stalled_agents.contains(from))
      return;
    const auto* data = std::get_if<Bytes>(&result);
    if (data && m_corrupt_agents.contains(from))
      result = Common::MakeBytes(std::string((*data)->size(), 'x'));
    After(TO_PEER, [this, name, id, result] { Feed(name, PieceFetched{id, result}); });
  };
  Send(
      node, action.to, action.address,
      [this, tag, action](Node& there) {
        Feed(there.name, PieceRequested{tag, action.from, action.version, action.piece});
      },
      [this, name, id = action.id] {
        Feed(name, PieceFetched{id, Error{ErrorKind::Unreachable, "out of reach"}});
      });
}

void World::Do(Node& node, CancelFetch& action)
{
  const auto call = m_fetch_calls.extract({node.name, action.id});
  if (!call)
    return;
  const auto [peer, tag] = call.mapped();
  m_calls.erase(tag);
  After(TO_PEER, [this, peer = peer, tag = tag] { Feed(peer, PieceAbandoned{tag}); });
}

void World::Do(Node& node, FetchRecords& action)
{
  const CallTag tag = m_next_tag++;
  m_calls[tag] = [this, name = node.name](Action& answer)
  {
    auto& stretch = std::get<AnswerRecords>(answer).stretch;
    After(TO_PEER, [this, name, stretch] { Feed(name, RecordsFetched{stretch}); });
  };
  Send(node, action.to, action.address,
       [this, tag, after = action.after](Node& there) {
         Feed(there.name, RecordsRequested{tag, after});
       });
}

void World::Do(Node& node, StartRun& action)
{
  const CallTag tag = m_next_tag++;
  m_runs[tag] = {node.name, action.request.key.number, action.to, false};
  Send(
      node, action.to, action.address,
      [this, tag, request = action.request](Node& there) {
        Feed(there.name, RunRequested{tag, request});
      },
      [this, tag]
      {
        Run& run = m_runs[tag];
        run.is_over = true;
        // A refused connection shows that the target never got it; a cut shows nothing.
        const ErrorKind kind = Alive(run.agent) ? ErrorKind::Unreachable : ErrorKind::TargetRefused;
        Feed(run.entry, RunEnded{run.number, Error{kind, "lost the target"}});
      });
}

void World::Do(Node& node, CancelRun& action)
{
  for (auto& [tag, run] : m_runs)
  {
    if (run.entry != node.name || run.number != action.number || run.is_over)
      continue;
    run.is_over = true;
    After(TO_PEER, [this, tag = tag, agent = run.agent] { Feed(agent, RunAbandoned{tag}); });
  }
}

void World::Do(Node& node, AskToBar& action)
{
  const CallTag tag = m_next_tag++;
  const std::uint64_t number = action.key.number;
  m_calls[tag] = [this, name = node.name, number](Action& answer)
  {
    const auto standing = std::get<AnswerBar>(answer).standing;
    After(TO_PEER, [this, name, number, standing] { Feed(name, BarAnswered{number, standing}); });
  };
  Send(
      node, action.to, action.address,
      [this, tag, key = action.key](Node& there) {
        Feed(there.name, BarRequested{tag, key});
      },
      [this, name = node.name, number] {
        Feed(name, BarAnswered{number, Error{ErrorKind::Unreachable, "out of reach"}});
      });
}

template <typename Answer>
static void Return(std::map<CallTag, std::function<void(Action&)>>& calls, Answer& answer)
{
  const auto call = calls.extract(answer.tag);
  Action action = std::move(answer);
  if (call)
    call.mapped()(action);
}

void World::Do(Node& /*node*/, AnswerReport& action)
{
  Return(m_calls, action);
}

void World::Do(Node& /*node*/, AnswerPiece& action)
{
  Return(m_calls, action);
}

void World::Do(Node& /*node*/, AnswerRecords& action)
{
  Return(m_calls, action);
}

void World::Do(Node& node, AskKey& action)
{
  const CallTag tag = m_next_tag++;
  const std::uint64_t number = action.number;
  m_calls[tag] = [this, name = node.name, number](Action& answer)
  {
    const auto kept = std::get<AnswerKey>(answer).answer;
    After(TO_PEER, [this, name, number, kept] { Feed(name, KeyAnswered{number, kept}); });
  };
  Send(
      node, action.to, action.address,
      [this, tag, incarnation = action.incarnation, key = action.key](Node& there) {
        Feed(there.name, KeyAsked{tag, incarnation, key});
      },
      [this, name = node.name, number] {
        Feed(name, KeyAnswered{number, Error{ErrorKind::Unreachable, "out of reach"}});
      });
}

void World::Do(Node& /*node*/, AnswerKey& action)
{
  Return(m_calls, action);
}

void World::Do(Node& /*node*/, AnswerBar& action)
{
  Return(m_calls, action);
}

void World::Do(Node& /*node*/, AnswerRunEnd& action)
{
  Run& run = m_runs[action.tag];
  if (std::exchange(run.is_over, true))
    return;
  After(TO_PEER, [this, entry = run.entry, ended = RunEnded{run.number, action.error}]
        { Feed(entry, ended); });
}

} // namespace Holdpost::Scenario
