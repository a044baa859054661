// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

#include "Common/HttpServer.h"

// The pages that every daemon has; a stand-in is ready as soon as it listens.
namespace Holdpost::Standin
{
// Answers /healthz, /readyz and /metrics; returns false for any other path. `metrics` is in the
// Prometheus text form.
inline bool AnswerHealth(Common::HttpExchange& exchange, const std::string& metrics)
{
  const std::string& path = exchange.Request().path;
  const bool is_health = path == "/healthz" || path == "/readyz";
  if (!is_health && path != "/metrics")
    return false;
  exchange.Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                 is_health ? "ready\n" : metrics);
  return true;
}
} // namespace Holdpost::Standin
