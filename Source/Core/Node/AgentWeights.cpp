// SPDX-License-Identifier: Apache-2.0
#include "Core/Node/AgentWeights.h"

#include <map>
#include <utility>

#include <fmt/format.h>

#include "Common/Log.h"
#include "Common/Mailbox.h"
#include "Core/Placement/Placement.h"

namespace Holdpost::NodeCore
{
using Common::Digest;
using Common::Error;
using Common::ErrorKind;
using Common::TimePoint;
using Settings::Field;

// Who weighs origin bytes more waits so much longer before a piece may be fetched a second time.
static constexpr int PATIENCE_FOR_ORIGIN_BYTES = 4;

AgentWeights::AgentWeights(std::string self, std::string hall, std::string pool, std::uint64_t seed,
                           const Membership::Membership& membership, Common::Metrics& metrics)
    : m_self(std::move(self)), m_hall(std::move(hall)),
      m_pool(std::move(pool)), m_sender{m_self, {}, seed}, m_exchange(m_self, m_hall, seed),
      m_membership(membership), m_metrics(metrics)
{
}

void AgentWeights::ApplySettings(const Settings::Effective& settings)
{
  Distribution::ExchangeOptions options;
  options.swarm.patience = settings.Time(Field::PatienceMs);
  options.swarm.stall = settings.Time(Field::StallMs);
  options.swarm.window_per_peer = static_cast<std::uint32_t>(settings.Integer(Field::WindowPieces));
  options.neighbours = static_cast<std::size_t>(settings.Integer(Field::Neighbours));
  // Everyone has as many requests open, whatever its links: uploads are shared out by requests.
  options.swarm.total_window =
      static_cast<std::uint32_t>(options.neighbours) * options.swarm.window_per_peer;
  options.upload_queue_most = static_cast<std::size_t>(settings.Integer(Field::UploadQueueMost));
  const std::int64_t share = 100 - settings.Integer(Field::ServingSharePercent);
  options.link_bytes_per_second =
      static_cast<std::uint64_t>(settings.Integer(Field::LinkBytesPerSecond) * share / 100);
  if (settings.Text(Field::Weigh) == "origin_bytes")
  {
    options.swarm.patience *= PATIENCE_FOR_ORIGIN_BYTES;
    options.swarm.may_hedge = false;
  }
  m_exchange.SetOptions(options);
}

void AgentWeights::RefreshCandidates(const Settings::Tree& tree, TimePoint now, Actions* actions)
{
  // The own place counts too: it decides which others are placed.
  std::vector<Placement::PlacedAgent> agents = {{m_self, m_hall, m_pool}};
  std::map<std::string, std::string> halls;
  for (const Membership::Member* member : m_membership.UsableAgents(now))
  {
    const Membership::Report& report = member->report;
    agents.push_back({report.instance, report.hall, report.pool});
    halls[report.instance] = report.hall;
  }
  std::vector<Distribution::NeighbourCandidate> candidates;
  for (const auto& [instance, version] : Placement::WantedVersions(tree, agents))
  {
    if (instance != m_self)
      candidates.push_back({instance, halls[instance], version});
  }
  if (candidates == m_candidates)
    return;
  m_candidates = candidates;
  Distribution::Actions made;
  m_exchange.SetCandidates(std::move(candidates), now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::OnListRead(TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnViewConfirmed(now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::Want(const Digest& version, TimePoint now, Actions* actions)
{
  INFO_LOG(DISTRIBUTION, "Wants version {}.", version.Short());
  Distribution::Actions made;
  m_exchange.Want(version, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::KeepOnly(const std::vector<Digest>& versions, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.KeepOnly(versions, &made);
  Translate(std::move(made), TimePoint(), actions);
}

void AgentWeights::Handle(const AnnouncementReceived& message, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnAnnouncement(message.from.instance, message.announcement, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::Handle(const PieceRequested& message, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnPieceRequest(message.tag, message.version, message.piece, false, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::Handle(const PieceAbandoned& message, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnRequestAbandoned(message.tag, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::Handle(const PieceFetched& message, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnFetched(message.id, message.result, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::OnPeerLost(const std::string& instance, TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnPeerLost(instance, now, &made);
  Translate(std::move(made), now, actions);
}

void AgentWeights::OnTick(TimePoint now, Actions* actions)
{
  Distribution::Actions made;
  m_exchange.OnTick(now, &made);
  Translate(std::move(made), now, actions);
}

std::vector<Digest> AgentWeights::TakeHeld()
{
  return std::exchange(m_newly_held, {});
}

void AgentWeights::FetchFromPeer(const Distribution::FetchPiece& fetch, TimePoint now,
                                 Actions* actions)
{
  if (const Membership::Member* member = m_membership.Find(fetch.peer))
  {
    actions->push_back(FetchPiece{fetch.id, m_self, fetch.peer, member->report.address,
                                  fetch.version, fetch.piece});
    return;
  }
  Handle(PieceFetched{fetch.id, Error{ErrorKind::Unreachable, "the peer is not known"}}, now,
         actions);
}

void AgentWeights::Translate(Distribution::Actions made, TimePoint now, Actions* actions)
{
  for (Distribution::Action& action : made)
  {
    std::visit(
        Common::Overloaded{
            [&](Distribution::FetchPiece& fetch)
            {
              if (fetch.peer.empty())
                actions->push_back(
                    FetchFromPlatform{fetch.id, fetch.source, fetch.version, fetch.piece});
              else
                FetchFromPeer(fetch, now, actions);
            },
            [&](Distribution::CancelFetch& cancel) { actions->push_back(CancelFetch{cancel.id}); },
            [&](Distribution::SendAnnouncement& send)
            {
              if (const Membership::Member* member = m_membership.Find(send.peer))
              {
                m_metrics.Add("holdpost_announcements_sent_total");
                actions->push_back(SendAnnouncement{m_sender, send.peer, member->report.address,
                                                    std::move(send.announcement)});
              }
            },
            [&](Distribution::AnswerPiece& answer) {
              actions->push_back(AnswerPiece{answer.tag, std::move(answer.result)});
            },
            [](Distribution::PieceHeld&) {},
            [&](Distribution::VersionHeld& held)
            {
              INFO_LOG(DISTRIBUTION, "Holds version {}, every piece verified.",
                       held.version.Short());
              m_newly_held.push_back(held.version);
            },
            [&](Distribution::CountTransfer& count)
            {
              const std::string label =
                  fmt::format("event=\"{}\"", Distribution::TransferEventName(count.event));
              m_metrics.Add("holdpost_transfers_total", label);
              if (count.bytes > 0)
                m_metrics.Add("holdpost_transfer_bytes_total", label, count.bytes);
            }},
        action);
  }
}
} // namespace Holdpost::NodeCore
