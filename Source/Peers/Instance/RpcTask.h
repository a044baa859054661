// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <future>
#include <thread>

#include "Common/Error.h"
#include "Common/Mailbox.h"
#include "Peers/Instance/Mail.h"

// The task that owns the RPC sockets to and from other instances: one thread with a KJ loop.
namespace Holdpost::InstancePeer
{
class RpcTask
{
public:
  RpcTask() = default;
  ~RpcTask();
  RpcTask(const RpcTask&) = delete;
  RpcTask& operator=(const RpcTask&) = delete;

  // Starts the thread and listens. Port 0 lets the kernel choose; returns the address in use.
  Common::Result<Common::Address> Start(const Common::Address& listen);
  void Stop();

  void Post(ToRpc message) { m_inbox.Post(std::move(message)); }
  // What the task says; to be drained by the owner of the decisions.
  Common::Mailbox<FromRpc>& Outbox() { return m_outbox; }

private:
  void Run(const Common::Address& listen, std::promise<Common::Result<Common::Address>>& listening);

  Common::Mailbox<ToRpc> m_inbox;
  Common::Mailbox<FromRpc> m_outbox;
  std::thread m_thread;
};
} // namespace Holdpost::InstancePeer
