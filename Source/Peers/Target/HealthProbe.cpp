// SPDX-License-Identifier: Apache-2.0
#include "Peers/Target/HealthProbe.h"

#include "Peers/Target/TargetMessage.h"

namespace Holdpost::TargetPeer
{
using Common::ConnectionEnd;
using Common::HttpHead;
using Common::Milliseconds;
using Gateway::ProbeOutcome;

// A full target lets a probe wait for a slot. A probe that is sent again loses its place in the
// target's queue.
static constexpr Milliseconds MAX_PROBE_TIME = Milliseconds(3000);
// Shorter than the time for connecting, so that a connection that fails before was refused.
static constexpr Milliseconds MAX_REFUSAL_TIME = Milliseconds(350);
// The bytes of interim heads and of the head of the answer.
static constexpr std::size_t MAX_ANSWER_BYTES = 64 << 10;

HealthProbe::~HealthProbe()
{
  if (m_connection)
    m_connection->Close();
}

void HealthProbe::Start(const Gateway::TargetId& target, const Common::Address& address,
                        const std::string& path, OnEnded on_ended)
{
  m_target = target;
  m_on_ended = std::move(on_ended);
  m_started = Common::EventLoop::Now();
  // A kept connection was opened to the same start of the target, and costs no new one.
  const TargetPool::Lease lease = m_pool.Acquire(target, address, true);
  m_connection = lease.connection;
  const std::weak_ptr<HealthProbe> weak = weak_from_this();
  m_connection->SetHandlers({[weak](std::string_view data)
                             {
                               const auto self = weak.lock();
                               return self ? self->OnData(data) : data.size();
                             },
                             [weak](ConnectionEnd end)
                             {
                               if (const auto self = weak.lock())
                                 self->OnConnectionEnd(end);
                             },
                             nullptr, nullptr});
  m_timer = m_pool.Loop().MakeTimer(
      [weak]
      {
        if (const auto self = weak.lock())
          self->End(ProbeOutcome::Unknown);
      });
  m_timer->FireAfter(MAX_PROBE_TIME);
  m_connection->Write(RequestText(address, path));
}

std::string HealthProbe::RequestText(const Common::Address& address, const std::string& path) const
{
  std::string text = "GET " + path + " HTTP/1.1\r\n";
  Common::AppendField(&text, "Host", address.ToString());
  Common::AppendField(&text, m_names.expected_target, m_target);
  Common::AppendField(&text, "Connection", "close");
  text.append("\r\n");
  return text;
}

std::size_t HealthProbe::OnData(std::string_view data)
{
  const std::size_t consumed = m_parser.Feed(data);
  m_received_bytes += consumed;
  const bool is_no_answer =
      m_parser.Error() != Common::HttpParseError::None || m_received_bytes > MAX_ANSWER_BYTES;
  if (m_outcome || is_no_answer)
    End(m_outcome.value_or(ProbeOutcome::Unknown));
  else if (m_parser.IsDone())
    m_parser.Restart();
  return consumed;
}

void HealthProbe::OnConnectionEnd(ConnectionEnd end)
{
  m_connection.reset();
  // A target closes kept connections, and resets those beyond its limit.
  const bool is_refused =
      end == ConnectionEnd::NotConnected && Common::EventLoop::Now() - m_started < MAX_REFUSAL_TIME;
  End(is_refused ? ProbeOutcome::Ended : ProbeOutcome::Unknown);
}

void HealthProbe::OnHead(HttpHead head)
{
  if (head.status < Common::MIN_FINAL_STATUS)
    return;
  const std::string* id = head.fields.Find(m_names.target_id);
  const bool is_other = head.status == MISDIRECTED_STATUS || (id && *id != m_target);
  m_outcome = is_other ? ProbeOutcome::Ended : ProbeOutcome::Runs;
}

void HealthProbe::End(ProbeOutcome outcome)
{
  if (m_connection)
    m_connection->Close();
  m_connection.reset();
  m_timer->Cancel();
  if (const OnEnded on_ended = std::exchange(m_on_ended, nullptr))
    on_ended(outcome);
}
} // namespace Holdpost::TargetPeer
