// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "Common/Mailbox.h"
#include "Peers/Instance/Codec.h"
#include "Peers/Instance/Mail.h"

// The calls that this instance makes to others, over one connection to each. Belongs to the RPC
// task.
namespace Holdpost::InstancePeer
{
class RpcClient : private kj::TaskSet::ErrorHandler
{
public:
  RpcClient(kj::Network& network, kj::Timer& timer, Common::Mailbox<FromRpc>& outbox);
  ~RpcClient();
  KJ_DISALLOW_COPY(RpcClient);

  void Do(const SendReport& message);
  void Do(const SendAnnouncement& message);
  void Do(const FetchPiece& message);
  void Do(CancelFetch message);
  void Do(const FetchRecords& message);
  void Do(const StartRun& message);
  void Do(TakeNextPart message);
  void Do(CancelRun message);
  void Do(const AskToBar& message);
  void Do(const AskKey& message);

private:
  friend class AnswerSinkServer;

  // Counted, as a connect that is still under way refers to it.
  struct Connection : kj::Refcounted
  {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> rpc;
    // Cleared to let go of a connect that is still under way.
    kj::Maybe<Wire::Instance::Client> client;
    std::uint64_t generation = 0;
    unsigned timeouts = 0; // in a row
  };

  // The connection that a call went out on.
  struct Route
  {
    std::string instance;
    Common::Address address;
    std::uint64_t generation = 0;
  };

  // A run whose answer comes in. Each part is acknowledged when the decisions have taken it.
  struct OpenRun
  {
    kj::Promise<void> call;
    std::deque<kj::Own<kj::PromiseFulfiller<void>>> parts;
  };

  void taskFailed(kj::Exception&& exception) override;
  Connection& ConnectionTo(const Common::Address& address);
  Wire::Instance::Client ClientFor(const Common::Address& address);
  Route RouteTo(const std::string& instance, const Common::Address& address);
  // A connection that broke, or on which too many calls in a row got no answer, is dropped; the
  // next call makes a new one.
  void OnLost(const Route& route, const kj::Exception& exception);
  void OnAnswered(const Route& route);
  // Removes the ended call's promise, but not from inside its own continuation.
  void ForgetFetch(Distribution::FetchId id);
  void EndRun(std::uint64_t number, std::optional<Common::Error> error);
  kj::Promise<void> AddPart(std::uint64_t number);

  kj::Network& m_network;
  kj::Timer& m_timer;
  Common::Mailbox<FromRpc>& m_outbox;
  std::uint64_t m_next_generation = 1;
  std::map<Common::Address, kj::Own<Connection>> m_connections;
  std::set<std::string> m_reports_open;
  std::map<Distribution::FetchId, kj::Promise<void>> m_fetches;
  std::map<std::uint64_t, OpenRun> m_runs;
  kj::TaskSet m_tasks;
};
} // namespace Holdpost::InstancePeer
