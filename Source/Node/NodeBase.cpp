// SPDX-License-Identifier: Apache-2.0
#include "Node/NodeBase.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

#include <fmt/format.h>

#include "Common/Log.h"

namespace Holdpost::Node
{
using Common::Address;
using Common::Error;
using Common::Milliseconds;
using Common::Result;
using Common::TimePoint;

static constexpr Milliseconds TICK = Milliseconds(50);

// Later starts under one name must compare greater. The wall clock is read here only.
static std::uint64_t NewIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

NodeBase::NodeBase(NodeConfig config)
    : m_http(m_loop), m_platform(m_http, config.platform), m_config(std::move(config)),
      m_incarnation(NewIncarnation())
{
}

NodeBase::~NodeBase() = default;

NodeCore::Identity NodeBase::MakeIdentity() const
{
  return {m_config.instance, m_config.hall, m_incarnation, m_config.neighbours};
}

int NodeBase::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  m_admin = std::make_unique<OperatorPeer::AdminPages>(
      m_loop, m_metrics,
      OperatorPeer::AdminSource{
          [this](Common::Metrics& metrics)
          {
            const auto& fold = Core().Settings().Fold();
            metrics.Set("holdpost_settings_position", static_cast<double>(fold.Position()));
            metrics.Set("holdpost_settings_accepted", static_cast<double>(fold.AcceptedOffset()));
            metrics.Set("holdpost_log_reachable", Core().Settings().IsLogReachable() ? 1 : 0);
            RefreshMetrics();
          },
          [this] { return Core().NotReadyReason(); }, [this] { return StatusJson(); }});
  const Result<Address> rpc = m_rpc.Start(m_config.listen);
  const Result<Address> admin = m_admin->Listen(m_config.admin_listen);
  const Result<std::string> own = Listen();
  for (const Error* error :
       {std::get_if<Error>(&rpc), std::get_if<Error>(&admin), std::get_if<Error>(&own)})
  {
    if (error)
    {
      fmt::print(stderr, "E instance: {}.\n", error->message);
      return 1;
    }
  }
  const Address& address = std::get<Address>(rpc);
  fmt::print("listening instance={} rpc={} admin={}{}\n", m_config.instance, address.ToString(),
             std::get<Address>(admin).ToString(), std::get<std::string>(own));
  std::fflush(stdout);

  m_rpc_watch = m_loop.WatchReadable(m_rpc.Outbox().Fd(), [this] { HandleRpc(); });
  m_tick_timer = m_loop.MakeTimer([this] { Tick(); });
  for (const int signal_number : {SIGTERM, SIGINT})
    m_signals.push_back(m_loop.WatchSignal(signal_number, [this] { HandleStopSignal(); }));
  NodeCore::Actions actions;
  Core().Start(address, Now(), &actions);
  Carry(std::move(actions));
  Tick();
  m_loop.Run();
  m_rpc.Stop();
  return m_exit_code;
}

void NodeBase::HandleStopSignal()
{
  OnLeaving();
  Feed(NodeCore::LeaveRequested{});
}

void NodeBase::Tick()
{
  m_tick_due = Now() + TICK;
  NodeCore::Actions actions;
  Core().OnTick(Now(), &actions);
  Carry(std::move(actions));
}

void NodeBase::ScheduleTick()
{
  const TimePoint now = Now();
  // Events bring the next tick forward and never put it off.
  const TimePoint next = std::min(Core().NextWakeup(now).value_or(m_tick_due), m_tick_due);
  m_tick_timer->FireAfter(std::max(next - now, Common::Duration::zero()));
}

void NodeBase::Feed(NodeCore::Event event)
{
  NodeCore::Actions actions;
  Core().Handle(std::move(event), Now(), &actions);
  Carry(std::move(actions));
}

void NodeBase::Carry(NodeCore::Actions actions)
{
  for (NodeCore::Action& action : actions)
    Do(action);
  ScheduleTick();
}

void NodeBase::Do(NodeCore::Action& action)
{
  std::visit(
      [&](auto& typed)
      {
        using T = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<T, NodeCore::CancelFetch>)
          CancelFetch(typed);
        else if constexpr (std::is_same_v<T, NodeCore::Quit>)
        {
          m_exit_code = typed.exit_code;
          m_loop.Stop();
        }
        else if constexpr (requires { DoPlatform(typed); })
          DoPlatform(typed);
        else if constexpr (std::is_constructible_v<InstancePeer::ToRpc, T>)
          m_rpc.Post(std::move(typed));
        else
          DoOwn(action);
      },
      action);
}

void NodeBase::DoPlatform(NodeCore::ReadLog& read)
{
  m_platform.ReadLog(read.after, read.wait,
                     [this](Result<NodeCore::LogRead> result)
                     { Feed(NodeCore::LogReadDone{std::move(result)}); });
}

void NodeBase::DoPlatform(NodeCore::AppendRecord& append)
{
  m_platform.Append(append.text,
                    [this, purpose = append.purpose](const Result<Common::Offset>& result) {
                      Feed(NodeCore::AppendDone{purpose, result});
                    });
}

void NodeBase::DoPlatform(NodeCore::ReadList& /*read*/)
{
  m_platform.ListInstances([this](NodeCore::ListRead result)
                           { Feed(NodeCore::ListReadDone{std::move(result)}); });
}

void NodeBase::DoPlatform(NodeCore::FetchFromPlatform& fetch)
{
  const auto id = fetch.id;
  m_origin_calls[id] = m_platform.FetchPiece(fetch.source, fetch.version, fetch.piece,
                                             [this, id](Result<Common::Bytes> result)
                                             {
                                               m_origin_calls.erase(id);
                                               Feed(NodeCore::PieceFetched{id, std::move(result)});
                                             });
}

void NodeBase::CancelFetch(const NodeCore::CancelFetch& cancel)
{
  if (const auto call = m_origin_calls.extract(cancel.id))
    m_platform.Cancel(call.mapped());
  else
    m_rpc.Post(cancel);
}

void NodeBase::HandleRpc()
{
  for (InstancePeer::FromRpc& message : m_rpc.Outbox().TakeAll())
  {
    OnOwnRpc(message);
    std::visit(
        [this](auto& typed)
        {
          if constexpr (std::is_constructible_v<NodeCore::Event, decltype(std::move(typed))>)
            Feed(std::move(typed));
        },
        message);
  }
}
} // namespace Holdpost::Node
