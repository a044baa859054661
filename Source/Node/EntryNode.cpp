// SPDX-License-Identifier: Apache-2.0
#include "Node/EntryNode.h"

#include <fmt/format.h>

#include "Node/Status.h"
#include "Peers/Caller/CallerCodec.h"

namespace Holdpost::Node
{
using Common::Error;
using Common::HttpExchange;
using Common::Result;

// Bytes of one answer that wait for a slow caller before the target is held back.
static constexpr std::size_t BUFFERED_BYTES_MOST = 256 << 10;

EntryNode::EntryNode(const EntryConfig& config)
    : NodeBase(config.node), m_caller_listen(config.caller_listen),
      m_core(MakeIdentity(), m_metrics),
      m_server(m_loop, Common::HttpServer::Limits{config.body_bytes_most, Common::Seconds(75)},
               [this](const std::shared_ptr<HttpExchange>& exchange) { OnCaller(exchange); })
{
}

Result<std::string> EntryNode::Listen()
{
  const Result<Common::Address> address = m_server.Listen(m_caller_listen);
  if (const auto* error = std::get_if<Error>(&address))
    return *error;
  return fmt::format(" caller={}", std::get<Common::Address>(address).ToString());
}

void EntryNode::OnLeaving()
{
  // New connections go elsewhere at once; requests on open ones are refused as not run.
  m_server.StopListening();
}

void EntryNode::OnCaller(const std::shared_ptr<HttpExchange>& exchange)
{
  auto request = CallerPeer::ParseCallerRequest(exchange->Request());
  if (const auto* error = std::get_if<Error>(&request))
  {
    m_metrics.Add("holdpost_refused_total", Common::Reason(Common::AnswerFor(error->kind).name));
    ReplyError(*exchange, *error);
    return;
  }
  const std::uint64_t number = m_next_number++;
  m_open[number].exchange = exchange;
  exchange->OnGone(
      [this, number]
      {
        m_open.erase(number);
        Feed(NodeCore::CallerGone{number});
      });
  Feed(NodeCore::CallerArrived{number, std::get<Routing::CallerRequest>(std::move(request))});
}

EntryNode::OpenAnswer EntryNode::Take(std::uint64_t number)
{
  auto taken = m_open.extract(number);
  if (!taken)
    return {};
  taken.mapped().exchange->OnGone(nullptr);
  return std::move(taken.mapped());
}

void EntryNode::DoOwn(NodeCore::Action& action)
{
  std::visit(Common::Overloaded{[this](NodeCore::StartAnswer& start) { Start(start); },
                                [this](NodeCore::PassPart& part) { Pass(part); },
                                [this](NodeCore::EndAnswer& end) { End(end.number); },
                                [this](NodeCore::CutAnswer& cut) { Cut(cut); },
                                [this](NodeCore::RefuseCaller& refuse) { Refuse(refuse); },
                                [](auto&) {}},
             action);
}

void EntryNode::Start(const NodeCore::StartAnswer& start)
{
  const auto found = m_open.find(start.number);
  if (found == m_open.end())
    return;
  found->second.is_event_stream = start.content_type.starts_with("text/event-stream");
  Common::HttpHeaders headers = {{"Holdpost-Target", start.target},
                                 {"Holdpost-Request", std::to_string(start.number)}};
  if (!start.content_type.empty())
    headers["Content-Type"] = start.content_type;
  if (!start.version.IsZero())
    headers["Holdpost-Version"] = start.version.ToHex();
  found->second.exchange->StartStream(start.status, headers);
}

void EntryNode::Pass(const NodeCore::PassPart& part)
{
  const auto found = m_open.find(part.number);
  if (found == m_open.end())
    return;
  HttpExchange& exchange = *found->second.exchange;
  exchange.SendChunk(part.data);
  if (exchange.BufferedBytes() < BUFFERED_BYTES_MOST)
  {
    m_rpc.Post(NodeCore::TakeNextPart{part.number});
    return;
  }
  // A slow caller: the next part is asked for when this one has gone out.
  exchange.OnDrained(
      [this, number = part.number]
      {
        const auto waiting = m_open.find(number);
        if (waiting == m_open.end())
          return;
        // The callback that runs must not be destroyed from within.
        m_loop.Defer([exchange = waiting->second.exchange] { exchange->OnDrained(nullptr); });
        m_rpc.Post(NodeCore::TakeNextPart{number});
      });
}

void EntryNode::End(std::uint64_t number)
{
  if (const OpenAnswer answer = Take(number); answer.exchange)
    answer.exchange->EndStream();
}

void EntryNode::Cut(const NodeCore::CutAnswer& cut)
{
  const OpenAnswer answer = Take(cut.number);
  if (!answer.exchange)
    return;
  if (answer.is_event_stream)
    answer.exchange->SendChunk(fmt::format("event: error\ndata: {}\n\n", ErrorBody(cut.error)));
  answer.exchange->Cut();
}

void EntryNode::Refuse(const NodeCore::RefuseCaller& refuse)
{
  if (const OpenAnswer answer = Take(refuse.number); answer.exchange)
    ReplyError(*answer.exchange, refuse.error);
}

std::string EntryNode::StatusJson() const
{
  return StatusOf(m_core, Now());
}

void EntryNode::RefreshMetrics()
{
  m_metrics.Set("holdpost_open_requests", static_cast<double>(m_core.OpenRequests()));
}
} // namespace Holdpost::Node
