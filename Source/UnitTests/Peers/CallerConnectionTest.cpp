// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Caller/CallerConnection.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using CallerPeer::CallerConnection;
using CallerPeer::CallerConnectionLimits;
using Common::Milliseconds;
using Testing::FakeClient;
using Testing::RunUntil;

namespace
{
struct Fixture
{
  explicit Fixture(const CallerConnectionLimits& with = {})
      : limits(with), listener(loop, [this](int fd) { OnAccepted(fd); })
  {
    address = std::get<Common::Address>(listener.Listen({"127.0.0.1", 0}));
  }
  void OnAccepted(int fd)
  {
    caller = std::make_shared<CallerConnection>(loop, fd, limits);
    caller->Start({[this](CallerConnection& connection)
                   {
                     targets.push_back(connection.Head().target);
                     bodies.push_back(*connection.Body());
                     connection.SetOpenRequest([this] { ++left; }, nullptr);
                     if (on_request)
                       on_request(connection);
                   },
                   [this] { ++closed; },
                   [this](CallerConnection& connection)
                   {
                     if (on_partial)
                       on_partial(connection);
                   }});
  }
  bool Run(const std::function<bool()>& done) { return RunUntil(loop, done); }

  Common::EventLoop loop;
  CallerConnectionLimits limits;
  Common::TcpListener listener;
  Common::Address address;
  std::shared_ptr<CallerConnection> caller;
  std::function<void(CallerConnection&)> on_request;
  std::function<void(CallerConnection&)> on_partial;
  std::vector<std::string> targets;
  std::vector<std::string> bodies;
  int left = 0;
  int closed = 0;
};

std::string Get(const std::string& path)
{
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

// Begins an answer to a client that does not read it, so that bytes of it wait.
void AnswerUnread(Fixture& f, FakeClient& client)
{
  client.Connection().PauseReading();
  f.caller->BeginAnswer(200, "OK", "");
  const std::string part(1 << 20, 'a');
  for (int i = 0; i < 32; ++i)
    f.caller->SendPart(part);
  REQUIRE(f.caller->UnsentBytes() > 0);
}
} // namespace

TEST_CASE("Requests on one connection are answered in order, also those sent ahead")
{
  Fixture f;
  f.on_request = [](CallerConnection& connection)
  { connection.Answer(200, "OK", "", "to " + connection.Head().target); };
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(f.Run([&] { return client.Has("to /3"); }));
  CHECK(client.Bytes().find("to /1") < client.Bytes().find("to /2"));
  CHECK(client.Bytes().find("to /2") < client.Bytes().find("to /3"));
}

TEST_CASE("A request that was sent ahead waits for the answer before it")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1") + Get("/2"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  Testing::RunFor(f.loop, Milliseconds(30));
  CHECK(f.targets.size() == 1);
  f.caller->BeginAnswer(200, "OK", "");
  f.caller->SendPart("part");
  f.caller->EndAnswer();
  REQUIRE(f.Run([&] { return f.targets.size() == 2; }));
  CHECK(client.Has("4\r\npart\r\n0\r\n\r\n"));
}

TEST_CASE("Bodies come with a length or in chunks")
{
  Fixture f;
  f.on_request = [](CallerConnection& connection) { connection.Answer(200, "OK", "", ""); };
  FakeClient client(f.loop, f.address);
  client.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
  client.Send(
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(f.Run([&] { return f.bodies.size() == 2; }));
  CHECK(f.bodies[0] == "abc");
  CHECK(f.bodies[1] == "de");
}

TEST_CASE("What cannot be read is answered and ends the connection")
{
  const auto answer_to = [](const std::string& bytes, const CallerConnectionLimits& limits = {})
  {
    Fixture f(limits);
    FakeClient client(f.loop, f.address);
    client.Send(bytes);
    RunUntil(f.loop, [&] { return client.End().has_value(); });
    CHECK(f.targets.empty());
    CHECK(client.End() == Common::ConnectionEnd::Finished);
    CHECK(client.Has("Connection: close"));
    return client.Bytes().substr(0, 12);
  };
  CHECK(answer_to("nonsense\r\n\r\n") == "HTTP/1.1 400");
  CHECK(
      answer_to("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab") ==
      "HTTP/1.1 400");
  CHECK(answer_to("GET / HTTP/1.1\nHost: x\n\n") == "HTTP/1.1 400");
  CallerConnectionLimits small;
  small.header_bytes = 100;
  small.body_bytes = 10;
  CHECK(answer_to("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(200, 'a') + "\r\n\r\n", small) ==
        "HTTP/1.1 431");
  CHECK(answer_to("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n", small) ==
        "HTTP/1.1 413");
}

TEST_CASE("A caller that is too slow with its request is told so")
{
  CallerConnectionLimits limits;
  limits.header_timeout = Milliseconds(50);
  Fixture f(limits);
  FakeClient client(f.loop, f.address);
  client.Send("GET / HTTP/1.1\r\nHo");
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.Bytes().starts_with("HTTP/1.1 408"));
}

TEST_CASE("An idle connection is closed after its time")
{
  CallerConnectionLimits limits;
  limits.idle_timeout = Milliseconds(50);
  Fixture f(limits);
  FakeClient client(f.loop, f.address);
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.End() == Common::ConnectionEnd::Finished);
  CHECK(f.closed == 1);
}

TEST_CASE("A caller that leaves is noticed at once")
{
  Fixture f;
  {
    FakeClient client(f.loop, f.address);
    client.Send(Get("/1"));
    REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
    client.Connection().Reset();
  }
  REQUIRE(f.Run([&] { return f.left == 1; }));
  CHECK(f.closed == 1);
  // Whatever comes for it now does nothing.
  f.caller->Answer(200, "OK", "", "late");
}

TEST_CASE("An answer that is aborted cannot be taken for whole")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  f.caller->BeginAnswer(200, "OK", "");
  f.caller->SendPart("half");
  REQUIRE(f.Run([&] { return client.Has("half"); }));
  f.caller->AbortAnswer();
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.End() == Common::ConnectionEnd::Broken);
  CHECK_FALSE(client.Has("0\r\n\r\n"));
}

TEST_CASE("An answer that is aborted while a slow caller has yet to read it does not look whole")
{
  std::string request = Get("/1");
  SUBCASE("in chunks") {}
  SUBCASE("that ends with its connection")
  {
    request = "GET /1 HTTP/1.0\r\nHost: x\r\n\r\n";
  }
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(request);
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  AnswerUnread(f, client);
  f.caller->AbortAnswer();
  client.Connection().ResumeReading();
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.End() == Common::ConnectionEnd::Broken);
  CHECK_FALSE(client.Bytes().ends_with("0\r\n\r\n"));
}

TEST_CASE("A slow caller whose connection breaks while bytes wait has left")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  AnswerUnread(f, client);
  client.Connection().Reset();
  REQUIRE(f.Run([&] { return f.left == 1; }));
  CHECK(f.closed == 1);
  // What comes of the answer now goes nowhere.
  f.caller->SendPart("more");
  f.caller->EndAnswer();
  CHECK(f.closed == 1);
}

TEST_CASE("A connection that is to end ends after the open answer")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  f.caller->CloseSoon();
  Testing::RunFor(f.loop, Milliseconds(20));
  CHECK_FALSE(client.End().has_value());
  f.caller->Answer(200, "OK", "", "whole");
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.Has("whole"));
  CHECK(client.Has("Connection: close"));
  CHECK(client.End() == Common::ConnectionEnd::Finished);
}

// Regression: the request behind a stream whose head did not announce the close got no answer.
TEST_CASE("A connection that is to end answers one more request if the open answer's head was sent")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  f.caller->BeginAnswer(200, "OK", "");
  f.caller->CloseSoon();
  f.caller->SendPart("first");
  f.caller->EndAnswer();
  REQUIRE(f.Run([&] { return client.Bytes().ends_with("\r\n0\r\n\r\n"); }));
  CHECK_FALSE(client.Has("Connection: close"));
  SUBCASE("with a head that says so")
  {
    client.Send(Get("/2"));
    REQUIRE(f.Run([&] { return f.targets.size() == 2; }));
    f.caller->Answer(503, "Service Unavailable", "", "second");
    REQUIRE(f.Run([&] { return client.End().has_value(); }));
    CHECK(client.Has("Connection: close"));
    CHECK(client.Has("second"));
    CHECK(client.End() == Common::ConnectionEnd::Finished);
  }
  SUBCASE("or ends while it is idle")
  {
    f.caller->CloseSoon();
    REQUIRE(f.Run([&] { return client.End().has_value(); }));
    CHECK(client.End() == Common::ConnectionEnd::Finished);
  }
}

TEST_CASE("A caller of HTTP/1.0 gets its stream without chunks")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send("GET /1 HTTP/1.0\r\nHost: x\r\n\r\n");
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  f.caller->BeginAnswer(200, "OK", "");
  f.caller->SendPart("part");
  f.caller->EndAnswer();
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.Bytes().ends_with("\r\n\r\npart"));
}

TEST_CASE("Answers to HEAD have no body")
{
  Fixture f;
  f.on_request = [](CallerConnection& connection) { connection.Answer(200, "OK", "", "the body"); };
  FakeClient client(f.loop, f.address);
  client.Send("HEAD /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(f.Run([&] { return client.Has("\r\n\r\n"); }));
  Testing::RunFor(f.loop, Milliseconds(20));
  CHECK(client.Bytes().ends_with("Content-Length: 8\r\n\r\n"));
}

TEST_CASE("A request that is held back keeps its caller waiting, not its bytes")
{
  CallerConnectionLimits limits;
  limits.header_timeout = Milliseconds(100);
  Fixture f(limits);
  std::size_t partial = 0;
  f.on_partial = [&](CallerConnection& connection)
  {
    partial = connection.ReadBytes();
    CHECK(connection.DeclaredBytes() == 3'000'000);
    if (partial > 200'000)
      connection.HoldBack();
  };
  FakeClient client(f.loop, f.address);
  const std::string body(3'000'000, 'b');
  client.Send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n" + body);
  REQUIRE(f.Run([&] { return partial > 200'000; }));
  Testing::RunFor(f.loop, Milliseconds(200));
  CHECK(partial < 300'000);
  CHECK(f.caller->ReadBytes() == partial);
  CHECK_FALSE(client.End().has_value());

  SUBCASE("it is read on when there is room")
  {
    f.on_partial = nullptr;
    f.caller->ReadOn();
    REQUIRE(f.Run([&] { return !f.bodies.empty(); }));
    CHECK(f.bodies.front() == body);
    f.caller->Answer(200, "OK", "", "whole");
    REQUIRE(f.Run([&] { return client.Has("whole"); }));
    CHECK(f.loop.Buffers().Held() == 0);
  }
  SUBCASE("or refused, and its memory is free at once")
  {
    f.caller->RefusePartial(503, "Service Unavailable", "Retry-After: 0.500\r\n");
    CHECK(f.caller->ReadBytes() == 0);
    REQUIRE(f.Run([&] { return client.Has("Retry-After"); }));
    CHECK(client.Has("Connection: close"));
    CHECK(f.targets.empty());
  }
}

TEST_CASE("A caller that reads slowly gets its whole last answer")
{
  Fixture f;
  FakeClient client(f.loop, f.address);
  client.Send(Get("/1"));
  REQUIRE(f.Run([&] { return f.targets.size() == 1; }));
  client.Connection().PauseReading();
  f.caller->CloseSoon();
  f.caller->BeginAnswer(200, "OK", "");
  f.caller->SendPart(std::string(24 << 20, 'a'));
  f.caller->EndAnswer();
  Testing::RunFor(f.loop, Milliseconds(1300));
  CHECK(f.caller->HasUnsentAnswer());
  CHECK(f.closed == 0);
  client.Connection().ResumeReading();
  REQUIRE(f.Run([&] { return client.End().has_value(); }));
  CHECK(client.End() == Common::ConnectionEnd::Finished);
  CHECK(client.Bytes().ends_with("\r\n0\r\n\r\n"));
  REQUIRE(f.Run([&] { return f.closed == 1; }));
}
