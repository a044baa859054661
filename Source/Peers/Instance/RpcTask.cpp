// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/RpcTask.h"

#include <csignal>

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "Common/Log.h"
#include "Peers/Instance/RpcClient.h"
#include "Peers/Instance/RpcServer.h"

namespace Holdpost::InstancePeer
{
using Common::Address;
using Common::Error;
using Common::ErrorKind;
using Common::Result;

namespace
{
// Sorts messages to the part that handles them.
class Dispatcher
{
public:
  Dispatcher(RpcClient& client, OpenCalls& calls, kj::PromiseFulfiller<void>& stop)
      : m_client(client), m_calls(calls), m_stop(stop)
  {
  }

  void Handle(ToRpc message)
  {
    std::visit([this](auto& typed) { Pass(std::move(typed)); }, message);
  }

private:
  template <typename T>
  void Pass(T message)
  {
    if constexpr (requires { m_client.Do(message); })
      m_client.Do(std::move(message));
    else if constexpr (requires { m_calls.Answer(message); })
      m_calls.Answer(std::move(message));
    else
      m_stop.fulfill();
  }

  RpcClient& m_client;
  OpenCalls& m_calls;
  kj::PromiseFulfiller<void>& m_stop;
};

kj::Promise<void> ReadInbox(kj::UnixEventPort::FdObserver& observer, Common::Mailbox<ToRpc>& inbox,
                            Dispatcher& dispatcher)
{
  return observer.whenBecomesReadable().then(
      [&]
      {
        for (ToRpc& message : inbox.TakeAll())
          dispatcher.Handle(std::move(message));
        return ReadInbox(observer, inbox, dispatcher);
      });
}
} // namespace

RpcTask::~RpcTask()
{
  Stop();
}

void RpcTask::Stop()
{
  if (!m_thread.joinable())
    return;
  Post(StopTask{});
  m_thread.join();
}

Result<Address> RpcTask::Start(const Address& listen)
{
  std::promise<Result<Address>> listening;
  auto result = listening.get_future();
  m_thread = std::thread([this, listen, &listening] { Run(listen, listening); });
  return result.get();
}

void RpcTask::Run(const Address& listen, std::promise<Result<Address>>& listening)
{
  // Signals belong to the main thread's loop.
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
  auto io = kj::setupAsyncIo();
  kj::Own<kj::ConnectionReceiver> receiver;
  try
  {
    const std::string text = listen.ToString();
    auto address = io.provider->getNetwork().parseAddress(text.c_str()).wait(io.waitScope);
    receiver = address->listen();
    listening.set_value(Address{listen.host, static_cast<std::uint16_t>(receiver->getPort())});
  }
  catch (const kj::Exception& exception)
  {
    listening.set_value(
        Error{ErrorKind::Internal, fmt::format("cannot listen on {}: {}", listen.ToString(),
                                               exception.getDescription().cStr())});
    return;
  }
  auto stop = kj::newPromiseAndFulfiller<void>();
  OpenCalls calls(m_outbox);
  RpcClient client(io.provider->getNetwork(), io.provider->getTimer(), m_outbox);
  Dispatcher dispatcher(client, calls, *stop.fulfiller);
  kj::UnixEventPort::FdObserver observer(io.unixEventPort, m_inbox.Fd(),
                                         kj::UnixEventPort::FdObserver::OBSERVE_READ);
  capnp::TwoPartyServer server(kj::heap<RpcServer>(calls));
  auto listen_loop = server.listen(*receiver).eagerlyEvaluate(
      [](kj::Exception&& exception)
      { ERROR_LOG(INSTANCE, "stopped listening: {}.", exception.getDescription().cStr()); });
  auto inbox_loop = ReadInbox(observer, m_inbox, dispatcher)
                        .eagerlyEvaluate(
                            [](kj::Exception&& exception) {
                              ERROR_LOG(INSTANCE, "stopped reading messages: {}.",
                                        exception.getDescription().cStr());
                            });
  // Messages posted before the observer existed.
  for (ToRpc& message : m_inbox.TakeAll())
    dispatcher.Handle(std::move(message));
  stop.promise.wait(io.waitScope);
}
} // namespace Holdpost::InstancePeer
