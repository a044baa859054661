// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/BufferAccount.h"
#include "Common/EventLoop.h"
#include "Common/TcpConnection.h"

// Kept connections to targets. They belong to one start of a target: an address that another target
// has taken over gets new ones.
namespace Holdpost::TargetPeer
{
class TargetPool
{
public:
  explicit TargetPool(Common::EventLoop& loop) : m_loop(loop) {}
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  struct Lease
  {
    std::shared_ptr<Common::TcpConnection> connection;
    bool is_reused = false;
  };

  // An idle connection to the target, or a new one that may still be connecting.
  Lease Acquire(const std::string& target, const Common::Address& address, bool may_reuse);
  // Takes back a connection on which nothing is open, to be used again for at most `idle_most`.
  void Release(const std::string& target, std::shared_ptr<Common::TcpConnection> connection,
               Common::Milliseconds idle_most);
  // Closes idle connections of targets that are not in use any more.
  void Forget(const std::string& target);
  // Closes connections that were idle for too long.
  void CloseExpired(Common::TimePoint now);
  std::size_t Opened() const { return m_opened; }
  // What all calls to the target hold of answers that cannot be passed on yet.
  std::shared_ptr<Common::BufferAccount> HeldAnswersOf(const std::string& target);
  Common::EventLoop& Loop() { return m_loop; }

private:
  struct Idle
  {
    std::shared_ptr<Common::TcpConnection> connection;
    Common::TimePoint expires{};
  };

  void Drop(const std::string& target, const Common::TcpConnection* connection);

  Common::EventLoop& m_loop;
  std::map<std::string, std::vector<Idle>> m_idle;
  // Expired for targets without calls.
  std::map<std::string, std::weak_ptr<Common::BufferAccount>> m_held_answers;
  std::size_t m_opened = 0;
};
} // namespace Holdpost::TargetPeer
