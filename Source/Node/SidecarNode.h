// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Common/EventLoop.h"
#include "Common/Metrics.h"
#include "Core/Control/ControlFollower.h"
#include "Core/Sidecar/Sidecar.h"
#include "Node/GatewayConfig.h"
#include "Node/Reload.h"
#include "Peers/Control/ControlPlane.h"
#include "Peers/Control/EngineControl.h"
#include "Peers/Mesh/MeshEndpoint.h"
#include "Peers/Operator/AdminPages.h"

// Runs a sidecar: one loop that carries out what its decisions say.
namespace Holdpost::Node
{
class SidecarNode
{
public:
  SidecarNode(Common::EventLoop& loop, const SidecarConfig& config,
              ControlPeer::ControlPlane& control, ControlPeer::EngineControl& engine);
  ~SidecarNode();
  SidecarNode(const SidecarNode&) = delete;
  SidecarNode& operator=(const SidecarNode&) = delete;

  int Run();

private:
  bool Listen();
  // The /status page.
  std::string Status() const;
  template <typename Event>
  void Feed(Event event);
  void Carry(Sidecar::Actions& actions);
  void Do(const Sidecar::ReadReport& read);
  void Do(const Sidecar::ReadIdentity& read);
  void Do(const Sidecar::ListStaged& list);
  void Do(const Sidecar::ReadStaged& read);
  void Do(const Sidecar::StagePiece& stage);
  void Do(const Sidecar::LoadStagedWeights& start);
  void Do(const Sidecar::FetchFromOrigin& fetch);
  void Do(const Sidecar::CancelOriginFetch& cancel);
  void Do(const Sidecar::SendMessage& tell);
  void FollowControl();
  void ApplyControl();
  // Takes over changed settings; bad ones change nothing.
  void Reload(ReloadTrigger trigger);
  void Tick();
  void ScheduleTick();

  Common::EventLoop& m_loop;
  SidecarConfig m_config;
  ControlPeer::ControlPlane& m_control;
  ControlPeer::EngineControl& m_engine;
  Common::Metrics m_metrics;
  MeshPeer::MeshEndpoint m_mesh;
  Control::ControlFollower m_follower;
  std::unique_ptr<Sidecar::Sidecar> m_core;
  std::unique_ptr<OperatorPeer::AdminPages> m_admin;
  std::map<Distribution::FetchId, ControlPeer::EngineControl::CallId> m_origin_calls;
  std::unique_ptr<Common::Watch> m_tick_timer;
  std::vector<std::unique_ptr<Common::Watch>> m_signals;
  Common::TimePoint m_tick_due{};
  Common::TimePoint m_housekeeping_due{};
  FileWatch m_config_file;
};
} // namespace Holdpost::Node
