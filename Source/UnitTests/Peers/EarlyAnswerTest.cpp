// SPDX-License-Identifier: Apache-2.0
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/Socket.h"
#include "Peers/Target/TargetCall.h"
#include "Support/Sockets.h"

using namespace Holdpost;
using namespace Holdpost::TargetPeer;
using Common::Milliseconds;
using Testing::RunFor;
using Testing::RunUntil;

namespace
{
// More than the buffers of both sockets take, so that a part of it stays unsent.
constexpr std::size_t UPLOAD_BYTES = 8 << 20;
constexpr const char* REQUEST_HEAD = "POST / HTTP/1.1\r\nHoldpost-Request-Id: r1\r\n\r\n";
constexpr std::size_t REQUEST_BYTES = std::string_view(REQUEST_HEAD).size() + UPLOAD_BYTES;
// What the target has read of the request when it answers.
constexpr std::size_t UPLOADS_READ[] = {0, REQUEST_BYTES / 2, REQUEST_BYTES};
const std::string ANSWER_BODY(300, 'a');

// A target whose socket is read, written and closed by the test itself, so that its bytes and the
// end of its connection reach the call's socket before the call looks at either.
class EarlyTarget
{
public:
  EarlyTarget() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    Common::SetSocketOption(m_listener, SOL_SOCKET, SO_RCVBUF, 64 << 10);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(raw);
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&raw), size) == 0);
    REQUIRE(listen(m_listener, 1) == 0);
    REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&raw), &size) == 0);
    m_address = {"127.0.0.1", ntohs(raw.sin_port)};
  }
  ~EarlyTarget()
  {
    close(m_listener);
    if (m_socket >= 0)
      close(m_socket);
  }
  EarlyTarget(const EarlyTarget&) = delete;
  EarlyTarget& operator=(const EarlyTarget&) = delete;

  const Common::Address& Address() const { return m_address; }
  void Accept()
  {
    m_socket = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    REQUIRE(m_socket >= 0);
  }
  // Reads what has come, up to the number of bytes in all.
  void ReadUpTo(std::size_t bytes)
  {
    std::string buffer(64 << 10, '\0');
    while (m_read < bytes)
    {
      const ssize_t count =
          recv(m_socket, buffer.data(), std::min(buffer.size(), bytes - m_read), 0);
      if (count <= 0)
        return;
      m_read += static_cast<std::size_t>(count);
    }
  }
  std::size_t ReadBytes() const { return m_read; }
  void Write(std::string_view text)
  {
    REQUIRE(send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
  }
  void Finish() { shutdown(m_socket, SHUT_WR); }
  void Reset()
  {
    const linger at_once = {1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(std::exchange(m_socket, -1));
  }

private:
  int m_listener;
  int m_socket = -1;
  Common::Address m_address;
  std::size_t m_read = 0;
};

enum class Framing
{
  Length,
  Chunks,
  Close,
};

enum class Ending
{
  Finish,
  FinishThenReset,
  Reset,
};

std::string EarlyAnswer(Framing framing, const std::string& body = ANSWER_BODY)
{
  const std::string head = "HTTP/1.1 200 OK\r\nHoldpost-Request-Id: r1\r\nConnection: close\r\n";
  switch (framing)
  {
  case Framing::Length:
    return head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
  case Framing::Chunks:
    return head + "Transfer-Encoding: chunked\r\n\r\n" +
           fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
  case Framing::Close:
    break;
  }
  return head + "\r\n" + body;
}

// A call with a long upload, of which the target has read a number of bytes.
class EarlyCall
{
public:
  explicit EarlyCall(std::size_t read_bytes)
  {
    CallRequest request;
    request.target = "t1";
    request.address = m_target.Address();
    request.head = REQUEST_HEAD;
    request.body = Common::MakeBytes(std::string(UPLOAD_BYTES, 'u'));
    request.request_id = "r1";
    m_call = std::make_shared<TargetCall>(m_pool, m_names);
    m_call->Start(std::move(request),
                  {[this](const Common::HttpHead&, bool) { m_call->Pass(); },
                   [this](std::string_view data) { OnBody(data); }, [this] { m_is_whole = true; },
                   [this](CallFailure) { m_is_broken = true; }});
    m_target.Accept();
    RunFor(m_loop, Milliseconds(20));
    RunUntil(m_loop,
             [&]
             {
               m_target.ReadUpTo(read_bytes);
               return m_target.ReadBytes() == read_bytes;
             });
    REQUIRE(m_target.ReadBytes() == read_bytes);
  }

  // Sends the answer and ends the connection before the call runs again.
  void Answer(std::string_view text, Ending ending)
  {
    Send(text, ending);
    RunUntil(m_loop, [this] { return m_is_whole || m_is_broken; });
  }
  // The same, where the caller takes the first part before the rest is sent, and then nothing for a
  // while.
  void AnswerSlowCaller(std::string_view text, std::size_t first_part, Ending ending)
  {
    m_pauses = true;
    m_target.Write(text.substr(0, first_part));
    REQUIRE(RunUntil(m_loop, [this] { return !m_body.empty(); }));
    Send(text.substr(first_part), ending);
    RunFor(m_loop, Milliseconds(20));
    m_pauses = false;
    m_call->ResumeReading();
    RunUntil(m_loop, [this] { return m_is_whole || m_is_broken; });
  }
  bool IsWhole(const std::string& body = ANSWER_BODY) const
  {
    return m_is_whole && !m_is_broken && m_body == body;
  }
  bool IsBrokenByReset() const
  {
    return m_is_broken && !m_is_whole && m_call->EndedBy() == Gateway::AttemptEnd::Reset;
  }

private:
  void Send(std::string_view text, Ending ending)
  {
    m_target.Write(text);
    if (ending != Ending::Reset)
      m_target.Finish();
    if (ending != Ending::Finish)
      m_target.Reset();
  }
  void OnBody(std::string_view data)
  {
    m_body.append(data);
    if (m_pauses)
      m_call->PauseReading();
  }

  Common::EventLoop m_loop;
  HeaderNames m_names;
  TargetPool m_pool{m_loop};
  EarlyTarget m_target;
  std::shared_ptr<TargetCall> m_call;
  std::string m_body;
  bool m_pauses = false;
  bool m_is_whole = false;
  bool m_is_broken = false;
};
} // namespace

// Regression: where sending the upload failed first, a reset was taken for the end of the answer.
TEST_CASE("An early answer that ends with its connection is whole only without a reset before it")
{
  for (const std::size_t read_bytes : UPLOADS_READ)
  {
    CAPTURE(read_bytes);
    for (const bool is_finished : {false, true})
    {
      CAPTURE(is_finished);
      EarlyCall call(read_bytes);
      call.Answer(EarlyAnswer(Framing::Close),
                  is_finished ? Ending::FinishThenReset : Ending::Reset);
      CHECK(call.IsWhole() == is_finished);
      CHECK(call.IsBrokenByReset() == !is_finished);
    }
    EarlyCall call(read_bytes);
    call.Answer(EarlyAnswer(Framing::Close), Ending::Finish);
    CHECK(call.IsWhole());
  }
}

TEST_CASE("An early answer with a length or chunks is whole however its connection ends")
{
  for (const std::size_t read_bytes : UPLOADS_READ)
  {
    for (const Framing framing : {Framing::Length, Framing::Chunks})
    {
      for (const Ending ending : {Ending::Finish, Ending::FinishThenReset, Ending::Reset})
      {
        CAPTURE(read_bytes);
        CAPTURE(static_cast<int>(framing));
        CAPTURE(static_cast<int>(ending));
        EarlyCall call(read_bytes);
        call.Answer(EarlyAnswer(framing), ending);
        CHECK(call.IsWhole());
      }
    }
  }
}

// Regression: an answer that a slow caller held back was dropped when sending its upload failed.
TEST_CASE("An early answer that a slow caller has yet to take is whole though its upload failed")
{
  // The call passes the answer on once it has this much of it.
  static constexpr std::size_t FIRST_PART = 72 << 10;
  const std::string body(FIRST_PART + (16 << 10), 's');
  for (const Framing framing : {Framing::Length, Framing::Chunks})
  {
    for (const Ending ending : {Ending::Finish, Ending::FinishThenReset, Ending::Reset})
    {
      CAPTURE(static_cast<int>(framing));
      CAPTURE(static_cast<int>(ending));
      EarlyCall call(0);
      call.AnswerSlowCaller(EarlyAnswer(framing, body), FIRST_PART, ending);
      CHECK(call.IsWhole(body));
    }
  }
  EarlyCall finished(0);
  finished.AnswerSlowCaller(EarlyAnswer(Framing::Close, body), FIRST_PART, Ending::FinishThenReset);
  CHECK(finished.IsWhole(body));
  EarlyCall reset(0);
  reset.AnswerSlowCaller(EarlyAnswer(Framing::Close, body), FIRST_PART, Ending::Reset);
  CHECK(reset.IsBrokenByReset());
}
