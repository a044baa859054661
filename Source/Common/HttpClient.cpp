// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include "Common/AnswerCheck.h"
#include "Common/HttpMessage.h"
#include "Common/Socket.h"

namespace Holdpost::Common
{
static constexpr std::size_t IDLE_CONNECTIONS_PER_ADDRESS = 8;
// The bytes of an answer's first line and fields, with those of interim answers before it.
static constexpr std::size_t MAX_HEADER_BYTES = 64 << 10;
static constexpr int CONTINUE = 100;
// What a body may have on the way, with the headers of its chunks, for each byte of its own.
static constexpr std::size_t FRAMING_FACTOR = 2;

struct HttpClient::Pending
{
  HttpClient* client = nullptr;
  CallId id = 0;
  Address to;
  bool may_reuse_connection = false;
  bool is_reused = false; // the connection had been kept
  HttpCallbacks callbacks;
  evhttp_connection* connection = nullptr;
  evhttp_request* raw = nullptr;
  // Why there is no whole answer; empty until that is known.
  std::string_view failure;
  // evhttp limits the head and the body, but not interim answers and the headers of chunks.
  std::size_t received_bytes = 0;
  std::size_t max_received_bytes = 0;
  std::optional<AnswerCheck> check;
  evbuffer_cb_entry* input_watch = nullptr;
  std::unique_ptr<Watch> total_timer;
};

static evbuffer* InputOf(evhttp_connection* connection)
{
  return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
}

static evhttp_cmd_type MethodFromName(const std::string& name)
{
  static const std::map<std::string, evhttp_cmd_type> METHODS = {
      {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},   {"PUT", EVHTTP_REQ_PUT},
      {"DELETE", EVHTTP_REQ_DELETE}, {"PATCH", EVHTTP_REQ_PATCH}, {"HEAD", EVHTTP_REQ_HEAD}};
  const auto found = METHODS.find(name);
  return found == METHODS.end() ? EVHTTP_REQ_GET : found->second;
}

static HttpHeaders ReadHeaders(evhttp_request* raw)
{
  HttpHeaders headers;
  const evkeyvalq* list = evhttp_request_get_input_headers(raw);
  for (const evkeyval* header = list->tqh_first; header; header = header->next.tqe_next)
  {
    std::string name = header->key;
    std::ranges::transform(name, name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    headers[name] = header->value;
  }
  return headers;
}

static std::string TakeBody(evhttp_request* raw)
{
  evbuffer* buffer = evhttp_request_get_input_buffer(raw);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

// An answer that ends with the connection could have been cut anywhere, so it is not whole.
static bool HasMarkedEnd(evhttp_request* raw)
{
  const int status = evhttp_request_get_response_code(raw);
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  const char* coding = evhttp_find_header(headers, "Transfer-Encoding");
  // evhttp reads an answer of any other coding up to the end of the connection.
  return (coding && EqualsIgnoringCase(coding, "chunked")) ||
         evhttp_find_header(headers, "Content-Length") || status == 204 || status == 304;
}

HttpClient::HttpClient(EventLoop& loop) : m_loop(loop) {}

HttpClient::~HttpClient()
{
  for (const auto& [id, pending] : m_pending)
    evhttp_connection_free(pending->connection);
  for (const auto& [address, connections] : m_idle)
  {
    for (evhttp_connection* connection : connections)
      evhttp_connection_free(connection);
  }
  for (evhttp_connection* connection : m_ending)
    evhttp_connection_free(connection);
}

void HttpClient::Connect(const HttpCall& call, Pending& pending)
{
  auto& idle = m_idle[call.to];
  pending.is_reused = call.may_reuse_connection && !idle.empty();
  if (pending.is_reused)
  {
    pending.connection = idle.back();
    idle.pop_back();
    return;
  }
  pending.connection =
      evhttp_connection_base_new(m_loop.Base(), nullptr, call.to.host.c_str(), call.to.port);
}

void HttpClient::CloseIdle(const Address& peer)
{
  const auto idle = m_idle.extract(peer);
  if (!idle)
    return;
  for (evhttp_connection* connection : idle.mapped())
    evhttp_connection_free(connection);
}

HttpClient::CallId HttpClient::Start(HttpCall call, HttpCallbacks callbacks)
{
  auto owned = std::make_unique<Pending>();
  Pending* pending = owned.get();
  pending->client = this;
  pending->id = m_next_id++;
  pending->to = call.to;
  pending->may_reuse_connection = call.may_reuse_connection;
  pending->callbacks = std::move(callbacks);
  Connect(call, *pending);
  pending->raw = evhttp_request_new(&HttpClient::HandleDone, pending);
  evhttp_request_set_header_cb(pending->raw, &HttpClient::HandleHeaders);
  evhttp_request_set_error_cb(pending->raw, [](evhttp_request_error error, void* self)
                              { HandleError(error, self); });
  if (pending->callbacks.on_chunk)
    evhttp_request_set_chunked_cb(pending->raw, &HttpClient::HandleChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(pending->raw);
  if (!call.headers.contains("Host"))
    evhttp_add_header(headers, "Host", call.to.ToString().c_str());
  evhttp_add_header(headers, "Connection", call.may_reuse_connection ? "keep-alive" : "close");
  for (const auto& [name, value] : call.headers)
    evhttp_add_header(headers, name.c_str(), value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(pending->raw), call.body.data(), call.body.size());
  const timeval timeout = {call.idle_timeout.count() / 1000,
                           (call.idle_timeout.count() % 1000) * 1000};
  evhttp_connection_set_timeout_tv(pending->connection, &timeout);
  evhttp_connection_set_max_headers_size(pending->connection, MAX_HEADER_BYTES);
  evhttp_connection_set_max_body_size(pending->connection,
                                      static_cast<ev_ssize_t>(call.max_body_bytes));
  pending->check.emplace(call.method == "HEAD",
                         HttpParserLimits{MAX_HEADER_BYTES, call.max_body_bytes});
  WatchInput(*pending, MAX_HEADER_BYTES + FRAMING_FACTOR * call.max_body_bytes);
  if (call.total_timeout)
    StartTotalTimer(*pending, *call.total_timeout);
  const CallId id = pending->id;
  const bool is_new_connection = !pending->is_reused;
  evhttp_connection* const connection = pending->connection;
  m_pending.emplace(id, std::move(owned));
  // On failure evhttp has already called HandleDone or will never do so; Defer covers both.
  if (evhttp_make_request(pending->connection, pending->raw, MethodFromName(call.method),
                          call.path.c_str()) != 0)
  {
    m_loop.Defer(
        [this, id]
        {
          if (const auto found = m_pending.find(id); found != m_pending.end())
            Finish(*found->second, nullptr);
        });
    return id;
  }
  // The socket is there once the request was made.
  if (is_new_connection)
    TurnKeepaliveOn(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
  return id;
}

void HttpClient::WatchInput(Pending& pending, std::size_t max_bytes)
{
  pending.max_received_bytes = max_bytes;
  pending.input_watch =
      evbuffer_add_cb(InputOf(pending.connection), &HttpClient::HandleInput, &pending);
}

// Whether the bytes at the end of the input go on with an answer.
static bool CheckNewBytes(AnswerCheck& check, evbuffer* input, std::size_t count)
{
  evbuffer_ptr at;
  if (evbuffer_ptr_set(input, &at, evbuffer_get_length(input) - count, EVBUFFER_PTR_SET) != 0)
    return true;
  std::vector<evbuffer_iovec> parts(
      static_cast<std::size_t>(evbuffer_peek(input, -1, &at, nullptr, 0)));
  evbuffer_peek(input, -1, &at, parts.data(), static_cast<int>(parts.size()));
  return std::ranges::all_of(
      parts,
      [&check](const evbuffer_iovec& part) {
        return check.Take({static_cast<const char*>(part.iov_base), part.iov_len});
      });
}

void HttpClient::HandleInput(evbuffer* input, const evbuffer_cb_info* info, void* pending)
{
  auto& self = *static_cast<Pending*>(pending);
  if (info->n_added == 0 || !self.failure.empty())
    return;
  self.received_bytes += info->n_added;
  if (self.received_bytes > self.max_received_bytes)
    self.failure = "the answer has too many bytes, from";
  else if (!CheckNewBytes(*self.check, input, info->n_added))
    self.failure = "the answer is not one of HTTP, from";
  if (self.failure.empty())
    return;
  // evhttp is still on the stack.
  self.client->m_loop.Defer([client = self.client, id = self.id, reason = self.failure]
                            { client->GiveUp(id, reason); });
}

void HttpClient::StartTotalTimer(Pending& pending, Milliseconds timeout)
{
  pending.total_timer = m_loop.MakeTimer([this, id = pending.id]
                                         { GiveUp(id, "the answer did not end in time, from"); });
  pending.total_timer->FireAfter(timeout);
}

static Error NoAnswer(std::string_view reason, const Address& from)
{
  return {ErrorKind::Unreachable, fmt::format("{} {}", reason, from.ToString())};
}

void HttpClient::GiveUp(CallId id, std::string_view reason)
{
  const auto found = m_pending.find(id);
  if (found == m_pending.end())
    return;
  const HttpCallbacks callbacks = std::move(found->second->callbacks);
  Error error = NoAnswer(reason, found->second->to);
  // The timer may be what runs at this moment, so it is destroyed later.
  m_loop.Defer([timer = std::shared_ptr<Watch>(std::move(found->second->total_timer))] {});
  Cancel(id);
  callbacks.on_done(std::move(error));
}

void HttpClient::Cancel(CallId id)
{
  const auto found = m_pending.find(id);
  if (found == m_pending.end())
    return;
  const std::unique_ptr<Pending> pending = std::move(found->second);
  m_pending.erase(found);
  evhttp_cancel_request(pending->raw);
  Release(*pending, false);
}

void HttpClient::Pause(CallId id)
{
  const auto found = m_pending.find(id);
  if (found != m_pending.end())
    bufferevent_disable(evhttp_connection_get_bufferevent(found->second->connection), EV_READ);
}

void HttpClient::Resume(CallId id)
{
  const auto found = m_pending.find(id);
  if (found != m_pending.end())
    bufferevent_enable(evhttp_connection_get_bufferevent(found->second->connection), EV_READ);
}

void HttpClient::Release(Pending& pending, bool may_be_reused)
{
  evhttp_connection* connection = pending.connection;
  // evhttp would take bytes behind the answer for the next one.
  const bool has_more = evbuffer_get_length(InputOf(connection)) > 0;
  if (pending.input_watch)
    evbuffer_remove_cb_entry(InputOf(connection), std::exchange(pending.input_watch, nullptr));
  auto& idle = m_idle[pending.to];
  if (may_be_reused && !has_more && idle.size() < IDLE_CONNECTIONS_PER_ADDRESS)
  {
    idle.push_back(connection);
    return;
  }
  // evhttp still uses the connection after its callbacks return.
  m_ending.insert(connection);
  m_loop.Defer(
      [this, connection]
      {
        m_ending.erase(connection);
        evhttp_connection_free(connection);
      });
}

void HttpClient::Finish(Pending& pending, evhttp_request* raw)
{
  const auto found = m_pending.find(pending.id);
  const std::unique_ptr<Pending> owned = std::move(found->second);
  m_pending.erase(found);
  const int status = raw ? evhttp_request_get_response_code(raw) : 0;
  if (status == 0 && owned->failure.empty())
    owned->failure = "no whole answer from";
  if (!owned->failure.empty())
  {
    Release(*owned, false);
    // Kept connections are as old as this one: what ended it has ended them, too.
    if (owned->is_reused)
      CloseIdle(owned->to);
    owned->callbacks.on_done(NoAnswer(owned->failure, owned->to));
    return;
  }
  HttpReply reply{status, ReadHeaders(raw), TakeBody(raw)};
  if (!HasMarkedEnd(raw))
  {
    Release(*owned, false);
    owned->callbacks.on_done(
        Error{ErrorKind::AnswerCut,
              fmt::format("the answer of {} has no marked end", owned->to.ToString())});
    return;
  }
  const bool closes =
      reply.headers.contains("connection") && reply.headers["connection"] == "close";
  Release(*owned, owned->may_reuse_connection && !closes);
  owned->callbacks.on_done(std::move(reply));
}

void HttpClient::HandleDone(evhttp_request* raw, void* pending)
{
  auto& self = *static_cast<Pending*>(pending);
  self.client->Finish(self, raw);
}

int HttpClient::HandleHeaders(evhttp_request* raw, void* pending)
{
  auto& self = *static_cast<Pending*>(pending);
  if (!self.failure.empty())
    return -1;
  if (evhttp_request_get_response_code(raw) < MIN_FINAL_STATUS)
  {
    // evhttp reads on only behind one kind of interim answer, and keeps its fields.
    evhttp_clear_headers(evhttp_request_get_input_headers(raw));
    raw->response_code = CONTINUE;
    return 0;
  }
  if (self.callbacks.on_headers)
    self.callbacks.on_headers(evhttp_request_get_response_code(raw), ReadHeaders(raw));
  return 0;
}

void HttpClient::HandleChunk(evhttp_request* raw, void* pending)
{
  const auto& self = *static_cast<Pending*>(pending);
  if (self.failure.empty())
    self.callbacks.on_chunk(TakeBody(raw));
}

static std::string_view FailureOf(int error)
{
  switch (error)
  {
  case EVREQ_HTTP_DATA_TOO_LONG:
    return "the answer has too many bytes, from";
  case EVREQ_HTTP_INVALID_HEADER:
    return "the head of the answer is too long or none, from";
  default:
    return "no whole answer from";
  }
}

void HttpClient::HandleError(int error, void* pending)
{
  // evhttp calls HandleDone next, with or without the request; the answer is not whole.
  auto& self = *static_cast<Pending*>(pending);
  if (self.failure.empty())
    self.failure = FailureOf(error);
}
} // namespace Holdpost::Common
