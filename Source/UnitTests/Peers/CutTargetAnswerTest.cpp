// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/TargetCall.h"
#include "Support/CutAnswers.h"

using namespace Holdpost;
using namespace Holdpost::TargetPeer;
using Testing::AllCutsOf;
using Testing::CutBy;
using Testing::CutPlan;
using Testing::CuttingServer;
using Testing::Describe;
using Testing::FakeServer;
using Testing::MarkedAnswers;
using Testing::RunFor;
using Testing::RunUntil;
using Testing::WholeAnswer;

namespace
{
constexpr const char* ID_FIELD = "Holdpost-Request-Id: r1\r\n";

// What came of a call.
struct Outcome
{
  bool is_told_whole = false; // when its answer began
  bool is_ended = false;
  bool is_failed = false;
  std::string body;

  bool IsOver() const { return is_ended || is_failed; }
};

// How the calls of a test are made.
struct CallKind
{
  bool is_stream = false;
  bool is_head_method = false;
  std::optional<ResumePoint> resume = std::nullopt;
};

class Calls
{
public:
  explicit Calls(Common::EventLoop& loop) : m_pool(loop) {}

  // The outcome lives as long as the calls do.
  Outcome& Start(const Common::Address& to, std::size_t number, const CallKind& kind)
  {
    CallRequest request;
    request.target = "t1";
    request.address = to;
    request.head = fmt::format("{} /{} HTTP/1.1\r\nHost: x\r\n{}\r\n",
                               kind.is_head_method ? "HEAD" : "GET", number, ID_FIELD);
    request.request_id = "r1";
    request.is_stream = kind.is_stream;
    request.is_head_method = kind.is_head_method;
    request.resume = kind.resume;
    request.may_repeat = true;
    m_outcomes.push_back(std::make_unique<Outcome>());
    Outcome& outcome = *m_outcomes.back();
    m_calls.push_back(std::make_shared<TargetCall>(m_pool, m_names));
    TargetCall* call = m_calls.back().get();
    call->Start(std::move(request),
                {[&outcome, call](const Common::HttpHead&, bool is_whole)
                 {
                   outcome.is_told_whole = is_whole;
                   call->Pass();
                 },
                 [&outcome](std::string_view data) { outcome.body.append(data); },
                 [&outcome] { outcome.is_ended = true; },
                 [&outcome](CallFailure) { outcome.is_failed = true; }});
    return outcome;
  }

private:
  HeaderNames m_names;
  TargetPool m_pool;
  std::vector<std::unique_ptr<Outcome>> m_outcomes;
  std::vector<std::shared_ptr<TargetCall>> m_calls;
};

// The outcomes of calls, one for each plan, which are all made at the same time.
std::vector<Outcome> OutcomesOf(const std::vector<CutPlan>& plans, const CallKind& kind)
{
  // So that some are over when others begin.
  static constexpr std::size_t AT_ONCE = 25;
  Common::EventLoop loop;
  CuttingServer server(loop, plans);
  Calls calls(loop);
  std::vector<const Outcome*> started;
  started.reserve(plans.size());
  for (std::size_t number = 0; number < plans.size(); ++number)
  {
    started.push_back(&calls.Start(server.Address(), number, kind));
    if (number % AT_ONCE == 0)
      RunFor(loop, Common::Milliseconds(5));
  }
  REQUIRE(RunUntil(
      loop, [&] { return std::ranges::all_of(started, [](auto* one) { return one->IsOver(); }); }));
  std::vector<Outcome> outcomes;
  outcomes.reserve(started.size());
  for (const Outcome* outcome : started)
    outcomes.push_back(*outcome);
  return outcomes;
}

// No cut of the answer is taken for whole, and all of it is.
void CheckCuts(const WholeAnswer& answer, const CallKind& kind)
{
  CAPTURE(answer.name);
  std::vector<CutPlan> plans = AllCutsOf(answer.text);
  const std::size_t cuts = plans.size();
  plans.push_back({answer.text, CutBy::Close, 1});
  plans.push_back({answer.text, CutBy::Close, 3});
  const auto outcomes = OutcomesOf(plans, kind);
  std::size_t taken_for_whole = 0;
  for (std::size_t i = 0; i < cuts; ++i)
  {
    const bool is_taken = outcomes[i].is_ended || outcomes[i].is_told_whole;
    CHECK_MESSAGE(!is_taken, Describe(plans[i]));
    CHECK(outcomes[i].is_failed);
    taken_for_whole += is_taken ? 1 : 0;
  }
  MESSAGE(answer.name << ": " << taken_for_whole << " of " << cuts << " cuts taken for whole");
  for (std::size_t i = cuts; i < plans.size(); ++i)
  {
    CHECK(outcomes[i].is_ended);
    CHECK(outcomes[i].body == answer.body);
  }
}

const std::string EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string Head(const std::string& fields)
{
  return std::string("HTTP/1.1 200 OK\r\n") + ID_FIELD + fields + "\r\n";
}

std::string Chunk(const std::string& data)
{
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}
} // namespace

TEST_CASE("No answer of a target is taken for whole that is cut at any of its bytes")
{
  for (const WholeAnswer& answer : MarkedAnswers(ID_FIELD))
    CheckCuts(answer, {});
  CheckCuts({"a failure before the answer's id was read",
             "HTTP/1.1 503 Busy\r\nHoldpost-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", "busy"},
            {});
  CheckCuts({"an answer to another request before it",
             "HTTP/1.1 200 OK\r\nHoldpost-Request-Id: r0\r\nContent-Length: 5\r\n\r\nother" +
                 Head("Content-Length: 4\r\n") + "mine",
             "mine"},
            {});
  CheckCuts({"early hints before it",
             "HTTP/1.1 103 Early Hints\r\nLink: x\r\nContent-Length: 4\r\n\r\n" +
                 Head("Content-Length: 4\r\n") + "mine",
             "mine"},
            {});
}

TEST_CASE("No stream of a target is taken for whole that is cut at any of its bytes")
{
  const std::string type = "Content-Type: text/event-stream\r\n";
  const WholeAnswer with_chunks = {"events in chunks",
                                   Head(type + "Transfer-Encoding: chunked\r\n") +
                                       Chunk(EVENTS.substr(0, 20)) + Chunk(EVENTS.substr(20)) +
                                       "0\r\n\r\n",
                                   EVENTS};
  CheckCuts(with_chunks, {.is_stream = true});
  CheckCuts({"events with a length",
             Head(type + fmt::format("Content-Length: {}\r\n", EVENTS.size())) + EVENTS, EVENTS},
            {.is_stream = true});
  // The run that continues another one.
  WholeAnswer resumed = with_chunks;
  resumed.body = "id: 2\ndata: b\n\n";
  CheckCuts(resumed, {.is_stream = true, .resume = ResumePoint{1, true}});
}

TEST_CASE("No answer of a target without a body is taken for whole that is cut in its head")
{
  CheckCuts({"an answer to HEAD", Head("Content-Length: 100\r\n"), ""}, {.is_head_method = true});
  CheckCuts({"an answer to HEAD with chunks", Head("Transfer-Encoding: chunked\r\n"), ""},
            {.is_head_method = true});
  CheckCuts({"no content", std::string("HTTP/1.1 204 No Content\r\n") + ID_FIELD + "\r\n", ""}, {});
  CheckCuts(
      {"not modified",
       std::string("HTTP/1.1 304 Not Modified\r\n") + ID_FIELD + "Content-Length: 100\r\n\r\n", ""},
      {});
}

TEST_CASE("No answer of a target that ends with its connection is taken for whole after a reset")
{
  const std::string head = Head("Content-Type: text/plain\r\n");
  const std::string text = head + "all of it";
  for (const bool is_stream : {false, true})
  {
    std::vector<CutPlan> plans = AllCutsOf(text);
    // A close behind the head may be the end.
    std::erase_if(plans, [&head](const CutPlan& plan)
                  { return plan.by == CutBy::Close && plan.text.size() >= head.size(); });
    plans.push_back({text, CutBy::Reset, 1});
    const auto outcomes = OutcomesOf(plans, {.is_stream = is_stream});
    for (std::size_t i = 0; i < plans.size(); ++i)
    {
      CHECK_MESSAGE(outcomes[i].is_failed, Describe(plans[i]));
      CHECK_FALSE(outcomes[i].is_told_whole);
    }
  }
}

TEST_CASE("No answer of a target is taken for whole whose length can be read in two ways")
{
  std::vector<CutPlan> plans;
  for (const std::string fields :
       {"Content-Length: 2\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 2\r\n",
        "Content-Length: 2, 4\r\n", "Content-Length: -1\r\n", "Content-Length: +2\r\n",
        "Content-Length: 0x2\r\n", "Content-Length: 18446744073709551618\r\n",
        "Content-Length: 1\r\n 00\r\n", "Content-Length:\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"})
    plans.push_back({Head(fields) + "body", CutBy::Close, 1});
  const auto outcomes = OutcomesOf(plans, {});
  for (std::size_t i = 0; i < plans.size(); ++i)
    CHECK_MESSAGE((outcomes[i].is_failed && !outcomes[i].is_told_whole), plans[i].text);
}

TEST_CASE("An answer of a target that is cut behind a whole one on a kept connection is not whole")
{
  const std::string whole = Head("Content-Length: 3\r\n") + "one";
  for (std::size_t size = 0; size < whole.size(); ++size)
  {
    CAPTURE(size);
    Common::EventLoop loop;
    std::size_t answered = 0;
    FakeServer server(loop,
                      [&](Common::TcpConnection& connection, const std::string& bytes)
                      {
                        if (!bytes.ends_with("\r\n\r\n"))
                          return;
                        ++answered;
                        if (answered == 1)
                          return connection.Write(whole);
                        connection.Write(whole.substr(0, size));
                        if (size % 2 == 0)
                          connection.Reset();
                        else
                          connection.CloseGracefully(Common::Milliseconds(1000));
                      });
    Calls calls(loop);
    const Outcome& first = calls.Start(server.Address(), 0, {});
    REQUIRE(RunUntil(loop, [&] { return first.IsOver(); }));
    CHECK(first.is_ended);
    const Outcome& second = calls.Start(server.Address(), 1, {});
    REQUIRE(RunUntil(loop, [&] { return second.IsOver(); }));
    CHECK(server.Accepted() == 1);
    CHECK(second.is_failed);
    CHECK_FALSE(second.is_told_whole);
  }
}
