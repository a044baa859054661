// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>

#include "Common/HttpServer.h"
#include "Core/Node/Entry.h"
#include "Node/NodeBase.h"

// The process on an entry instance: callers' HTTP on one side, targets on the other.
namespace Holdpost::Node
{
class EntryNode final : public NodeBase
{
public:
  explicit EntryNode(const EntryConfig& config);

private:
  struct OpenAnswer
  {
    std::shared_ptr<Common::HttpExchange> exchange;
    bool is_event_stream = false;
  };

  NodeCore::Base& Core() override { return m_core; }
  Common::Result<std::string> Listen() override;
  std::string StatusJson() const override;
  void RefreshMetrics() override;
  void DoOwn(NodeCore::Action& action) override;
  void OnOwnRpc(InstancePeer::FromRpc& /*message*/) override {}
  void OnLeaving() override;

  void OnCaller(const std::shared_ptr<Common::HttpExchange>& exchange);
  void Start(const NodeCore::StartAnswer& start);
  void Pass(const NodeCore::PassPart& part);
  void End(std::uint64_t number);
  void Cut(const NodeCore::CutAnswer& cut);
  void Refuse(const NodeCore::RefuseCaller& refuse);
  // The answer's place, given up: whatever comes later for the number finds nothing.
  OpenAnswer Take(std::uint64_t number);

  Common::Address m_caller_listen;
  NodeCore::Entry m_core;
  Common::HttpServer m_server;
  std::uint64_t m_next_number = 1;
  std::map<std::uint64_t, OpenAnswer> m_open;
};
} // namespace Holdpost::Node
