// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/TargetCall.h"

#include "Peers/Target/TargetMessage.h"

namespace Holdpost::TargetPeer
{
using Common::ConnectionEnd;
using Common::HttpHead;
using Common::Milliseconds;
using Gateway::AttemptEnd;

// Answers up to this size are passed on only when they are whole.
static constexpr std::size_t HELD_BYTES_MOST = 64 << 10;
// The bytes of interim heads, and of answers to other requests, that may precede an answer.
static constexpr std::size_t MAX_BYTES_BEFORE_ANSWER = 1 << 20;
// What all calls to one target may hold. A call that holds no more than HELD_BYTES_MOST goes on.
static constexpr std::size_t MAX_HELD_BYTES_OF_TARGET = 8 << 20;
// A body up to this size goes out in one piece with its head.
static constexpr std::size_t MAX_COPIED_BYTES = 16 << 10;
static constexpr Milliseconds IDLE_MOST = Milliseconds(8000);
// A target may close a kept connection a little before the time that it told.
static constexpr Milliseconds IDLE_MARGIN = Milliseconds(700);
// A call that is given up without a byte on a kept connection after this time says that the
// connection may have gone silent.
static constexpr Milliseconds MAX_SILENCE = Milliseconds(400);

void TargetCall::Start(CallRequest request, Handlers handlers)
{
  m_request = std::move(request);
  m_handlers = std::move(handlers);
  m_started = Common::EventLoop::Now();
  m_events = EventStream(m_request.resume);
  m_held_by_target = m_pool.HeldAnswersOf(m_request.target);
  m_held_bytes.emplace(*m_held_by_target);
  m_parser.Restart(m_request.is_head_method);
  const TargetPool::Lease lease =
      m_pool.Acquire(m_request.target, m_request.address, m_request.may_repeat);
  m_connection = lease.connection;
  m_is_reused = lease.is_reused;
  // The answer of a call that may not be repeated may still come when the way is open again.
  if (!m_request.may_repeat)
    m_connection->SetKeepalive(false);
  const std::weak_ptr<TargetCall> weak = weak_from_this();
  m_connection->SetHandlers({[weak](std::string_view data)
                             {
                               const auto self = weak.lock();
                               return self ? self->OnData(data) : data.size();
                             },
                             [weak](ConnectionEnd end)
                             {
                               if (const auto self = weak.lock())
                                 self->OnConnectionEnd(end);
                             },
                             nullptr, nullptr});
  Send();
}

void TargetCall::Send()
{
  std::string head = std::exchange(m_request.head, {});
  const Common::Bytes body = std::exchange(m_request.body, nullptr);
  const bool is_copied = !body || body->size() <= MAX_COPIED_BYTES;
  if (body && is_copied)
    head.append(*body);
  m_connection->Write(head);
  if (!is_copied)
    m_connection->Write(body);
}

std::size_t TargetCall::OnData(std::string_view data)
{
  m_has_bytes = true;
  m_is_reading = true;
  const std::size_t consumed = m_parser.Feed(data);
  m_received_bytes += consumed;
  m_is_reading = false;
  if (m_is_over)
    return data.size();
  if (const auto end = EndByBytes(consumed))
  {
    Fail(CallFailure::Broken, *end);
    return data.size();
  }
  if (!m_parser.IsDone())
    return consumed;
  const bool is_informational = m_head && m_head->status < Common::MIN_FINAL_STATUS;
  if (m_is_foreign || is_informational)
  {
    m_is_foreign = false;
    m_head.reset();
    m_parser.Restart(m_request.is_head_method);
    return consumed;
  }
  if (consumed < data.size())
    m_is_spoilt = true; // bytes behind a whole answer belong to no request
  if (m_is_whole && m_is_passing)
    Finish();
  return consumed;
}

std::optional<AttemptEnd> TargetCall::EndByBytes(std::size_t consumed)
{
  const bool has_own_head = m_head && !m_is_foreign && m_head->status >= Common::MIN_FINAL_STATUS;
  if (!has_own_head)
    m_bytes_before_answer += consumed;
  if (m_bytes_before_answer > MAX_BYTES_BEFORE_ANSWER || m_events.IsEventTooLong() || !CountHeld())
    return AttemptEnd::TooManyBytes;
  if (m_events.HasGap())
    return AttemptEnd::EventGap;
  switch (m_parser.Error())
  {
  case Common::HttpParseError::None:
    return std::nullopt;
  case Common::HttpParseError::Malformed:
    return AttemptEnd::BadAnswer;
  case Common::HttpParseError::HeaderTooLarge:
  case Common::HttpParseError::BodyTooLarge:
    break;
  }
  return AttemptEnd::TooManyBytes;
}

bool TargetCall::CountHeld()
{
  const std::size_t held = m_held.size() + m_events.PartialBytes();
  m_held_bytes->Set(held);
  return held <= HELD_BYTES_MOST || m_held_by_target->Held() <= MAX_HELD_BYTES_OF_TARGET;
}

bool TargetCall::IsOurs(const HttpHead& head) const
{
  const std::string* id = head.fields.Find(m_names.request_id);
  if (id)
    return *id == m_request.request_id;
  // One that rejects what it could not read knows no id.
  return head.status < Common::MIN_FINAL_STATUS || head.fields.Find(m_names.not_run) != nullptr;
}

void TargetCall::OnHead(HttpHead head)
{
  m_is_foreign = !IsOurs(head);
  if (head.status >= Common::MIN_FINAL_STATUS && m_handlers.on_head)
    m_handlers.on_head(head, m_is_foreign);
  if (m_is_foreign)
  {
    m_is_spoilt = true;
    return;
  }
  m_head = std::move(head);
  if (m_head->status < Common::MIN_FINAL_STATUS)
    return;
  const std::string* type = m_head->fields.Find("Content-Type");
  m_is_event_stream = m_request.is_stream && m_head->status == 200 && type &&
                      type->starts_with("text/event-stream");
}

void TargetCall::OnBody(std::string_view data)
{
  if (m_is_foreign || m_is_over || !m_head)
    return;
  if (m_is_event_stream)
    data = m_events.Take(data);
  // A stream that breaks off before its first event may still be asked for elsewhere.
  if (m_is_event_stream && !m_is_answered && !data.empty())
  {
    m_held.append(data);
    return Answer(false);
  }
  if (m_is_passing)
  {
    if (!data.empty())
      m_handlers.on_body(data);
    return;
  }
  m_held.append(data);
  if (!m_is_answered && m_held.size() > HELD_BYTES_MOST)
    Answer(false);
}

void TargetCall::OnMessageEnd()
{
  if (m_is_foreign || m_is_over || !m_head || m_head->status < Common::MIN_FINAL_STATUS)
    return;
  if (m_events.HasGap())
    return Fail(CallFailure::Broken, AttemptEnd::EventGap);
  if (m_events.HasPartialEvent())
    return Fail(CallFailure::Broken, AttemptEnd::PartialEvent);
  m_is_whole = true;
  if (!m_is_answered)
    Answer(true);
}

void TargetCall::Answer(bool is_whole)
{
  m_is_answered = true;
  m_handlers.on_answer(*m_head, is_whole);
}

void TargetCall::Pass()
{
  if (m_is_over)
    return;
  m_is_passing = true;
  if (!m_held.empty())
    m_handlers.on_body(std::exchange(m_held, {}));
  // While bytes are being read it is not known yet whether more lie behind the answer.
  if (m_is_whole && !m_is_reading)
    Finish();
}

void TargetCall::OnConnectionEnd(ConnectionEnd end)
{
  if (m_is_over)
    return;
  const std::shared_ptr<TargetCall> self = shared_from_this();
  m_connection.reset();
  // Its kept connections are as old as this one: what ended it has ended them, too.
  if (m_is_reused && end == ConnectionEnd::Broken)
    m_pool.Forget(m_request.target);
  if (end == ConnectionEnd::NotConnected)
    return Fail(CallFailure::NotSent, AttemptEnd::NoConnection);
  // One that was reset on the way is not whole, whatever came of it.
  if (end != ConnectionEnd::Finished)
    return Fail(CallFailure::Broken, AttemptEnd::Reset);
  if (!EndsByClose())
    return FinishAtClose();
  if (m_events.HasPartialEvent())
    return Fail(CallFailure::Broken, AttemptEnd::PartialEvent);
  m_is_closed = true;
  const auto on_closed = m_handlers.on_closed;
  on_closed();
}

bool TargetCall::EndsByClose() const
{
  if (!m_handlers.on_closed || !m_head || m_is_foreign || m_parser.IsDone() ||
      m_head->framing != Common::BodyFraming::UntilClose)
    return false;
  // A target that has not run the request says so in the head.
  return m_head->status != MISDIRECTED_STATUS && !m_head->fields.Find(m_names.not_run);
}

void TargetCall::FinishAtClose()
{
  const bool is_whole = !m_is_foreign && m_parser.FinishAtClose();
  if (m_is_over)
    return;
  if (!is_whole)
    return Fail(CallFailure::Broken, AttemptEnd::ClosedEarly);
  if (m_is_passing)
    Finish();
}

void TargetCall::EndClosed(AttemptEnd reason)
{
  if (m_is_over || !std::exchange(m_is_closed, false))
    return;
  const std::shared_ptr<TargetCall> self = shared_from_this();
  if (reason != AttemptEnd::None)
    return Fail(CallFailure::Broken, reason);
  FinishAtClose();
}

void TargetCall::Finish()
{
  if (std::exchange(m_is_over, true))
    return;
  m_held_bytes.reset();
  GiveBack();
  const Handlers handlers = std::exchange(m_handlers, {});
  handlers.on_end();
}

void TargetCall::Fail(CallFailure failure, AttemptEnd end)
{
  if (std::exchange(m_is_over, true))
    return;
  m_held_bytes.reset();
  m_ended_by = end;
  if (m_connection)
    m_connection->Reset();
  m_connection.reset();
  const Handlers handlers = std::exchange(m_handlers, {});
  handlers.on_failure(failure);
}

std::optional<Common::Duration> TargetCall::UnansweredFor(Common::TimePoint now) const
{
  if (m_is_over || m_is_answered)
    return std::nullopt;
  return now - m_started;
}

void TargetCall::Cancel()
{
  const auto unanswered = UnansweredFor(Common::EventLoop::Now());
  if (std::exchange(m_is_over, true))
    return;
  m_held_bytes.reset();
  m_handlers = {};
  // The other kept connections are as old as this one.
  if (m_is_reused && !m_has_bytes && unanswered && *unanswered >= MAX_SILENCE)
    m_pool.Forget(m_request.target);
  if (!m_connection)
    return;
  if (m_is_whole)
    return GiveBack();
  m_connection->Reset();
  m_connection.reset();
}

void TargetCall::Recall()
{
  if (IsConnecting())
    Fail(CallFailure::NotSent, AttemptEnd::Recalled);
}

void TargetCall::GiveBack()
{
  if (!m_connection)
    return;
  const std::shared_ptr<Common::TcpConnection> connection = std::move(m_connection);
  // What the target has not read of the request would be taken for the next one.
  const bool may_keep =
      !m_is_spoilt && m_head && m_head->keeps_alive && connection->UnsentBytes() == 0;
  if (!may_keep)
    return connection->Close();
  Milliseconds idle_most = IDLE_MOST;
  if (const std::string* keep = m_head->fields.Find("Keep-Alive"))
  {
    const std::size_t at = keep->find("timeout=");
    if (at != std::string::npos)
    {
      const Milliseconds told = std::chrono::seconds(std::atoi(keep->c_str() + at + 8));
      idle_most = std::min(idle_most, told - IDLE_MARGIN);
    }
  }
  if (!m_request.may_repeat)
    connection->SetKeepalive(true);
  // A slow caller may have held the last bytes back.
  connection->ResumeReading();
  m_pool.Release(m_request.target, connection, idle_most);
}

void TargetCall::PauseReading()
{
  if (m_connection)
    m_connection->PauseReading();
}

void TargetCall::ResumeReading()
{
  if (m_connection)
    m_connection->ResumeReading();
}
} // namespace Holdpost::TargetPeer
