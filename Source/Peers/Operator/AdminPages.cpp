// SPDX-License-Identifier: Apache-2.0
#include "Peers/Operator/AdminPages.h"

namespace Holdpost::OperatorPeer
{
AdminPages::AdminPages(Common::EventLoop& loop, Common::Metrics& metrics, AdminSource source)
    : m_metrics(metrics), m_source(std::move(source)),
      m_server(loop, Common::HttpServer::Limits{},
               [this](const std::shared_ptr<Common::HttpExchange>& exchange) { Handle(*exchange); })
{
}

Common::Result<Common::Address> AdminPages::Listen(const Common::Address& address)
{
  return m_server.Listen(address);
}

void AdminPages::Handle(Common::HttpExchange& exchange)
{
  const std::string& path = exchange.Request().path;
  const Common::HttpHeaders text = {{"Content-Type", "text/plain; charset=utf-8"}};
  if (path == "/healthz")
    return exchange.Reply(200, text, "alive\n");
  if (path == "/readyz")
  {
    const std::string reason = m_source.not_ready_reason();
    return exchange.Reply(reason.empty() ? 200 : 503, text,
                          reason.empty() ? "ready\n" : reason + "\n");
  }
  if (path == "/metrics")
  {
    m_source.refresh(m_metrics);
    return exchange.Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.Render());
  }
  if (path == "/status")
    return exchange.Reply(200, {{"Content-Type", "application/json"}}, m_source.status() + "\n");
  ReplyError(exchange, {Common::ErrorKind::NotFound, "there is no such page"});
}
} // namespace Holdpost::OperatorPeer
