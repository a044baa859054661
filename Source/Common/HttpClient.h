// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Error.h"
#include "Common/EventLoop.h"
#include "Common/HttpServer.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

// HTTP calls by evhttp on the loop of the calling task.
namespace Holdpost::Common
{
struct HttpCall
{
  Address to;
  std::string method = "GET";
  std::string path;
  // A `Host` here goes before the address of the peer.
  HttpHeaders headers = {};
  std::string body = {};
  // Ends the call when the peer has neither taken nor sent a byte for this long.
  Milliseconds idle_timeout = Milliseconds(10000);
  // Ends the call when its answer has not ended after this time, though bytes come.
  std::optional<Milliseconds> total_timeout = std::nullopt;
  // Ends the call when the body of its answer is longer.
  std::size_t max_body_bytes = 16 << 20;
  // Set only for calls that may be sent twice: an idle connection may be closed under us.
  bool may_reuse_connection = false;
};

struct HttpReply
{
  int status = 0;
  HttpHeaders headers;
  std::string body; // empty if on_chunk was given
};

struct HttpCallbacks
{
  // Called once, last, unless the call was cancelled. An error if the answer was not whole.
  std::function<void(Result<HttpReply>)> on_done;
  std::function<void(int status, const HttpHeaders& headers)> on_headers = nullptr;
  std::function<void(std::string_view data)> on_chunk = nullptr;
};

class HttpClient
{
public:
  using CallId = std::uint64_t;

  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(HttpCall call, HttpCallbacks callbacks);
  // No callback follows. Does nothing if the call has ended.
  void Cancel(CallId id);
  // Stops and restarts reading the answer; the peer is held back by the kernel's buffers.
  void Pause(CallId id);
  void Resume(CallId id);

private:
  struct Pending;

  static void HandleDone(evhttp_request* raw, void* pending);
  static int HandleHeaders(evhttp_request* raw, void* pending);
  static void HandleChunk(evhttp_request* raw, void* pending);
  static void HandleError(int error, void* pending);
  void Connect(const HttpCall& call, Pending& pending);
  void CloseIdle(const Address& peer);
  void StartTotalTimer(Pending& pending, Milliseconds timeout);
  // Ends the call when its connection brings more bytes, or some that are no answer.
  void WatchInput(Pending& pending, std::size_t max_bytes);
  static void HandleInput(evbuffer* input, const evbuffer_cb_info* info, void* pending);
  // Ends the call without an answer; the peer's address is added to the reason.
  void GiveUp(CallId id, std::string_view reason);
  void Release(Pending& pending, bool may_be_reused);
  void Finish(Pending& pending, evhttp_request* raw);

  EventLoop& m_loop;
  CallId m_next_id = 1;
  std::map<CallId, std::unique_ptr<Pending>> m_pending;
  std::map<Address, std::vector<evhttp_connection*>> m_idle;
  // Done with, to be freed when evhttp is not on the stack any more.
  std::set<evhttp_connection*> m_ending;
};
} // namespace Holdpost::Common
