// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "Common/HttpMessage.h"

// Strict incremental parsing of HTTP/1.1 messages by Boost.Beast, apart from any socket.
namespace Holdpost::Common
{
enum class HttpMessageKind
{
  Request,
  Answer,
};

enum class HttpParseError
{
  None,
  // Of answers, also one with a status outside 100 to 599, or with a field that goes on in a
  // further line.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

struct HttpParserLimits
{
  std::size_t header_bytes = 16384;
  std::uint64_t body_bytes = 64 << 20;
};

// Takes what the parser finds. The views live only during the call.
class HttpParserSink
{
public:
  virtual ~HttpParserSink() = default;
  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnMessageEnd() = 0;
};

// Parses one message after the other. It stops after each message, so that the caller decides when
// the next one may begin.
class HttpParser
{
public:
  HttpParser(HttpMessageKind kind, HttpParserSink& sink);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  void SetLimits(const HttpParserLimits& limits);
  // Makes the parser ready for the next message. `has_no_body`: answers to HEAD.
  void Restart(bool has_no_body = false);
  // Consumes bytes of the present message and returns how many. What is not consumed has to be
  // given again with more behind it, or belongs to the next message when IsDone.
  std::size_t Feed(std::string_view data);
  // The peer has closed in good order: ends a body that lasts until the close. Returns false if the
  // message is not whole.
  bool FinishAtClose();

  HttpParseError Error() const { return m_error; }
  // True once a byte of the present message was consumed, even if its head is not whole yet.
  bool HasBegun() const { return m_has_begun; }
  bool HasHead() const;
  bool IsDone() const;

private:
  class Message;
  template <bool IsRequest>
  class TypedMessage;

  HttpMessageKind m_kind;
  HttpParserSink& m_sink;
  HttpParserLimits m_limits;
  HttpParseError m_error = HttpParseError::None;
  bool m_has_begun = false;
  std::unique_ptr<Message> m_message;
};
} // namespace Holdpost::Common
