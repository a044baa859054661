// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/HttpServer.h"
#include "Common/Metrics.h"

// What operators can look at in every daemon: /metrics, /healthz, /readyz and /status.
namespace Holdpost::OperatorPeer
{
struct AdminSource
{
  // Brings gauges up to date before they are shown.
  std::function<void(Common::Metrics&)> refresh;
  // Empty if the daemon is ready, else the reason why not.
  std::function<std::string()> not_ready_reason;
  // JSON.
  std::function<std::string()> status;
};

class AdminPages
{
public:
  AdminPages(Common::EventLoop& loop, Common::Metrics& metrics, AdminSource source);
  Common::Result<Common::Address> Listen(const Common::Address& address);

private:
  void Handle(Common::HttpExchange& exchange);

  Common::Metrics& m_metrics;
  AdminSource m_source;
  Common::HttpServer m_server;
};
} // namespace Holdpost::OperatorPeer
