// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Common/HttpParser.h"
#include "Common/TcpConnection.h"
#include "Core/Gateway/Messages.h"
#include "Peers/Target/HeaderNames.h"
#include "Peers/Target/TargetPool.h"

// Asks a target for its health page, to learn whether the target runs.
namespace Holdpost::TargetPeer
{
class HealthProbe final : private Common::HttpParserSink,
                          public std::enable_shared_from_this<HealthProbe>
{
public:
  // Called once, unless the probe is destroyed before.
  using OnEnded = std::function<void(Gateway::ProbeOutcome outcome)>;

  HealthProbe(TargetPool& pool, const HeaderNames& names)
      : m_pool(pool), m_names(names), m_parser(Common::HttpMessageKind::Answer, *this)
  {
  }
  ~HealthProbe() override;
  HealthProbe(const HealthProbe&) = delete;
  HealthProbe& operator=(const HealthProbe&) = delete;

  void Start(const Gateway::TargetId& target, const Common::Address& address,
             const std::string& path, OnEnded on_ended);

private:
  void OnHead(Common::HttpHead head) override;
  void OnBody(std::string_view /*data*/) override {}
  void OnMessageEnd() override {}

  // The request for the health page.
  std::string RequestText(const Common::Address& address, const std::string& path) const;
  std::size_t OnData(std::string_view data);
  void OnConnectionEnd(Common::ConnectionEnd end);
  void End(Gateway::ProbeOutcome outcome);

  TargetPool& m_pool;
  const HeaderNames& m_names;
  Gateway::TargetId m_target;
  OnEnded m_on_ended;
  std::shared_ptr<Common::TcpConnection> m_connection;
  std::unique_ptr<Common::Watch> m_timer;
  Common::TimePoint m_started{};
  Common::HttpParser m_parser;
  std::size_t m_received_bytes = 0;
  std::optional<Gateway::ProbeOutcome> m_outcome;
};
} // namespace Holdpost::TargetPeer
