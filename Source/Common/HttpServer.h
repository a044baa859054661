// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Error.h"
#include "Common/EventLoop.h"

struct evbuffer;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

// HTTP served by libevhtp on the loop of the calling task.
namespace Holdpost::Common
{
// Header names are kept in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;

  std::string Header(const std::string& lower_case_name) const;
};

// One request and its answer. May outlive the connection: calls after the caller has gone do
// nothing.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  HttpExchange(evhtp_request* raw, HttpRequest request);

  const HttpRequest& Request() const { return m_request; }
  // False once the caller has gone or the answer has ended.
  bool IsOpen() const { return m_raw != nullptr && !m_ended; }

  void Reply(int status, const HttpHeaders& headers, std::string_view body);
  // Begins an answer in chunks, or without them to a caller of HTTP/1.0, which knows none.
  void StartStream(int status, const HttpHeaders& headers);
  // Begins an answer with neither a length nor chunks, which ends with its connection.
  void StartUnframed(int status, const HttpHeaders& headers);
  // Begins an answer whose head, framing and end are the caller's own bytes.
  void StartRaw() { m_is_unframed = true; }
  void SendChunk(std::string_view data);
  void EndStream();
  // Sends what is buffered, then closes without the end mark, so that nobody takes the answer for
  // a whole one. Where the close itself is that mark, the connection is reset.
  void Cut();

  // Bytes accepted by SendChunk that the caller has not yet taken off the socket's buffer.
  std::size_t BufferedBytes() const;
  // Called when everything buffered has been handed to the kernel.
  void OnDrained(std::function<void()> callback) { m_on_drained = std::move(callback); }
  // Called if the caller goes away before the answer has ended.
  void OnGone(std::function<void()> callback) { m_on_gone = std::move(callback); }

private:
  friend class HttpServer;
  static std::uint16_t HandleWrite(evhtp_connection* connection, void* self);
  static std::uint16_t HandleFinished(evhtp_request* raw, void* self);
  void AddHeaders(const HttpHeaders& headers);
  void CloseWhenDrained(bool is_reset);
  void CloseNow() const;

  evhtp_request* m_raw;
  HttpRequest m_request;
  bool m_ended = false;
  bool m_is_unframed = false;
  bool m_closes_when_drained = false;
  bool m_is_reset = false; // when it is closed
  std::function<void()> m_on_drained;
  std::function<void()> m_on_gone;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

class HttpServer
{
public:
  struct Limits
  {
    std::size_t body_bytes = 4 << 20;
    Seconds idle = Seconds(75);
  };

  HttpServer(EventLoop& loop, Limits limits, HttpHandler handler);
  // Closes all connections. Exchanges that are still open do nothing from then on, and nobody is
  // told that their callers are gone.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Port 0 lets the kernel choose. Returns the address that is listened on.
  Result<Address> Listen(const Address& address);
  // Takes no new connections; open ones go on.
  void StopListening();

private:
  static void HandleRequest(evhtp_request* raw, void* self);
  static std::uint16_t HandleRead(evhtp_request* raw, evbuffer* data, void* self);
  static std::uint16_t HandleAccepted(evhtp_connection* connection, void* self);
  static std::uint16_t HandleClosed(evhtp_connection* connection, void* self);

  evhtp* m_server;
  Limits m_limits;
  HttpHandler m_handler;
  // libevhtp does not keep count of its connections. Each with its last exchange.
  std::map<evhtp_connection*, std::weak_ptr<HttpExchange>> m_connections;
};

// Answers with the error's row of the table: status, outcome header, Retry-After and JSON body.
void ReplyError(HttpExchange& exchange, const Error& error);
// The JSON body of an error answer; also the data of the last event of a stream that was cut.
std::string ErrorBody(const Error& error);
} // namespace Holdpost::Common
