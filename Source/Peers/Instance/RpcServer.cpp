// SPDX-License-Identifier: Apache-2.0
#include "Peers/Instance/RpcServer.h"

#include "Common/Log.h"

namespace Holdpost::InstancePeer
{
using Common::Bytes;
using Common::Error;
using Common::Result;

template <typename T, typename Map>
static void Fulfill(Map& waiting, CallTag tag, T value)
{
  auto found = waiting.extract(tag);
  if (found)
    found.mapped()->fulfill(kj::mv(value));
}

void OpenCalls::taskFailed(kj::Exception&& exception)
{
  DEBUG_LOG(INSTANCE, "a call ended with: {}.", exception.getDescription().cStr());
}

kj::Promise<Membership::Report> OpenCalls::ForReport(Membership::Report report)
{
  auto paf = kj::newPromiseAndFulfiller<Membership::Report>();
  const CallTag tag = m_next_tag++;
  m_reports.emplace(tag, kj::mv(paf.fulfiller));
  m_outbox.Post(ReportReceived{tag, std::move(report)});
  return kj::mv(paf.promise);
}

kj::Promise<Result<Bytes>> OpenCalls::ForPiece(PieceRequested request)
{
  auto paf = kj::newPromiseAndFulfiller<Result<Bytes>>();
  const CallTag tag = m_next_tag++;
  request.tag = tag;
  m_pieces.emplace(tag, kj::mv(paf.fulfiller));
  m_outbox.Post(std::move(request));
  // Dropped early when the peer cancels or its connection breaks.
  return paf.promise.attach(kj::defer(
      [this, tag]
      {
        if (m_pieces.erase(tag) > 0)
          m_outbox.Post(PieceAbandoned{tag});
      }));
}

kj::Promise<LogStretch> OpenCalls::ForRecords(Common::Offset after)
{
  auto paf = kj::newPromiseAndFulfiller<LogStretch>();
  const CallTag tag = m_next_tag++;
  m_records.emplace(tag, kj::mv(paf.fulfiller));
  m_outbox.Post(RecordsRequested{tag, after});
  return kj::mv(paf.promise);
}

kj::Promise<Runs::Standing> OpenCalls::ForBar(Runs::RunKey key)
{
  auto paf = kj::newPromiseAndFulfiller<Runs::Standing>();
  const CallTag tag = m_next_tag++;
  m_bars.emplace(tag, kj::mv(paf.fulfiller));
  m_outbox.Post(BarRequested{tag, std::move(key)});
  return kj::mv(paf.promise);
}

kj::Promise<Claims::KeptAnswer> OpenCalls::ForKey(std::uint64_t incarnation, Claims::KeyName key)
{
  auto paf = kj::newPromiseAndFulfiller<Claims::KeptAnswer>();
  const CallTag tag = m_next_tag++;
  m_keys.emplace(tag, kj::mv(paf.fulfiller));
  m_outbox.Post(KeyAsked{tag, incarnation, std::move(key)});
  return kj::mv(paf.promise);
}

kj::Promise<std::optional<Error>> OpenCalls::ForRun(Runs::RunRequest request,
                                                    Wire::AnswerSink::Client sink)
{
  auto paf = kj::newPromiseAndFulfiller<std::optional<Error>>();
  const CallTag tag = m_next_tag++;
  m_runs.emplace(tag, OpenRun{request.key, kj::mv(sink), kj::mv(paf.fulfiller), 0, false, {}});
  m_outbox.Post(RunRequested{tag, std::move(request)});
  // Dropped early when the entry cancels or its connection breaks.
  return paf.promise.attach(kj::defer(
      [this, tag]
      {
        if (m_runs.erase(tag) > 0)
          m_outbox.Post(RunAbandoned{tag});
      }));
}

void OpenCalls::Answer(AnswerReport answer)
{
  Fulfill(m_reports, answer.tag, std::move(answer.report));
}

void OpenCalls::Answer(AnswerPiece answer)
{
  Fulfill(m_pieces, answer.tag, std::move(answer.result));
}

void OpenCalls::Answer(AnswerRecords answer)
{
  Fulfill(m_records, answer.tag, std::move(answer.stretch));
}

void OpenCalls::Answer(AnswerBar answer)
{
  Fulfill(m_bars, answer.tag, answer.standing);
}

void OpenCalls::Answer(AnswerKey answer)
{
  Fulfill(m_keys, answer.tag, std::move(answer.answer));
}

void OpenCalls::Answer(const AnswerHead& answer)
{
  const auto found = m_runs.find(answer.tag);
  if (found == m_runs.end())
    return;
  auto call = found->second.sink.headRequest();
  Write(found->second.key, call.initKey());
  call.setStatus(static_cast<std::uint16_t>(answer.status));
  call.setContentType(answer.content_type);
  call.setVersion(ToData(answer.version));
  TrackPart(answer.tag, call.send().ignoreResult());
}

void OpenCalls::Answer(const AnswerChunk& answer)
{
  const auto found = m_runs.find(answer.tag);
  if (found == m_runs.end())
    return;
  auto call = found->second.sink.chunkRequest();
  Write(found->second.key, call.initKey());
  call.setData({reinterpret_cast<const capnp::byte*>(answer.data.data()), answer.data.size()});
  TrackPart(answer.tag, call.send().ignoreResult());
}

void OpenCalls::Answer(AnswerRunEnd answer)
{
  const auto found = m_runs.find(answer.tag);
  if (found == m_runs.end())
    return;
  found->second.is_ended = true;
  found->second.error = std::move(answer.error);
  FinishIfDrained(answer.tag);
}

void OpenCalls::TrackPart(CallTag tag, kj::Promise<void> part)
{
  ++m_runs.at(tag).parts_on_the_way;
  m_tasks.add(part.then([this, tag] { OnPartTaken(tag); },
                        [this, tag](kj::Exception&&) { OnSinkLost(tag); }));
}

void OpenCalls::OnPartTaken(CallTag tag)
{
  const auto found = m_runs.find(tag);
  if (found == m_runs.end())
    return;
  if (--found->second.parts_on_the_way > 0)
    return;
  if (found->second.is_ended)
    FinishIfDrained(tag);
  else
    m_outbox.Post(RunDrained{tag});
}

void OpenCalls::OnSinkLost(CallTag tag)
{
  if (m_runs.erase(tag) > 0)
    m_outbox.Post(RunAbandoned{tag});
}

void OpenCalls::FinishIfDrained(CallTag tag)
{
  const auto found = m_runs.find(tag);
  if (found == m_runs.end() || !found->second.is_ended || found->second.parts_on_the_way > 0)
    return;
  // Out of the map first, so that the end is not taken for an abandoned run.
  auto run = m_runs.extract(found);
  run.mapped().done->fulfill(kj::mv(run.mapped().error));
}

kj::Promise<void> RpcServer::report(ReportContext context)
{
  auto report = Read(context.getParams().getReport());
  return m_calls.ForReport(std::move(report))
      .then([context](const Membership::Report& own) mutable
            { Write(own, context.getResults().initReport()); });
}

kj::Promise<void> RpcServer::announce(AnnounceContext context)
{
  const auto params = context.getParams();
  m_calls.Announce({Read(params.getFrom()), Read(params.getAnnouncement())});
  return kj::READY_NOW;
}

kj::Promise<void> RpcServer::piece(PieceContext context)
{
  const auto params = context.getParams();
  PieceRequested request{0, params.getFrom().cStr(), ToDigest(params.getVersion()),
                         params.getPiece()};
  context.releaseParams();
  context.allowCancellation();
  return m_calls.ForPiece(std::move(request))
      .then(
          [context](Result<Bytes> result) mutable
          {
            auto results = context.getResults();
            if (const auto* error = std::get_if<Error>(&result))
            {
              Write(*error, results.initFailure());
              return;
            }
            const Bytes& data = std::get<Bytes>(result);
            results.setData({reinterpret_cast<const capnp::byte*>(data->data()), data->size()});
          });
}

kj::Promise<void> RpcServer::records(RecordsContext context)
{
  return m_calls.ForRecords(context.getParams().getAfter())
      .then([context](const LogStretch& stretch) mutable { Write(stretch, context.getResults()); });
}

kj::Promise<void> RpcServer::run(RunContext context)
{
  const auto params = context.getParams();
  auto request = Read(params.getRequest());
  auto sink = params.getSink();
  context.releaseParams();
  context.allowCancellation();
  return m_calls.ForRun(std::move(request), kj::mv(sink))
      .then(
          [context](std::optional<Error> error) mutable
          {
            auto results = context.getResults();
            if (error)
              Write(*error, results.initFailure());
          });
}

kj::Promise<void> RpcServer::bar(BarContext context)
{
  return m_calls.ForBar(Read(context.getParams().getKey()))
      .then([context](Runs::Standing standing) mutable
            { context.getResults().setStanding(static_cast<std::uint8_t>(standing)); });
}

kj::Promise<void> RpcServer::key(KeyContext context)
{
  const auto params = context.getParams();
  return m_calls.ForKey(params.getIncarnation(), {params.getScope().cStr(), params.getKey().cStr()})
      .then([context](const Claims::KeptAnswer& answer) mutable
            { Write(answer, context.getResults()); });
}
} // namespace Holdpost::InstancePeer
