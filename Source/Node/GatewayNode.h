// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "Common/EventLoop.h"
#include "Common/HttpServer.h"
#include "Common/Metrics.h"
#include "Common/TcpConnection.h"
#include "Common/UnreadFields.h"
#include "Core/Gateway/Gateway.h"
#include "Core/Gateway/StopPlan.h"
#include "Node/CallerMemory.h"
#include "Node/GatewayConfig.h"
#include "Node/GatewayControl.h"
#include "Node/Reload.h"
#include "Peers/Caller/CallerConnection.h"
#include "Peers/Operator/AdminPages.h"
#include "Peers/Target/HealthProbe.h"
#include "Peers/Target/TargetCall.h"
#include "Peers/Target/TargetPool.h"

// Runs a gateway: one loop that carries callers' requests to targets as the decisions say.
namespace Holdpost::Node
{
class GatewayNode
{
public:
  GatewayNode(Common::EventLoop& loop, const GatewayConfig& config,
              ControlPeer::ControlPlane& control, TargetPeer::HeaderNames names);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  // Listens and runs until the process is to end; returns its exit code.
  int Run();

private:
  struct Exchange
  {
    std::shared_ptr<CallerPeer::CallerConnection> caller;
    std::shared_ptr<TargetPeer::TargetCall> call;
    // The head of an answer has gone to the caller.
    bool has_begun = false;
    // Of the present attempt.
    Common::HttpHead answer;
    bool is_whole = false;
    std::string body; // of an answer that is passed on whole
  };

  bool Listen();
  bool IsReady() const;
  // The /status page.
  std::string Status();
  void OnAccepted(int fd);
  void OnRequest(const std::shared_ptr<CallerPeer::CallerConnection>& caller);
  void OnCallerLeft(Gateway::RequestNumber number);
  void OnAnswerHead(Gateway::RequestNumber number, const Common::HttpHead& head, bool is_foreign);
  void OnAnswer(Gateway::RequestNumber number, const Common::HttpHead& head, bool is_whole);
  void OnBody(Gateway::RequestNumber number, std::string_view data);
  void OnCallEnded(Gateway::RequestNumber number);
  void OnCallFailed(Gateway::RequestNumber number, TargetPeer::CallFailure failure);

  template <typename Event>
  void Feed(Event event);
  void Carry(Gateway::Actions& actions);
  void Do(const Gateway::Dispatch& dispatch);
  void Do(const Gateway::PassAnswer& pass);
  // Logs an attempt that its target has not answered for long.
  void LogUnanswered(const TargetPeer::TargetCall& call);
  void Do(const Gateway::CancelAttempt& cancel);
  void Do(const Gateway::Refuse& refuse);
  void Do(const Gateway::AbortAnswer& abort);
  void Do(const Gateway::ReportWorkToAgent& tell);
  void Do(const Gateway::ReportLimitToAgent& tell);
  void Do(const Gateway::ReportLeaving& tell);
  void Do(const Gateway::RecallConnecting& recall);
  void Do(const Gateway::EndClosedAnswer& end);
  void Do(const Gateway::ProbeTarget& probe);
  // The header lines of a refusal.
  std::string RefusalFields(const Common::HttpHead& request, const Common::Error& error) const;
  // Refuses a request that is not whole.
  void RefusePartial(CallerPeer::CallerConnection& caller, const Common::Error& error) const;
  // The process stops: the request is not read to its end.
  void RefuseUpload(CallerPeer::CallerConnection& caller);
  // The exchange, given up: the caller may send its next request.
  Exchange Take(Gateway::RequestNumber number);

  GatewayControl::Handlers ControlHandlers();
  void OnDocument(const std::shared_ptr<const Settings::Document>& document);

  // Takes over changed settings; bad ones change nothing.
  void Reload(ReloadTrigger trigger);
  void HandleStopSignal();
  void CheckStop();
  // Answers that have ended and of which callers have yet to take bytes.
  std::size_t UnsentAnswers() const;
  // Notices that the process has stood still, by the time since its last call.
  void CheckStall(Common::TimePoint now);
  // The present time, once it is known whether the process has stood still. Everything that may
  // send a request takes its time from here.
  Common::TimePoint CheckedNow();
  // Sends what has waited since the process stood still.
  void EndHold();
  void Tick();
  void ScheduleTick();

  Common::EventLoop& m_loop;
  GatewayConfig m_config;
  TargetPeer::HeaderNames m_names;
  Common::KnownFields m_known_answer_fields;
  Common::Metrics m_metrics;
  Gateway::Gateway m_core;
  CallerMemory m_memory;
  GatewayControl m_control;
  TargetPeer::TargetPool m_pool;
  Common::TcpListener m_listener;
  Common::HttpServer m_ready_server;
  std::unique_ptr<OperatorPeer::AdminPages> m_admin;
  CallerPeer::CallerConnectionLimits m_limits;
  std::map<CallerPeer::CallerConnection*, std::shared_ptr<CallerPeer::CallerConnection>> m_callers;
  std::unordered_map<Gateway::RequestNumber, Exchange> m_exchanges;
  std::map<Gateway::TargetId, std::shared_ptr<TargetPeer::HealthProbe>> m_probes;
  Gateway::RequestNumber m_next_number = 1;
  std::unique_ptr<Common::Watch> m_tick_timer;
  std::vector<std::unique_ptr<Common::Watch>> m_signals;
  Common::TimePoint m_tick_due{};
  Common::TimePoint m_housekeeping_due{};
  Common::TimePoint m_checked_at{};
  Gateway::StopPlan m_stop;
  FileWatch m_config_file;
  int m_exit_code = 0;
};
} // namespace Holdpost::Node
