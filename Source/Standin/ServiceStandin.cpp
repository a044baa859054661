// SPDX-License-Identifier: Apache-2.0
#include "Standin/ServiceStandin.h"

#include <nlohmann/json.hpp>

#include "Standin/HealthPages.h"

namespace Holdpost::Standin
{
using Common::Problems;
using nlohmann::json;

static const Common::HttpHeaders JSON_TYPE = {{"Content-Type", "application/json"}};

std::variant<ServiceConfig, Problems> ReadServiceConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  Common::YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  ServiceConfig config;
  config.listen = reader.ReadAddress("listen", true, true);
  config.answer_time = Common::Milliseconds(reader.Integer("answer_ms", 0, 0, 600000));
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

ServiceStandin::ServiceStandin(Common::EventLoop& loop, ServiceConfig config)
    : m_loop(loop), m_config(std::move(config)),
      m_server(loop, Common::HttpServer::Limits{},
               [this](const std::shared_ptr<Common::HttpExchange>& exchange) { Handle(exchange); })
{
}

void ServiceStandin::Handle(const std::shared_ptr<Common::HttpExchange>& exchange)
{
  const auto& request = exchange->Request();
  if (AnswerHealth(*exchange, "standin_runs_total " + std::to_string(m_runs.size()) + "\n"))
    return;
  if (request.path == "/stats")
  {
    json runs = json::object();
    for (const auto& [name, count] : m_runs)
      runs[name] = count;
    return exchange->Reply(200, JSON_TYPE, json{{"runs", runs}}.dump());
  }
  const std::string name = request.Header("holdpost-request");
  ++m_runs[name];
  const json answer = {{"method", request.method},
                       {"path", request.path},
                       {"organisation", request.Header("holdpost-organisation")},
                       {"request", name},
                       {"body", request.body}};
  m_loop.After(m_config.answer_time,
               [exchange, text = answer.dump()] { exchange->Reply(200, JSON_TYPE, text); });
}
} // namespace Holdpost::Standin
