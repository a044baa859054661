// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Common/Error.h"
#include "Common/HttpClient.h"
#include "Core/Node/TargetMessages.h"

// The target of an agent's slot, a model engine or a plain service, over HTTP. Its protocol is
// described in docs/ENGINE.md.
namespace Holdpost::EnginePeer
{
struct RunCallbacks
{
  std::function<void(int status, const std::string& content_type, const Common::Digest& version)>
      on_head;
  std::function<void(std::string_view data)> on_chunk;
  // Empty for a whole answer.
  std::function<void(std::optional<Common::Error>)> on_end;
};

class EngineClient
{
public:
  using OrderId = std::uint64_t;

  EngineClient(Common::HttpClient& http, Common::Address target)
      : m_http(http), m_target(std::move(target))
  {
  }

  // Sends the weights, then the order to load them. One at a time; a new one ends the calls of the
  // old one.
  // `may_order` is asked before each call, so that an agent that was paused past its lease gives no
  // order.
  void Load(NodeCore::LoadTarget order, std::function<bool()> may_order,
            std::function<void(Common::Result<std::monostate>)> done);
  void CancelLoad(OrderId id);

  Common::HttpClient::CallId Run(const Runs::RunRequest& request, const RunCallbacks& callbacks);
  void CancelRun(Common::HttpClient::CallId call) { m_http.Cancel(call); }
  // Stops and restarts reading the answer, so that a slow caller holds the engine back instead of
  // filling memory.
  void PauseRun(Common::HttpClient::CallId call) { m_http.Pause(call); }
  void ResumeRun(Common::HttpClient::CallId call) { m_http.Resume(call); }

private:
  struct Loading
  {
    NodeCore::LoadTarget order;
    std::function<bool()> may_order;
    std::size_t next_piece = 0;
    std::size_t next_call = 0;
    std::map<std::size_t, Common::HttpClient::CallId> open_calls;
    std::function<void(Common::Result<std::monostate>)> done;
  };

  bool IsLoading(OrderId id) const { return m_loading && m_loading->order.order == id; }
  void SendMore();
  void SendPart(const std::string& name, const Common::Bytes& data);
  void SendLoad();
  void StartCall(Common::HttpCall call, const std::function<void()>& next);
  void OnReply(const Common::Result<Common::HttpReply>& result, const std::function<void()>& next);
  void Drop();
  void Finish(Common::Result<std::monostate> result);

  Common::HttpClient& m_http;
  Common::Address m_target;
  std::unique_ptr<Loading> m_loading;
};
} // namespace Holdpost::EnginePeer
