// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/TargetPool.h"

#include <algorithm>

namespace Holdpost::TargetPeer
{
using Common::Milliseconds;
using Common::TcpConnection;

static constexpr Milliseconds CONNECT_TIMEOUT = Milliseconds(400);
// A target that leaves our bytes unacknowledged for so long is taken for lost.
static constexpr Milliseconds SILENCE_MOST = Milliseconds(1500);
static constexpr std::size_t IDLE_PER_TARGET = 32;

TargetPool::~TargetPool()
{
  for (auto& [target, connections] : m_idle)
  {
    for (Idle& idle : connections)
      idle.connection->Close();
  }
}

TargetPool::Lease TargetPool::Acquire(const std::string& target, const Common::Address& address,
                                      bool may_reuse)
{
  const auto found = m_idle.find(target);
  if (may_reuse && found != m_idle.end() && !found->second.empty())
  {
    // The one used last has the best chance that the target still keeps it.
    Idle idle = std::move(found->second.back());
    found->second.pop_back();
    idle.connection->SetHandlers({});
    return {std::move(idle.connection), true};
  }
  ++m_opened;
  return {TcpConnection::Connect(m_loop, address, CONNECT_TIMEOUT, SILENCE_MOST), false};
}

void TargetPool::Release(const std::string& target, std::shared_ptr<TcpConnection> connection,
                         Milliseconds idle_most)
{
  std::vector<Idle>& idle = m_idle[target];
  if (!connection->IsOpen() || idle.size() >= IDLE_PER_TARGET || idle_most <= Milliseconds::zero())
  {
    connection->Close();
    return;
  }
  // Bytes that come while nothing is asked belong to no request.
  const TcpConnection* raw = connection.get();
  connection->SetHandlers({[this, target, raw](std::string_view data)
                           {
                             Drop(target, raw);
                             return data.size();
                           },
                           [this, target, raw](Common::ConnectionEnd) { Drop(target, raw); },
                           nullptr, nullptr});
  idle.push_back({std::move(connection), Common::EventLoop::Now() + idle_most});
}

void TargetPool::Drop(const std::string& target, const TcpConnection* connection)
{
  std::vector<Idle>& idle = m_idle[target];
  const auto found = std::ranges::find_if(idle, [connection](const Idle& candidate)
                                          { return candidate.connection.get() == connection; });
  if (found == idle.end())
    return;
  const std::shared_ptr<TcpConnection> dropped = std::move(found->connection);
  idle.erase(found);
  dropped->Close();
}

void TargetPool::Forget(const std::string& target)
{
  const auto found = m_idle.extract(target);
  if (!found)
    return;
  for (Idle& idle : found.mapped())
    idle.connection->Close();
}

std::shared_ptr<Common::BufferAccount> TargetPool::HeldAnswersOf(const std::string& target)
{
  std::weak_ptr<Common::BufferAccount>& known = m_held_answers[target];
  std::shared_ptr<Common::BufferAccount> account = known.lock();
  if (!account)
  {
    account = std::make_shared<Common::BufferAccount>();
    known = account;
  }
  return account;
}

void TargetPool::CloseExpired(Common::TimePoint now)
{
  std::erase_if(m_held_answers, [](const auto& entry) { return entry.second.expired(); });
  for (auto& [target, idle] : m_idle)
  {
    for (const Idle& candidate : idle)
    {
      if (candidate.expires <= now)
        candidate.connection->Close();
    }
    std::erase_if(idle, [now](const Idle& candidate) { return candidate.expires <= now; });
  }
}
} // namespace Holdpost::TargetPeer
