// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Common/Error.h"
#include "Common/HttpParser.h"
#include "Common/TcpConnection.h"

// A caller's connection to a gateway: reads one request after the other, and carries each answer.
namespace Holdpost::CallerPeer
{
struct CallerConnectionLimits
{
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4 << 20;
  // From the first byte of a request until it is whole, with no more than that between two reads.
  Common::Milliseconds header_timeout{10000};
  Common::Milliseconds idle_timeout{75000};
};

class CallerConnection final : private Common::HttpParserSink,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
  struct Handlers
  {
    // A whole request is here. One answer must follow before the next request is read.
    std::function<void(CallerConnection& connection)> on_request;
    // The connection is over, and the caller has got all that was written unless it left before; no
    // call follows.
    std::function<void()> on_closed;
    // More of a request has come that is not whole yet.
    std::function<void(CallerConnection& connection)> on_partial_request = nullptr;
  };

  CallerConnection(Common::EventLoop& loop, int fd, const CallerConnectionLimits& limits);

  // Begins to read. Call it once the connection is held by a shared pointer.
  void Start(Handlers handlers);
  // The limits hold from the next request on.
  void SetLimits(const CallerConnectionLimits& limits);

  // What happens to the request that is to be answered: the caller left before its answer ended, or
  // everything written has been taken by the kernel.
  void SetOpenRequest(std::function<void()> on_left, std::function<void()> on_drained)
  {
    m_on_left = std::move(on_left);
    m_on_drained = std::move(on_drained);
  }
  // The request that is to be answered.
  const Common::HttpHead& Head() const { return m_head; }
  const Common::Bytes& Body() const { return m_whole_body; }
  bool IsAnswering() const { return m_state == State::Answering; }

  // Of a request that is being read: the bytes of its body that have come, and that the whole body
  // has; empty if the caller has not told.
  std::size_t ReadBytes() const { return m_body.size(); }
  std::optional<std::size_t> DeclaredBytes() const;
  // Leaves the rest of a request that is being read to the kernel, and takes it up again. The
  // caller is not held to its time meanwhile.
  void HoldBack();
  void ReadOn();
  // Whether the head of a request has come, and not yet the whole body.
  bool IsReadingBody() const { return m_state == State::Reading && m_parser.HasHead(); }
  // Refuses a request that is being read, and closes the connection after the answer.
  void RefusePartial(int status, std::string_view reason, std::string_view fields);

  // A whole answer. `fields` are complete header lines.
  void Answer(int status, std::string_view reason, std::string_view fields, std::string_view body);
  // An answer whose body follows in parts, with its end marked by chunks.
  void BeginAnswer(int status, std::string_view reason, std::string_view fields);
  void SendPart(std::string_view data);
  void EndAnswer();
  // Ends an answer that has begun so that it cannot be taken for whole.
  void AbortAnswer();
  std::size_t UnsentBytes() const { return m_connection->UnsentBytes(); }
  // An answer has ended, and the caller has yet to take bytes of it, or may lose them to a reset as
  // it still sends the request that was refused.
  bool HasUnsentAnswer() const
  {
    return !IsAnswering() && (UnsentBytes() > 0 || (m_was_refused_early && !IsOver()));
  }

  // The connection closes after the next answer whose head has yet to be sent, so that it says so;
  // or now if nothing is open.
  void CloseSoon();
  bool IsIdle() const { return m_state == State::Idle; }
  // Nothing more is read or answered.
  bool IsClosing() const { return m_state >= State::Closing; }
  void Close();

private:
  enum class State
  {
    // Between two requests.
    Idle,
    Reading,
    Answering,
    // The last answer goes to the caller; nothing more is read.
    Closing,
    Closed,
  };

  void OnHead(Common::HttpHead head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

  std::size_t OnData(std::string_view data);
  void OnConnectionEnd();
  void OnTimeout();
  void Reject(Common::ErrorKind kind);
  void KeepWholeBody();
  void DropBody();
  void FinishAnswer();
  void BecomeIdle();
  void CloseGracefully();
  void OnOver();
  std::string HeadLines(int status, std::string_view reason, std::string_view fields);
  void ArmTimer(Common::Milliseconds delay);
  bool IsOver() const { return m_state == State::Closed; }

  Common::EventLoop& m_loop;
  CallerConnectionLimits m_limits;
  Handlers m_handlers;
  std::function<void()> m_on_left;
  std::function<void()> m_on_drained;
  std::shared_ptr<Common::TcpConnection> m_connection;
  std::unique_ptr<Common::Watch> m_timer;
  Common::HttpParser m_parser;
  Common::HttpHead m_head;
  std::string m_body; // while it is being read
  Common::Bytes m_whole_body;
  Common::HeldBytes m_held; // of the body
  State m_state = State::Idle;
  bool m_is_closing_soon = false;
  bool m_closes_after_answer = false; // as the head of the answer says
  bool m_was_refused_early = false;   // before its request was read
};
} // namespace Holdpost::CallerPeer
