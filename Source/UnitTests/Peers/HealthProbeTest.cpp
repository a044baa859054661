// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/HealthProbe.h"
#include "Support/BrokenHeads.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using namespace Holdpost::TargetPeer;
using Gateway::ProbeOutcome;

namespace
{
struct Fixture
{
  std::optional<ProbeOutcome> Probe(const Common::Address& address)
  {
    std::optional<ProbeOutcome> outcome;
    const auto probe = std::make_shared<HealthProbe>(pool, names);
    probe->Start("t1", address, "/health", [&](ProbeOutcome got) { outcome = got; });
    Testing::RunUntil(loop, [&] { return outcome.has_value(); });
    return outcome;
  }
  // A server that answers a request with the text, and closes if that is empty.
  std::optional<ProbeOutcome> ProbeOf(const std::string& answer)
  {
    Testing::FakeServer server(loop,
                               [&](Common::TcpConnection& connection, const std::string& bytes)
                               {
                                 asked = bytes;
                                 if (!bytes.ends_with("\r\n\r\n") || answer == "silent")
                                   return;
                                 if (answer.empty())
                                   return connection.Reset();
                                 connection.Write(answer);
                               });
    return Probe(server.Address());
  }
  // A server that answers in two packets.
  std::optional<ProbeOutcome> ProbeOfParts(const std::string& first, const std::string& second)
  {
    Testing::FakeServer server(loop,
                               [&](Common::TcpConnection& connection, const std::string& bytes)
                               {
                                 if (!bytes.ends_with("\r\n\r\n"))
                                   return;
                                 connection.Write(first);
                                 loop.After(Common::Milliseconds(1),
                                            [&second, held = connection.shared_from_this()]
                                            { held->Write(second); });
                               });
    return Probe(server.Address());
  }

  Common::EventLoop loop;
  HeaderNames names;
  TargetPool pool{loop};
  std::string asked;
};
} // namespace

TEST_CASE("A target that answers its health page runs, whatever it answers")
{
  Fixture f;
  CHECK(f.ProbeOf("HTTP/1.1 200 OK\r\nHoldpost-Target-Id: t1\r\nContent-Length: 0\r\n\r\n") ==
        ProbeOutcome::Runs);
  CHECK(f.asked.starts_with("GET /health HTTP/1.1\r\n"));
  CHECK(f.asked.find("Holdpost-Expected-Target: t1\r\n") != std::string::npos);
  CHECK(f.ProbeOf("HTTP/1.1 503 Full\r\nHoldpost-Not-Run: 1\r\nContent-Length: 0\r\n\r\n") ==
        ProbeOutcome::Runs);
}

TEST_CASE("A target has ended if nothing listens at its address, or another target does")
{
  Fixture f;
  Common::Address free;
  {
    Testing::FakeServer server(f.loop, nullptr);
    free = server.Address();
  }
  CHECK(f.Probe(free) == ProbeOutcome::Ended);
  CHECK(f.ProbeOf("HTTP/1.1 200 OK\r\nHoldpost-Target-Id: t2\r\nContent-Length: 0\r\n\r\n") ==
        ProbeOutcome::Ended);
  CHECK(f.ProbeOf("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n") == ProbeOutcome::Ended);
}

TEST_CASE("A probe without an answer tells nothing")
{
  Fixture f;
  CHECK(f.ProbeOf("") == ProbeOutcome::Unknown);
  CHECK(f.ProbeOf("silent") == ProbeOutcome::Unknown);
  CHECK(f.ProbeOf("no HTTP at all, whatever this is\r\n\r\n") == ProbeOutcome::Unknown);
}

// Such probes were given up after a second, and the next one waited from the end of the queue.
TEST_CASE("A probe waits for a full target that answers once it has a free slot")
{
  Fixture f;
  std::unique_ptr<Common::Watch> slot;
  Testing::FakeServer server(
      f.loop,
      [&](Common::TcpConnection& connection, const std::string& /*bytes*/)
      {
        slot = f.loop.MakeTimer(
            [&connection] { connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
        slot->FireAfter(Common::Milliseconds(2000));
      });
  CHECK(f.Probe(server.Address()) == ProbeOutcome::Runs);
}

// Regression: what came of a head before its end was dropped.
TEST_CASE("A probe understands an answer whose head comes in two packets")
{
  Fixture f;
  const std::string answer = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t size = 1; size < answer.size(); ++size)
  {
    CAPTURE(size);
    CHECK(f.ProbeOfParts(answer.substr(0, size), answer.substr(size)) == ProbeOutcome::Ended);
  }
}

// Regression: an interim answer was taken for the answer.
TEST_CASE("A probe goes by the answer behind interim ones")
{
  Fixture f;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nX-One: 1\r\n\r\n";
  const std::string other =
      "HTTP/1.1 200 OK\r\nHoldpost-Target-Id: t2\r\nContent-Length: 0\r\n\r\n";
  CHECK(f.ProbeOf(interim + other) == ProbeOutcome::Ended);
  CHECK(f.ProbeOfParts(interim, interim + other) == ProbeOutcome::Ended);
  CHECK(f.ProbeOf(interim) == ProbeOutcome::Unknown);
}

TEST_CASE("A probe's answer with a broken head tells nothing")
{
  Fixture f;
  const auto check = [&f](const std::vector<Testing::BrokenAnswer>& answers)
  {
    for (const Testing::BrokenAnswer& answer : answers)
    {
      CAPTURE(answer.name);
      CHECK(f.ProbeOf(answer.text) == ProbeOutcome::Unknown);
    }
  };
  check(Testing::AnswersWithBrokenStatus("Holdpost-Target-Id: t1", "hello"));
  check(Testing::AnswersWithBrokenLine("Holdpost-Target-Id: t1", "hello"));
}

// Guards against a probe that reads for as long as a target sends.
TEST_CASE("Bytes without end before an answer are no answer to a probe")
{
  Fixture f;
  const auto check = [&f](const std::string& first, const std::string& again)
  {
    CAPTURE(first);
    CAPTURE(again);
    std::string block = first;
    while (block.size() < (128 << 10))
      block += again;
    const Common::TimePoint started = Common::EventLoop::Now();
    CHECK(f.ProbeOf(block) == ProbeOutcome::Unknown);
    // It does not wait until its time is over.
    CHECK(Common::EventLoop::Now() - started < Common::Milliseconds(1000));
  };
  check("", "HTTP/1.1 102 Processing\r\n\r\n");
  check("HTTP/1.1 200 ", "OK");
  check("HTTP/1.1 200 OK\r\n", "X-Field: some value\r\n");
  check("HTTP/1.1 200 OK\r\nX-Field: ", "value");
}
