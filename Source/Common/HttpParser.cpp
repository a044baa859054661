// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace Holdpost::Common
{
namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;
using beast::string_view;

// RFC 9110, section 15: no other code is a status.
static constexpr int MIN_STATUS = 100;
static constexpr int MAX_STATUS = 599;
static constexpr std::string_view LINE_END = "\r\n";

static std::string_view ToStd(string_view text)
{
  return {text.data(), text.size()};
}

// Whether a field goes on in a further line, in the bytes of a message from within its head on.
// Boost.Beast joins such lines to one value.
static bool HasFoldedField(std::string_view unread)
{
  if (unread.starts_with(LINE_END)) // the end of the head
    return false;
  const std::string_view head = unread.substr(0, unread.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

// What the parser needs of a message, whichever kind it has.
class HttpParser::Message
{
public:
  virtual ~Message() = default;
  virtual std::size_t Put(std::string_view data, error_code& error) = 0;
  virtual void PutEnd(error_code& error) = 0;
  virtual bool HasHead() const = 0;
  virtual bool IsDone() const = 0;
};

template <bool IsRequest>
class HttpParser::TypedMessage final : public HttpParser::Message,
                                       private http::basic_parser<IsRequest>
{
public:
  TypedMessage(HttpParserSink& sink, const HttpParserLimits& limits, bool has_no_body)
      : m_sink(sink)
  {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    this->body_limit(limits.body_bytes);
    this->skip(has_no_body);
  }

  std::size_t Put(std::string_view data, error_code& error) override
  {
    return this->put(boost::asio::const_buffer(data.data(), data.size()), error);
  }
  void PutEnd(error_code& error) override { this->put_eof(error); }
  bool HasHead() const override { return this->is_header_done(); }
  bool IsDone() const override { return this->is_done(); }

private:
  void on_request_impl(http::verb /*verb*/, string_view method, string_view target, int version,
                       error_code& /*error*/) override
  {
    m_head.method = ToStd(method);
    m_head.target = ToStd(target);
    m_head.is_http_1_0 = version == 10;
  }

  void on_response_impl(int code, string_view reason, int version, error_code& error) override
  {
    if (code < MIN_STATUS || code > MAX_STATUS)
      error = http::error::bad_status;
    m_head.status = code;
    m_head.reason = ToStd(reason);
    m_head.is_http_1_0 = version == 10;
  }

  void on_field_impl(http::field name, string_view name_text, string_view value,
                     error_code& error) override
  {
    // A coding that cannot be undone here would leave the end of the body to guessing.
    if (name == http::field::transfer_encoding && !beast::iequals(value, "chunked"))
      error = http::error::bad_transfer_encoding;
    m_head.fields.Add(ToStd(name_text), ToStd(value));
  }

  void on_header_impl(error_code& /*error*/) override
  {
    m_head.keeps_alive = this->keep_alive();
    const auto length = this->content_length();
    if (this->chunked())
      m_head.framing = BodyFraming::Chunked;
    else if (length)
      m_head.framing = BodyFraming::Length;
    else if (this->need_eof())
      m_head.framing = BodyFraming::UntilClose;
    m_head.content_length = length.value_or(0);
    m_sink.OnHead(std::move(m_head));
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*error*/) override
  {
  }

  std::size_t on_body_impl(string_view body, error_code& /*error*/) override
  {
    m_sink.OnBody(ToStd(body));
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code& /*error*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                 error_code& /*error*/) override
  {
    m_sink.OnBody(ToStd(body));
    return body.size();
  }

  void on_finish_impl(error_code& /*error*/) override { m_sink.OnMessageEnd(); }

  HttpParserSink& m_sink;
  HttpHead m_head;
};

static HttpParseError KindOf(const error_code& error)
{
  if (error == http::error::header_limit)
    return HttpParseError::HeaderTooLarge;
  if (error == http::error::body_limit)
    return HttpParseError::BodyTooLarge;
  return HttpParseError::Malformed;
}

HttpParser::HttpParser(HttpMessageKind kind, HttpParserSink& sink) : m_kind(kind), m_sink(sink)
{
  Restart();
}

HttpParser::~HttpParser() = default;

void HttpParser::SetLimits(const HttpParserLimits& limits)
{
  m_limits = limits;
  if (!m_has_begun)
    Restart();
}

void HttpParser::Restart(bool has_no_body)
{
  m_error = HttpParseError::None;
  m_has_begun = false;
  if (m_kind == HttpMessageKind::Request)
    m_message = std::make_unique<TypedMessage<true>>(m_sink, m_limits, has_no_body);
  else
    m_message = std::make_unique<TypedMessage<false>>(m_sink, m_limits, has_no_body);
}

std::size_t HttpParser::Feed(std::string_view data)
{
  std::size_t consumed = 0;
  while (consumed < data.size() && m_error == HttpParseError::None && !m_message->IsDone())
  {
    const std::string_view unread = data.substr(consumed);
    if (m_kind == HttpMessageKind::Answer && !m_message->HasHead() && HasFoldedField(unread))
    {
      // RFC 9112, section 5.2: a gateway discards such an answer or changes the value.
      m_error = HttpParseError::Malformed;
      break;
    }
    error_code error;
    const std::size_t taken = m_message->Put(unread, error);
    consumed += taken;
    m_has_begun = true;
    if (error == http::error::need_more)
    {
      // What has to be read as a whole, as a chunk's header and its extensions, is no longer than a
      // head.
      if (data.size() - consumed > m_limits.header_bytes)
        m_error = HttpParseError::HeaderTooLarge;
      break;
    }
    if (error)
      m_error = KindOf(error);
    else if (taken == 0)
      break;
  }
  return consumed;
}

bool HttpParser::FinishAtClose()
{
  if (m_error != HttpParseError::None)
    return false;
  if (m_message->IsDone())
    return true;
  if (!m_message->HasHead())
    return false;
  error_code error;
  m_message->PutEnd(error);
  return !error && m_message->IsDone();
}

bool HttpParser::HasHead() const
{
  return m_message->HasHead();
}

bool HttpParser::IsDone() const
{
  return m_message->IsDone();
}
} // namespace Holdpost::Common
