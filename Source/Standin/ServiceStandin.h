// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Common/HttpServer.h"
#include "Common/YamlReader.h"

// Takes a plain service's place: answers with what it was asked, and counts runs by request.
namespace Holdpost::Standin
{
struct ServiceConfig
{
  Common::Address listen;
  Common::Milliseconds answer_time{0};
};

std::variant<ServiceConfig, Common::Problems> ReadServiceConfig(const std::string& file);

class ServiceStandin
{
public:
  ServiceStandin(Common::EventLoop& loop, ServiceConfig config);
  Common::Result<Common::Address> Listen() { return m_server.Listen(m_config.listen); }

private:
  void Handle(const std::shared_ptr<Common::HttpExchange>& exchange);

  Common::EventLoop& m_loop;
  ServiceConfig m_config;
  Common::HttpServer m_server;
  std::map<std::string, int> m_runs;
};
} // namespace Holdpost::Standin
