// SPDX-License-Identifier: Apache-2.0
#include "Peers/Engine/EngineClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/HttpParser.h"

namespace Holdpost::EnginePeer
{
using Common::Error;
using Common::ErrorKind;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Result;
using nlohmann::json;

static constexpr std::size_t PARTS_AT_ONCE = 4;
static constexpr Milliseconds ORDER_TIMEOUT = Milliseconds(120000);
static constexpr Milliseconds RUN_IDLE_TIMEOUT = Milliseconds(60000);

static Common::HttpHeaders OrderHeaders(const NodeCore::LoadTarget& order)
{
  return {{"Holdpost-Fence", std::to_string(order.fence.claim)},
          {"Holdpost-Settings", std::to_string(order.fence.settings)},
          {"Holdpost-Order", std::to_string(order.order)}};
}

void EngineClient::Load(NodeCore::LoadTarget order, std::function<bool()> may_order,
                        std::function<void(Result<std::monostate>)> done)
{
  Drop();
  m_loading = std::make_unique<Loading>();
  m_loading->order = std::move(order);
  m_loading->may_order = std::move(may_order);
  m_loading->done = std::move(done);
  if (m_loading->order.is_check)
    SendLoad();
  else
    SendPart("manifest", m_loading->order.manifest);
}

void EngineClient::CancelLoad(OrderId id)
{
  if (IsLoading(id))
    Drop();
}

void EngineClient::Drop()
{
  const auto dropped = std::move(m_loading);
  if (!dropped)
    return;
  for (const auto& [key, call] : dropped->open_calls)
    m_http.Cancel(call);
}

void EngineClient::Finish(Result<std::monostate> result)
{
  const auto done = std::move(m_loading->done);
  Drop();
  done(std::move(result));
}

void EngineClient::StartCall(Common::HttpCall call, const std::function<void()>& next)
{
  call.to = m_target;
  call.headers = OrderHeaders(m_loading->order);
  call.idle_timeout = ORDER_TIMEOUT;
  const OrderId order = m_loading->order.order;
  const std::size_t key = m_loading->next_call++;
  m_loading->open_calls[key] = 0;
  const auto on_done = [this, order, key, next](const Result<HttpReply>& result)
  {
    if (!IsLoading(order))
      return;
    m_loading->open_calls.erase(key);
    OnReply(result, next);
  };
  const Common::HttpClient::CallId id = m_http.Start(std::move(call), {on_done});
  // A call may end before Start returns.
  if (IsLoading(order) && m_loading->open_calls.contains(key))
    m_loading->open_calls[key] = id;
}

void EngineClient::OnReply(const Result<HttpReply>& result, const std::function<void()>& next)
{
  if (const auto* error = std::get_if<Error>(&result))
    return Finish(*error);
  const int status = std::get<HttpReply>(result).status;
  if (status == 409)
    return Finish(Error{ErrorKind::Fenced, "the engine has seen a newer order"});
  if (status >= 400 && status < 500)
    return Finish(Error{ErrorKind::TargetRefused, fmt::format("the engine answered {}", status)});
  if (status != 200)
    return Finish(Error{ErrorKind::TargetFailed, fmt::format("the engine answered {}", status)});
  next();
}

void EngineClient::SendPart(const std::string& name, const Common::Bytes& data)
{
  if (!m_loading->may_order())
    return Finish(Error{ErrorKind::Fenced, "the lease on the target has lapsed"});
  Common::HttpCall call;
  call.method = "PUT";
  call.path = fmt::format("/weights/{}/{}", m_loading->order.version.ToHex(), name);
  call.body = *data;
  call.may_reuse_connection = true;
  StartCall(std::move(call), [this] { SendMore(); });
}

void EngineClient::SendMore()
{
  while (m_loading && m_loading->open_calls.size() < PARTS_AT_ONCE &&
         m_loading->next_piece < m_loading->order.pieces.size())
  {
    const std::size_t piece = m_loading->next_piece++;
    SendPart(fmt::format("pieces/{}", piece), m_loading->order.pieces[piece]);
  }
  if (m_loading && m_loading->open_calls.empty())
    SendLoad();
}

void EngineClient::SendLoad()
{
  if (!m_loading->may_order())
    return Finish(Error{ErrorKind::Fenced, "the lease on the target has lapsed"});
  Common::HttpCall call;
  call.method = "POST";
  call.path = "/orders/load";
  call.body =
      json{{"model", m_loading->order.model}, {"version", m_loading->order.version.ToHex()}}.dump();
  StartCall(std::move(call), [this] { Finish(std::monostate{}); });
}

Common::HttpClient::CallId EngineClient::Run(const Runs::RunRequest& request,
                                             const RunCallbacks& callbacks)
{
  Common::HttpCall call;
  call.to = m_target;
  call.method = request.method;
  call.path = request.path;
  call.body = request.body;
  call.idle_timeout = RUN_IDLE_TIMEOUT;
  call.max_body_bytes = Common::HttpParserLimits().body_bytes;
  if (!request.content_type.empty())
    call.headers["Content-Type"] = request.content_type;
  call.headers["Holdpost-Request"] =
      fmt::format("{}.{}.{}", request.key.entry, request.key.incarnation, request.key.number);
  call.headers["Holdpost-Organisation"] = request.organisation;
  call.headers["Holdpost-Priority"] = std::to_string(request.priority);
  Common::HttpCallbacks http;
  http.on_headers = [on_head = callbacks.on_head](int status, const Common::HttpHeaders& headers)
  {
    const auto type = headers.find("content-type");
    const auto version = headers.find("holdpost-version");
    const auto digest =
        version == headers.end() ? std::nullopt : Common::DigestFromHex(version->second);
    on_head(status, type == headers.end() ? "" : type->second, digest.value_or(Common::Digest()));
  };
  http.on_chunk = callbacks.on_chunk;
  http.on_done = [on_end = callbacks.on_end](const Result<HttpReply>& result)
  {
    if (const auto* error = std::get_if<Error>(&result))
      on_end(Error{ErrorKind::TargetFailed, error->message});
    else
      on_end(std::nullopt);
  };
  return m_http.Start(std::move(call), std::move(http));
}
} // namespace Holdpost::EnginePeer
