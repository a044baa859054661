// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpServer.h"

#include <algorithm>
#include <cctype>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "Common/HttpMessage.h"

namespace Holdpost::Common
{
static constexpr int LISTEN_BACKLOG = 1024;
// A body this many times over the limit is cut off without an answer.
static constexpr std::size_t BODY_READ_FACTOR = 8;
// The hooks are declared without the library's header; their type must still be its own.
static_assert(std::is_same_v<evhtp_res, std::uint16_t>);

// libevhtp keeps hooks of every signature as one pointer type.
template <typename Function>
static evhtp_hook AsHook(Function* function)
{
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

static std::string LowerCase(std::string_view text)
{
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

static const char* MethodName(htp_method method)
{
  return htparser_get_methodstr_m(method);
}

static int AddToMap(evhtp_kv_t* kv, void* map)
{
  auto& headers = *static_cast<HttpHeaders*>(map);
  headers[LowerCase({kv->key, kv->klen})] = std::string(kv->val, kv->vlen);
  return 0;
}

static HttpRequest ReadRequest(evhtp_request_t* raw)
{
  HttpRequest request;
  request.method = MethodName(raw->method);
  if (raw->uri && raw->uri->path && raw->uri->path->full)
    request.path = raw->uri->path->full;
  if (raw->uri && raw->uri->query)
    evhtp_kvs_for_each(raw->uri->query, &AddToMap, &request.query);
  evhtp_kvs_for_each(raw->headers_in, &AddToMap, &request.headers);
  const std::size_t length = evbuffer_get_length(raw->buffer_in);
  request.body.resize(length);
  evbuffer_copyout(raw->buffer_in, request.body.data(), length);
  return request;
}

std::string HttpRequest::Header(const std::string& lower_case_name) const
{
  const auto found = headers.find(lower_case_name);
  return found == headers.end() ? std::string() : found->second;
}

HttpExchange::HttpExchange(evhtp_request* raw, HttpRequest request)
    : m_raw(raw), m_request(std::move(request))
{
}

void HttpExchange::AddHeaders(const HttpHeaders& headers)
{
  for (const auto& [name, value] : headers)
  {
    evhtp_headers_add_header(m_raw->headers_out,
                             evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
}

void HttpExchange::Reply(int status, const HttpHeaders& headers, std::string_view body)
{
  if (!IsOpen())
    return;
  AddHeaders(headers);
  evbuffer_add(m_raw->buffer_out, body.data(), body.size());
  m_ended = true;
  evhtp_send_reply(m_raw, static_cast<evhtp_res>(status));
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers)
{
  if (!IsOpen())
    return;
  // libevhtp would send chunks to any caller.
  if (m_raw->proto == EVHTP_PROTO_10)
    return StartUnframed(status, headers);
  AddHeaders(headers);
  evhtp_send_reply_chunk_start(m_raw, static_cast<evhtp_res>(status));
}

void HttpExchange::StartUnframed(int status, const HttpHeaders& headers)
{
  if (!IsOpen())
    return;
  m_is_unframed = true;
  // libevhtp would add a length.
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  for (const auto& [name, value] : headers)
    AppendField(&head, name, value);
  AppendField(&head, "Connection", "close");
  head += "\r\n";
  bufferevent_write(m_raw->conn->bev, head.data(), head.size());
}

void HttpExchange::SendChunk(std::string_view data)
{
  if (!IsOpen() || data.empty())
    return;
  if (m_is_unframed)
  {
    bufferevent_write(m_raw->conn->bev, data.data(), data.size());
    return;
  }
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, data.data(), data.size());
  evhtp_send_reply_chunk(m_raw, buffer);
  evbuffer_free(buffer);
}

void HttpExchange::EndStream()
{
  if (!IsOpen())
    return;
  if (m_is_unframed)
    return CloseWhenDrained(false);
  m_ended = true;
  evhtp_send_reply_chunk_end(m_raw);
}

void HttpExchange::Cut()
{
  if (IsOpen())
    CloseWhenDrained(m_is_unframed);
}

void HttpExchange::CloseWhenDrained(bool is_reset)
{
  m_ended = true;
  m_closes_when_drained = true;
  m_is_reset = is_reset;
  if (BufferedBytes() == 0)
    CloseNow();
}

void HttpExchange::CloseNow() const
{
  // A shut socket makes libevhtp free the connection by itself, from its own callback.
  if (!m_is_reset)
  {
    shutdown(m_raw->conn->sock, SHUT_RDWR);
    return;
  }
  const linger at_once = {1, 0};
  setsockopt(m_raw->conn->sock, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  shutdown(m_raw->conn->sock, SHUT_RD);
}

std::size_t HttpExchange::BufferedBytes() const
{
  if (!m_raw)
    return 0;
  return evbuffer_get_length(bufferevent_get_output(m_raw->conn->bev));
}

std::uint16_t HttpExchange::HandleWrite(evhtp_connection* connection, void* self)
{
  // The connection's hook sees every write; only the request that is open now is meant.
  const auto& exchange = *static_cast<std::shared_ptr<HttpExchange>*>(self);
  if (exchange->m_raw != connection->request)
    return EVHTP_RES_OK;
  if (exchange->m_closes_when_drained)
    exchange->CloseNow();
  else if (exchange->IsOpen() && exchange->m_on_drained)
    exchange->m_on_drained();
  return EVHTP_RES_OK;
}

std::uint16_t HttpExchange::HandleFinished(evhtp_request* raw, void* self)
{
  const std::unique_ptr<std::shared_ptr<HttpExchange>> holder(
      static_cast<std::shared_ptr<HttpExchange>*>(self));
  HttpExchange& exchange = **holder;
  evhtp_connection_unset_hook(raw->conn, evhtp_hook_on_write);
  exchange.m_raw = nullptr;
  const auto on_gone = std::move(exchange.m_on_gone);
  exchange.m_on_drained = nullptr;
  if (!exchange.m_ended && on_gone)
    on_gone();
  return EVHTP_RES_OK;
}

HttpServer::HttpServer(EventLoop& loop, Limits limits, HttpHandler handler)
    : m_server(evhtp_new(loop.Base(), nullptr)), m_limits(limits), m_handler(std::move(handler))
{
  // libevhtp would have its callbacks deferred. One that waits holds its bufferevent, and libevent
  // does not give that back when the loop is freed: the connection would never be closed.
  evhtp_set_bev_flags(m_server, BEV_OPT_CLOSE_ON_FREE);
  evhtp_set_gencb(m_server, &HttpServer::HandleRequest, this);
  evhtp_set_post_accept_cb(
      m_server,
      [](evhtp_connection_t* connection, void* self)
      { return static_cast<evhtp_res>(HandleAccepted(connection, self)); },
      this);
  // libevhtp's own limit closes without an answer, so it sits well above ours, which answers 413.
  evhtp_set_max_body_size(m_server, BODY_READ_FACTOR * limits.body_bytes);
  const timeval idle = {limits.idle.count(), 0};
  evhtp_set_timeouts(m_server, &idle, &idle);
}

HttpServer::~HttpServer()
{
  StopListening();
  // Freeing a connection takes it off the list.
  while (!m_connections.empty())
  {
    const auto [connection, last] = *m_connections.begin();
    if (const auto exchange = last.lock())
      exchange->m_on_gone = nullptr;
    evhtp_connection_free(connection);
  }
  evhtp_free(m_server);
}

Result<Address> HttpServer::Listen(const Address& address)
{
  if (evhtp_bind_socket(m_server, address.host.c_str(), address.port, LISTEN_BACKLOG) != 0)
    return Error{ErrorKind::Internal, fmt::format("cannot listen on {}", address.ToString())};
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  const int fd = evconnlistener_get_fd(m_server->server);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
  return Address{address.host, ntohs(bound.sin_port)};
}

void HttpServer::StopListening()
{
  if (m_server->server)
    evhtp_unbind_socket(m_server);
}

std::uint16_t HttpServer::HandleAccepted(evhtp_connection* connection, void* self)
{
  const int on = 1;
  setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  evhtp_connection_set_hook(connection, evhtp_hook_on_read, AsHook(&HttpServer::HandleRead), self);
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                            AsHook(&HttpServer::HandleClosed), self);
  static_cast<HttpServer*>(self)->m_connections.try_emplace(connection);
  return EVHTP_RES_OK;
}

std::uint16_t HttpServer::HandleClosed(evhtp_connection* connection, void* self)
{
  static_cast<HttpServer*>(self)->m_connections.erase(connection);
  return EVHTP_RES_OK;
}

// Drops what is over the limit, so that a large body costs no memory. It is still read, as a caller
// that is cut off while it sends would not see the answer.
std::uint16_t HttpServer::HandleRead(evhtp_request* raw, evbuffer* data, void* self)
{
  const auto* server = static_cast<const HttpServer*>(self);
  if (raw->conn->body_bytes_read <= server->m_limits.body_bytes)
    return EVHTP_RES_OK;
  evbuffer_drain(data, evbuffer_get_length(data));
  evbuffer_drain(raw->buffer_in, evbuffer_get_length(raw->buffer_in));
  return EVHTP_RES_OK;
}

void HttpServer::HandleRequest(evhtp_request* raw, void* self)
{
  auto* server = static_cast<HttpServer*>(self);
  auto exchange = std::make_shared<HttpExchange>(raw, ReadRequest(raw));
  if (raw->conn->body_bytes_read > server->m_limits.body_bytes)
  {
    ReplyError(*exchange, Error{ErrorKind::TooLarge, fmt::format("the body is over {} bytes",
                                                                 server->m_limits.body_bytes)});
    return;
  }
  server->m_connections[raw->conn] = exchange;
  // Freed by HandleFinished, which libevhtp calls exactly once for each request.
  auto* holder = new std::shared_ptr<HttpExchange>(exchange);
  evhtp_request_set_hook(raw, evhtp_hook_on_request_fini, AsHook(&HttpExchange::HandleFinished),
                         holder);
  evhtp_connection_set_hook(raw->conn, evhtp_hook_on_write, AsHook(&HttpExchange::HandleWrite),
                            holder);
  server->m_handler(exchange);
}

std::string ErrorBody(const Error& error)
{
  const ErrorAnswer& answer = AnswerFor(error.kind);
  const nlohmann::json body = {{"error",
                                {{"kind", answer.name},
                                 {"message", error.message},
                                 {"outcome", OutcomeName(answer.outcome)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ReplyError(HttpExchange& exchange, const Error& error)
{
  const ErrorAnswer& answer = AnswerFor(error.kind);
  HttpHeaders headers = {{"Content-Type", "application/json"},
                         {"Holdpost-Outcome", std::string(OutcomeName(answer.outcome))},
                         {"Holdpost-Error", std::string(answer.name)}};
  const Milliseconds retry_after = error.retry_after.value_or(answer.retry_after);
  if (retry_after.count() > 0)
    headers["Retry-After"] = std::to_string((retry_after.count() + 999) / 1000);
  exchange.Reply(answer.http_status, headers, ErrorBody(error));
}
} // namespace Holdpost::Common
