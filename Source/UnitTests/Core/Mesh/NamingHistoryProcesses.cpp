// SPDX-License-Identifier: Apache-2.0
#include "NamingHistory.h"

#include <algorithm>

#include "Support/Actions.h"

// What the processes of a history do: gateways read the platform and tell each other and sidecars
// of versions, and sidecars tell gateways.
namespace Holdpost::Testing
{
using Common::Duration;
using Common::Milliseconds;
using Common::TimePoint;

static constexpr Milliseconds BEAT_PERIOD{300};
// A reader that is silent for this time is replaced; each gateway waits a little longer than the
// one before it.
static constexpr Milliseconds READER_TIMEOUT{1000};
static constexpr Milliseconds READER_TIMEOUT_STEP{200};
static constexpr Milliseconds READ_TIMEOUT{1500};

void NamingHistory::Tick(GatewayNode& gateway)
{
  if (m_now < gateway.suspended_until)
    return;
  UpdateReader(gateway);
  Control::Actions actions;
  gateway.follower->OnTick(m_now, &actions);
  for (const auto& read : Only<Control::ReadOperatorChanges>(actions))
    Read(gateway, read);
  if (!Only<Control::ReadTargets>(actions).empty() && !IsCutOff(gateway))
  {
    ScheduleAt(gateway, MessageDelay(),
               [this, &gateway] {
                 gateway.follower->OnTargetsRead(Control::TargetsRead{true, {}, 1}, m_now);
               });
  }
  if (gateway.is_reader && m_now >= gateway.beat_due && gateway.follower->HasReadAll())
    Beat(gateway);
  SendHellos(gateway);
}

void NamingHistory::SendHellos(GatewayNode& gateway)
{
  std::vector<Mesh::Outgoing> hellos;
  gateway.briefing->SetIsReader(gateway.is_reader);
  gateway.briefing->OnTick(m_now, &hellos);
  for (const Mesh::Outgoing& hello : hellos)
  {
    const auto to = std::ranges::find(m_sidecars, hello.to,
                                      [](const SidecarNode& node) { return node.self.address; });
    Deliver(gateway, *to,
            [this, &node = *to, from = gateway.self, message = hello.message]
            {
              Sidecar::Actions made;
              node.sidecar->OnMessage(from, message, m_now, &made);
              Carry(node, made);
            });
  }
}

void NamingHistory::UpdateReader(GatewayNode& gateway)
{
  const auto rank = &gateway - m_gateways.data();
  const Duration timeout = READER_TIMEOUT + rank * READER_TIMEOUT_STEP;
  if (!gateway.is_reader && gateway.reader_heard_at && m_now - *gateway.reader_heard_at > timeout)
    SetReader(gateway, true);
}

void NamingHistory::SetReader(GatewayNode& gateway, bool is_reader)
{
  Note("{} {} reading", gateway.self.instance, is_reader ? "begins" : "ends");
  gateway.is_reader = is_reader;
  gateway.follower->SetReading(is_reader);
}

void NamingHistory::Beat(GatewayNode& gateway)
{
  gateway.beat_due = m_now + BEAT_PERIOD;
  Mesh::ReaderBeat beat;
  beat.weights = gateway.briefing->AdvertisedVersionsAt(m_now);
  beat.answer_age = ToMilliseconds(m_now - gateway.follower->LastAnswer());
  const auto from = static_cast<std::size_t>(&gateway - m_gateways.data());
  for (GatewayNode& other : m_gateways)
  {
    if (&other != &gateway && !IsCutOff(other))
      Deliver(gateway, other, [this, &other, from, beat] { OnBeat(other, from, beat); });
  }
}

void NamingHistory::OnBeat(GatewayNode& gateway, std::size_t from, const Mesh::ReaderBeat& beat)
{
  gateway.follower->OnRunning(m_now);
  const auto rank = static_cast<std::size_t>(&gateway - m_gateways.data());
  // Of two readers, the one with the lower number goes on, unless the platform is out of its reach.
  const bool is_answered = beat.answer_age < READER_TIMEOUT + Milliseconds(2500);
  if (gateway.is_reader && (rank < from || !is_answered))
    return;
  if (is_answered)
    gateway.reader_heard_at = m_now;
  if (gateway.is_reader)
    SetReader(gateway, false);
  OnVersionsTold(gateway, beat.weights);
  gateway.follower->OnAllVersionsAnnounced(m_now - beat.answer_age);
}

void NamingHistory::OnVersionsTold(GatewayNode& gateway,
                                   const std::vector<Mesh::AdvertisedVersion>& versions)
{
  gateway.follower->OnRunning(m_now);
  bool is_news = false;
  for (const Mesh::AdvertisedVersion& told : versions)
    is_news = gateway.follower->OfferWeights(told.named, told.Since(m_now)) || is_news;
  if (is_news)
    Apply(gateway);
}

void NamingHistory::Apply(GatewayNode& gateway)
{
  for (const auto& [model, versions] : gateway.follower->Weights())
  {
    for (const Control::KnownVersion& known : versions.All())
    {
      if (gateway.deadlines->OnVersionNamed(model, known, m_now))
      {
        Note("{} takes version {} to be {} ms old{}", gateway.self.instance, known.version,
             ToMilliseconds(m_now - known.since.time).count(),
             known.since.is_assumed ? ", assumed" : "");
      }
      gateway.briefing->SetWeights({model, known.version}, known.since);
    }
  }
}

void NamingHistory::Read(GatewayNode& gateway, const Control::ReadOperatorChanges& read)
{
  if (IsCutOff(gateway))
    return Fail(gateway, read);
  Schedule(MessageDelay(),
           [this, &gateway, read, until = m_now + read.wait, incarnation = gateway.incarnation]
           { AnswerRead(gateway, incarnation, read, until); });
}

void NamingHistory::Fail(GatewayNode& gateway, const Control::ReadOperatorChanges& read)
{
  ScheduleAt(gateway, READ_TIMEOUT,
             [this, &gateway, number = read.number]
             {
               const Common::Error error{Common::ErrorKind::Unreachable, "cut off"};
               gateway.follower->OnOperatorRead(error, m_now, number);
             });
}

void NamingHistory::AnswerRead(GatewayNode& gateway, std::uint64_t incarnation,
                               const Control::ReadOperatorChanges& read, TimePoint until)
{
  if (gateway.incarnation != incarnation)
    return;
  if (IsCutOff(gateway))
    return Fail(gateway, read);
  // Position 1 is that of the settings, and each naming has the next one.
  const Control::Position next = m_namings.size() + 1;
  if (read.from == next && m_now < until)
  {
    return Schedule(STEP, [this, &gateway, incarnation, read, until]
                    { AnswerRead(gateway, incarnation, read, until); });
  }
  Control::OperatorChanges changes;
  changes.next = next;
  if (read.from == 0)
  {
    auto document = std::make_shared<Settings::Document>();
    document->version = 1;
    changes.document = document;
    changes.text = Common::MakeBytes("text");
    changes.weights = {{MODEL, m_namings.back().version}};
  }
  for (std::size_t i = read.from; i > 0 && i <= m_namings.size(); ++i)
    changes.weights.push_back({MODEL, m_namings[i - 1].version});
  ScheduleAt(gateway, MessageDelay(),
             [this, &gateway, number = read.number, changes]
             {
               if (gateway.follower->OnOperatorRead(changes, m_now, number))
                 Apply(gateway);
             });
}

void NamingHistory::Tick(SidecarNode& node)
{
  if (m_now < node.suspended_until)
    return;
  Sidecar::Actions actions;
  node.sidecar->OnTick(m_now, &actions);
  Carry(node, actions);
  m_outcome.max_kept = std::max(m_outcome.max_kept, node.sidecar->NamedVersions().All().size());
}

void NamingHistory::Carry(SidecarNode& node, Sidecar::Actions& actions)
{
  for (const auto& sent : Only<Sidecar::SendMessage>(actions))
  {
    const auto* report = std::get_if<Mesh::LoadReport>(&sent.message);
    const auto to = std::ranges::find(
        m_gateways, sent.to, [](const GatewayNode& gateway) { return gateway.self.address; });
    if (!report || to == m_gateways.end())
      continue;
    Deliver(*to, *to,
            [this, &gateway = *to, from = node.self.address, report = *report]
            {
              gateway.briefing->OnReported(from, report.stamp, m_now);
              OnVersionsTold(gateway, report.weights);
            });
  }
  if (Only<Sidecar::ReadReport>(actions).empty())
    return;
  Sidecar::EngineReport report;
  report.weights_version = 1;
  Sidecar::Actions made;
  node.sidecar->Handle(Sidecar::ReportRead{report}, m_now, &made);
  Carry(node, made);
}
} // namespace Holdpost::Testing
