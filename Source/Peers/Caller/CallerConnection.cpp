// SPDX-License-Identifier: Apache-2.0
#include "Peers/Caller/CallerConnection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace Holdpost::CallerPeer
{
using Common::BodyFraming;
using Common::ErrorKind;
using Common::Milliseconds;

// A caller that leaves our bytes unacknowledged for so long is gone.
static constexpr Milliseconds SILENCE_MOST = Milliseconds(4000);
static constexpr Milliseconds LINGER = Milliseconds(1000);
// Bytes of requests that a caller sends ahead; more stay in the kernel.
static constexpr std::size_t MAX_BYTES_AHEAD = 16 << 10;
// Larger bodies grow as they come.
static constexpr std::size_t MAX_RESERVED_BYTES = 4 << 20;
static const Common::Bytes NO_BODY = Common::MakeBytes("");

CallerConnection::CallerConnection(Common::EventLoop& loop, int fd,
                                   const CallerConnectionLimits& limits)
    : m_loop(loop), m_limits(limits),
      m_connection(Common::TcpConnection::Adopt(loop, fd, SILENCE_MOST)),
      m_parser(Common::HttpMessageKind::Request, *this), m_whole_body(NO_BODY),
      m_held(loop.Buffers())
{
  SetLimits(limits);
}

void CallerConnection::SetLimits(const CallerConnectionLimits& limits)
{
  m_limits = limits;
  m_parser.SetLimits({limits.header_bytes, limits.body_bytes});
}

void CallerConnection::Start(Handlers handlers)
{
  m_handlers = std::move(handlers);
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  m_connection->SetHandlers({[weak](std::string_view data)
                             {
                               const auto self = weak.lock();
                               return self ? self->OnData(data) : data.size();
                             },
                             [weak](Common::ConnectionEnd)
                             {
                               if (const auto self = weak.lock())
                                 self->OnConnectionEnd();
                             },
                             [weak]
                             {
                               const auto self = weak.lock();
                               if (self && self->m_state == State::Answering && self->m_on_drained)
                                 self->m_on_drained();
                             },
                             nullptr});
  m_timer = m_loop.MakeTimer(
      [weak]
      {
        if (const auto self = weak.lock())
          self->OnTimeout();
      });
  BecomeIdle();
}

void CallerConnection::ArmTimer(Milliseconds delay)
{
  m_timer->FireAfter(delay);
}

void CallerConnection::BecomeIdle()
{
  m_state = State::Idle;
  m_parser.Restart();
  DropBody();
  m_connection->SetMaxUnread(std::numeric_limits<std::size_t>::max());
  m_on_left = nullptr;
  m_on_drained = nullptr;
  ArmTimer(m_limits.idle_timeout);
}

std::size_t CallerConnection::OnData(std::string_view data)
{
  if (m_state == State::Answering)
    return 0;
  if (IsClosing())
    return data.size();
  if (m_state == State::Idle)
  {
    // Line ends between two requests are allowed and mean nothing.
    const std::size_t blank = data.find_first_not_of("\r\n");
    if (blank != 0)
      return blank == std::string_view::npos ? data.size() : blank;
    m_state = State::Reading;
    ArmTimer(m_limits.header_timeout);
  }
  const std::size_t consumed = m_parser.Feed(data);
  if (IsClosing())
    return data.size();
  switch (m_parser.Error())
  {
  case Common::HttpParseError::None:
    break;
  case Common::HttpParseError::HeaderTooLarge:
    Reject(ErrorKind::HeaderTooLarge);
    return data.size();
  case Common::HttpParseError::BodyTooLarge:
    Reject(ErrorKind::TooLarge);
    return data.size();
  case Common::HttpParseError::Malformed:
    Reject(ErrorKind::BadRequest);
    return data.size();
  }
  if (m_state != State::Reading)
    return consumed;
  const auto self = shared_from_this();
  if (m_parser.IsDone())
  {
    m_state = State::Answering;
    m_timer->Cancel();
    m_connection->SetMaxUnread(MAX_BYTES_AHEAD);
    KeepWholeBody();
    m_handlers.on_request(*this);
  }
  else if (m_parser.HasHead())
  {
    ArmTimer(m_limits.header_timeout);
    m_held.Set(m_body.size());
    // The handler may end the connection and its handlers with it.
    if (const auto on_partial_request = m_handlers.on_partial_request)
      on_partial_request(*this);
  }
  return consumed;
}

void CallerConnection::OnHead(Common::HttpHead head)
{
  m_head = std::move(head);
  const std::string* expect = m_head.fields.Find("Expect");
  if (expect && Common::EqualsIgnoringCase(*expect, "100-continue"))
    m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
  // Memory that the caller never fills is none of the process.
  m_body.reserve(std::min({m_head.content_length, m_limits.body_bytes, MAX_RESERVED_BYTES}));
}

void CallerConnection::KeepWholeBody()
{
  m_held.Set(m_body.size());
  m_whole_body = m_body.empty() ? NO_BODY : Common::MakeBytes(std::exchange(m_body, {}));
}

void CallerConnection::DropBody()
{
  m_body = {};
  m_whole_body = NO_BODY;
  m_held.Set(0);
}

std::optional<std::size_t> CallerConnection::DeclaredBytes() const
{
  if (m_head.framing != BodyFraming::Length)
    return std::nullopt;
  return m_head.content_length;
}

void CallerConnection::HoldBack()
{
  if (m_state != State::Reading)
    return;
  m_connection->PauseReading();
  m_timer->Cancel();
}

void CallerConnection::ReadOn()
{
  if (m_state != State::Reading)
    return;
  ArmTimer(m_limits.header_timeout);
  m_connection->ResumeReading();
}

void CallerConnection::RefusePartial(int status, std::string_view reason, std::string_view fields)
{
  if (m_state != State::Reading)
    return;
  // Where the next request would begin is not known after this.
  m_state = State::Answering;
  m_is_closing_soon = true;
  m_was_refused_early = true;
  Answer(status, reason, fields, "");
}

void CallerConnection::OnBody(std::string_view data)
{
  m_body.append(data);
}

void CallerConnection::OnMessageEnd() {}

void CallerConnection::Reject(ErrorKind kind)
{
  const Common::ErrorAnswer& row = Common::AnswerFor(kind);
  RefusePartial(row.http_status, Common::ReasonPhrase(row.http_status), "");
}

void CallerConnection::OnTimeout()
{
  if (m_state == State::Reading)
    Reject(ErrorKind::RequestTimeout);
  else if (m_state == State::Idle)
    CloseGracefully();
}

void CallerConnection::OnConnectionEnd()
{
  const auto self = shared_from_this();
  const State state = std::exchange(m_state, State::Closed);
  m_timer->Cancel();
  const Handlers handlers = std::exchange(m_handlers, {});
  const std::function<void()> on_left = std::exchange(m_on_left, nullptr);
  if (state == State::Answering && on_left)
    on_left();
  if (state != State::Closed && handlers.on_closed)
    handlers.on_closed();
}

std::string CallerConnection::HeadLines(int status, std::string_view reason,
                                        std::string_view fields)
{
  m_closes_after_answer = m_is_closing_soon || !m_head.keeps_alive;
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
  text.append(fields);
  if (m_closes_after_answer)
    text.append("Connection: close\r\n");
  return text;
}

void CallerConnection::Answer(int status, std::string_view reason, std::string_view fields,
                              std::string_view body)
{
  if (m_state != State::Answering)
    return;
  std::string text = HeadLines(status, reason, fields);
  const bool has_body = status != 204 && status != 304;
  if (has_body)
    text.append(fmt::format("Content-Length: {}\r\n", body.size()));
  text.append("\r\n");
  if (has_body && m_head.method != "HEAD")
    text.append(body);
  m_connection->Write(text);
  FinishAnswer();
}

void CallerConnection::BeginAnswer(int status, std::string_view reason, std::string_view fields)
{
  if (m_state != State::Answering)
    return;
  // A caller of HTTP/1.0 knows no chunks: the end of the connection ends the answer.
  if (m_head.is_http_1_0)
    m_is_closing_soon = true;
  std::string text = HeadLines(status, reason, fields);
  if (!m_head.is_http_1_0)
    text.append("Transfer-Encoding: chunked\r\n");
  text.append("\r\n");
  m_connection->Write(text);
}

void CallerConnection::SendPart(std::string_view data)
{
  if (m_state != State::Answering || data.empty())
    return;
  if (m_head.is_http_1_0)
    return m_connection->Write(data);
  std::string text = fmt::format("{:x}\r\n", data.size());
  text.append(data);
  text.append("\r\n");
  m_connection->Write(text);
}

void CallerConnection::EndAnswer()
{
  if (m_state != State::Answering)
    return;
  if (!m_head.is_http_1_0)
    m_connection->Write("0\r\n\r\n");
  FinishAnswer();
}

void CallerConnection::FinishAnswer()
{
  if (m_closes_after_answer)
    return CloseGracefully();
  BecomeIdle();
  // A request that was sent ahead is here already; it gets its turn when this call has returned.
  if (m_connection->UnreadBytes() > 0)
  {
    m_loop.Defer(
        [weak = weak_from_this()]
        {
          const auto self = weak.lock();
          if (self && self->m_state == State::Idle)
            self->m_connection->ReadAgain();
        });
  }
}

void CallerConnection::AbortAnswer()
{
  if (m_state != State::Answering)
    return;
  m_state = State::Closed;
  m_connection->Reset();
  const Handlers handlers = std::exchange(m_handlers, {});
  if (handlers.on_closed)
    handlers.on_closed();
}

void CallerConnection::CloseSoon()
{
  m_is_closing_soon = true;
  if (m_state == State::Idle)
    CloseGracefully();
}

void CallerConnection::CloseGracefully()
{
  const auto self = shared_from_this();
  m_state = State::Closing;
  m_timer->Cancel();
  DropBody();
  m_connection->CloseGracefully(LINGER, [self] { self->OnOver(); });
}

void CallerConnection::OnOver()
{
  m_state = State::Closed;
  const Handlers handlers = std::exchange(m_handlers, {});
  if (handlers.on_closed)
    handlers.on_closed();
}

void CallerConnection::Close()
{
  if (!IsClosing())
    CloseGracefully();
}
} // namespace Holdpost::CallerPeer
