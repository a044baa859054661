// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Peers/Target/HealthProbe.h"
#include "Peers/Target/TargetCall.h"
#include "Support/BrokenHeads.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using namespace Holdpost::TargetPeer;
using Testing::BrokenAnswer;
using Testing::FakeServer;
using Testing::RunUntil;

namespace
{
constexpr const char* ID_FIELD = "Holdpost-Request-Id: r1";
const std::string BODY = "hello";

// Sends the text to each request, and keeps the connection open.
class Target
{
public:
  Target(Common::EventLoop& loop, const std::string& text)
      : m_server(loop,
                 [text](Common::TcpConnection& connection, const std::string& bytes)
                 {
                   if (bytes.ends_with("\r\n\r\n"))
                     connection.Write(text);
                 })
  {
  }

  const Common::Address& Address() const { return m_server.Address(); }

private:
  FakeServer m_server;
};

// `has_sound_head`: the head is told of before the answer turns out to be broken.
void CheckCallsBroken(const std::vector<BrokenAnswer>& answers, bool has_sound_head = false)
{
  Common::EventLoop loop;
  const HeaderNames names;
  TargetPool pool(loop);
  for (const BrokenAnswer& answer : answers)
  {
    CAPTURE(answer.name);
    const Target target(loop, answer.text);
    CallRequest request;
    request.target = answer.name;
    request.address = target.Address();
    request.head = std::string("GET / HTTP/1.1\r\n") + ID_FIELD + "\r\n\r\n";
    request.request_id = "r1";
    int heard = 0;
    std::optional<CallFailure> failure;
    const auto call = std::make_shared<TargetCall>(pool, names);
    call->Start(std::move(request),
                {[&](const Common::HttpHead&, bool) { ++heard; },
                 [&](std::string_view) { ++heard; }, [&] { ++heard; },
                 [&](CallFailure how) { failure = how; },
                 [&](const Common::HttpHead&, bool) { heard += has_sound_head ? 0 : 1; }});
    CHECK(RunUntil(loop, [&] { return failure.has_value() || heard > 0; }));
    CHECK(heard == 0);
    CHECK(failure == CallFailure::Broken);
    CHECK(call->EndedBy() == Gateway::AttemptEnd::BadAnswer);
  }
}
} // namespace

// Regression: a call waited for another answer behind a status below 100 until its deadline.
TEST_CASE("An answer of a target with a status that HTTP does not have breaks the call at once")
{
  CheckCallsBroken(Testing::AnswersWithBrokenStatus(ID_FIELD, BODY));
}

// Regression: a folded line was passed on as a part of the field before it.
TEST_CASE("An answer of a target with a line that is no field of HTTP breaks the call at once")
{
  CheckCallsBroken(Testing::AnswersWithBrokenLine(ID_FIELD, BODY));
}

TEST_CASE("An answer of a target with a broken trailer breaks the call at once")
{
  CheckCallsBroken(Testing::AnswersWithBrokenTrailer(ID_FIELD, BODY), true);
}
