// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/RpcClient.h"

#include <fmt/format.h>

#include "Common/Log.h"

namespace Holdpost::InstancePeer
{
using Common::Address;
using Common::Bytes;
using Common::Error;
using Common::ErrorKind;

// An instance that does not answer a report or a question for so long counts as out of reach.
static constexpr auto CALL_TIMEOUT = 2 * kj::SECONDS;
// A connection on which so many calls in a row got no answer is given up.
static constexpr unsigned TIMEOUTS_MOST = 4;

// Hands the parts of one answer on, and holds each acknowledgement back until the part was taken.
class AnswerSinkServer final : public Wire::AnswerSink::Server
{
public:
  AnswerSinkServer(RpcClient& client, Runs::RunKey key) : m_client(client), m_key(std::move(key)) {}

  kj::Promise<void> head(HeadContext context) override
  {
    const auto params = context.getParams();
    if (Read(params.getKey()) != m_key)
      return KJ_EXCEPTION(FAILED, "part of another answer");
    m_client.m_outbox.Post(RunHead{m_key.number, params.getStatus(), params.getContentType().cStr(),
                                   ToDigest(params.getVersion())});
    return kj::READY_NOW;
  }

  kj::Promise<void> chunk(ChunkContext context) override
  {
    const auto params = context.getParams();
    if (Read(params.getKey()) != m_key)
      return KJ_EXCEPTION(FAILED, "part of another answer");
    auto taken = m_client.AddPart(m_key.number);
    m_client.m_outbox.Post(RunChunk{m_key.number, ToString(params.getData())});
    return taken;
  }

private:
  RpcClient& m_client;
  Runs::RunKey m_key;
};

RpcClient::RpcClient(kj::Network& network, kj::Timer& timer, Common::Mailbox<FromRpc>& outbox)
    : m_network(network), m_timer(timer), m_outbox(outbox), m_tasks(*this)
{
}

void RpcClient::taskFailed(kj::Exception&& exception)
{
  DEBUG_LOG(INSTANCE, "a call ended with: {}.", exception.getDescription().cStr());
}

RpcClient::~RpcClient()
{
  for (auto& [address, connection] : m_connections)
    connection->client = nullptr;
}

RpcClient::Connection& RpcClient::ConnectionTo(const Address& address)
{
  auto& connection = m_connections[address];
  if (connection.get())
    return *connection;
  connection = kj::refcounted<Connection>();
  connection->generation = m_next_generation++;
  const std::string text = address.ToString();
  auto connected =
      m_network.parseAddress(text.c_str())
          .then([](kj::Own<kj::NetworkAddress>&& parsed)
                { return parsed->connect().attach(kj::mv(parsed)); })
          .then(
              [made = kj::addRef(*connection)](kj::Own<kj::AsyncIoStream>&& stream) mutable
              {
                made->stream = kj::mv(stream);
                made->rpc = kj::heap<capnp::TwoPartyClient>(*made->stream);
                return made->rpc->bootstrap().castAs<Wire::Instance>();
              });
  connection->client = Wire::Instance::Client(kj::mv(connected));
  return *connection;
}

Wire::Instance::Client RpcClient::ClientFor(const Address& address)
{
  return KJ_ASSERT_NONNULL(ConnectionTo(address).client);
}

RpcClient::Route RpcClient::RouteTo(const std::string& instance, const Address& address)
{
  return {instance, address, ConnectionTo(address).generation};
}

void RpcClient::OnAnswered(const Route& route)
{
  const auto found = m_connections.find(route.address);
  if (found != m_connections.end() && found->second->generation == route.generation)
    found->second->timeouts = 0;
}

void RpcClient::OnLost(const Route& route, const kj::Exception& exception)
{
  m_outbox.Post(PeerUnreachable{route.instance});
  const auto found = m_connections.find(route.address);
  if (found == m_connections.end() || found->second->generation != route.generation)
    return;
  const bool is_broken = exception.getType() == kj::Exception::Type::DISCONNECTED;
  if (!is_broken && ++found->second->timeouts < TIMEOUTS_MOST)
    return;
  auto dropped = m_connections.extract(found);
  dropped.mapped()->client = nullptr;
  // The connection may still be on the stack: let it go when nothing else runs.
  m_tasks.add(kj::evalLast([connection = kj::mv(dropped.mapped())] {}));
}

void RpcClient::Do(const SendReport& message)
{
  // One at a time, so that a frozen instance costs no memory.
  if (!m_reports_open.insert(message.to).second)
    return;
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).reportRequest();
  Write(message.report, call.initReport());
  m_tasks.add(m_timer.timeoutAfter(CALL_TIMEOUT, call.send())
                  .then(
                      [this, route](auto&& response)
                      {
                        m_reports_open.erase(route.instance);
                        OnAnswered(route);
                        m_outbox.Post(ReportAnswered{Read(response.getReport())});
                      },
                      [this, route](kj::Exception&& exception)
                      {
                        m_reports_open.erase(route.instance);
                        OnLost(route, exception);
                      }));
}

void RpcClient::Do(const SendAnnouncement& message)
{
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).announceRequest();
  Write(message.from, call.initFrom());
  Write(message.announcement, call.initAnnouncement());
  m_tasks.add(call.send().ignoreResult().catch_([this, route](kj::Exception&& exception)
                                                { OnLost(route, exception); }));
}

void RpcClient::Do(const FetchPiece& message)
{
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).pieceRequest();
  call.setFrom(message.from);
  call.setVersion(ToData(message.version));
  call.setPiece(message.piece);
  const auto id = message.id;
  auto fetched = call.send().then(
      [this, id](auto&& response)
      {
        if (auto error = Read(response.getFailure()))
          m_outbox.Post(PieceFetched{id, *error});
        else
          m_outbox.Post(PieceFetched{id, Common::MakeBytes(ToString(response.getData()))});
        ForgetFetch(id);
      },
      [this, id, route](kj::Exception&& exception)
      {
        m_outbox.Post(PieceFetched{id, Error{ErrorKind::Unreachable, "the peer is out of reach"}});
        OnLost(route, exception);
        ForgetFetch(id);
      });
  m_fetches.emplace(id, fetched.eagerlyEvaluate(nullptr));
}

void RpcClient::ForgetFetch(Distribution::FetchId id)
{
  m_tasks.add(kj::evalLater([this, id] { m_fetches.erase(id); }));
}

void RpcClient::Do(CancelFetch message)
{
  m_fetches.erase(message.id);
}

void RpcClient::Do(const FetchRecords& message)
{
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).recordsRequest();
  call.setAfter(message.after);
  m_tasks.add(m_timer.timeoutAfter(CALL_TIMEOUT, call.send())
                  .then([this](auto&& response) { m_outbox.Post(RecordsFetched{Read(response)}); },
                        [this, route](kj::Exception&& exception) { OnLost(route, exception); }));
}

kj::Promise<void> RpcClient::AddPart(std::uint64_t number)
{
  const auto found = m_runs.find(number);
  if (found == m_runs.end())
    return KJ_EXCEPTION(DISCONNECTED, "the answer is not wanted any more");
  auto paf = kj::newPromiseAndFulfiller<void>();
  found->second.parts.push_back(kj::mv(paf.fulfiller));
  return kj::mv(paf.promise);
}

void RpcClient::Do(const StartRun& message)
{
  const std::uint64_t number = message.request.key.number;
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).runRequest();
  Write(message.request, call.initRequest());
  call.setSink(kj::heap<AnswerSinkServer>(*this, message.request.key));
  auto ended = call.send().then(
      [this, number](auto&& response) { EndRun(number, Read(response.getFailure())); },
      [this, number, route,
       connection = kj::addRef(ConnectionTo(message.address))](kj::Exception&& exception)
      {
        // Without a connection the target has surely not got it; everything else is unknown.
        const bool was_sent = connection->rpc.get() != nullptr;
        EndRun(number,
               Error{was_sent ? ErrorKind::Unreachable : ErrorKind::TargetRefused,
                     fmt::format("lost the target: {}", exception.getDescription().cStr())});
        OnLost(route, exception);
      });
  m_runs.emplace(number, OpenRun{ended.eagerlyEvaluate(nullptr), {}});
}

void RpcClient::EndRun(std::uint64_t number, std::optional<Error> error)
{
  m_outbox.Post(RunEnded{number, std::move(error)});
  m_tasks.add(kj::evalLater([this, number] { m_runs.erase(number); }));
}

void RpcClient::Do(TakeNextPart message)
{
  const auto found = m_runs.find(message.number);
  if (found == m_runs.end() || found->second.parts.empty())
    return;
  found->second.parts.front()->fulfill();
  found->second.parts.pop_front();
}

void RpcClient::Do(CancelRun message)
{
  m_runs.erase(message.number);
}

void RpcClient::Do(const AskToBar& message)
{
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).barRequest();
  Write(message.key, call.initKey());
  const std::uint64_t number = message.key.number;
  m_tasks.add(m_timer.timeoutAfter(CALL_TIMEOUT, call.send())
                  .then(
                      [this, number](auto&& response) {
                        m_outbox.Post(BarAnswered{
                            number, static_cast<Runs::Standing>(response.getStanding())});
                      },
                      [this, number, route](kj::Exception&& exception)
                      {
                        m_outbox.Post(BarAnswered{
                            number, Error{ErrorKind::Unreachable, "the target is out of reach"}});
                        OnLost(route, exception);
                      }));
}

void RpcClient::Do(const AskKey& message)
{
  const Route route = RouteTo(message.to, message.address);
  auto call = ClientFor(message.address).keyRequest();
  call.setIncarnation(message.incarnation);
  call.setScope(message.key.first);
  call.setKey(message.key.second);
  const std::uint64_t number = message.number;
  m_tasks.add(m_timer.timeoutAfter(CALL_TIMEOUT, call.send())
                  .then(
                      [this, number](auto&& response) {
                        m_outbox.Post(KeyAnswered{number, Read(response)});
                      },
                      [this, number, route](kj::Exception&& exception)
                      {
                        m_outbox.Post(KeyAnswered{
                            number, Error{ErrorKind::Unreachable, "the entry is out of reach"}});
                        OnLost(route, exception);
                      }));
}
} // namespace Holdpost::InstancePeer
