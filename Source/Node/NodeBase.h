// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Common/EventLoop.h"
#include "Common/HttpClient.h"
#include "Common/Metrics.h"
#include "Core/Node/Base.h"
#include "Node/NodeConfig.h"
#include "Peers/Instance/RpcTask.h"
#include "Peers/Operator/AdminPages.h"
#include "Peers/Platform/PlatformClient.h"

// Runs the task that owns the decisions of a daemon: turns what happens into events for them, and
// carries their actions out.
namespace Holdpost::Node
{
class NodeBase
{
public:
  virtual ~NodeBase();
  NodeBase(const NodeBase&) = delete;
  NodeBase& operator=(const NodeBase&) = delete;

  // Listens and runs until it has left; the exit code of the process.
  int Run();

protected:
  explicit NodeBase(NodeConfig config);

  static Common::TimePoint Now() { return Common::EventLoop::Now(); }
  NodeCore::Identity MakeIdentity() const;
  // Gives the event to the decisions and carries out what they answer.
  void Feed(NodeCore::Event event);

  virtual NodeCore::Base& Core() = 0;
  // Listens on the daemon's own addresses; " name=IP:port" for the line on standard output.
  virtual Common::Result<std::string> Listen() = 0;
  virtual std::string StatusJson() const = 0;
  virtual void RefreshMetrics() = 0;
  // Actions and messages that only one role knows.
  virtual void DoOwn(NodeCore::Action& action) = 0;
  virtual void OnOwnRpc(InstancePeer::FromRpc& message) = 0;
  virtual void OnLeaving() {}

  Common::EventLoop m_loop;
  Common::Metrics m_metrics;
  Common::HttpClient m_http;
  PlatformPeer::PlatformClient m_platform;
  InstancePeer::RpcTask m_rpc;

private:
  void Carry(NodeCore::Actions actions);
  void Do(NodeCore::Action& action);
  void DoPlatform(NodeCore::ReadLog& read);
  void DoPlatform(NodeCore::AppendRecord& append);
  void DoPlatform(NodeCore::ReadList& read);
  void DoPlatform(NodeCore::FetchFromPlatform& fetch);
  void CancelFetch(const NodeCore::CancelFetch& cancel);
  void HandleRpc();
  void HandleStopSignal();
  void Tick();
  void ScheduleTick();

  NodeConfig m_config;
  std::uint64_t m_incarnation;
  std::unique_ptr<OperatorPeer::AdminPages> m_admin;
  std::unique_ptr<Common::Watch> m_rpc_watch;
  std::unique_ptr<Common::Watch> m_tick_timer;
  Common::TimePoint m_tick_due{};
  std::vector<std::unique_ptr<Common::Watch>> m_signals;
  std::map<Distribution::FetchId, Common::HttpClient::CallId> m_origin_calls;
  int m_exit_code = 0;
};
} // namespace Holdpost::Node
