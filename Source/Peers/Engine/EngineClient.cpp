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

static Common::HttpHeaders FenceHeaders(const NodeCore::Fence& fence)
{
  return {{"Holdpost-Fence", std::to_string(fence.claim)},
          {"Holdpost-Settings", std::to_string(fence.settings)}};
}

void EngineClient::Load(NodeCore::LoadTarget order, std::function<bool()> may_order,
                        std::function<void(Result<std::monostate>)> done)
{
  m_loading = std::make_unique<Loading>();
  m_loading->order = std::move(order);
  m_loading->may_order = std::move(may_order);
  m_loading->done = std::move(done);
  SendPart("manifest", m_loading->order.manifest);
}

void EngineClient::CancelLoad(OrderId id)
{
  if (m_loading && m_loading->order.order == id)
    m_loading.reset();
}

void EngineClient::Finish(Result<std::monostate> result)
{
  const auto loading = std::move(m_loading);
  loading->done(std::move(result));
}

void EngineClient::OnReply(OrderId id, const Result<HttpReply>& result,
                           const std::function<void()>& next)
{
  if (!m_loading || m_loading->order.order != id)
    return;
  --m_loading->outstanding;
  if (const auto* error = std::get_if<Error>(&result))
    return Finish(*error);
  const int status = std::get<HttpReply>(result).status;
  if (status == 409)
    return Finish(Error{ErrorKind::Fenced, "the engine has seen a newer order"});
  if (status != 200)
    return Finish(Error{ErrorKind::TargetFailed, fmt::format("the engine answered {}", status)});
  next();
}

void EngineClient::SendPart(const std::string& name, const Common::Bytes& data)
{
  if (!m_loading->may_order())
    return Finish(Error{ErrorKind::Fenced, "the lease on the target has lapsed"});
  Common::HttpCall call;
  call.to = m_target;
  call.method = "PUT";
  call.path = fmt::format("/weights/{}/{}", m_loading->order.version.ToHex(), name);
  call.headers = FenceHeaders(m_loading->order.fence);
  call.body = *data;
  call.idle_timeout = ORDER_TIMEOUT;
  call.may_reuse_connection = true;
  ++m_loading->outstanding;
  const OrderId id = m_loading->order.order;
  m_http.Start(std::move(call), {[this, id](const Result<HttpReply>& result)
                                 { OnReply(id, result, [this] { SendMore(); }); }});
}

void EngineClient::SendMore()
{
  while (m_loading && m_loading->outstanding < PARTS_AT_ONCE &&
         m_loading->next_piece < m_loading->order.pieces.size())
  {
    const std::size_t piece = m_loading->next_piece++;
    SendPart(fmt::format("pieces/{}", piece), m_loading->order.pieces[piece]);
  }
  if (m_loading && m_loading->outstanding == 0)
    SendLoad();
}

void EngineClient::SendLoad()
{
  if (!m_loading->may_order())
    return Finish(Error{ErrorKind::Fenced, "the lease on the target has lapsed"});
  Common::HttpCall call;
  call.to = m_target;
  call.method = "POST";
  call.path = "/orders/load";
  call.headers = FenceHeaders(m_loading->order.fence);
  call.body =
      json{{"model", m_loading->order.model}, {"version", m_loading->order.version.ToHex()}}.dump();
  call.idle_timeout = ORDER_TIMEOUT;
  ++m_loading->outstanding;
  const OrderId id = m_loading->order.order;
  m_http.Start(std::move(call), {[this, id](const Result<HttpReply>& result)
                                 { OnReply(id, result, [this] { Finish(std::monostate{}); }); }});
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
