// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "UnitTests/Process/Hall.h"
#include "UnitTests/Support/CutProxy.h"
#include "UnitTests/Support/Sockets.h"

using namespace Holdpost;
using namespace Holdpost::Process;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;
using Testing::CutProxy;
using Testing::FakeClient;
using Testing::FakeServer;
using Testing::RunFor;
using Testing::RunUntil;

// Answers that real daemons get in part.

namespace
{
constexpr std::size_t MIB = 1 << 20;
constexpr Common::Milliseconds LINGER{1000};
const std::string ACCEPTED = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

// An engine that takes all weights and orders, and answers completions as it is told.
class ScriptedEngine
{
public:
  explicit ScriptedEngine(Common::EventLoop& loop)
      : m_server(loop, [this](Common::TcpConnection& connection, const std::string& bytes)
                 { OnBytes(connection, bytes); })
  {
  }

  const Common::Address& Address() const { return m_server.Address(); }
  // How the connection of a completion ends.
  enum class End
  {
    Close,
    Reset,
    // It does not: what was sent is all of it.
    None,
  };
  // What the next completions get.
  void Answer(std::string text, End end)
  {
    m_text = std::move(text);
    m_end = end;
  }
  // The text up to the byte, and a close or a reset by turns.
  void AnswerCut(const std::string& text, std::size_t cut)
  {
    Answer(text.substr(0, cut), cut % 2 == 1 ? End::Reset : End::Close);
  }
  std::size_t Completions() const { return m_completions; }

private:
  void OnBytes(Common::TcpConnection& connection, const std::string& bytes)
  {
    std::size_t& seen = m_seen[&connection];
    while (seen < bytes.size())
    {
      const std::size_t head_end = bytes.find("\r\n\r\n", seen);
      if (head_end == std::string::npos)
        return;
      const std::string head = bytes.substr(seen, head_end - seen);
      static const std::string LENGTH = "Content-Length: ";
      const std::size_t at = head.find(LENGTH);
      const std::size_t body =
          at == std::string::npos ? 0 : std::stoull(head.substr(at + LENGTH.size()));
      const std::size_t end = head_end + 4 + body;
      if (bytes.size() < end)
        return;
      seen = end;
      if (!head.starts_with("POST /v1/completions"))
      {
        connection.Write(ACCEPTED);
        continue;
      }
      ++m_completions;
      connection.Write(m_text);
      if (m_end == End::None)
        continue;
      return m_end == End::Reset ? connection.Reset() : connection.CloseGracefully(LINGER);
    }
  }

  std::map<const Common::TcpConnection*, std::size_t> m_seen;
  std::string m_text;
  End m_end = End::None;
  std::size_t m_completions = 0;
  FakeServer m_server;
};

// An entry and an agent of a scripted engine that serves.
struct CutHall : Hall
{
  CutHall() : Hall(0, 1)
  {
    StartAgentOf(engine.Address(), "agent-1", "target-1");
    const std::string version = MakeWeights("v1", MIB / 4, 64 << 10);
    REQUIRE(Publish(version) == 0);
    Await("the agent serves", [&] { return Serves("agent-1", version); });
    Await("the entry has its target", [&] { return HasTarget(); });
  }
  // Waits while the engine runs, too.
  void Await(const std::string& what, const std::function<bool()>& condition)
  {
    WaitUntil(what,
              [&]
              {
                RunFor(loop, Common::Milliseconds(20));
                return condition();
              });
  }
  bool HasTarget()
  {
    const json status = Status("entry-1");
    return std::ranges::any_of(status["instances"],
                               [](const json& instance) {
                                 return instance.value("ready", false) && instance["credits"] > 0;
                               });
  }
  // The answer of the entry; empty if the caller gets none that is framed as whole.
  std::optional<HttpReply> Ask()
  {
    std::optional<Result<HttpReply>> result;
    client.Start(Completion("entry-1", 5),
                 {[&result](Result<HttpReply> got) { result = std::move(got); }});
    REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
    auto* reply = std::get_if<HttpReply>(&*result);
    return reply ? std::optional(std::move(*reply)) : std::nullopt;
  }

  Common::EventLoop loop;
  ScriptedEngine engine{loop};
  Common::HttpClient client{loop};
};

struct Form
{
  std::string name;
  std::string text;
  std::string body;
};

std::vector<Form> Forms()
{
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string body = "data: one\n\ndata: two\n\n";
  const std::string length = fmt::format("Content-Length: {}\r\n\r\n", body.size());
  return {
      {"length", ok + length + body, body},
      {"chunks",
       ok + "Transfer-Encoding: chunked\r\n\r\nb\r\n" + body.substr(0, 11) + "\r\nb\r\n" +
           body.substr(11) + "\r\n0\r\n\r\n",
       body},
      {"an interim answer before it", "HTTP/1.1 100 Continue\r\n\r\n" + ok + length + body, body},
      {"early hints before it", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + length + body,
       body},
  };
}
} // namespace

TEST_CASE("An engine's answer that is cut at any of its bytes does not reach the caller as whole")
{
  CutHall hall;
  for (const Form& form : Forms())
  {
    CAPTURE(form.name);
    std::size_t taken_for_whole = 0;
    for (std::size_t cut = 0; cut < form.text.size(); ++cut)
    {
      hall.engine.AnswerCut(form.text, cut);
      const auto reply = hall.Ask();
      const bool is_taken = reply && reply->status < 500;
      CHECK_MESSAGE(!is_taken, "cut at byte " << cut << ", status " << (reply ? reply->status : 0));
      taken_for_whole += is_taken ? 1 : 0;
    }
    MESSAGE(form.name << ": " << taken_for_whole << " of " << form.text.size()
                      << " cuts taken for whole");
    hall.engine.Answer(form.text, ScriptedEngine::End::None);
    const auto whole = hall.Ask();
    REQUIRE(whole);
    CHECK(whole->status == 200);
    CHECK(whole->body == form.body);
  }
  MESSAGE(hall.engine.Completions() << " completions reached the engine");
}

// Regression: callers of HTTP/1.0 got chunks, which they do not know, and a close behind a cut
// answer.
TEST_CASE("An answer that is cut does not look whole to a caller of HTTP/1.0")
{
  CutHall hall;
  const Common::HttpCall call = hall.Completion("entry-1", 5);
  std::string request =
      fmt::format("POST {} HTTP/1.0\r\nContent-Length: {}\r\n", call.path, call.body.size());
  for (const auto& [name, value] : call.headers)
    request += fmt::format("{}: {}\r\n", name, value);
  request += "\r\n" + call.body;
  const Form form = Forms().front();
  std::size_t taken_for_whole = 0;
  for (std::size_t cut = 0; cut <= form.text.size(); ++cut)
  {
    CAPTURE(cut);
    if (cut < form.text.size())
      hall.engine.AnswerCut(form.text, cut);
    else
      hall.engine.Answer(form.text, ScriptedEngine::End::None);
    FakeClient caller(hall.loop, call.to);
    caller.Send(request);
    REQUIRE(RunUntil(hall.loop, [&caller] { return caller.End().has_value(); }));
    const bool is_success = caller.Has(" 200 ");
    const bool is_whole = is_success && caller.End() == Common::ConnectionEnd::Finished;
    CHECK(is_whole == (cut == form.text.size()));
    CHECK_FALSE(caller.Has("Transfer-Encoding: chunked"));
    taken_for_whole += is_whole && cut < form.text.size() ? 1 : 0;
  }
  MESSAGE(taken_for_whole << " of " << form.text.size() << " cuts taken for whole");
}

TEST_CASE("Cut answers of the platform and of an engine spoil no weights")
{
  Hall hall(0, 0);
  hall.StartEngine("engine-1");
  Common::EventLoop loop;
  std::size_t to_platform = 0;
  std::size_t to_engine = 0;
  // In the head and far behind it by turns, so that pieces pass, too.
  const auto next_cut = [&to_platform]() -> std::optional<std::size_t>
  {
    const std::size_t number = to_platform++;
    return number % 2 == 0 ? 1 + number * 7 % 180 : 180 + number * 30011 % 300000;
  };
  // Each second connection is left alone, as one lost answer ends a load.
  const auto next_engine_cut = [&to_engine]() -> std::optional<std::size_t>
  {
    const std::size_t number = to_engine++;
    return number % 2 == 0 ? std::optional(1 + number * 67 % 700) : std::nullopt;
  };
  CutProxy platform(loop, {"127.0.0.1", 0}, hall.Get("platform").At("address"), next_cut);
  CutProxy engine(loop, {"127.0.0.1", 0}, hall.Get("engine-1").At("address"), next_engine_cut);
  hall.SetWayToPlatform(platform.At());
  hall.StartAgentOf(engine.At(), "agent-1", "target-1");
  hall.StartEntry("entry-1");
  for (const std::string name : {"v1", "v2", "v3"})
  {
    const std::string version = hall.MakeWeights(name, MIB, 64 << 10);
    REQUIRE(hall.Publish(version) == 0);
    hall.WaitUntil("the agent serves " + name,
                   [&]
                   {
                     RunFor(loop, Common::Milliseconds(20));
                     return hall.Serves("agent-1", version);
                   });
    const json stats = hall.Stats("engine-1");
    CHECK(stats["loaded"] == version);
    CHECK(stats["corrupt_pieces_taken"] == 0);
  }
  MESSAGE(platform.Cuts() << " connections to the platform and " << engine.Cuts()
                          << " to the engine were cut");
  CHECK(platform.Cuts() > 0);
  CHECK(engine.Cuts() > 0);
}
