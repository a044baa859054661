// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>

#include "Common/HttpServer.h"
#include "Core/Routing/Router.h"
#include "Core/Runs/Runs.h"
#include "Node/NodeBase.h"
#include "Peers/Caller/CallerRequest.h"

// The process at an entry instance: takes callers' requests, decides on each and carries the
// answers back.
namespace Holdpost::Node
{
class EntryNode final : public NodeBase
{
public:
  explicit EntryNode(EntryConfig config);

private:
  // A caller's request from its arrival to the end of its answer.
  struct OpenRequest
  {
    std::shared_ptr<Common::HttpExchange> exchange;
    Runs::RunRequest run;
    std::string target;
    Common::TimePoint arrived{};
    bool has_head = false;
    bool is_event_stream = false;
    std::size_t answer_bytes = 0;
    std::size_t answer_bytes_most = 0;
  };

  Common::Result<std::string> Listen() override;
  void OnSettings() override;
  void OnMembership() override;
  void OnTick(Common::TimePoint now) override;
  void OnRpc(InstancePeer::FromRpc message) override;
  void OnPeerUnreachable(const std::string& instance) override;
  void FillReport(Membership::Report& report) override;
  void FillReportTo(const std::string& receiver, Membership::Report& report) override;
  void OnPeerReport(const Membership::Report& report) override;
  std::string NotReadyReason() const override;
  std::string StatusJson() const override;
  void RefreshMetrics(Common::Metrics& metrics) override;
  void OnLeave() override;

  void OnCaller(const std::shared_ptr<Common::HttpExchange>& exchange);
  std::optional<Common::Error> Admit(const std::shared_ptr<Common::HttpExchange>& exchange,
                                     const CallerPeer::CallerRequest& request);
  void OnCallerGone(std::uint64_t number);
  void RefuseAtOnce(Common::HttpExchange& exchange, const Common::Error& error);

  void Carry(Routing::Actions actions);
  void Do(const Routing::Dispatch& action);
  void Do(const Routing::Refuse& action);
  void Do(const Routing::CancelRun& action);
  void Do(const Routing::CountRetry& action);

  void OnHead(const InstancePeer::RunHead& head);
  void OnChunk(const InstancePeer::RunChunk& chunk);
  void OnRunEnded(const InstancePeer::RunEnded& ended);
  void OnBarAnswered(const InstancePeer::BarAnswered& answered);
  void OnRunFailed(std::uint64_t number, const Common::Error& error);
  void CutAnswer(std::uint64_t number, const Common::Error& error);
  void FinishRequest(std::uint64_t number);
  void UpdateTarget(const Membership::Report& report);

  EntryConfig m_config;
  Common::HttpServer m_server;
  Routing::Router m_router;
  std::uint64_t m_next_number = 1;
  std::map<std::uint64_t, OpenRequest> m_open;
};
} // namespace Holdpost::Node
