// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>

#include <kj/async.h>

#include "Common/Mailbox.h"
#include "Peers/Instance/Codec.h"
#include "Peers/Instance/Mail.h"

// The calls that other instances make here. Each becomes a message with a tag; the answer comes
// back under the tag.
namespace Holdpost::InstancePeer
{
// Answers owed to other instances, by tag. Belongs to the RPC task.
class OpenCalls : private kj::TaskSet::ErrorHandler
{
public:
  explicit OpenCalls(Common::Mailbox<FromRpc>& outbox) : m_outbox(outbox), m_tasks(*this) {}

  kj::Promise<Membership::Report> ForReport(Membership::Report report);
  kj::Promise<Common::Result<Common::Bytes>> ForPiece(PieceRequested request);
  kj::Promise<LogStretch> ForRecords(Common::Offset after);
  kj::Promise<Runs::Standing> ForBar(Runs::RunKey key);
  kj::Promise<Claims::KeptAnswer> ForKey(std::uint64_t incarnation, Claims::KeyName key);
  kj::Promise<std::optional<Common::Error>> ForRun(Runs::RunRequest request,
                                                   Wire::AnswerSink::Client sink);
  void Announce(AnnouncementReceived announcement) { m_outbox.Post(std::move(announcement)); }

  void Answer(AnswerReport answer);
  void Answer(AnswerPiece answer);
  void Answer(AnswerRecords answer);
  void Answer(AnswerBar answer);
  void Answer(AnswerKey answer);
  void Answer(const AnswerHead& answer);
  void Answer(const AnswerChunk& answer);
  void Answer(AnswerRunEnd answer);

private:
  struct OpenRun
  {
    Runs::RunKey key;
    Wire::AnswerSink::Client sink;
    kj::Own<kj::PromiseFulfiller<std::optional<Common::Error>>> done;
    unsigned parts_on_the_way = 0;
    bool is_ended = false;
    std::optional<Common::Error> error;
  };

  template <typename T>
  using Fulfillers = std::map<CallTag, kj::Own<kj::PromiseFulfiller<T>>>;

  void taskFailed(kj::Exception&& exception) override;
  void TrackPart(CallTag tag, kj::Promise<void> part);
  void OnPartTaken(CallTag tag);
  void OnSinkLost(CallTag tag);
  void FinishIfDrained(CallTag tag);

  Common::Mailbox<FromRpc>& m_outbox;
  CallTag m_next_tag = 1;
  Fulfillers<Membership::Report> m_reports;
  Fulfillers<Common::Result<Common::Bytes>> m_pieces;
  Fulfillers<LogStretch> m_records;
  Fulfillers<Runs::Standing> m_bars;
  Fulfillers<Claims::KeptAnswer> m_keys;
  std::map<CallTag, OpenRun> m_runs;
  kj::TaskSet m_tasks;
};

class RpcServer final : public Wire::Instance::Server
{
public:
  explicit RpcServer(OpenCalls& calls) : m_calls(calls) {}

  kj::Promise<void> report(ReportContext context) override;
  kj::Promise<void> announce(AnnounceContext context) override;
  kj::Promise<void> piece(PieceContext context) override;
  kj::Promise<void> records(RecordsContext context) override;
  kj::Promise<void> run(RunContext context) override;
  kj::Promise<void> bar(BarContext context) override;
  kj::Promise<void> key(KeyContext context) override;

private:
  OpenCalls& m_calls;
};
} // namespace Holdpost::InstancePeer
