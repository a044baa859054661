// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Common/BufferAccount.h"
#include "Common/HttpParser.h"
#include "Common/TcpConnection.h"
#include "Core/Gateway/Messages.h"
#include "Peers/Target/EventStream.h"
#include "Peers/Target/HeaderNames.h"
#include "Peers/Target/TargetPool.h"

// One attempt of a request at a target: sends it and reads the answer that carries its id.
namespace Holdpost::TargetPeer
{
// Why a call ended without a whole answer.
enum class CallFailure
{
  // The connection never came up, so no byte reached the target.
  NotSent,
  // The connection broke, or what came was no answer to this request.
  Broken,
};

struct CallRequest
{
  std::string target; // id of the target, for kept connections
  Common::Address address;
  std::string head;
  Common::Bytes body = nullptr; // null: none
  std::string request_id;
  bool is_head_method = false;
  bool is_stream = false;
  // Events up to this point are not passed on again.
  std::optional<ResumePoint> resume;
  // It may be sent again: a kept connection is good enough, and a target that goes silent without a
  // sign is given up.
  bool may_repeat = false;
};

class TargetCall final : private Common::HttpParserSink,
                         public std::enable_shared_from_this<TargetCall>
{
public:
  struct Handlers
  {
    // The answer has a head and its whole body, or for a stream its first event, or a part that is
    // too large to hold.
    std::function<void(const Common::HttpHead& head, bool is_whole)> on_answer;
    // More of the body, after Pass was called.
    std::function<void(std::string_view data)> on_body;
    // The answer is whole; no call follows.
    std::function<void()> on_end;
    // No call follows.
    std::function<void(CallFailure failure)> on_failure;
    // The head of an answer has come, before anything else is told of it. It is foreign if it
    // answers an earlier request on the same connection.
    std::function<void(const Common::HttpHead& head, bool is_foreign)> on_head = nullptr;
    // The connection has closed in good order, and nothing else marks the end of the answer.
    // EndClosed follows. Without this handler the answer is whole then.
    std::function<void()> on_closed = nullptr;
  };

  TargetCall(TargetPool& pool, const HeaderNames& names)
      : m_pool(pool), m_names(names), m_parser(Common::HttpMessageKind::Answer, *this)
  {
  }

  void Start(CallRequest request, Handlers handlers);
  // Hands over what was held back and then everything as it comes.
  void Pass();
  // After on_closed: the answer is whole, or broken for a reason other than None.
  void EndClosed(Gateway::AttemptEnd reason);
  // No call follows. A target that still works on the request is told by a reset.
  void Cancel();
  // Whether no byte of the request can have reached the target yet.
  bool IsConnecting() const { return m_connection && !m_connection->IsConnected(); }
  const std::string& Target() const { return m_request.target; }
  const std::string& RequestId() const { return m_request.request_id; }
  // How long the call has gone without an answer that can be passed on; empty if there is one or
  // the call is over.
  std::optional<Common::Duration> UnansweredFor(Common::TimePoint now) const;
  // The number of bytes of answers that have been read from the target.
  std::size_t ReceivedBytes() const { return m_received_bytes; }
  // Whether the request went out on a kept connection.
  bool IsOnKeptConnection() const { return m_is_reused; }
  // Gives the request up before its connection has come up.
  void Recall();
  void PauseReading();
  void ResumeReading();

  const EventStream& Events() const { return m_events; }
  // What a call that failed ended by.
  Gateway::AttemptEnd EndedBy() const { return m_ended_by; }
  bool IsEventStream() const { return m_is_event_stream; }
  // Whether on_answer was called.
  bool HasAnswered() const { return m_is_answered; }

private:
  void OnHead(Common::HttpHead head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

  void Send();
  std::size_t OnData(std::string_view data);
  // What ends the call after these bytes were parsed: they are no answer, or have no end; empty if
  // nothing does.
  std::optional<Gateway::AttemptEnd> EndByBytes(std::size_t consumed);
  void OnConnectionEnd(Common::ConnectionEnd end);
  // Whether only the close of the connection tells that the answer is whole.
  bool EndsByClose() const;
  void FinishAtClose();
  void Answer(bool is_whole);
  void Finish();
  void Fail(CallFailure failure, Gateway::AttemptEnd end);
  // Counts what is held of the answer; returns whether the call may hold that much.
  bool CountHeld();
  void GiveBack();
  bool IsOurs(const Common::HttpHead& head) const;

  TargetPool& m_pool;
  const HeaderNames& m_names;
  CallRequest m_request;
  Handlers m_handlers;
  std::shared_ptr<Common::TcpConnection> m_connection;
  Common::HttpParser m_parser;
  std::optional<Common::HttpHead> m_head;
  std::string m_held;
  EventStream m_events;
  // The target's account, and this call's part of it.
  std::shared_ptr<Common::BufferAccount> m_held_by_target;
  std::optional<Common::HeldBytes> m_held_bytes;
  Gateway::AttemptEnd m_ended_by = Gateway::AttemptEnd::None;
  Common::TimePoint m_started{};
  bool m_has_bytes = false; // some have come from the target
  std::size_t m_received_bytes = 0;
  std::size_t m_bytes_before_answer = 0;
  bool m_is_event_stream = false;
  bool m_is_reused = false; // the connection had been kept
  // The answer that is being read belongs to another request.
  bool m_is_foreign = false;
  bool m_is_spoilt = false;  // the connection must not be used again
  bool m_is_reading = false; // bytes are being parsed
  bool m_is_answered = false;
  bool m_is_passing = false;
  bool m_is_whole = false;
  bool m_is_closed = false; // EndClosed is to follow
  bool m_is_over = false;
};
} // namespace Holdpost::TargetPeer
