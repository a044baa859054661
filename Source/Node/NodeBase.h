// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>

#include "Common/EventLoop.h"
#include "Common/HttpClient.h"
#include "Common/Metrics.h"
#include "Core/Membership/Membership.h"
#include "Core/Settings/Effective.h"
#include "Node/NodeConfig.h"
#include "Node/SettingsFollower.h"
#include "Peers/Instance/RpcTask.h"
#include "Peers/Operator/AdminPages.h"
#include "Peers/Platform/PlatformClient.h"

// What entries and agents share: the settings, the view of the other instances, the reports to them
// and the pages for operators. Runs the task that owns the decisions.
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
  NodeBase(NodeConfig config, Membership::Role role);

  // The daemon's own addresses, as "name=IP:port", once it listens; for the line on standard
  // output.
  virtual Common::Result<std::string> Listen() = 0;
  virtual void OnSettings() = 0;
  virtual void OnLogRead(Common::TimePoint sent);
  virtual void OnMembership() {}
  virtual void OnTick(Common::TimePoint now) = 0;
  virtual void OnRpc(InstancePeer::FromRpc message) = 0;
  virtual void OnPeerUnreachable(const std::string& instance);
  virtual void FillReport(Membership::Report& report) = 0;
  // What the report to one receiver says on top.
  virtual void FillReportTo(const std::string& receiver, Membership::Report& report);
  virtual void OnPeerReport(const Membership::Report& report);
  virtual std::string NotReadyReason() const = 0;
  virtual std::string StatusJson() const = 0;
  virtual void RefreshMetrics(Common::Metrics& metrics);
  // First request to stop: take no new work. Call Quit when nothing runs any more.
  virtual void OnLeave() = 0;
  void Quit();
  // Sends reports now instead of at the next period, as when credits are withdrawn.
  void ReportNow();
  // Reads the platform's list now; OnMembership follows if it can be read.
  void RefreshInstanceList();

  const NodeConfig& Config() const { return m_config; }
  const Settings::Tree& Tree() const { return m_follower->Fold().AcceptedTree(); }
  // The settings in force for the hall.
  const Settings::Effective& HallSettings() const { return m_hall_settings; }
  bool IsLeaving() const { return m_is_leaving; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  Common::TimePoint Now() const { return Common::EventLoop::Now(); }

  Common::EventLoop m_loop;
  Common::Metrics m_metrics;
  Common::HttpClient m_http;
  PlatformPeer::PlatformClient m_platform;
  Membership::Membership m_membership;
  InstancePeer::RpcTask m_rpc;
  std::unique_ptr<SettingsFollower> m_follower;
  Common::Address m_address;

private:
  Membership::Report MakeReport();
  void SendReports();
  std::vector<const Membership::Member*> ReportReceivers() const;
  void ReadInstanceList();
  void HandleRpc();
  void HandleShared(InstancePeer::FromRpc message);
  void TakeReport(const Membership::Report& report);
  void HandleStopSignal();
  void HandleFolded();
  void Tick();

  NodeConfig m_config;
  Membership::Role m_role;
  std::uint64_t m_incarnation;
  Settings::Effective m_hall_settings;
  std::unique_ptr<OperatorPeer::AdminPages> m_admin;
  std::unique_ptr<Common::Watch> m_rpc_watch;
  std::unique_ptr<Common::Watch> m_report_timer;
  std::unique_ptr<Common::Watch> m_list_timer;
  std::unique_ptr<Common::Watch> m_tick_timer;
  std::vector<std::unique_ptr<Common::Watch>> m_signals;
  bool m_is_leaving = false;
  Common::TimePoint m_leave_deadline{};
  int m_exit_code = 0;
  std::uint64_t m_list_read = 0; // the newest read that was sent
  bool m_is_fetching_records = false;
};
} // namespace Holdpost::Node
